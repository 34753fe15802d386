// Quotas of organisations, kept by gateways that only announce to each other.
#include "tamarack/limits.hpp"
#include "tamarack/quotas.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <memory>
#include <queue>
#include <random>

namespace tamarack::quotas {

namespace {

constexpr time_ms step_ms = 5;
constexpr time_ms digest_ms = 500;
constexpr time_ms min_digest_interval_ms = 100;
constexpr time_ms update_ms = 250;
constexpr time_ms window_ms = 8'000;
constexpr double window_s = 8;
constexpr double over = 0.1;
constexpr double slack = 17'000;
constexpr double ms_per_s = 1'000;
constexpr time_ms configuration_ms = 3'000; // in which all gateways get a new configuration
constexpr time_ms began_at = 14'000;        // the first request

quota quota_of(double per_s) {
    return {per_s, per_s, over * (per_s * window_s + per_s) + slack};
}

// What all gateways together may use in a window.
double allowed_in_window(double per_s) {
    return (per_s * window_s + per_s) * (1 + over) + slack;
}

enum class spread { even, uneven, one_gateway, moving };

struct fleet_plan {
    std::uint64_t seed_ = 1;
    int gateways_ = 21;
    double per_s_ = 10'000;
    double load_ = 0.55; // of the limit, that is asked for
    spread spread_ = spread::even;
    time_ms run_ms_ = 30'000;
    bool restarts_ = false; // and freezes, and cuts between a gateway and the others
    bool late_ = false;     // announcements that are late, and ones that are lost
    bool jumps_ = false;    // the demand grows to ten times for some seconds
    bool cuts_ = false;     // the limit falls to a tenth
};

struct fleet_result {
    double excess_ = 0;        // most that a window holds beyond what is allowed, as a share of that
    double admitted_ = 0;      // share of the requests, by amount
    double used_share_ = 0;    // of the limit
    double digests_per_s_ = 0; // of each gateway
};

// Gateways with one organisation, in virtual time.
class fleet_model {
public:
    explicit fleet_model(fleet_plan plan) : plan_(plan), random_(plan.seed_), per_s_(plan.per_s_) {
        gateways_.resize(std::size_t(plan_.gateways_));
        for (std::size_t index = 0; index < gateways_.size(); ++index) {
            gateway& one = gateways_[index];
            one.id_ = "gateway-" + std::to_string(index);
            one.weight_ = plan_.spread_ == spread::even          ? 1
                          : plan_.spread_ == spread::uneven      ? std::pow(chance(), 4)
                          : plan_.spread_ == spread::one_gateway ? double(index == 0)
                                                                 : 0;
            one.updates_at_ = next_below(update_ms);
            one.announces_at_ = next_below(digest_ms);
            start(one);
        }
        limits_.emplace_back(0, per_s_);
    }

    fleet_result run() {
        const time_ms end = began_at + plan_.run_ms_;
        time_ms jump_until = 0;
        time_ms jump_at = began_at + 4'000 + next_below(6'000);
        const time_ms cut_at = plan_.cuts_ ? began_at + 6'000 + next_below(10'000) : end;
        time_ms moves_at = began_at;
        for (now_ = 0; now_ < end; now_ += step_ms) {
            if (plan_.jumps_ && now_ >= jump_at) {
                jump_until = now_ + 1'000 + next_below(8'000);
                jump_at = jump_until + next_below(6'000);
            }
            if (now_ >= cut_at && limits_.size() == 1) {
                per_s_ = plan_.per_s_ / 10;
                limits_.emplace_back(now_, per_s_);
                for (gateway& one : gateways_) {
                    one.configured_at_ = now_ + next_below(configuration_ms);
                }
            }
            if (plan_.spread_ == spread::moving && now_ >= moves_at) {
                moves_at = now_ + 1'000 + next_below(4'000);
                for (gateway& one : gateways_) {
                    one.weight_ = 0;
                }
                gateways_[std::size_t(next_below(plan_.gateways_))].weight_ = 1;
            }
            if (plan_.restarts_ && chance() < step_ms / mean_between_disturbances_ms) {
                disturb(gateways_[std::size_t(next_below(plan_.gateways_))]);
            }
            while (!messages_.empty() && messages_.top().due_ <= now_) {
                const message next = messages_.top();
                messages_.pop();
                deliver(next);
            }
            for (gateway& one : gateways_) {
                act(one);
            }
            if (now_ >= began_at) {
                requests(now_ < jump_until ? 10 : 1);
            }
        }
        return {excess(), asked_ > 0 ? admitted_ / asked_ : 1,
                admitted_ / (per_s_ * double(plan_.run_ms_) / ms_per_s),
                double(digests_) / double(plan_.gateways_) / (double(end) / ms_per_s)};
    }

