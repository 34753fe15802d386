#include "fixtures.hpp"
#include "tamarack/routing.hpp"

namespace tamarack {

namespace {

struct routing_fixture {
    std::vector<std::string> names_ = fixtures::make_endpoints(6);

    std::vector<candidate> candidates() const {
        std::vector<candidate> all;
        for (const std::string& name : names_) {
            candidate one;
            one.id_ = name;
            all.push_back(one);
        }
        return all;
    }
};

struct attempt_case {
    const char* name_;
    attempt_end end_;
    bool idempotent_;
    bool delivered_;
    bool ran_before_;
    next_step next_;
    outcome outcome_;
};

} // namespace

TEST_CASE_FIXTURE(routing_fixture, "choose_no_candidates_is_nothing") {
    CHECK_FALSE(choose_endpoint({}, 1, 2));
    CHECK_FALSE(choose_by_key({}, "k"));
}

TEST_CASE_FIXTURE(routing_fixture, "choose_holder_goes_before_home_before_the_rest") {
    auto all = candidates();
    all[4].home_ = true;
    CHECK(choose_endpoint(all, 1, 2) == 4);
    all[2].holds_ = true;
    CHECK(choose_endpoint(all, 1, 2) == 2);
}

TEST_CASE_FIXTURE(routing_fixture, "choose_same_prefix_meets_the_same_endpoint_until_it_is_loaded") {
    auto all = candidates();
    const auto preferred = choose_endpoint(all, 42, 1);
    for (std::uint64_t random = 0; random < 100; ++random) {
        CHECK(choose_endpoint(all, 42, random) == preferred);
    }
    all[*preferred].load_ = 50;
    CHECK(choose_endpoint(all, 42, 0x100000002ULL) != preferred);
}

TEST_CASE_FIXTURE(routing_fixture, "choose_many_requests_spread_over_all_holders") {
    auto all = candidates();
    std::mt19937_64 random(3);
    for (int count = 0; count < 6'000; ++count) {
        const auto chosen = choose_endpoint(all, random(), random());
        ++all[*chosen].load_;
    }
    for (const candidate& one : all) {
        CHECK(one.load_ > 800);
        CHECK(one.load_ < 1'200);
    }
}

TEST_CASE_FIXTURE(routing_fixture, "choose_by_key_only_keys_of_a_lost_endpoint_move") {
    const auto all = candidates();
    int moved = 0;
    for (int number = 0; number < 1'000; ++number) {
        const std::string key = "key-" + std::to_string(number);
        const auto before = all[*choose_by_key(all, key)].id_;
        auto fewer = all;
        fewer.erase(fewer.begin() + 3);
        const auto after = fewer[*choose_by_key(fewer, key)].id_;
        moved += before != after ? 1 : 0;
        CHECK((before == after || before == all[3].id_));
    }
    CHECK(moved > 100);
}

TEST_CASE("after_attempt_every_end_tells_the_truth") {
    using enum attempt_end;
    const std::vector<attempt_case> cases = {
        {"answered", answered, false, true, false, next_step::finish, outcome::answered},
        {"refused, may not repeat", refused, false, false, false, next_step::try_again, outcome::not_run},
        {"not sent", not_sent, false, false, false, next_step::try_again, outcome::not_run},
        {"interrupted, may not repeat", interrupted, false, false, false, next_step::finish,
         outcome::unknown},
        {"interrupted, may repeat", interrupted, true, false, false, next_step::try_again, outcome::unknown},
        {"interrupted after the first byte", interrupted, true, true, false, next_step::finish,
         outcome::unknown},
        {"refused after an interrupted try", refused, true, false, true, next_step::try_again,
         outcome::unknown},
        {"not sent after an interrupted try", not_sent, true, false, true, next_step::try_again,
         outcome::unknown},
    };
    for (const attempt_case& one : cases) {
        CAPTURE(one.name_);
        attempt_facts facts;
        facts.end_ = one.end_;
        facts.idempotent_ = one.idempotent_;
        facts.bytes_delivered_ = one.delivered_;
        facts.maybe_ran_before_ = one.ran_before_;
        facts.budget_ms_ = 1'000;
        const attempt_decision decided = after_attempt(facts);
        CHECK(decided.next_ == one.next_);
        CHECK(decided.outcome_ == one.outcome_);
    }
}

TEST_CASE("after_attempt_no_time_no_tries_or_no_retry_budget_finishes") {
    attempt_facts facts;
    facts.end_ = attempt_end::refused;
    facts.budget_ms_ = 1'000;
    CHECK(after_attempt(facts).next_ == next_step::try_again);
    attempt_facts late = facts;
    late.budget_ms_ = 0;
    attempt_facts tried = facts;
    tried.attempts_made_ = max_attempts;
    attempt_facts poor = facts;
    poor.retry_token_ = false;
    attempt_facts hopeless = facts;
    hopeless.retriable_ = false;
    for (const attempt_facts& one : {late, tried, poor, hopeless}) {
        CHECK(after_attempt(one).next_ == next_step::finish);
    }
}

TEST_CASE("after_attempt_key_that_another_instance_had_is_never_called_not_run") {
    attempt_facts facts;
    facts.end_ = attempt_end::refused;
    facts.key_used_before_ = true;
    CHECK(after_attempt(facts).outcome_ == outcome::unknown);
}

TEST_CASE("retry_budget_when_everything_fails_retries_stay_a_fraction_of_requests") {
    retry_budget budget(0.2, 20.0);
    int retries = 0;
    for (int request = 0; request < 10'000; ++request) {
        budget.request_started();
        if (budget.available()) {
            budget.retry_made();
            ++retries;
        }
    }
    CHECK(retries <= 10'000 * 0.2 + 20);
    CHECK(retries > 1'900);
}

} // namespace tamarack
