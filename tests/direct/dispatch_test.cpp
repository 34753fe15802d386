#include "tamarack/dispatch.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace tamarack::dispatch {

namespace {

struct send_case {
    const char* name_;
    send_end end_;
    bool repeatable_;
    bool ran_before_;
    next_step expected_;
};

endpoint_candidate make_option(const char* id, double running) {
    endpoint_candidate one;
    one.id_ = id;
    one.slots_ = 32;
    one.running_ = running;
    return one;
}

} // namespace

TEST_CASE("send_ended_with_another_endpoint_left_table_of_next_steps") {
    const send_case cases[] = {
        {"answer is delivered", send_end::answered, false, false, next_step::deliver},
        {"rejected goes elsewhere", send_end::rejected, false, false, next_step::try_again},
        {"not connected goes elsewhere", send_end::not_connected, false, false, next_step::try_again},
        {"broken booking fails", send_end::broken, false, false, next_step::fail},
        {"broken lookup goes elsewhere", send_end::broken, true, false, next_step::try_again},
        {"rejected after a broken booking fails", send_end::rejected, false, true, next_step::fail},
        {"not connected after a broken lookup", send_end::not_connected, true, true, next_step::try_again},
    };
    for (const send_case& one : cases) {
        CAPTURE(one.name_);
        send_facts facts;
        facts.end_ = one.end_;
        facts.repeatable_ = one.repeatable_;
        facts.may_have_run_before_ = one.ran_before_;
        facts.max_attempts_ = 3;
        CHECK(after_send(facts) == one.expected_);
    }
}

TEST_CASE("send_request_that_may_have_run_is_never_refused_nor_repeated_unless_it_may_be") {
    CHECK(rc::check([] {
        send_facts facts;
        facts.end_ = *rc::gen::element(send_end::answered, send_end::rejected, send_end::not_connected,
                                       send_end::broken);
        facts.repeatable_ = *rc::gen::arbitrary<bool>();
        facts.may_have_run_before_ = *rc::gen::arbitrary<bool>();
        facts.failure_status_ = *rc::gen::arbitrary<bool>();
        facts.budget_left_ = *rc::gen::arbitrary<bool>();
        facts.time_left_ = *rc::gen::arbitrary<bool>();
        facts.other_endpoint_ = *rc::gen::arbitrary<bool>();
        facts.max_attempts_ = *rc::gen::inRange(1, 4);
        facts.sends_that_may_have_run_ = *rc::gen::inRange(0, 4);
        const bool may_have_run =
            facts.may_have_run_before_ || facts.end_ == send_end::broken || facts.end_ == send_end::answered;
        const next_step step = after_send(facts);
        RC_ASSERT(!(step == next_step::refuse && may_have_run));
        RC_ASSERT(!(step == next_step::try_again && may_have_run && !facts.repeatable_));
        RC_ASSERT(!(step == next_step::try_again && facts.sends_that_may_have_run_ >= facts.max_attempts_));
        RC_ASSERT(!(step == next_step::try_again && !facts.budget_left_));
    }));
}

