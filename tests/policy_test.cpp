// Regression bounds of the policy, from its stated targets, in virtual time with fixed seeds.
#include "policy/world.hpp"

#include <doctest/doctest.h>

namespace tamarack::policy_bench {

namespace {

// The targets: attainment against the best baseline, and moves against baselines that move.
constexpr double attainment_target = 1.3;
constexpr double moves_target = 0.5;

scenario named(const std::string& name) {
    for (const scenario& one : all_scenarios()) {
        if (one.name_ == name) {
            return one;
        }
    }
    return {};
}

struct rush_fixture {
    std::uint64_t seed_ = 1;

    void check(const deployment& deployed, const scenario& what) {
        const measures own = run(deployed, what, make_tamarack, seed_);
        CHECK(own.of(traffic_class::deferrable).in_time_ >=
              own.of(traffic_class::deferrable).requests_ * 95 / 100);
        for (const auto make : {make_round_robin, make_least_loaded, make_static}) {
            const measures baseline = run(deployed, what, make, seed_);
            CHECK(double(own.in_time()) >= attainment_target * double(baseline.in_time()));
            if (baseline.moves_ > 0) {
                CHECK(double(own.moves_) <= moves_target * double(baseline.moves_));
            }
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(rush_fixture, "policy_rush_meets_its_targets_at_both_deployments") {
    for (seed_ = 1; seed_ <= 3; ++seed_) {
        CAPTURE(seed_);
        check(bureau(), named("rush"));
        check(chorro(), named("rush"));
    }
}

TEST_CASE_FIXTURE(rush_fixture, "policy_death_in_the_rush_meets_its_targets_at_both_deployments") {
    check(bureau(), named("death_in_rush"));
    check(chorro(), named("death_in_rush"));
}

TEST_CASE_FIXTURE(rush_fixture, "policy_tenfold_swing_keeps_nearly_every_deadline") {
    // Below capacity nothing excuses a missed deadline but the time in which copies are loaded.
    const measures own = run(bureau(), named("tenfold_swing"), make_tamarack, seed_);
    CHECK(own.in_time() >= own.requests() * 95 / 100);
}

TEST_CASE_FIXTURE(rush_fixture, "policy_same_seed_gives_the_same_run") {
    const measures first = run(chorro(), named("steady"), make_tamarack, 5);
    const measures second = run(chorro(), named("steady"), make_tamarack, 5);
    CHECK(first.in_time() == second.in_time());
    CHECK(first.moves_ == second.moves_);
    CHECK(first.requests() == second.requests());
}

} // namespace tamarack::policy_bench