private:
    static constexpr double mean_between_disturbances_ms = 1'500;

    struct gateway {
        std::string id_;
        std::optional<shared_quotas> quotas_; // nothing while the process is down
        std::uint64_t incarnation_ = 0;
        double weight_ = 0;
        time_ms updates_at_ = 0;
        time_ms announces_at_ = 0;
        time_ms announced_at_ = 0;
        time_ms down_until_ = 0;
        time_ms frozen_until_ = 0;
        time_ms cut_until_ = 0;
        time_ms late_until_ = 0;
        time_ms delay_ms_ = 0;
        std::optional<time_ms> configured_at_;
        double per_s_ = 0;
    };

    struct message {
        time_ms due_ = 0;
        std::uint64_t number_ = 0;
        std::size_t from_ = 0;
        std::size_t to_ = 0;
        time_ms late_ms_ = 0;
        std::uint64_t incarnation_ = 0;
        std::shared_ptr<const std::vector<announcement>> content_;
        bool operator<(const message& other) const {
            return std::tie(other.due_, other.number_) < std::tie(due_, number_);
        }
    };

    double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
    time_ms next_below(time_ms bound) {
        return std::uniform_int_distribution<time_ms>(0, bound - 1)(random_);
    }

    void start(gateway& one) {
        one.quotas_.emplace(one.id_, now_);
        ++one.incarnation_;
        one.configured_at_.reset();
        configure(one);
        one.quotas_->update(now_, true);
    }

    void configure(gateway& one) {
        one.per_s_ = per_s_;
        one.quotas_->set_quotas({{"org", quota_of(per_s_)}}, now_);
    }

    void disturb(gateway& one) {
        const time_ms until = now_ + 200 + next_below(4'000);
        switch (next_below(3)) {
        case 0:
            one.quotas_.reset();
            one.down_until_ = until;
            break;
        case 1:
            one.frozen_until_ = until;
            break;
        default:
            one.cut_until_ = until;
            break;
        }
    }

    void deliver(const message& one) {
        gateway& to = gateways_[one.to_];
        if (to.quotas_ && now_ >= to.frozen_until_ && now_ >= to.cut_until_) {
            to.quotas_->apply(gateways_[one.from_].id_, one.incarnation_, *one.content_, one.late_ms_, now_);
        }
    }

    void announce(gateway& one) {
        const auto content = std::make_shared<const std::vector<announcement>>(one.quotas_->announce(now_));
        if (now_ < one.cut_until_) {
            return;
        }
        if (plan_.late_ && chance() < 0.02) {
            one.late_until_ = now_ + 1'000 + next_below(3'000);
            one.delay_ms_ = 100 + next_below(1'000);
        }
        const time_ms late = now_ < one.late_until_ ? one.delay_ms_ : 0;
        for (std::size_t to = 0; to < gateways_.size(); ++to) {
            const bool lost = plan_.late_ && chance() < 0.02;
            if (&gateways_[to] != &one && !lost) {
                messages_.push({now_ + late + 60 + next_below(80), ++message_number_,
                                std::size_t(&one - gateways_.data()), to, late, one.incarnation_, content});
            }
        }
    }

    void act(gateway& one) {
        if (!one.quotas_) {
            if (now_ < one.down_until_) {
                return;
            }
            start(one);
        }
        if (now_ < one.frozen_until_) {
            return;
        }
        if (one.configured_at_ && now_ >= *one.configured_at_) {
            one.configured_at_.reset();
            configure(one);
        }
        if (now_ >= one.updates_at_) {
            one.updates_at_ = now_ + update_ms;
            one.quotas_->update(now_, true);
        }
        const bool due =
            one.quotas_->announcement_is_due() && now_ - one.announced_at_ >= min_digest_interval_ms;
        if (now_ >= one.announces_at_ || due) {
            one.announces_at_ += now_ >= one.announces_at_ ? digest_ms : 0;
            one.announced_at_ = now_;
            ++digests_;
            announce(one);
        }
    }

    // Mostly 1,100 tokens.
    double amount() {
        const double kind = chance();
        return kind < 0.8 ? 1'100 : kind < 0.9 ? 200 + 900 * chance() : 1'100 + 3'900 * chance();
    }

    void requests(double factor) {
        constexpr double mean_amount = 0.8 * 1'100 + 0.1 * 650 + 0.1 * 3'050;
        const double expected = plan_.load_ * factor * plan_.per_s_ / mean_amount * step_ms / ms_per_s;
        double sum = 0;
        for (const gateway& one : gateways_) {
            sum += takes_requests(one) ? one.weight_ : 0;
        }
        const int count = sum > 0 ? std::poisson_distribution<>(expected)(random_) : 0;
        for (int number = 0; number < count; ++number) {
            double at = chance() * sum;
            for (gateway& one : gateways_) {
                if (!takes_requests(one)) {
                    continue;
                }
                at -= one.weight_;
                if (at <= 0) {
                    request(one, amount());
                    break;
                }
            }
        }
    }

    bool takes_requests(const gateway& one) const { return one.quotas_ && now_ >= one.frozen_until_; }

    void request(gateway& one, double tokens) {
        asked_ += tokens;
        if (!one.quotas_->take("org", tokens, now_)) {
            admitted_ += tokens;
            uses_.emplace_back(now_, tokens);
        }
    }

    // The limit that binds a window is the highest of those in force in it, each until all gateways have the
    // next.
    double allowed(time_ms from, time_ms until) const {
        double highest = 0;
        for (std::size_t index = 0; index < limits_.size(); ++index) {
            const time_ms ends =
                index + 1 < limits_.size() ? limits_[index + 1].first + configuration_ms : until;
            if (limits_[index].first <= until && ends >= from) {
                highest = std::max(highest, allowed_in_window(limits_[index].second));
            }
        }
        return highest;
    }

    double excess() const {
        double worst = -1;
        double sum = 0;
        std::size_t first = 0;
        for (const auto& [at, tokens] : uses_) {
            sum += tokens;
            while (uses_[first].first <= at - window_ms) {
                sum -= uses_[first++].second;
            }
            worst = std::max(worst, sum / allowed(uses_[first].first, at) - 1);
        }
        return worst;
    }

    fleet_plan plan_;
    std::mt19937_64 random_;
    std::vector<gateway> gateways_;
    std::priority_queue<message> messages_;
    std::vector<std::pair<time_ms, double>> limits_;
    std::vector<std::pair<time_ms, double>> uses_;
    double per_s_;
    double asked_ = 0;
    double admitted_ = 0;
    std::uint64_t message_number_ = 0;
    std::uint64_t digests_ = 0;
    time_ms now_ = 0;
};

