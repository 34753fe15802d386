// request_flow: waits of a request that no endpoint can take yet.
#include "gateway/request_flow.hpp"

#include <algorithm>

namespace tamarack::gateway {

namespace {

constexpr time_ms view_check_interval_ms = 20;   // interval between checks for a newer view of the endpoints
constexpr time_ms model_check_interval_ms = 80;  // interval between checks for an engine that holds the model
constexpr time_ms report_check_interval_ms = 30; // interval between checks for a report of an engine
constexpr time_ms max_report_wait_ms = 150;      // longer than it takes to read reports that have arrived
constexpr time_ms unresponsive_retry_ms = 1'000; // expected time until an engine responds or is replaced
constexpr time_ms no_part_retry_after_ms = 1'500; // expected time until this gateway gets a part of a limit
constexpr time_ms min_place_wait_ms = 5;
constexpr time_ms place_validity_ms = 1'000;

} // namespace

void request_flow::wait_for_newer_view() {
    if (!std::exchange(waited_for_view_, true)) {
        context_.events_.write({event_kind::admission,
                                "gateway",
                                "held_for_view",
                                metadata_.id_,
                                {{"view_age_ms", context_.fleet_.view_age_ms(boot_now_ms())}}});
    }
    wait_timer_.expires_after(std::chrono::milliseconds(view_check_interval_ms));
    wait_timer_.async_wait([self = shared_from_this()](boost::system::error_code cancelled) {
        if (!cancelled && !self->finished_) {
            self->try_next_endpoint();
        }
    });
}

// Called when the reports of all engines that hold the model are overdue. Waits briefly, because this process
// may itself have been suspended and not have read them yet, and then refuses the request.
void request_flow::wait_for_report(const endpoint& unresponsive, time_ms now) {
    const bool first = !reports_overdue_since_;
    reports_overdue_since_ = reports_overdue_since_.value_or(now);
    const bool waits = now - *reports_overdue_since_ < max_report_wait_ms;
    if (first || !waits) {
        context_.events_.write({event_kind::admission,
                                "gateway",
                                waits ? "held_for_report" : "engines_unresponsive",
                                metadata_.id_,
                                {{"model", metadata_.model_},
                                 {"endpoint", unresponsive.record().id_},
                                 {"report_age_ms", now - unresponsive.engine_.reported_at_},
                                 {"left_ms", left_ms(now)}}});
    }
    if (!waits) {
        refuse("engines_unresponsive", unresponsive_retry_ms);
        return;
    }
    wait_timer_.expires_after(std::chrono::milliseconds(report_check_interval_ms));
    wait_timer_.async_wait([self = shared_from_this()](boost::system::error_code cancelled) {
        if (!cancelled && !self->finished_) {
            self->try_next_endpoint();
        }
    });
}

// Called when no engine holds the model. Waits for one to load it if that can still be in time, and refuses
// the request otherwise.
void request_flow::wait_for_model() {
    const time_ms now = steady_now_ms();
    const time_ms wait = context_.fleet_.model_wait_ms(service_->name_, metadata_.model_, now);
    if (!waiting_for_model_) {
        waiting_for_model_ = true;
        if (counts_demand_) {
            context_.fleet_.demand_.add_waiting(metadata_.model_, 1);
        }
        context_.events_.write({event_kind::admission,
                                "gateway",
                                "held_for_model",
                                metadata_.id_,
                                {{"model", metadata_.model_}, {"wait_ms", wait}, {"left_ms", left_ms(now)}}});
    }
    // Treated like a returning request, which is admitted even if late: while it waits here it occupies no
    // slot of an engine.
    dispatch::admission_facts facts = admission_facts(wait, now);
    facts.returned_ = true;
    if (!dispatch::should_admit(facts)) {
        refuse("model_not_held", wait);
        return;
    }
    wait_timer_.expires_after(std::chrono::milliseconds(model_check_interval_ms));
    wait_timer_.async_wait([self = shared_from_this()](boost::system::error_code cancelled) {
        if (!cancelled && !self->finished_) {
            self->try_next_endpoint();
        }
    });
}

void request_flow::stop_waiting_for_model() {
    if (std::exchange(waiting_for_model_, false) && counts_demand_) {
        context_.fleet_.demand_.add_waiting(metadata_.model_, -1);
    }
}

// If all endpoints that the request may go to want no requests for a while, refuses it with the time of the
// first that takes one again, since it cannot be served before. Returns whether it did.
bool request_flow::refuse_if_all_back_off(const std::vector<std::shared_ptr<endpoint>>& usable) {
    const time_ms now = boot_now_ms();
    std::optional<time_ms> earliest;
    for (const auto& target : usable) {
        const auto wait = context_.fleet_.notices_.back_off_ms(key_of(*target), now);
        if (!wait) {
            return false;
        }
        earliest = std::min(earliest.value_or(*wait), *wait);
    }
    context_.events_.write({event_kind::admission,
                            "gateway",
                            "all_back_off",
                            metadata_.id_,
                            {{"model", metadata_.model_},
                             {"endpoints", int(usable.size())},
                             {"wait_ms", *earliest},
                             {"left_ms", left_ms(steady_now_ms())}}});
    refuse("endpoints_back_off", *earliest);
    return true;
}

// Called when all endpoints that the request may go to have a limit that is used up or want no requests.
// Waits for the first place if the request can still be in time then, and refuses it otherwise.
void request_flow::wait_for_place(const std::vector<std::shared_ptr<endpoint>>& limited) {
    const time_ms now = steady_now_ms();
    std::optional<time_ms> wait;
    for (const auto& target : limited) {
        if (context_.fleet_.notices_.back_off_ms(key_of(*target), boot_now_ms())) {
            continue;
        }
        const auto at_target = context_.fleet_.notices_.limits().wait_ms(
            target->record().id_, target->waiting_for_place_, boot_now_ms());
        if (at_target && (!wait || *at_target < *wait)) {
            wait = at_target;
            awaited_endpoint_ = target;
        }
    }
    const time_ms expected = wait.value_or(no_part_retry_after_ms);
    dispatch::admission_facts facts = admission_facts(expected + (now - arrived_at_), now);
    facts.returned_ = facts.returned_ || possible_runs_ > 0;
    const bool waits = wait && dispatch::should_admit(facts);
    const endpoint& best = wait ? *awaited_endpoint_ : *limited.front();
    context_.events_.write(
        {event_kind::admission,
         "gateway",
         waits ? "held_for_limit" : "over_limit",
         metadata_.id_,
         {{"model", metadata_.model_},
          {"endpoint", best.record().id_},
          {"per_s", context_.fleet_.notices_.limits().limit(best.record().id_).value_or(-1)},
          {"has_part", wait.has_value()},
          {"wait_ms", expected},
          {"waiting", best.waiting_for_place_},
          {"left_ms", left_ms(now)}}});
    if (!waits) {
        awaited_endpoint_ = nullptr;
        refuse("over_limit", expected);
        return;
    }
    ++awaited_endpoint_->waiting_for_place_;
    wait_timer_.expires_after(std::chrono::milliseconds(std::max(min_place_wait_ms, expected)));
    wait_timer_.async_wait([self = shared_from_this()](boost::system::error_code cancelled) {
        if (!cancelled && !self->finished_) {
            self->try_next_endpoint();
        }
    });
}

void request_flow::stop_waiting_for_place() {
    if (const auto awaited = std::exchange(awaited_endpoint_, nullptr)) {
        --awaited->waiting_for_place_;
    }
}

void request_flow::reserve_place(const endpoint& target) {
    const std::string& id = target.record().id_;
    const time_ms now = boot_now_ms();
    if (context_.fleet_.notices_.limits().limited(id) && context_.fleet_.notices_.limits().take(id, now)) {
        place_ = {id, now};
    }
}

void request_flow::release_place() {
    if (const auto unused = std::exchange(place_, std::nullopt)) {
        context_.fleet_.notices_.limits().give_back(unused->endpoint_);
    }
}

// Whether the request may be sent now. The endpoint may have named its limit since it was chosen, and a place
// that was taken long ago is lost, since it was meant for an arrival at that time.
bool request_flow::confirm_place(std::string_view endpoint) {
    const time_ms now = boot_now_ms();
    const auto taken = std::exchange(place_, std::nullopt);
    return !context_.fleet_.notices_.limits().limited(endpoint) ||
           (taken && now - taken->taken_at_ <= place_validity_ms) ||
           context_.fleet_.notices_.limits().take(endpoint, now);
}

} // namespace tamarack::gateway
