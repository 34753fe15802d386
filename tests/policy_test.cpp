// Checks that the policy meets its targets, in virtual time with fixed seeds.
#include "policy/world.hpp"

#include <doctest/doctest.h>

namespace tamarack::policy_bench {

namespace {

// Targets: requests in time relative to every baseline, and moves relative to baselines that move.
constexpr double attainment_target = 1.3;
constexpr double moves_target = 0.5;

scenario find_scenario(const std::string& name) {
    for (const scenario& one : all_scenarios()) {
        if (one.name_ == name) {
            return one;
        }
    }
    return {};
}

struct policy_fixture {
    std::uint64_t seed_ = 1;

    void check(const deployment& deployed, const scenario& tested) {
        const measures own = run(deployed, tested, make_tamarack, seed_);
        CHECK(own.of(traffic_class::deferrable).in_time_ >=
              own.of(traffic_class::deferrable).requests_ * 95 / 100);
        for (const auto make : {make_round_robin, make_least_loaded, make_static}) {
            const measures baseline = run(deployed, tested, make, seed_);
            CHECK(double(own.in_time()) >= attainment_target * double(baseline.in_time()));
            if (baseline.moves_ > 0) {
                CHECK(double(own.moves_) <= moves_target * double(baseline.moves_));
            }
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(policy_fixture, "policy_rush_at_both_deployments_meets_its_targets") {
    for (seed_ = 1; seed_ <= 3; ++seed_) {
        CAPTURE(seed_);
        check(bureau(), find_scenario("rush"));
        check(chorro(), find_scenario("rush"));
    }
}

TEST_CASE_FIXTURE(policy_fixture, "policy_engine_lost_in_a_rush_at_both_deployments_meets_its_targets") {
    check(bureau(), find_scenario("death_in_rush"));
    check(chorro(), find_scenario("death_in_rush"));
}

TEST_CASE_FIXTURE(policy_fixture, "policy_tenfold_swing_meets_nearly_every_deadline") {
    // The demand stays below capacity, so deadlines may only be missed while copies are being loaded.
    const measures own = run(bureau(), find_scenario("tenfold_swing"), make_tamarack, seed_);
    CHECK(own.in_time() >= own.requests() * 95 / 100);
}

TEST_CASE_FIXTURE(policy_fixture, "policy_same_seed_gives_the_same_run") {
    const measures first = run(chorro(), find_scenario("steady"), make_tamarack, 5);
    const measures second = run(chorro(), find_scenario("steady"), make_tamarack, 5);
    CHECK(first.in_time() == second.in_time());
    CHECK(first.moves_ == second.moves_);
    CHECK(first.requests() == second.requests());
}

} // namespace tamarack::policy_bench