fleet_plan random_plan(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const auto below = [&](int bound) { return int(random() % std::uint64_t(bound)); };
    fleet_plan plan;
    plan.seed_ = seed;
    plan.gateways_ = 1 + below(60);
    plan.per_s_ = 4'200 * std::pow(430'000.0 / 4'200, below(1'000) / 1'000.0);
    plan.load_ = below(3) == 0 ? 0.9 : 0.55;
    plan.spread_ = spread(below(4));
    plan.run_ms_ = 16'000;
    plan.restarts_ = below(2) == 0;
    plan.late_ = below(2) == 0;
    plan.jumps_ = below(3) > 0;
    plan.cuts_ = below(2) == 0;
    return plan;
}

// Share of the requests that are admitted.
double admitted(double per_s, double load, spread requests) {
    double sum = 0;
    constexpr int runs = 4;
    for (int run = 1; run <= runs; ++run) {
        fleet_plan plan;
        plan.seed_ = std::uint64_t(run);
        plan.per_s_ = per_s;
        plan.load_ = load;
        plan.spread_ = requests;
        plan.run_ms_ = 40'000;
        sum += fleet_model(plan).run().admitted_;
    }
    return sum / runs;
}

} // namespace

// Guards against use beyond the quota by gateways that do not know of each other's use yet.
TEST_CASE("quota_random_fleets_never_exceed_it_in_any_window") {
    constexpr std::uint64_t seeds = 200;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const fleet_plan plan = random_plan(seed);
        CAPTURE(seed);
        CAPTURE(plan.gateways_);
        CAPTURE(plan.per_s_);
        CAPTURE(plan.load_);
        CAPTURE(plan.restarts_);
        CAPTURE(plan.jumps_);
        CAPTURE(plan.cuts_);
        CHECK(fleet_model(plan).run().excess_ <= 0);
    }
}

