#include "tamarack/limits.hpp"

#include <algorithm>
#include <cmath>

namespace tamarack::limits {

namespace {

constexpr double ms_per_s = 1'000;
constexpr double wanted_half_life_ms = 2'000;
constexpr double ln_2 = 0.6931471805599453;

// Part of a place with which a gateway begins, so that not all get their first place at the same time.
double first_place(std::string_view endpoint, std::string_view gateway) {
    constexpr std::uint64_t steps = 1'000;
    return double(hash64(gateway, hash64(endpoint)) % steps) / double(steps);
}

double burst(double part_per_s) {
    return 1 + burst_s * part_per_s;
}

} // namespace

std::string_view to_string(limit_change change) {
    switch (change) {
    case limit_change::none:
        return "endpoint_limit_unchanged";
    case limit_change::named:
        return "endpoint_limited";
    case limit_change::changed:
        return "endpoint_limit_changed";
    case limit_change::lifted:
        return "endpoint_limit_lifted";
    }
    return "unknown";
}

shared_limits::shared_limits(std::string own_id, time_ms started_at)
    : own_id_(std::move(own_id)), listens_until_(started_at + listening_ms), updated_at_(started_at) {}

const shared_limits::state* shared_limits::find(std::string_view endpoint) const {
    const auto found = states_.find(endpoint);
    return found == states_.end() || !found->second.per_s_ ? nullptr : &found->second;
}

shared_limits::state* shared_limits::find(std::string_view endpoint) {
    return const_cast<state*>(std::as_const(*this).find(endpoint));
}

limit_change shared_limits::learn(std::string_view endpoint, std::int64_t incarnation,
                                  std::optional<double> per_s, time_ms as_of) {
    const auto found = states_.find(endpoint);
    const bool known = found != states_.end() && found->second.incarnation_ == incarnation;
    if (!known && !per_s) {
        return limit_change::none;
    }
    state& one = known ? found->second : states_[std::string(endpoint)];
    if (!known) {
        one = state();
        one.incarnation_ = incarnation;
    } else if (as_of < one.as_of_) {
        return limit_change::none;
    }
    const std::optional<double> before = std::exchange(one.per_s_, per_s);
    one.as_of_ = as_of;
    if (before == per_s) {
        return limit_change::none;
    }
    if (!before) {
        one.part_per_s_ = 0; // until the next division
        one.places_ = first_place(endpoint, own_id_);
        one.announced_.clear();
    }
    return !before ? limit_change::named : per_s ? limit_change::changed : limit_change::lifted;
}

limit_change shared_limits::observe(std::string_view endpoint, std::int64_t incarnation,
                                    std::optional<double> per_s, time_ms now) {
    if (!per_s) {
        const state* known = find(endpoint);
        const bool lifted =
            known != nullptr && known->incarnation_ == incarnation && now - known->as_of_ >= lift_delay_ms;
        return lifted ? learn(endpoint, incarnation, std::nullopt, now) : limit_change::none;
    }
    const limit_change change = learn(endpoint, incarnation, per_s, now);
    if (change != limit_change::none) {
        divide_again(endpoint, now);
    }
    return change;
}

void shared_limits::divide_again(std::string_view endpoint, time_ms now) {
    if (state* one = find(endpoint)) {
        set_part(endpoint, *one, now);
    }
}

void shared_limits::apply(const std::string& from, std::span<const announcement> announced, time_ms late_ms,
                          time_ms now,
                          const std::function<void(const announcement&, limit_change)>& changed) {
    if (from == own_id_) {
        return;
    }
    peer& other = peers_[from];
    other.heard_at_ = now;
    other.wanted_.clear();
    for (const announcement& one : announced) {
        const limit_change change = learn(one.endpoint_, one.incarnation_, one.per_s_,
                                          now - one.age_ms_ - late_ms - announcement_transit_ms);
        if (one.per_s_) {
            other.wanted_[one.endpoint_] = one.wanted_per_s_;
        }
        if (change != limit_change::none) {
            divide_again(one.endpoint_, now);
            changed(one, change);
        }
    }
}

void shared_limits::retain(
    const std::function<bool(std::string_view endpoint, std::int64_t incarnation)>& keep) {
    std::erase_if(states_, [&](const auto& entry) { return !keep(entry.first, entry.second.incarnation_); });
}

// A gateway that fell silent keeps its part for a while, since it may run and merely not be heard.
bool shared_limits::holds_part(const peer& other, time_ms now, bool isolated) const {
    const time_ms silent = now - other.heard_at_ - announcement_timeout_ms;
    return silent < (isolated ? isolated_hold_ms : departed_hold_ms);
}

void shared_limits::update(time_ms now, bool takes_part) {
    if (now - updated_at_ > max_update_gap_ms) {
        listens_until_ = now + listening_ms;
    }
    updated_at_ = now;
    takes_part_ = takes_part;
    std::erase_if(peers_, [&](const auto& entry) { return !holds_part(entry.second, now, true); });
    std::erase_if(states_, [&](const auto& entry) {
        return !entry.second.per_s_ && now - entry.second.as_of_ > lifted_retention_ms;
    });
    for (auto& [endpoint, one] : states_) {
        if (one.per_s_) {
            set_part(endpoint, one, now);
        }
    }
}

bool shared_limits::uses_parts(time_ms now) const {
    return takes_part_ && now >= listens_until_ && now - updated_at_ <= max_update_gap_ms;
}

void shared_limits::set_part(std::string_view endpoint, state& one, time_ms now) {
    refill(one, now);
    const auto silent = std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
        return now - entry.second.heard_at_ >= announcement_timeout_ms;
    });
    const bool isolated = 2 * std::size_t(silent) > peers_.size();
    std::vector<claimant> claimants;
    // An increase counts once the others have heard of it, a decrease at once.
    const time_ms heard_by_all = now - announcement_delay_ms;
    while (one.announced_.size() > 1 && one.announced_[1].first <= heard_by_all) {
        one.announced_.pop_front();
    }
    std::optional<double> own;
    for (const auto& [at, wanted] : one.announced_) {
        own = std::min(own.value_or(wanted), wanted);
    }
    claimants.push_back({own_id_, own});
    for (const auto& [id, other] : peers_) {
        if (holds_part(other, now, isolated)) {
            const auto wanted = other.wanted_.find(endpoint);
            claimants.push_back(
                {id, wanted == other.wanted_.end() ? std::nullopt : std::optional(wanted->second)});
        }
    }
    one.part_per_s_ = uses_parts(now) ? divide(endpoint, *one.per_s_, claimants).front() : 0;
    one.places_ = std::min(one.places_, burst(one.part_per_s_));
}