TEST_CASE("retries_of_all_gateways_at_once_stay_within_the_budget") {
    CHECK(rc::check([] {
        const retry_limits limits{0.2, 56, 10'000};
        const int gateways = *rc::gen::inRange(1, 40);
        const int requests_each = *rc::gen::inRange(0, 200);
        int retries = 0;
        for (int gateway = 0; gateway < gateways; ++gateway) {
            retry_window window(limits);
            for (int request = 0; request < requests_each; ++request) {
                window.note_request(50'000 + request);
                while (window.available(50'000 + request, gateways)) {
                    window.note_retry(50'000 + request);
                    ++retries;
                }
            }
        }
        RC_ASSERT(retries <= limits.ratio_ * gateways * requests_each + limits.slack_);
    }));
}

TEST_CASE("retries_of_an_earlier_window_are_forgotten") {
    retry_window window({0.0, 10, 10'000});
    int first = 0;
    for (; window.available(1'000, 1); ++first) {
        window.note_retry(1'000);
    }
    CHECK(first > 0);
    CHECK_FALSE(window.available(10'000, 1));
    CHECK(window.available(12'000, 1));
}

TEST_CASE("choice_less_loaded_engine_goes_first_and_suspected_last") {
    std::vector<endpoint_candidate> options = {make_option("full", 90), make_option("free", 2),
                                               make_option("lost", 0)};
    options[2].suspected_ = true;
    const engine_timing pace;
    for (std::uint64_t random = 0; random < 10; ++random) {
        CHECK(choose_endpoint(options, 800, pace, random) == 1);
    }
    CHECK_FALSE(choose_endpoint({}, 800, pace, 1));
}

TEST_CASE("choice_equal_engines_are_spread_by_chance") {
    const std::vector<endpoint_candidate> options = {make_option("a", 2), make_option("b", 2),
                                                     make_option("c", 2)};
    std::set<std::size_t> chosen;
    for (std::uint64_t random = 0; random < 9; ++random) {
        chosen.insert(*choose_endpoint(options, 800, engine_timing(), random));
    }
    CHECK(chosen.size() == 3);
}

TEST_CASE("choice_engine_that_fails_every_request_is_left_while_others_hold_the_model") {
    std::vector<endpoint_candidate> options = {make_option("grey", 0), make_option("sound", 25)};
    endpoint_health grey;
    for (int request = 0; request < 10; ++request) {
        grey.note_failure(1'000);
    }
    options[0].failure_rate_ = grey.failure_rate(1'000);
    CHECK(choose_endpoint(options, 800, engine_timing(), 0) == 1);
    // What was learned fades, so that an engine which recovered is tried again.
    options[0].failure_rate_ = grey.failure_rate(60'000);
    CHECK(choose_endpoint(options, 800, engine_timing(), 0) == 0);
}

TEST_CASE("admission_demand_above_all_copies_first_attempts_are_turned_away_before_they_would_be_late") {
    admission_facts facts{900, 300, 2'400, 12'000, false};
    CHECK_FALSE(should_admit(facts));
    facts.wait_ms_ = 250;
    CHECK(should_admit(facts));
}

TEST_CASE("admission_client_that_returned_is_taken_while_it_still_waits") {
    admission_facts facts{900, 300, 2'400, 12'000, true};
    CHECK(should_admit(facts));
    facts.wait_ms_ = 2'300;
    CHECK_FALSE(should_admit(facts));
}

TEST_CASE("return_time_lies_within_what_clients_honour_and_is_spread") {
    std::set<time_ms> times;
    for (std::uint64_t random = 0; random < 1'000; random += 10) {
        const time_ms after = retry_after_ms(600, 9'000, random);
        CHECK(after >= 600);
        CHECK(after <= 3'000);
        times.insert(after);
    }
    CHECK(times.size() > 50);
    CHECK(retry_after_ms(60'000, 900, 500) <= 300);
}

TEST_CASE("health_endpoint_that_does_not_connect_is_suspected_for_longer_each_time") {
    endpoint_health health;
    health.note_unreachable(1'000);
    CHECK(health.suspected(1'200));
    CHECK_FALSE(health.suspected(1'400));
    health.note_unreachable(1'400);
    CHECK(health.suspected(1'900));
    health.note_success(1'950);
    CHECK_FALSE(health.suspected(1'951));
}

TEST_CASE("urgency_orders_by_rank_first_and_lets_requests_that_can_be_in_time_pass_late_ones") {
    CHECK(urgency(0, false) < urgency(0, true));
    CHECK(urgency(0, true) < urgency(1, false));
    CHECK(urgency(1, false) < urgency(1, true));
    CHECK(urgency(50, true) <= 9);
    CHECK(urgency(50, false) < urgency(50, true));
}

namespace {

struct rush_result {
    int in_time_ = 0;
    int served_ = 0;
};

// One engine that serves a request in each step, while three arrive in two steps. Who is refused returns
// once.
rush_result play_rush(bool late_ones_yield) {
    constexpr time_ms step_ms = 50;
    constexpr time_ms objective_ms = 300;
    constexpr time_ms patience_ms = 2'400;
    constexpr time_ms deadline_ms = 12'000;
    constexpr int steps = 1'000;
    struct waiting {
        time_ms arrived_at_ = 0;
        int urgency_ = 0;
    };
    std::vector<waiting> queue;
    std::multimap<time_ms, time_ms> returns; // by time; when they arrived first
    rush_result result;
    const auto offer = [&](time_ms now, time_ms arrived_at, bool returned) {
        const int own = late_ones_yield ? urgency(1, returned) : urgency(1, false);
        const auto ahead = std::count_if(queue.begin(), queue.end(),
                                         [own](const waiting& one) { return one.urgency_ <= own; });
        double wait = double(ahead * step_ms);
        if (returned && late_ones_yield) {
            wait = late_request_wait_ms(wait, 1.5);
        }
        admission_facts facts{time_ms(wait), objective_ms, patience_ms, arrived_at + deadline_ms - now,
                              returned};
        if (should_admit(facts)) {
            queue.push_back({arrived_at, own});
        } else if (!returned) {
            returns.emplace(now + 1'000, arrived_at);
        }
    };
    for (int step = 0; step < steps; ++step) {
        const time_ms now = step * step_ms;
        for (int arrival = 0; arrival < 1 + step % 2; ++arrival) {
            offer(now, now, false);
        }
        while (!returns.empty() && returns.begin()->first <= now) {
            offer(now, returns.begin()->second, true);
            returns.erase(returns.begin());
        }
        const auto next =
            std::min_element(queue.begin(), queue.end(), [](const waiting& left, const waiting& right) {
                return left.urgency_ < right.urgency_;
            });
        if (next != queue.end()) {
            ++result.served_;
            result.in_time_ += now - next->arrived_at_ <= objective_ms ? 1 : 0;
            queue.erase(next);
        }
    }
    return result;
}

} // namespace

TEST_CASE("rush_half_more_than_an_engine_serves_most_answers_are_in_time_when_late_ones_yield") {
    const rush_result in_order = play_rush(false);
    const rush_result yielding = play_rush(true);
    CHECK(yielding.served_ >= in_order.served_ * 95 / 100);
    CHECK(yielding.in_time_ >= yielding.served_ * 9 / 10);
    CHECK(yielding.in_time_ > in_order.in_time_ * 3 / 2);
}

} // namespace tamarack::dispatch