// Guards against refusals below the quota when the requests arrive unevenly over the gateways.
TEST_CASE("quota_more_than_half_used_admits_nearly_all_requests") {
    constexpr double least = 0.99;
    for (const double per_s : {4'200.0, 10'000.0, 60'000.0, 430'000.0}) {
        for (const spread requests : {spread::even, spread::uneven, spread::one_gateway, spread::moving}) {
            CAPTURE(per_s);
            CAPTURE(int(requests));
            CHECK(admitted(per_s, 0.55, requests) >= least);
        }
    }
}

TEST_CASE("quota_nearly_used_admits_nearly_all_requests") {
    constexpr double least = 0.99;
    for (const double per_s : {4'200.0, 10'000.0, 60'000.0, 430'000.0}) {
        for (const spread requests : {spread::even, spread::uneven, spread::one_gateway, spread::moving}) {
            CAPTURE(per_s);
            CAPTURE(int(requests));
            CHECK(admitted(per_s, 0.9, requests) >= least);
        }
    }
}

// Guards against gateways that leave a part of the quota to others that do not use it.
TEST_CASE("quota_demand_beyond_it_uses_nine_tenths_or_more") {
    for (const double per_s : {4'200.0, 10'000.0, 60'000.0, 430'000.0}) {
        for (const spread requests : {spread::even, spread::uneven, spread::one_gateway, spread::moving}) {
            fleet_plan plan;
            plan.per_s_ = per_s;
            plan.load_ = 5.5;
            plan.spread_ = requests;
            plan.run_ms_ = 40'000;
            CAPTURE(per_s);
            CAPTURE(int(requests));
            CHECK(fleet_model(plan).run().used_share_ >= 0.9);
        }
    }
}

namespace {

// One gateway that has listened, with a quota that it knows.
struct known_quota_fixture {
    shared_quotas quotas_{"g0", 0};
    time_ms now_ = 0;

