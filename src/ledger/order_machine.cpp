#include "tamarack/ledger.hpp"

#include "kernel/state_machine.hpp"

namespace tamarack {

namespace {

namespace front = boost::msm::front;

struct confirmed {};
struct reported_applied {};
struct reported_failed {};
struct settle_time_passed {};
struct fenced {};

struct order_front : tolerant_front<order_front> {
    struct sending : front::state<> {};
    struct accepted : front::state<> {};
    struct overdue : front::state<> {};
    struct applied : front::state<> {};
    struct failed : front::state<> {};
    struct dead : front::state<> {};

    using initial_state = sending;

    struct transition_table
        : boost::mpl::vector<
              transition<sending, confirmed, accepted>, transition<sending, reported_applied, applied>,
              transition<sending, reported_failed, failed>, transition<sending, settle_time_passed, overdue>,
              transition<sending, fenced, dead>, transition<accepted, reported_applied, applied>,
              transition<accepted, reported_failed, failed>,
              transition<accepted, settle_time_passed, overdue>, transition<accepted, fenced, dead>,
              transition<overdue, reported_applied, applied>, transition<overdue, reported_failed, failed>,
              transition<overdue, fenced, dead>> {};
};

} // namespace

struct order_machine::machine : boost::msm::back::state_machine<order_front> {};

order_machine::order_machine() : machine_(std::make_unique<machine>()) {
    machine_->start();
}

order_machine::~order_machine() = default;
order_machine::order_machine(order_machine&&) noexcept = default;
order_machine& order_machine::operator=(order_machine&&) noexcept = default;

void order_machine::process(order_event event) {
    switch (event) {
    case order_event::confirmed:
        machine_->process_event(confirmed{});
        break;
    case order_event::reported_applied:
        machine_->process_event(reported_applied{});
        break;
    case order_event::reported_failed:
        machine_->process_event(reported_failed{});
        break;
    case order_event::settle_time_passed:
        machine_->process_event(settle_time_passed{});
        break;
    case order_event::fenced:
        machine_->process_event(fenced{});
        break;
    }
}

order_phase order_machine::phase() const {
    if (in_state<order_front::sending>(*machine_)) {
        return order_phase::sending;
    }
    if (in_state<order_front::accepted>(*machine_)) {
        return order_phase::accepted;
    }
    if (in_state<order_front::overdue>(*machine_)) {
        return order_phase::overdue;
    }
    if (in_state<order_front::applied>(*machine_)) {
        return order_phase::applied;
    }
    if (in_state<order_front::failed>(*machine_)) {
        return order_phase::failed;
    }
    return order_phase::dead;
}

bool order_machine::ended() const {
    const order_phase now = phase();
    return now == order_phase::applied || now == order_phase::failed || now == order_phase::dead;
}

std::string_view to_string(order_phase phase) {
    switch (phase) {
    case order_phase::sending:
        return "sending";
    case order_phase::accepted:
        return "accepted";
    case order_phase::overdue:
        return "overdue";
    case order_phase::applied:
        return "applied";
    case order_phase::failed:
        return "failed";
    case order_phase::dead:
        return "dead";
    }
    return "unknown";
}

} // namespace tamarack
