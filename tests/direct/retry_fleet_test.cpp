// The retries of all gateways together, in virtual time: each takes from its own part of the budget when it
// sends.
#include "tamarack/dispatch.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <random>

namespace tamarack::dispatch {

namespace {

constexpr time_ms step_ms = 50;
constexpr time_ms window_ms = 10'000;
constexpr time_ms end_ms = 45'000;
constexpr time_ms listening_ms =
    2'000;                          // a gateway that has just started does not know the others for this long
constexpr int assumed_gateways = 8; // number of gateways that it assumes meanwhile
constexpr std::size_t steps = std::size_t(end_ms / step_ms);

struct fleet_plan {
    std::uint64_t seed_ = 1;
    int gateways_ = 6;
    double requests_per_s_ = 10; // requests that each gateway gets
    double slack_per_gateway_ = 3;
    int starts_of_all_ = 0; // number of them, one after the other, as fast as gateways start
    bool restarts_ = false; // single gateways start again
    bool freezes_ = false;  // single gateways are suspended, and send all that waited when they resume
    time_ms stale_ms_ = 0;  // time after each start in which every first send is rejected; later one in fifty
    time_ms most_delay_ = 0; // longest time from the decision for a retry to its first byte
};

struct fleet_counts {
    std::vector<int> requests_ = std::vector<int>(steps);
    std::vector<int> retries_ = std::vector<int>(steps);
    std::vector<int> wanted_ = std::vector<int>(steps);
};

class gateway_model {
public:
    gateway_model(const fleet_plan& plan, retry_limits limits, std::uint64_t seed)
        : plan_(plan), limits_(limits), random_(seed), window_(limits, -60'000) {}

    void start(time_ms now) {
        window_ = retry_window(limits_, now);
        started_at_ = now;
        waiting_.clear();
    }

    void freeze(time_ms until) { frozen_until_ = until; }

    void act(time_ms now, fleet_counts& counts) {
        const auto step = std::size_t(now / step_ms);
        const bool sent = chance(plan_.requests_per_s_ * double(step_ms) / 1'000);
        counts.requests_[step] += sent ? 1 : 0; // its client has sent it, whatever becomes of it
        if (now < frozen_until_) {
            return;
        }
        if (sent) {
            window_.note_request(now);
        }
        const bool stale = now - started_at_ < plan_.stale_ms_;
        if (sent && chance(stale ? 1 : 0.02)) {
            for (int repeat = 0; repeat < repeats; ++repeat) {
                waiting_.push_back(now + std::int64_t(double(plan_.most_delay_) * uniform()));
            }
        }
        const bool listens = now - started_at_ < listening_ms;
        const budget_sharers sharers(listens ? assumed_gateways : plan_.gateways_, !listens);
        std::erase_if(waiting_, [&](time_ms due) {
            if (due > now) {
                return false;
            }
            ++counts.wanted_[step];
            counts.retries_[step] += window_.take(now, sharers) ? 1 : 0;
            return true;
        });
    }

private:
    static constexpr int repeats = 3; // wanted for each request that was rejected

    double uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }
    bool chance(double share) { return uniform() < share; }

    const fleet_plan& plan_;
    retry_limits limits_;
    std::mt19937_64 random_;
    retry_window window_;
    time_ms started_at_ = -60'000;
    time_ms frozen_until_ = 0;
    std::vector<time_ms> waiting_;
};

fleet_counts run_fleet(const fleet_plan& plan, const retry_limits& limits) {
    std::mt19937_64 random(plan.seed_);
    const auto below = [&](time_ms bound) {
        return std::uniform_int_distribution<time_ms>(0, bound - 1)(random);
    };
    std::vector<gateway_model> gateways;
    for (int number = 0; number < plan.gateways_; ++number) {
        gateways.emplace_back(plan, limits, random());
    }
    constexpr time_ms first_start_of_all = 20'000;
    constexpr time_ms start_interval = 1'500;
    fleet_counts counts;
    for (time_ms now = 0; now < end_ms; now += step_ms) {
        const time_ms since = now - first_start_of_all;
        if (since >= 0 && since % start_interval == 0 && since / start_interval < plan.starts_of_all_) {
            for (gateway_model& one : gateways) {
                one.start(now);
            }
        }
        if (plan.restarts_ && below(20) == 0) {
            gateways[std::size_t(below(plan.gateways_))].start(now);
        }
        if (plan.freezes_ && below(20) == 0) {
            gateways[std::size_t(below(plan.gateways_))].freeze(now + below(4'000));
        }
        for (gateway_model& one : gateways) {
            one.act(now, counts);
        }
    }
    return counts;
}

// Most retries beyond the bound in any window; negative while it is kept.
double most_beyond(const fleet_counts& counts, const retry_limits& limits) {
    constexpr std::size_t window = std::size_t(window_ms / step_ms);
    const auto sum = [](const std::vector<int>& all, std::size_t from) {
        int total = 0;
        for (std::size_t step = from; step < std::min(steps, from + window); ++step) {
            total += all[step];
        }
        return total;
    };
    double most = -1e9;
    for (std::size_t from = window; from + window <= steps; ++from) {
        const int requests = std::max({sum(counts.requests_, from), sum(counts.requests_, from - window / 2),
                                       sum(counts.requests_, from - window)});
        most = std::max(most, sum(counts.retries_, from) - limits.ratio_ * requests - limits.slack_);
    }
    return most;
}

} // namespace

// BUDGET: after a loss of power of everything, each request was sent on from engine to engine, at all
// gateways.
TEST_CASE("retry_random_fleets_of_any_size_stay_within_the_budget_in_every_window") {
    const char* asked = std::getenv("TAMARACK_FLEETS");
    const std::uint64_t fleets = asked == nullptr ? 60 : std::strtoull(asked, nullptr, 10);
    constexpr int sizes[] = {1, 2, 6, 30, 103};
    for (std::uint64_t seed = 1; seed <= fleets; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const auto draw = [&](int least, int most) {
            return std::uniform_int_distribution<>(least, most)(random);
        };
        fleet_plan plan;
        plan.seed_ = seed;
        plan.gateways_ = sizes[std::size_t(draw(0, 4))];
        plan.requests_per_s_ = draw(10, 40);
        plan.slack_per_gateway_ = draw(24, 95) / 10.0;
        plan.starts_of_all_ = draw(0, 3);
        plan.restarts_ = draw(0, 1) == 1;
        plan.freezes_ = draw(0, 1) == 1;
        plan.stale_ms_ = draw(0, 6'000);
        plan.most_delay_ = draw(0, 1'500);
        const retry_limits limits{0.2, std::max(56.0, plan.slack_per_gateway_ * plan.gateways_), window_ms};
        CHECK(most_beyond(run_fleet(plan, limits), limits) <= 0);
    }
}

TEST_CASE("retry_thousand_gateways_start_twice_in_a_window_stay_within_the_budget") {
    fleet_plan plan;
    plan.gateways_ = 1'000;
    plan.requests_per_s_ = 39;
    plan.starts_of_all_ = 2;
    plan.stale_ms_ = 4'000;
    const retry_limits limits{0.2, 2'400, window_ms};
    CHECK(most_beyond(run_fleet(plan, limits), limits) <= 0);
}

// A budget that is kept by sending nothing would not help callers.
TEST_CASE("retry_steady_fleet_wants_more_than_the_budget_uses_most_of_it") {
    fleet_plan plan;
    plan.gateways_ = 30;
    plan.requests_per_s_ = 15;
    plan.stale_ms_ = 10 * end_ms; // every first send is rejected
    plan.starts_of_all_ = 1;
    const retry_limits limits{0.2, 100, window_ms};
    const fleet_counts counts = run_fleet(plan, limits);
    constexpr std::size_t from = std::size_t(32'000 / step_ms);
    int requests = 0;
    int retries = 0;
    for (std::size_t step = from; step < from + std::size_t(window_ms / step_ms); ++step) {
        requests += counts.requests_[step];
        retries += counts.retries_[step];
    }
    const double allowed = limits.ratio_ * requests + limits.slack_;
    CHECK(retries <= allowed);
    CHECK(retries >= 0.6 * allowed);
}

} // namespace tamarack::dispatch
