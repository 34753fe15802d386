#include "agent/shutdown_machine.hpp"

#include "kernel/state_machine.hpp"

namespace tamarack::agent {

namespace {

namespace front = boost::msm::front;

struct listed_as_leaving {};
struct stop_requested {};
struct drained {};
struct time_limit_reached {};

struct shutdown_front : tolerant_front<shutdown_front> {
    struct serving : front::state<> {};
    struct leaving : front::state<> {};
    struct draining : front::state<> {};
    struct stopped : front::state<> {};

    using initial_state = serving;

    struct transition_table
        : boost::mpl::vector<
              transition<serving, listed_as_leaving, leaving>, transition<serving, stop_requested, draining>,
              transition<leaving, stop_requested, draining>, transition<draining, drained, stopped>,
              transition<draining, time_limit_reached, stopped>> {};
};

} // namespace

struct shutdown_machine::machine : boost::msm::back::state_machine<shutdown_front> {};

std::string_view to_string(shutdown_phase phase) {
    switch (phase) {
    case shutdown_phase::serving:
        return "serving";
    case shutdown_phase::leaving:
        return "leaving";
    case shutdown_phase::draining:
        return "draining";
    case shutdown_phase::stopped:
        return "stopped";
    }
    return "unknown";
}

shutdown_machine::shutdown_machine() : machine_(std::make_unique<machine>()) {
    machine_->start();
}

shutdown_machine::~shutdown_machine() = default;

void shutdown_machine::process(shutdown_event event) {
    switch (event) {
    case shutdown_event::listed_as_leaving:
        machine_->process_event(listed_as_leaving{});
        break;
    case shutdown_event::stop_requested:
        machine_->process_event(stop_requested{});
        break;
    case shutdown_event::drained:
        machine_->process_event(drained{});
        break;
    case shutdown_event::time_limit_reached:
        machine_->process_event(time_limit_reached{});
        break;
    }
}

shutdown_phase shutdown_machine::phase() const {
    if (in_state<shutdown_front::serving>(*machine_)) {
        return shutdown_phase::serving;
    }
    if (in_state<shutdown_front::leaving>(*machine_)) {
        return shutdown_phase::leaving;
    }
    if (in_state<shutdown_front::draining>(*machine_)) {
        return shutdown_phase::draining;
    }
    return shutdown_phase::stopped;
}

} // namespace tamarack::agent