void shared_limits::refill(state& one, time_ms now) const {
    const double gained = one.part_per_s_ * double(std::max<time_ms>(0, now - one.refilled_at_)) / ms_per_s;
    one.places_ = std::min(burst(one.part_per_s_), one.places_ + gained);
    one.refilled_at_ = now;
}

double shared_limits::wanted_per_s(const state& one, time_ms now) {
    const double kept = std::exp2(-double(std::max<time_ms>(0, now - one.wanted_at_)) / wanted_half_life_ms);
    return one.wanted_ * kept * ln_2 * ms_per_s / wanted_half_life_ms;
}

std::vector<announcement> shared_limits::announce(time_ms now) {
    std::vector<announcement> all;
    for (auto& [endpoint, one] : states_) {
        if (all.size() == max_announcements) {
            break;
        }
        const double wanted = wanted_per_s(one, now);
        all.push_back(
            {endpoint, one.incarnation_, one.per_s_, std::max<time_ms>(0, now - one.as_of_), wanted});
        if (one.per_s_) {
            one.announced_.emplace_back(now, wanted);
        }
    }
    return all;
}

std::optional<double> shared_limits::limit(std::string_view endpoint) const {
    const state* one = find(endpoint);
    return one == nullptr ? std::nullopt : one->per_s_;
}

std::size_t shared_limits::count() const {
    return std::size_t(std::count_if(states_.begin(), states_.end(),
                                     [](const auto& entry) { return entry.second.per_s_.has_value(); }));
}

void shared_limits::want(std::string_view endpoint, time_ms now) {
    if (state* one = find(endpoint)) {
        const double kept =
            std::exp2(-double(std::max<time_ms>(0, now - one->wanted_at_)) / wanted_half_life_ms);
        one->wanted_ = one->wanted_ * kept + 1;
        one->wanted_at_ = now;
    }
}

bool shared_limits::available(std::string_view endpoint, time_ms now) {
    state* one = find(endpoint);
    if (one == nullptr) {
        return true;
    }
    if (!uses_parts(now)) {
        return false;
    }
    refill(*one, now);
    return one->part_per_s_ > 0 && one->places_ >= 1;
}

bool shared_limits::take(std::string_view endpoint, time_ms now) {
    if (!available(endpoint, now)) {
        return false;
    }
    if (state* one = find(endpoint)) {
        one->places_ -= 1;
    }
    return true;
}

void shared_limits::give_back(std::string_view endpoint) {
    if (state* one = find(endpoint)) {
        one->places_ = std::min(burst(one->part_per_s_), one->places_ + 1);
    }
}

std::optional<time_ms> shared_limits::wait_ms(std::string_view endpoint, int waiting, time_ms now) {
    state* one = find(endpoint);
    if (one == nullptr) {
        return 0;
    }
    if (!uses_parts(now) || one->part_per_s_ <= 0) {
        return std::nullopt;
    }
    refill(*one, now);
    const double missing = std::max(0.0, waiting + 1 - one->places_);
    return time_ms(std::ceil(missing / one->part_per_s_ * ms_per_s));
}

} // namespace tamarack::limits
