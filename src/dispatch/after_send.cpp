#include "tamarack/dispatch.hpp"

namespace tamarack::dispatch {

std::string_view to_string(send_end end) {
    switch (end) {
    case send_end::answered:
        return "answered";
    case send_end::rejected:
        return "rejected";
    case send_end::not_connected:
        return "not_connected";
    case send_end::withheld:
        return "withheld";
    case send_end::broken:
        return "broken";
    }
    return "unknown";
}

std::string_view to_string(next_step step) {
    switch (step) {
    case next_step::deliver:
        return "deliver";
    case next_step::try_again:
        return "try_again";
    case next_step::refuse:
        return "refuse";
    case next_step::fail:
        return "fail";
    }
    return "unknown";
}

next_step after_send(const send_facts& facts) {
    const bool may_have_run =
        facts.may_have_run_before_ || facts.end_ == send_end::broken || facts.end_ == send_end::answered;
    const bool can_go_on = facts.time_left_ && facts.other_endpoint_ && facts.budget_left_ &&
                           facts.sends_that_may_have_run_ < facts.max_attempts_;
    if (facts.end_ == send_end::answered) {
        return facts.failure_status_ && facts.repeatable_ && can_go_on ? next_step::try_again
                                                                       : next_step::deliver;
    }
    if (facts.end_ == send_end::broken) {
        return facts.repeatable_ && can_go_on ? next_step::try_again : next_step::fail;
    }
    if (can_go_on && (facts.repeatable_ || !facts.may_have_run_before_)) {
        return next_step::try_again;
    }
    return may_have_run ? next_step::fail : next_step::refuse;
}

} // namespace tamarack::dispatch