    known_quota_fixture() {
        quotas_.set_quotas({{"org", {1'000, 1'000, 0}}}, now_);
        pass(6'000);
    }

    void pass(time_ms duration) {
        for (const time_ms until = now_ + duration; now_ < until; now_ += update_ms) {
            quotas_.update(now_, true);
        }
        quotas_.update(now_, true);
    }

    bool take(double amount) { return !quotas_.take("org", amount, now_); }

    // Takes amounts of 100 until one is refused.
    int drain() {
        int taken = 0;
        while (taken < 1'000 && take(100)) {
            ++taken;
        }
        return taken;
    }
};

} // namespace

TEST_CASE_FIXTURE(known_quota_fixture, "quota_organisation_without_one_has_no_limit") {
    CHECK_FALSE(quotas_.limited("another"));
    CHECK(quotas_.take("another", 1e12, now_) == std::nullopt);
    quotas_.give_back("another", 1e12, now_);
    CHECK(take(100));
    const std::vector<announcement> announced = quotas_.announce(now_);
    REQUIRE(announced.size() == 1);
    CHECK(announced.front().organisation_ == "org");
}

// Guards against digests that grow with organisations which use nothing, and against a last use that is not
// announced.
TEST_CASE_FIXTURE(known_quota_fixture, "quota_idle_organisation_is_announced_until_its_use_is_known") {
    REQUIRE(take(100));
    pass(6'000);
    const std::vector<announcement> announced = quotas_.announce(now_);
    REQUIRE(announced.size() == 1);
    CHECK(announced.front().used_ == 100);
    pass(500);
    CHECK(quotas_.announce(now_).empty());
    REQUIRE(take(100));
    CHECK(quotas_.announce(now_).size() == 1);
}

// A gateway that started heard nothing of idle organisations, and refused their first requests.
TEST_CASE_FIXTURE(known_quota_fixture, "quota_gateway_starts_level_of_idle_organisation_is_adopted") {
    shared_quotas started("g1", now_);
    started.set_quotas({{"org", {1'000, 100'000, 0}}}, now_);
    quotas_.set_quotas({{"org", {1'000, 100'000, 0}}}, now_);
    pass(120'000); // fills the bucket
    started = shared_quotas("g1", now_);
    started.set_quotas({{"org", {1'000, 100'000, 0}}}, now_);
    for (const time_ms until = now_ + limits::listening_ms + digest_ms; now_ < until;) {
        quotas_.apply("g1", 1, started.announce(now_), 0, now_);
        started.apply("g0", 1, quotas_.announce(now_), 0, now_);
        pass(update_ms);
        started.update(now_, true);
    }
    CHECK(started.report(now_).front().level_ >= 90'000);
}

// A gateway that resumed took over the level that most peers had announced before the organisation became
// idle there, although another peer had used the quota up since.
TEST_CASE_FIXTURE(known_quota_fixture, "quota_level_of_peers_that_no_longer_announce_it_is_not_adopted") {
    const std::vector<announcement> full = {{"org", 100, 0, 0, 1'000}};
    for (const char* peer : {"g1", "g2", "g3"}) {
        quotas_.apply(peer, 1, full, 0, now_);
        quotas_.apply(peer, 1, {}, 0, now_);
    }
    now_ += 5'000; // the process is suspended
    quotas_.update(now_, true);
    const std::vector<announcement> used_up = {{"org", 100, 0, 0, -500}};
    for (int digest = 0; digest < 5; ++digest) {
        pass(500);
        for (const char* peer : {"g1", "g2", "g3"}) {
            quotas_.apply(peer, 1, {}, 0, now_);
        }
        quotas_.apply("g4", 1, used_up, 0, now_);
    }
    CHECK(quotas_.report(now_).front().level_ <= 500);
}

// Guards against requests that could never be served.
TEST_CASE_FIXTURE(known_quota_fixture,
                  "quota_amount_larger_than_the_burst_is_served_when_the_bucket_is_full") {
    CHECK(take(5'000));
    CHECK_FALSE(take(100));
    pass(3'500);
    CHECK_FALSE(take(100)); // the debt is repaid first
    pass(3'000);
    CHECK(take(100));
}

TEST_CASE_FIXTURE(known_quota_fixture, "quota_refused_amount_names_a_time_after_which_there_is_room") {
    CHECK(drain() >= 8);
    const auto wait = quotas_.take("org", 100, now_);
    REQUIRE(wait);
    CHECK(*wait > 0);
    CHECK(*wait <= 1'000);
    pass(*wait + update_ms);
    CHECK(take(100));
}

TEST_CASE_FIXTURE(known_quota_fixture, "quota_amount_given_back_can_be_taken_again") {
    drain();
    quotas_.give_back("org", 600, now_);
    CHECK(drain() >= 4);
}

TEST_CASE_FIXTURE(known_quota_fixture, "quota_configuration_changes_limit_and_lifts_it") {
    quotas_.set_quotas({{"org", {100, 100, 0}}}, now_);
    CHECK(drain() <= 2);
    quotas_.set_quotas({{"org", {0, 0, 0}}}, now_);
    CHECK_FALSE(quotas_.limited("org"));
    CHECK(drain() == 1'000);
}

// Guards against damaged frames that change what is left.
TEST_CASE_FIXTURE(known_quota_fixture, "quota_announcement_with_numbers_that_are_no_amounts_is_ignored") {
    const double before = quotas_.report(now_).front().level_;
    const double bad[] = {std::nan(""), -1, std::numeric_limits<double>::infinity()};
    for (const double number : bad) {
        const std::vector<announcement> announced = {
            {"org", number, 0, 0, 0}, {"org", 0, number, 0, 0}, {"org", 0, 0, number, 0}};
        quotas_.apply("g1", 1, announced, 0, now_);
    }
    CHECK(quotas_.report(now_).front().level_ == before);
    CHECK(quotas_.report(now_).front().sharers_ == 1);
}

// Guards against debts that grow without end when a peer's total makes no sense.
TEST_CASE_FIXTURE(known_quota_fixture, "quota_new_gateway_announces_any_total_debt_is_bounded") {
    const std::vector<announcement> announced = {{"org", 1e300, 0, 0, 0}};
    quotas_.apply("g1", 1, announced, 0, now_);
    CHECK(quotas_.report(now_).front().level_ >= -1'000);
}

// One request that said it had 2e9 tokens closed its organisation's quota at all gateways for days.
TEST_CASE_FIXTURE(known_quota_fixture,
                  "quota_amount_that_could_not_be_repaid_is_refused_and_changes_nothing") {
    const auto wait = quotas_.take("org", 2e9, now_);
    REQUIRE(wait);
    CHECK(drain() >= 8);
    CHECK(quotas_.announce(now_).front().demand_per_s_ < 2'000);
}

// A rate without a burst refused every request.
TEST_CASE_FIXTURE(known_quota_fixture, "quota_rate_without_a_burst_serves_requests_at_the_rate") {
    quotas_.set_quotas({{"slow", {5, 0, 0}}}, now_);
    int taken = 0;
    for (int step = 0; step < 40; ++step) {
        pass(250);
        taken += quotas_.take("slow", 1, now_) ? 0 : 1;
    }
    CHECK(taken >= 30);
    CHECK(taken <= 55);
}

// Guards against a quota that is closed for hours, or opened, by a known gateway's total that makes no sense
// or is counted anew.
TEST_CASE_FIXTURE(known_quota_fixture, "quota_known_gateway_announces_any_total_level_stays_bounded") {
    constexpr double most = 1'000 + 8 * 1'000;
    const auto announce = [&](double used, double per_s) {
        const std::vector<announcement> announced = {{"org", used, per_s, per_s, 0}};
        quotas_.apply("g1", 1, announced, 0, now_);
    };
    announce(100, 0);
    pass(500);
    for (const double number : {1e300, 1.7e308, 5e7}) {
        const double before = quotas_.report(now_).front().level_;
        announce(number, 0);
        CHECK(quotas_.report(now_).front().level_ >= before - most);
    }
    announce(0, 1e300);
    announce(0, 0);
    CHECK(quotas_.report(now_).front().level_ >= -4 * most);
    CHECK(quotas_.report(now_).front().level_ <= 1'000);
}

TEST_CASE_FIXTURE(known_quota_fixture, "quota_process_stood_still_uses_no_burst_until_it_has_listened") {
    now_ += 5'000;
    CHECK(drain() <= 1);
    pass(limits::listening_ms + 2'000);
    CHECK(drain() >= 5);
}

} // namespace tamarack::quotas
