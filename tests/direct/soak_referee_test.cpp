#include "soak/referee.hpp"

#include <doctest/doctest.h>

namespace tamarack::soak {

namespace {

struct referee_fixture {
    referee judge_;

    void send(const std::string& id, bool repeatable) {
        judge_.sent({id, "gateway-1", repeatable, 1'000, 2'000});
    }

    bool kept() const { return judge_.broken_promises().empty(); }
};

} // namespace

TEST_CASE_FIXTURE(referee_fixture,
                  "referee_booking_that_runs_twice_breaks_a_promise_and_a_lookup_may_run_twice") {
    send("lookup", true);
    judge_.ran("lookup", "e1", 1'010);
    judge_.ran("lookup", "e2", 1'020);
    CHECK(kept());
    judge_.ran("lookup", "e3", 1'030);
    CHECK_FALSE(kept());
    referee other;
    other.sent({"booking", "gateway-1", false, 1'000, 2'000});
    other.ran("booking", "e1", 1'010);
    CHECK(other.broken_promises().empty());
    other.ran("booking", "e2", 1'020);
    CHECK_FALSE(other.broken_promises().empty());
}

TEST_CASE_FIXTURE(referee_fixture, "referee_refusal_of_a_booking_that_ran_before_or_after_breaks_a_promise") {
    send("before", false);
    judge_.ran("before", "e1", 1'010);
    judge_.answered("before", {503, true, true, true}, 1'100);
    CHECK(judge_.broken_promises().size() == 1);
    send("after", false);
    judge_.answered("after", {429, true, true, true}, 1'100);
    CHECK(judge_.broken_promises().size() == 1);
    judge_.ran("after", "e1", 1'200);
    CHECK(judge_.broken_promises().size() == 2);
}

TEST_CASE_FIXTURE(referee_fixture, "referee_wrong_body_gap_and_unknown_request_break_promises") {
    send("body", true);
    judge_.answered("body", {200, true, false, true}, 1'100);
    send("gap", true);
    judge_.answered("gap", {200, true, true, false}, 1'100);
    judge_.ran("nobody's", "e1", 1'100);
    CHECK(judge_.broken_promises().size() == 3);
    CHECK(judge_.served() == 0);
}

TEST_CASE_FIXTURE(referee_fixture, "referee_leaving_engine_may_get_requests_for_a_while_only") {
    judge_.leaves("e1", 1'000);
    send("soon", true);
    judge_.ran("soon", "e1", 2'900);
    CHECK(kept());
    send("late", true);
    judge_.ran("late", "e1", 3'100);
    CHECK_FALSE(kept());
}

TEST_CASE_FIXTURE(referee_fixture, "referee_bounds_hold_again_some_time_after_a_disturbance") {
    send("disturbed", true);
    judge_.disturb("gateway-1", 0, 500);
    judge_.check_unanswered(10'000);
    CHECK(kept());
    judge_.sent({"later", "gateway-1", true, 20'000, 2'000});
    judge_.check_unanswered(22'400);
    CHECK(kept());
    judge_.check_unanswered(22'600);
    CHECK_FALSE(kept());
}

TEST_CASE_FIXTURE(referee_fixture,
                  "referee_orders_of_two_holders_a_lesser_token_and_overcommitment_break_promises") {
    judge_.ordered("e1", 7, "agent-1", 5);
    judge_.ordered("e1", 8, "agent-2", 4); // another start of the engine
    CHECK(kept());
    judge_.ordered("e1", 8, "agent-1", 4);
    CHECK(judge_.broken_promises().size() == 1);
    judge_.ordered("e1", 8, "agent-1", 3);
    CHECK(judge_.broken_promises().size() == 2);
    judge_.holds("e1", 100, 100, 4, 4);
    CHECK(judge_.broken_promises().size() == 2);
    judge_.holds("e1", 101, 100, 5, 4);
    CHECK(judge_.broken_promises().size() == 4);
}

TEST_CASE_FIXTURE(referee_fixture, "referee_loads_from_the_store_are_counted_over_a_sliding_window") {
    const promises bounds;
    for (int load = 0; load < bounds.loads_in_window_; ++load) {
        judge_.loads_from_store(10'000 + load);
    }
    CHECK(kept());
    judge_.loads_from_store(10'000 + bounds.load_window_ms_);
    CHECK(kept()); // the first has left the window
    judge_.loads_from_store(10'000 + bounds.load_window_ms_);
    CHECK_FALSE(kept());
}

TEST_CASE("referee_limited_engine_gets_more_than_it_takes_breaks_a_promise_unless_the_gateway_is_excused") {
    enum class gateway_state { told, untold, paused };
    struct row {
        const char* name_;
        gateway_state state_;
        time_ms interval_ms_; // between two requests
        bool kept_;
    };
    // A limit of 2 a second allows 17 requests in 4 s.
    const row rows[] = {{"as many as allowed", gateway_state::told, 240, true},
                        {"too many", gateway_state::told, 220, false},
                        {"too many, but never told", gateway_state::untold, 100, true},
                        {"too many after a pause", gateway_state::paused, 100, true}};
    for (const row& one : rows) {
        CAPTURE(one.name_);
        referee judge;
        judge.limits("e1", 2.0, 1'000);
        constexpr time_ms end = 12'000;
        if (one.state_ == gateway_state::paused) {
            judge.disturb("gateway-1", 1'500, end);
        }
        for (time_ms now = 1'100; now < end; now += one.interval_ms_) {
            const std::string id = std::to_string(now);
            judge.sent({id, "gateway-1", true, now, 2'000});
            judge.arrived(id, "e1", now);
            if (one.state_ != gateway_state::untold) {
                judge.told_limit(id, "e1", now);
            }
        }
        CHECK(judge.broken_promises().empty() == one.kept_);
    }
}

TEST_CASE_FIXTURE(referee_fixture, "referee_limit_is_lifted_any_number_of_requests_may_arrive") {
    judge_.limits("e1", 0.5, 1'000);
    send("first", true);
    judge_.told_limit("first", "e1", 1'100);
    judge_.limits("e1", std::nullopt, 5'000);
    for (time_ms now = 5'000; now < 7'000; now += 10) {
        send(std::to_string(now), true);
        judge_.arrived(std::to_string(now), "e1", now);
    }
    CHECK(kept());
}

} // namespace tamarack::soak
