#include "tamarack/ledger.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace tamarack {

namespace {

namespace front = boost::msm::front;

struct confirmed {};
struct reported_applied {};
struct reported_failed {};
struct settle_time_passed {};
struct fenced {};

struct order_front : front::state_machine_def<order_front> {
    struct sending : front::state<> {};
    struct accepted : front::state<> {};
    struct overdue : front::state<> {};
    struct applied : front::state<> {};
    struct failed : front::state<> {};
    struct dead : front::state<> {};

    using initial_state = sending;

    template <typename Source, typename Event, typename Target>
    using row = front::Row<Source, Event, Target, front::none, front::none>;

    struct transition_table
        : boost::mpl::vector<row<sending, confirmed, accepted>, row<sending, reported_applied, applied>,
                             row<sending, reported_failed, failed>, row<sending, settle_time_passed, overdue>,
                             row<sending, fenced, dead>, row<accepted, reported_applied, applied>,
                             row<accepted, reported_failed, failed>,
                             row<accepted, settle_time_passed, overdue>, row<accepted, fenced, dead>,
                             row<overdue, reported_applied, applied>, row<overdue, reported_failed, failed>,
                             row<overdue, fenced, dead>> {};

    template <typename Machine, typename Event>
    void no_transition(const Event&, Machine&, int) {}
};

} // namespace

struct order_machine::machine : boost::msm::back::state_machine<order_front> {};

namespace {

template <typename State, typename Machine>
bool in_state(const Machine& one) {
    using states = typename Machine::stt;
    return one.current_state()[0] == boost::msm::back::get_state_id<states, State>::value;
}

} // namespace

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
