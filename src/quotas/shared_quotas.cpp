#include "tamarack/quotas.hpp"

#include "tamarack/limits.hpp"

#include <algorithm>
#include <cmath>

namespace tamarack::quotas {

namespace {

constexpr double ms_per_s = 1'000;
constexpr double ln_2 = 0.6931471805599453;
constexpr double wanted_half_life_ms = 1'500;
constexpr double request_weight = 0.1; // of the newest request in the average

// Part of the tolerance that is added to the burst. The rest is for use that is not known yet. Small quotas,
// which have room for few requests, get more.
constexpr double tolerance_in_bucket = 0.3;
constexpr double most_tolerance_in_bucket = 0.6;
constexpr double requests_in_bucket = 10;

// Below this part of the capacity, each gateway keeps to its part of the rate.
constexpr double paced_below = 0.15;

// The same while the organisation wants `overload_factor` times its rate or more.
constexpr double paced_below_in_overload = 0.6;
constexpr double overload_factor = 1.5;
constexpr double overload_requests_per_s = 2; // beyond that, since single requests are no overload

// Even part of the level that each gateway may use beyond what the others expect, as a multiple of its
// fraction of the gateways.
constexpr double even_level_part = 6;
constexpr double most_even_part = 0.5; // of the level

// Requests beyond what the others expect after which a gateway may still send one.
constexpr double extra_requests = 1;

// Growth of the demand of which the others should hear at once.
constexpr double urgent_growth = 2;

// Unexpected use of which the others should hear at once: a part of what may be used so, and some requests.
constexpr double urgent_part = 0.25;
constexpr double urgent_requests = 2;

// Part of the rate that is divided evenly, for gateways whose demand is new.
constexpr double even_part = 0.05;

// Pace beyond a gateway's part while the bucket is full, in which the others' unused parts are used.
constexpr double surplus_pace = 0.25;

// Time in which unused credit of the pace adds up.
constexpr double credit_s = 0.1;

// Time until a digest that was sent has reached the others.
constexpr time_ms heard_delay_ms = 150;
constexpr time_ms announcement_transit_ms = 100;
constexpr time_ms max_late_ms = 2'000;

// Time without announcements after which a gateway counts as silent. They are sent twice a second.
constexpr time_ms silence_ms = 900;

// A gateway that fell silent counts for this time, since it may run and merely not be heard.
constexpr time_ms departed_hold_ms = 15'000;

// Totals of gateways that fell silent are kept for this time, so that one that returns is counted from there.
constexpr time_ms peer_retention_ms = 600'000;

// Gateways learn of a lower limit one after the other, and what the others used meanwhile is not owed.
constexpr time_ms configuration_transit_ms = 3'000;

// Longest time for which one request, or what another gateway announces, may close a quota.
constexpr double longest_debt_s = 8;

// A gateway that does not know the others yet assumes that there are so many.
constexpr int assumed_gateways = 64;

constexpr time_ms min_wait_ms = 1;
constexpr time_ms max_wait_ms = 60'000;

double seconds(time_ms from, time_ms to) {
    return double(std::max<time_ms>(0, to - from)) / ms_per_s;
}

// A quota without a burst still has room for a request.
double capacity(const quota& one, double request) {
    const double room = requests_in_bucket * request;
    const double tolerated =
        std::clamp(room, tolerance_in_bucket * one.tolerance_, most_tolerance_in_bucket * one.tolerance_);
    return std::max(request, one.burst_ + tolerated);
}

// Most that one request may take, and that one announcement may change the level by. A debt of that size is
// repaid within `longest_debt_s`.
double largest_amount(const quota& one) {
    return one.burst_ + one.tolerance_ + longest_debt_s * one.per_s_;
}

bool sound(const announcement& one) {
    const auto amount = [](double value) { return std::isfinite(value) && value >= 0; };
    return amount(one.used_) && amount(one.used_per_s_) && amount(one.wanted_per_s_) &&
           std::isfinite(one.level_);
}

double decay(time_ms from, time_ms to) {
    return std::exp2(-double(std::max<time_ms>(0, to - from)) / wanted_half_life_ms);
}

} // namespace

shared_quotas::shared_quotas(std::string own_id, time_ms started_at)
    : own_id_(std::move(own_id)), listens_until_(started_at + limits::listening_ms), updated_at_(started_at) {
}

bool shared_quotas::limited(std::string_view organisation) const {
    return states_.find(organisation) != states_.end();
}

std::vector<std::string> shared_quotas::organisations() const {
    std::vector<std::string> names;
    for (const auto& [organisation, one] : states_) {
        names.push_back(organisation);
    }
    return names;
}

bool shared_quotas::listens(time_ms now) const {
    return now < listens_until_ || now - updated_at_ > limits::max_update_gap_ms || adopts_levels_;
}

void shared_quotas::set_quotas(std::map<std::string, quota, std::less<>> quotas, time_ms now) {
    std::erase_if(quotas, [](const auto& entry) { return !(entry.second.per_s_ > 0); });
    std::erase_if(states_, [&](const auto& entry) { return !quotas.contains(entry.first); });
    for (auto& [organisation, one] : quotas) {
        const auto [found, added] = states_.try_emplace(organisation);
        state& known = found->second;
        if (added) {
            known.settled_at_ = now;
            known.wanted_at_ = now;
            known.level_ = listens(now) ? 0 : one.burst_;
        } else {
            settle(known, organisation, now);
            if (one.per_s_ < known.quota_.per_s_) {
                known.debt_reset_at_ = now + configuration_transit_ms;
            }
        }
        known.quota_ = one;
        known.level_ = std::min(known.level_, capacity(one, known.request_));
    }
    recount(now);
}

double shared_quotas::wanted_per_s(const state& one, time_ms now) const {
    return one.wanted_ * decay(one.wanted_at_, now) * ln_2 * ms_per_s / wanted_half_life_ms;
}

// The part of this gateway, by the demand that the others know of.
double shared_quotas::share(const state& one) const {
    const double own = one.announced_.empty() ? 0 : one.announced_.front().wanted_per_s_;
    const double all = own + one.others_wanted_per_s_;
    const double even = even_part * std::max(all, one.quota_.per_s_);
    return (own + even / (1 + one.others_)) / (all + even);
}

bool shared_quotas::overloaded(const state& one, time_ms now) const {
    return wanted_per_s(one, now) + one.others_wanted_per_s_ >
           overload_factor * one.quota_.per_s_ + overload_requests_per_s * one.request_;
}

double shared_quotas::pace_per_s(const state& one, time_ms now) const {
    if (listens(now)) {
        return one.quota_.per_s_ / std::max(assumed_gateways, 1 + one.others_);
    }
    const double fill = std::clamp(one.level_ / std::max(1.0, capacity(one.quota_, one.request_)), 0.0, 1.0);
    return one.quota_.per_s_ * share(one) * (1 + surplus_pace * fill);
}

void shared_quotas::settle(state& one, std::string_view organisation, time_ms now) const {
    const double passed_s = seconds(one.settled_at_, now);
    const double full = capacity(one.quota_, one.request_);
    one.level_ = std::min(full, one.level_ + (one.quota_.per_s_ - one.others_per_s_) * passed_s);
    one.settled_at_ = std::max(one.settled_at_, now);
    if (one.debt_reset_at_ && now >= *one.debt_reset_at_) {
        one.debt_reset_at_.reset();
        one.level_ = std::max(one.level_, 0.0);
    }
    while (one.announced_.size() > 1 && one.announced_[1].at_ <= now - heard_delay_ms) {
        one.announced_.pop_front();
    }
    const double threshold = overloaded(one, now) ? paced_below_in_overload : paced_below;
    const bool paced = listens(now) || isolated_ || !takes_part_ || one.level_ < threshold * full;
    const double pace = pace_per_s(one, now);
    if (paced && !one.paced_) {
        // Gateways begin at different points, so that not all send a request at the same time.
        constexpr std::uint64_t steps = 1'000;
        const std::uint64_t hash = hash64(own_id_, hash64(organisation) + one.paced_count_++);
        one.credit_ = -one.request_ * double(hash % steps) / double(steps);
    } else if (paced && (one.level_ > 0 || listens(now))) {
        one.credit_ = std::min(std::max(one.credit_, credit_s * pace), one.credit_ + pace * passed_s);
    }
    one.paced_ = paced;
}

std::optional<time_ms> shared_quotas::take(std::string_view organisation, double amount, time_ms now) {
    const auto found = states_.find(organisation);
    if (found == states_.end() || !(amount > 0)) {
        return std::nullopt;
    }
    state& one = found->second;
    if (amount > largest_amount(one.quota_)) {
        // Does not count as demand, which would keep others from their part.
        one.refused_ += largest_amount(one.quota_);
        return max_wait_ms;
    }
    one.request_ = one.request_ <= 0 ? amount : one.request_ + request_weight * (amount - one.request_);
    one.wanted_ = one.wanted_ * decay(one.wanted_at_, now) + amount;
    one.wanted_at_ = std::max(one.wanted_at_, now);
    settle(one, found->first, now);
    const bool listening = listens(now);
    bool taken = false;
    if (listening) {
        taken = one.credit_ >= 0;
    } else if (one.level_ > 0) {
        const announced_use base =
            one.announced_.empty() ? announced_use{now, one.used_, 0, 0} : one.announced_.front();
        const double unexpected = one.used_ - base.used_ - base.used_per_s_ * seconds(base.at_, now);
        const double even =
            overloaded(one, now) ? 0 : std::min(most_even_part, even_level_part / (1 + one.others_));
        const double level_part = std::max(share(one), even);
        const bool on_its_own = isolated_ || !takes_part_;
        const double allowed = (one.paced_ ? share(one) : level_part) * one.level_;
        const bool within_pace = one.paced_ && one.credit_ >= 0;
        const bool within_level = !on_its_own && unexpected + amount <= allowed;
        const bool is_extra_request = !one.paced_ && unexpected <= extra_requests * one.request_;
        taken = within_pace || within_level || is_extra_request;
        // The newest announcement counts here, which the others may not have heard yet.
        const announced_use newest = one.announced_.empty() ? base : one.announced_.back();
        const double unannounced =
            one.used_ + amount - newest.used_ - newest.used_per_s_ * seconds(newest.at_, now);
        const bool unexpected_use =
            !one.paced_ && !overloaded(one, now) &&
            unannounced > std::max(urgent_part * level_part * one.level_, urgent_requests * one.request_);
        const bool unexpected_demand =
            wanted_per_s(one, now) > urgent_growth * newest.wanted_per_s_ + urgent_requests * one.request_;
        if (unexpected_use || unexpected_demand) {
            announcement_is_due_ = true;
        }
    }
    if (taken) {
        one.used_ += amount;
        one.level_ -= amount;
        one.credit_ = std::max(one.credit_ - amount, -amount);
        return std::nullopt;
    }
    one.refused_ += amount;
    const double per_s = pace_per_s(one, now);
    const double missing = std::max({-one.level_ * share(one), -one.credit_, 1.0});
    return std::clamp(time_ms(std::ceil(std::min(missing / per_s, 1e6) * ms_per_s)), min_wait_ms,
                      max_wait_ms);
}

void shared_quotas::give_back(std::string_view organisation, double amount, time_ms now) {
    const auto found = states_.find(organisation);
    if (found == states_.end() || !(amount > 0)) {
        return;
    }
    state& one = found->second;
    settle(one, found->first, now);
    const double returned = std::min(amount, one.used_);
    one.used_ -= returned;
    one.level_ = std::min(capacity(one.quota_, one.request_), one.level_ + returned);
    one.credit_ = std::min(0.0, one.credit_ + returned);
}

void shared_quotas::apply(const std::string& from, std::uint64_t incarnation,
                          std::span<const announcement> announced, time_ms late_ms, time_ms now) {
    if (from == own_id_) {
        return;
    }
    const auto [found, added] = peers_.try_emplace(from);
    peer& other = found->second;
    const bool restarted = added || other.incarnation_ != incarnation;
    const bool returned = restarted || now - other.heard_at_ > silence_ms;
    other.incarnation_ = incarnation;
    other.heard_at_ = now;
    const double age_s =
        double(announcement_transit_ms + std::clamp<time_ms>(late_ms, 0, max_late_ms)) / ms_per_s;
    std::map<std::string, peer_use, std::less<>> uses;
    const std::size_t count = std::min(announced.size(), max_announcements);
    for (const announcement& next : announced.first(count)) {
        const auto known = states_.find(next.organisation_);
        if (known == states_.end() || !sound(next)) {
            continue;
        }
        state& one = known->second;
        settle(one, known->first, now);
        const auto before = other.uses_.find(next.organisation_);
        const double most = largest_amount(one.quota_);
        const double used_per_s = std::min(next.used_per_s_, most);
        peer_use use{next.used_,
                     used_per_s * age_s,
                     used_per_s,
                     now,
                     used_per_s,
                     std::min(next.wanted_per_s_, most),
                     std::clamp(next.level_, -most, most)};
        double counted = 0;
        if (before != other.uses_.end()) {
            const peer_use& last = before->second;
            counted = last.counted_ + last.counted_per_s_ * seconds(last.counted_at_, now);
            if (!restarted) {
                counted += last.used_;
            }
        }
        double more = use.used_ + use.counted_ - counted;
        // The sender counts anew if its configuration had no such quota in between.
        const bool counted_anew =
            before != other.uses_.end() && next.used_ + one.quota_.burst_ < before->second.used_;
        if (restarted || counted_anew) {
            // What was extrapolated of the process before may have been used.
            more = use.used_ + use.counted_;
        }
        if (returned || counted_anew || before == other.uses_.end()) {
            // It is not known when the total was used.
            more = std::min(more, one.quota_.burst_);
        }
        more = std::clamp(more, -most, most);
        if (before == other.uses_.end() && listens(now)) {
            more = 0; // the level is that of the others
        }
        one.level_ = std::min(capacity(one.quota_, one.request_), one.level_ - more);
        if (before != other.uses_.end()) {
            one.others_per_s_ -= before->second.counted_per_s_;
            one.others_wanted_per_s_ -= before->second.wanted_per_s_;
        }
        one.others_per_s_ = std::max(0.0, one.others_per_s_ + use.counted_per_s_);
        one.others_wanted_per_s_ = std::max(0.0, one.others_wanted_per_s_ + use.wanted_per_s_);
        uses.insert_or_assign(next.organisation_, use);
    }
    for (auto& [organisation, use] : other.uses_) {
        const auto known = states_.find(organisation);
        if (!restarted && known != states_.end() && !uses.contains(organisation)) {
            state& one = known->second;
            settle(one, organisation, now);
            one.others_per_s_ = std::max(0.0, one.others_per_s_ - use.counted_per_s_);
            one.others_wanted_per_s_ = std::max(0.0, one.others_wanted_per_s_ - use.wanted_per_s_);
            use.counted_ += use.counted_per_s_ * seconds(use.counted_at_, now);
            use.counted_at_ = now;
            use.counted_per_s_ = 0;
            use.used_per_s_ = 0;
            use.wanted_per_s_ = 0;
            uses.insert_or_assign(organisation, use);
        }
    }
    other.uses_ = std::move(uses);
    if (returned) {
        recount(now);
    }
}

// Adds up what the others use and want.
void shared_quotas::recount(time_ms now) {
    const auto silent = [&](const peer& other) { return now - other.heard_at_ >= silence_ms; };
    int known_count = 0;
    int silent_count = 0;
    for (const auto& [id, other] : peers_) {
        const bool remembered = now - other.heard_at_ < limits::isolated_hold_ms;
        known_count += remembered ? 1 : 0;
        silent_count += remembered && silent(other) ? 1 : 0;
    }
    isolated_ = 2 * silent_count > known_count;
    const time_ms hold = isolated_ ? limits::isolated_hold_ms : departed_hold_ms;
    int others = 0;
    for (auto& [id, other] : peers_) {
        other.holds_part_ = now - other.heard_at_ < limits::announcement_timeout_ms + hold;
        others += other.holds_part_ ? 1 : 0;
    }
    for (auto& [organisation, one] : states_) {
        settle(one, organisation, now);
        one.others_ = others;
        one.others_per_s_ = 0;
        one.others_wanted_per_s_ = 0;
        for (const auto& [id, other] : peers_) {
            const auto use = other.uses_.find(organisation);
            if (other.holds_part_ && use != other.uses_.end()) {
                one.others_wanted_per_s_ += use->second.wanted_per_s_;
            }
        }
        const double all =
            one.others_wanted_per_s_ + (one.announced_.empty() ? 0 : one.announced_.front().wanted_per_s_);
        const double even = even_part * std::max(all, one.quota_.per_s_);
        for (auto& [id, other] : peers_) {
            const auto found = other.uses_.find(organisation);
            if (found == other.uses_.end()) {
                continue;
            }
            peer_use& use = found->second;
            use.counted_ += use.counted_per_s_ * seconds(use.counted_at_, now);
            use.counted_at_ = now;
            use.counted_per_s_ = other.holds_part_ ? use.used_per_s_ : 0;
            if (other.holds_part_ && silent(other)) {
                // It may be cut off, and use its whole part.
                const double part =
                    one.quota_.per_s_ * (use.wanted_per_s_ + even / (1 + others)) / (all + even);
                use.counted_per_s_ = std::max(use.counted_per_s_, part);
            }
            one.others_per_s_ += use.counted_per_s_;
        }
    }
}

void shared_quotas::adopt_levels(time_ms now) {
    for (auto& [organisation, one] : states_) {
        std::vector<double> levels;
        for (const auto& [id, other] : peers_) {
            const auto use = other.uses_.find(organisation);
            if (use != other.uses_.end() && now - other.heard_at_ < limits::announcement_timeout_ms) {
                levels.push_back(use->second.level_);
            }
        }
        settle(one, organisation, now);
        if (levels.empty()) {
            one.level_ = std::min(one.level_, 0.0);
            continue;
        }
        const auto middle = levels.begin() + std::ptrdiff_t(levels.size() / 2);
        std::nth_element(levels.begin(), middle, levels.end());
        one.level_ = std::min(capacity(one.quota_, one.request_), *middle);
    }
}

void shared_quotas::update(time_ms now, bool takes_part) {
    if (now - updated_at_ > limits::max_update_gap_ms) {
        listens_until_ = now + limits::listening_ms;
        adopts_levels_ = true;
    }
    updated_at_ = now;
    takes_part_ = takes_part;
    std::erase_if(peers_,
                  [&](const auto& entry) { return now - entry.second.heard_at_ > peer_retention_ms; });
    recount(now);
    if (adopts_levels_ && now >= listens_until_) {
        adopt_levels(now);
        adopts_levels_ = false;
    }
}

std::vector<announcement> shared_quotas::announce(time_ms now) {
    announcement_is_due_ = false;
    std::vector<announcement> all;
    for (auto& [organisation, one] : states_) {
        settle(one, organisation, now);
        const double wanted = wanted_per_s(one, now);
        const double used = one.paced_ ? std::min(wanted, pace_per_s(one, now)) : wanted;
        all.push_back({organisation, one.used_, used, wanted, one.level_});
    }
    std::stable_sort(all.begin(), all.end(), [](const announcement& left, const announcement& right) {
        return left.wanted_per_s_ > right.wanted_per_s_;
    });
    all.resize(std::min(all.size(), max_announcements));
    for (const announcement& one : all) {
        states_.find(one.organisation_)
            ->second.announced_.push_back({now, one.used_, one.used_per_s_, one.wanted_per_s_});
    }
    return all;
}

std::vector<quota_state> shared_quotas::report(time_ms now) {
    std::vector<std::pair<double, quota_state>> all;
    for (auto& [organisation, one] : states_) {
        settle(one, organisation, now);
        int sharers = 1;
        for (const auto& [id, other] : peers_) {
            const auto use = other.uses_.find(organisation);
            sharers += other.holds_part_ && use != other.uses_.end() && use->second.wanted_per_s_ > 0 ? 1 : 0;
        }
        all.emplace_back(wanted_per_s(one, now),
                         quota_state{organisation, one.quota_, one.level_, one.used_, one.refused_, sharers});
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const auto& left, const auto& right) { return left.first > right.first; });
    std::vector<quota_state> states;
    for (auto& [wanted, one] : all) {
        states.push_back(std::move(one));
    }
    return states;
}

} // namespace tamarack::quotas
