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
    bool maybe_ran_before_;
    next_step next_;
    outcome outcome_;
};

} // namespace

TEST_CASE_FIXTURE(routing_fixture, "choose_no_candidates_returns_nothing") {
    CHECK_FALSE(choose_endpoint({}, 1, 2));
    CHECK_FALSE(choose_by_key({}, "k"));
}

TEST_CASE_FIXTURE(routing_fixture, "choose_holder_and_home_present_prefers_holder_then_home") {
    auto all = candidates();
    all[4].home_ = true;
    CHECK(choose_endpoint(all, 1, 2) == 4);
    all[2].holds_ = true;
    CHECK(choose_endpoint(all, 1, 2) == 2);
}

TEST_CASE_FIXTURE(routing_fixture, "choose_same_affinity_returns_the_same_endpoint_until_it_is_overloaded") {
    auto all = candidates();
    const auto preferred = choose_endpoint(all, 42, 1);
    for (std::uint64_t random = 0; random < 100; ++random) {
        CHECK(choose_endpoint(all, 42, random) == preferred);
    }
    all[*preferred].load_ = 50;
    CHECK(choose_endpoint(all, 42, 0x100000002ULL) != preferred);
}

TEST_CASE_FIXTURE(routing_fixture, "choose_many_requests_spread_over_all_endpoints") {
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

TEST_CASE_FIXTURE(routing_fixture, "choose_by_key_endpoint_lost_moves_only_its_keys") {
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

TEST_CASE("after_attempt_every_end_reports_not_run_only_if_certain") {
    using enum attempt_end;
    const std::vector<attempt_case> cases = {
        {"answered", answered, false, true, false, next_step::finish, outcome::answered},
        {"refused, not idempotent", refused, false, false, false, next_step::try_again, outcome::not_run},
        {"not sent", not_sent, false, false, false, next_step::try_again, outcome::not_run},
        {"interrupted, not idempotent", interrupted, false, false, false, next_step::finish,
         outcome::unknown},
        {"interrupted, idempotent", interrupted, true, false, false, next_step::try_again, outcome::unknown},
        {"interrupted after the first byte", interrupted, true, true, false, next_step::finish,
         outcome::unknown},
        {"refused after an interrupted attempt", refused, true, false, true, next_step::try_again,
         outcome::unknown},
        {"not sent after an interrupted attempt", not_sent, true, false, true, next_step::try_again,
         outcome::unknown},
    };
    for (const attempt_case& one : cases) {
        CAPTURE(one.name_);
        attempt_facts facts;
        facts.end_ = one.end_;
        facts.idempotent_ = one.idempotent_;
        facts.bytes_delivered_ = one.delivered_;
        facts.maybe_ran_before_ = one.maybe_ran_before_;
        facts.budget_ms_ = 1'000;
        const attempt_decision decided = after_attempt(facts);
        CHECK(decided.next_ == one.next_);
        CHECK(decided.outcome_ == one.outcome_);
    }
}

TEST_CASE("after_attempt_no_time_attempts_or_retry_budget_left_finishes") {
    attempt_facts facts;
    facts.end_ = attempt_end::refused;
    facts.budget_ms_ = 1'000;
    CHECK(after_attempt(facts).next_ == next_step::try_again);
    attempt_facts no_time = facts;
    no_time.budget_ms_ = 0;
    attempt_facts no_attempts = facts;
    no_attempts.attempts_made_ = max_attempts;
    attempt_facts no_budget = facts;
    no_budget.retry_token_ = false;
    attempt_facts not_retriable = facts;
    not_retriable.retriable_ = false;
    for (const attempt_facts& one : {no_time, no_attempts, no_budget, not_retriable}) {
        CHECK(after_attempt(one).next_ == next_step::finish);
    }
}

TEST_CASE("after_attempt_key_used_at_another_instance_is_never_reported_as_not_run") {
    attempt_facts facts;
    facts.end_ = attempt_end::refused;
    facts.key_used_before_ = true;
    CHECK(after_attempt(facts).outcome_ == outcome::unknown);
}

TEST_CASE("retry_budget_every_request_fails_limits_retries_to_a_fraction") {
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
