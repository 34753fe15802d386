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

namespace {

// Requests with keys, of which "k-1" of "o-1" and "k-2" of "o-2" are in the first version.
struct key_fixture : referee_fixture {
    key_fixture() {
        judge_.key_added("k-1", "o-1", 0);
        judge_.key_added("k-2", "o-2", 0);
    }

    void send_with(const std::string& id, std::vector<std::string> keys, time_ms now = 1'000,
                   key_rule rule = key_rule::needed, double tokens = 100) {
        sent_request one{id, "gateway-1", true, now, 2'000};
        one.key_rule_ = rule;
        one.keys_ = std::move(keys);
        one.tokens_ = tokens;
        judge_.sent(one);
    }

    void run_with_key(const std::string& key, time_ms now, const std::string& organisation) {
        send_with("r-" + std::to_string(now), {key}, now);
        judge_.ran_as("r-" + std::to_string(now), {{organisation}, ""}, now + 10);
    }

    // Whether exactly one promise is broken, of this rule.
    bool broke(const std::string& rule) const {
        return judge_.broken_promises().size() == 1 && judge_.broken_promises().front().starts_with(rule);
    }
};

} // namespace

TEST_CASE("referee_endpoint_receives_a_request_key_and_name_are_judged") {
    struct row {
        std::string name_;
        key_rule rule_;
        std::vector<std::string> keys_;
        received_request seen_;
        const char* broken_; // rule; empty if the promises are kept
    };
    const row rows[] = {
        {"its organisation", key_rule::needed, {"k-1"}, {{"o-1"}, "Host: a"}, ""},
        {"no name", key_rule::needed, {"k-1"}, {{}, "Host: a"}, "UNASKED"},
        {"empty name", key_rule::needed, {"k-1"}, {{""}, "Host: a"}, "UNASKED"},
        {"another name", key_rule::needed, {"k-1"}, {{"o-2"}, "Host: a"}, "UNASKED"},
        {"two names", key_rule::needed, {"k-1"}, {{"o-1", "o-2"}, "Host: a"}, "UNASKED"},
        {"key in the text", key_rule::needed, {"k-1"}, {{"o-1"}, "X: k-1"}, "UNASKED"},
        {"header of the key", key_rule::needed, {"k-1"}, {{"o-1"}, "x-API-key: "}, "UNASKED"},
        {"unknown key", key_rule::needed, {"k-9"}, {{"o-1"}, ""}, "ROUTE"},
        {"empty key", key_rule::needed, {""}, {{}, ""}, "ROUTE"},
        {"no key", key_rule::needed, {}, {{}, ""}, "ROUTE"},
        {"two keys", key_rule::needed, {"k-1", "k-2"}, {{"o-1"}, ""}, "ROUTE"},
        {"public", key_rule::open, {}, {{}, ""}, ""},
        {"public, key not passed on", key_rule::open, {"k-9"}, {{}, ""}, ""},
        {"public, key passed on", key_rule::open, {"k-9"}, {{}, "X: k-9"}, "UNASKED"},
        {"public, name of the client", key_rule::open, {}, {{"o-1"}, ""}, "UNASKED"},
        {"no organisations", key_rule::none, {}, {{"o-1"}, "X-Api-Key: k-1"}, ""},
    };
    for (const row& one : rows) {
        CAPTURE(one.name_);
        key_fixture fixture;
        fixture.send_with("r", one.keys_, 1'000, one.rule_);
        fixture.judge_.ran_as("r", one.seen_, 1'010);
        CHECK((*one.broken_ == 0 ? fixture.kept() : fixture.broke(one.broken_)));
    }
}

TEST_CASE_FIXTURE(key_fixture, "referee_revoked_key_may_run_for_a_while_only") {
    judge_.key_revoked("k-1", 10'000);
    run_with_key("k-1", 13'000, "o-1");
    CHECK(kept());
    run_with_key("k-1", 13'001, "o-1");
    CHECK(broke("CONFIG"));
}

TEST_CASE("referee_revoked_key_runs_gateways_and_the_store_that_were_disturbed_excuse_it") {
    for (const std::string part : {"gateway-1", "store", "gateway-2", "e1"}) {
        CAPTURE(part);
        key_fixture fixture;
        fixture.judge_.key_revoked("k-1", 10'000);
        fixture.judge_.disturb(part, 12'000, 14'000);
        fixture.run_with_key("k-1", 19'000, "o-1");
        const bool excused = part == "gateway-1" || part == "store";
        CHECK(fixture.kept() == excused);
        key_fixture later;
        later.judge_.key_revoked("k-1", 10'000);
        later.judge_.disturb(part, 12'000, 14'000);
        later.run_with_key("k-1", 21'000, "o-1");
        CHECK(later.broke("CONFIG"));
    }
}

TEST_CASE("referee_valid_key_is_refused_only_while_a_version_may_be_unknown") {
    struct row {
        std::string name_;
        const char* key_;
        key_rule rule_;
        time_ms sent_at_;
        bool kept_;
    };
    // "k-3" is added at 10 s, "k-2" is revoked at 10 s.
    const row rows[] = {{"first version", "k-1", key_rule::needed, 1'000, false},
                        {"unknown", "k-9", key_rule::needed, 1'000, true},
                        {"just added", "k-3", key_rule::needed, 13'000, true},
                        {"added before", "k-3", key_rule::needed, 13'001, false},
                        {"before it is revoked", "k-2", key_rule::needed, 9'000, false},
                        {"revoked meanwhile", "k-2", key_rule::needed, 9'950, true},
                        {"public", "k-9", key_rule::open, 1'000, false}};
    for (const row& one : rows) {
        CAPTURE(one.name_);
        key_fixture fixture;
        fixture.judge_.key_added("k-3", "o-1", 10'000);
        fixture.judge_.key_revoked("k-2", 10'000);
        fixture.send_with("r", {one.key_}, one.sent_at_, one.rule_);
        fixture.judge_.answered("r", {401, true, true, true}, one.sent_at_ + 100);
        CHECK((one.kept_ ? fixture.kept() : fixture.broke("CONFIG")));
    }
}

TEST_CASE("referee_organisation_exceeds_its_limit_breaks_a_promise") {
    struct row {
        std::string name_;
        double tokens_; // of a request, one each 100 ms
        std::optional<time_ms> lowered_at_;
        std::optional<time_ms> disturbed_until_; // from 15 s
        bool kept_;
    };
    // 200 a second and a burst of 400 allow 2,200 tokens in 8 s, and 17,000 beside them; the lower limit
    // allows 220 and as many beside them. A window has 80 requests.
    const row rows[] = {{"as many as allowed", 240, std::nullopt, std::nullopt, true},
                        {"too many", 241, std::nullopt, std::nullopt, false},
                        {"too many at any time", 241, std::nullopt, 30'000, false},
                        {"lowered, too late to be judged", 240, 20'000, std::nullopt, true},
                        {"lowered", 240, 15'000, std::nullopt, false},
                        {"lowered, few enough", 215, 15'000, std::nullopt, true},
                        {"lowered, not in touch", 240, 15'000, 16'000, true}};
    for (const row& one : rows) {
        CAPTURE(one.name_);
        key_fixture fixture;
        fixture.judge_.limits_organisation("o-1", {200, 400}, 0);
        if (one.disturbed_until_) {
            fixture.judge_.disturb("gateway-2", 15'000, *one.disturbed_until_);
        }
        bool lowered = false;
        for (time_ms now = 1'000; now < 30'000; now += 100) {
            if (one.lowered_at_ && now >= *one.lowered_at_ && !std::exchange(lowered, true)) {
                fixture.judge_.limits_organisation("o-1", {20, 40}, now);
            }
            const std::string id = std::to_string(now);
            fixture.send_with(id, {"k-1"}, now, key_rule::needed, one.tokens_);
            fixture.judge_.ran_as(id, {{"o-1"}, ""}, now);
            fixture.judge_.ran_as(id, {{"o-1"}, ""}, now + 1); // a second endpoint
            fixture.send_with("other-" + id, {"k-2"}, now, key_rule::needed, 10'000);
            fixture.judge_.ran_as("other-" + id, {{"o-2"}, ""}, now);
        }
        CHECK((one.kept_ ? fixture.kept() : fixture.broke("QUOTA")));
    }
}

TEST_CASE_FIXTURE(key_fixture, "referee_requests_that_are_not_owed_do_not_count_as_unserved") {
    send_with("owed", {"k-1"});
    judge_.answered("owed", {200, true, true, true}, 1'100);
    sent_request unsound{"unsound", "gateway-1", true, 1'000, 2'000};
    unsound.owed_ = false;
    judge_.sent(unsound);
    CHECK(judge_.served_share(0, 2'000) == 1);
    send_with("unserved", {"k-1"});
    CHECK(judge_.served_share(0, 2'000) == 0.5);
}

} // namespace tamarack::soak
