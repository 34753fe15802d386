#include "tamarack/quotas.hpp"

#include "tamarack/limits.hpp"

#include <algorithm>
#include <cmath>

namespace tamarack::quotas {

namespace {

constexpr double ms_per_s = 1'000;
constexpr double ln_2 = 0.6931471805599453;
constexpr double demand_half_life_ms = 1'500;

// Weight of the newest request in the mean amount.
constexpr double mean_request_weight = 0.1;

// Parts of the tolerance that are added to the burst, at least and at most. The rest covers use that has not
// been announced yet.
constexpr double min_tolerance_in_bucket = 0.3;
constexpr double max_tolerance_in_bucket = 0.5;

// Level, as a part of the capacity, below which each gateway is paced at its part of the rate. The second one
// holds under overload.
constexpr double paced_level = 0.15;
constexpr double paced_level_in_overload = 0.6;

// Demand, as a multiple of the rate, from which an organisation counts as overloaded. Some requests per
// second are added, since a single request is no overload of a small quota.
constexpr double overload_factor = 1.5;
constexpr double overload_requests_per_s = 2;

// Part of the level that each gateway may use beyond its announcement, as a multiple of an even part, and its
// upper bound.
constexpr double even_level_factor = 6;
constexpr double max_even_level_part = 0.5;

// Mean requests beyond the announcement after which a gateway may still send one, without overload.
constexpr double extra_requests = 1;

// Use in the delivery time, as a multiple of the rate, for which a part of the tolerance is reserved. Covers
// jumps in demand that no gateway has announced yet.
constexpr double reserved_use_factor = 5;

// An announcement is due at once if the demand has grown by this factor,
constexpr double urgent_growth = 2;

// in addition to some requests, or if this part of what may be used beyond the last one has been used.
constexpr double urgent_part = 0.25;
constexpr double urgent_requests = 2;

// Part of the rate that is divided evenly, for gateways whose demand has just begun.
constexpr double even_rate_part = 0.05;

// Pace beyond a gateway's part, as a part of it, while the bucket is full. Uses what other gateways leave.
constexpr double surplus_pace = 0.25;

// Time in which unused pace adds up.
constexpr double pace_credit_s = 0.1;

// Time until an announcement has reached all gateways, and its usual time on the way.
constexpr time_ms delivery_ms = 150;
constexpr time_ms transit_ms = 100;
constexpr time_ms max_late_ms = 2'000;

// Time without announcements, which are sent twice a second, after which a gateway counts as unresponsive.
constexpr time_ms unresponsive_ms = 900;

// Time for which a part is left to an unresponsive gateway, which may go on serving.
constexpr time_ms departed_hold_ms = 15'000;

// Time for which the totals of an unresponsive gateway are kept, so that its next total counts from there.
constexpr time_ms peer_retention_ms = 600'000;

// Time without demand and use after which an organisation is no longer announced.
constexpr time_ms idle_ms = 5'000;

// Time until all gateways have a new configuration. What they used of a higher limit until then is no debt.
constexpr time_ms configuration_transit_ms = 3'000;

// Longest time for which one request, or one announcement of another gateway, may close a quota.
constexpr double longest_debt_s = 8;

// Number of gateways assumed until they have been heard.
constexpr int assumed_gateways = 64;

constexpr time_ms min_wait_ms = 1;
constexpr time_ms max_wait_ms = 60'000;

double seconds(time_ms from, time_ms to) {
    return double(std::max<time_ms>(0, to - from)) / ms_per_s;
}

// Use in the delivery time that is reserved for jumps in demand.
double reserved_use(const quota& one) {
    return reserved_use_factor * one.per_s_ * double(delivery_ms) / ms_per_s;
}

// Size of the bucket. Without a burst there is still room for one request.
double capacity(const quota& one, double request) {
    const double tolerated =
        std::clamp(one.tolerance_ - reserved_use(one), min_tolerance_in_bucket * one.tolerance_,
                   max_tolerance_in_bucket * one.tolerance_);
    return std::max(request, one.burst_ + tolerated);
}

// Part of the tolerance that gateways may use beyond the level before they announce it. Large quotas have
// none, since a jump in demand may use all of the tolerance in the delivery time.
double spare_tolerance(const quota& one, double request) {
    const double outside_bucket = std::max(0.0, one.burst_ + one.tolerance_ - capacity(one, request));
    const double spare = (1 - min_tolerance_in_bucket) * one.tolerance_ - reserved_use(one);
    return std::clamp(spare, 0.0, outside_bucket);
}

// Most that one request may take, and by which one announcement may change the level.
double largest_amount(const quota& one) {
    return one.burst_ + one.tolerance_ + longest_debt_s * one.per_s_;
}

bool is_valid(const announcement& one) {
    const auto amount = [](double value) { return std::isfinite(value) && value >= 0; };
    return amount(one.used_) && amount(one.expected_use_per_s_) && amount(one.demand_per_s_) &&
           std::isfinite(one.level_);
}

double decay(time_ms from, time_ms to) {
    return std::exp2(-double(std::max<time_ms>(0, to - from)) / demand_half_life_ms);
}

} // namespace

shared_quotas::shared_quotas(std::string own_id, time_ms started_at)
    : own_id_(std::move(own_id)), learns_until_(started_at + limits::listening_ms), updated_at_(started_at) {}

bool shared_quotas::limited(std::string_view organisation) const {
    return states_.find(organisation) != states_.end();
}

const std::string* shared_quotas::find_organisation(std::uint64_t name_hash) const {
    const auto found = names_by_hash_.find(name_hash);
    return found == names_by_hash_.end() ? nullptr : &found->second;
}

// Whether this process has just started or resumed and does not know yet what the others use.
bool shared_quotas::is_learning(time_ms now) const {
    return now < learns_until_ || now - updated_at_ > limits::max_update_gap_ms || level_unknown_;
}

void shared_quotas::set_quotas(std::map<std::string, quota, std::less<>> quotas, time_ms now) {
    std::erase_if(quotas, [](const auto& entry) { return !(entry.second.per_s_ > 0); });
    std::erase_if(states_, [&](const auto& entry) { return !quotas.contains(entry.first); });
    names_by_hash_.clear();
    for (auto& [organisation, one] : quotas) {
        names_by_hash_.emplace(hash64(organisation), organisation);
        const auto [found, added] = states_.try_emplace(organisation);
        state& known = found->second;
        if (added) {
            known.refilled_at_ = now;
            known.demand_at_ = now;
            known.level_ = is_learning(now) ? 0 : one.burst_;
        } else {
            advance(known, organisation, now);
            if (one.per_s_ < known.quota_.per_s_) {
                known.debt_reset_at_ = now + configuration_transit_ms;
            }
        }
        known.quota_ = one;
        known.level_ = std::min(known.level_, capacity(one, known.mean_request_));
    }
    update_peer_totals(now);
}

double shared_quotas::demand_per_s(const state& one, time_ms now) const {
    return one.recent_demand_ * decay(one.demand_at_, now) * ln_2 * ms_per_s / demand_half_life_ms;
}

// This gateway's part of the quota, by the demand that all gateways know of.
double shared_quotas::demand_share(const state& one) const {
    const double own = one.announced_.empty() ? 0 : one.announced_.front().demand_per_s_;
    const double all = own + one.peer_demand_per_s_;
    const double even = even_rate_part * std::max(all, one.quota_.per_s_);
    return (own + even / (1 + one.peer_count_)) / (all + even);
}

// The part of the level that this gateway may use beyond its announcement while it is not paced.
double shared_quotas::level_share(const state& one, time_ms now) const {
    const double even = std::min(max_even_level_part, even_level_factor / (1 + one.peer_count_));
    return std::max(demand_share(one), is_overloaded(one, now) ? 0 : even);
}

bool shared_quotas::is_overloaded(const state& one, time_ms now) const {
    return demand_per_s(one, now) + one.peer_demand_per_s_ >
           overload_factor * one.quota_.per_s_ + overload_requests_per_s * one.mean_request_;
}

double shared_quotas::pace_per_s(const state& one, time_ms now) const {
    if (is_learning(now)) {
        return one.quota_.per_s_ / std::max(assumed_gateways, 1 + one.peer_count_);
    }
    const double full = std::max(1.0, capacity(one.quota_, one.mean_request_));
    const double fill = std::clamp(one.level_ / full, 0.0, 1.0);
    return one.quota_.per_s_ * demand_share(one) * (1 + surplus_pace * fill);
}

// Brings the estimate to the present time.
void shared_quotas::advance(state& one, std::string_view organisation, time_ms now) const {
    const double passed_s = seconds(one.refilled_at_, now);
    const double full = capacity(one.quota_, one.mean_request_);
    one.level_ = std::min(full, one.level_ + (one.quota_.per_s_ - one.peer_use_per_s_) * passed_s);
    one.refilled_at_ = std::max(one.refilled_at_, now);
    if (one.debt_reset_at_ && now >= *one.debt_reset_at_) {
        one.debt_reset_at_.reset();
        one.level_ = std::max(one.level_, 0.0);
    }
    while (one.announced_.size() > 1 && one.announced_[1].at_ <= now - delivery_ms) {
        one.announced_.pop_front();
    }
    advance_pace(one, organisation, passed_s, now);
}

void shared_quotas::advance_pace(state& one, std::string_view organisation, double passed_s,
                                 time_ms now) const {
    const double threshold = is_overloaded(one, now) ? paced_level_in_overload : paced_level;
    const bool low = one.level_ < threshold * capacity(one.quota_, one.mean_request_);
    const bool paced = is_learning(now) || isolated_ || !takes_part_ || low;
    const double pace = pace_per_s(one, now);
    if (paced && !one.paced_) {
        // Gateways begin at different points, so that not all send a request at the same time.
        constexpr std::uint64_t steps = 1'000;
        const std::uint64_t hash = hash64(own_id_, hash64(organisation) + one.pace_changes_++);
        one.pace_credit_ = -one.mean_request_ * double(hash % steps) / double(steps);
    } else if (paced && (one.level_ > 0 || is_learning(now))) {
        one.pace_credit_ =
            std::min(std::max(one.pace_credit_, pace_credit_s * pace), one.pace_credit_ + pace * passed_s);
    }
    one.paced_ = paced;
}

bool shared_quotas::may_take(const state& one, double amount, time_ms now) const {
    const bool within_pace = one.paced_ && one.pace_credit_ >= 0;
    if (is_learning(now)) {
        return within_pace;
    }
    if (one.level_ <= 0) {
        return false;
    }
    const announced_use base =
        one.announced_.empty() ? announced_use{now, one.used_, 0, 0} : one.announced_.front();
    const double unexpected = one.used_ - base.used_ - base.expected_use_per_s_ * seconds(base.at_, now);
    const bool is_alone = isolated_ || !takes_part_;
    if (is_alone) {
        return within_pace;
    }
    if (is_overloaded(one, now)) {
        const double share = one.paced_ ? demand_share(one) : level_share(one, now);
        return within_pace || unexpected + amount <= share * one.level_ ||
               (!one.paced_ && unexpected <= extra_requests * one.mean_request_);
    }
    // A low level is no reason to pace without overload: each use is announced at once then, so that the
    // others know of it after the delivery time.
    const double allowed =
        level_share(one, now) * (one.level_ + spare_tolerance(one.quota_, one.mean_request_));
    return within_pace || unexpected + amount <= allowed || unexpected <= extra_requests * one.mean_request_;
}

// Whether the others should learn of this request's use or demand before the next announcement. Counts from
// the newest one, which may not have arrived yet.
bool shared_quotas::exceeds_announcement(const state& one, double amount, time_ms now) const {
    const announced_use newest =
        one.announced_.empty() ? announced_use{now, one.used_, 0, 0} : one.announced_.back();
    const double few = urgent_requests * one.mean_request_;
    const double unannounced =
        one.used_ + amount - newest.used_ - newest.expected_use_per_s_ * seconds(newest.at_, now);
    const bool unexpected_use =
        !is_overloaded(one, now) && unannounced > urgent_part * level_share(one, now) * one.level_;
    return unexpected_use || demand_per_s(one, now) > urgent_growth * newest.demand_per_s_ + few;
}

// Expected time until this gateway may take something again.
time_ms shared_quotas::wait_ms(const state& one, time_ms now) const {
    constexpr double max_wait_s = 1e6;
    const double missing = std::max({-one.level_ * demand_share(one), -one.pace_credit_, 1.0});
    const double wait_s = std::min(missing / pace_per_s(one, now), max_wait_s);
    return std::clamp(time_ms(std::ceil(wait_s * ms_per_s)), min_wait_ms, max_wait_ms);
}

std::optional<time_ms> shared_quotas::take(std::string_view organisation, double amount, time_ms now) {
    const auto found = states_.find(organisation);
    if (found == states_.end() || !(amount > 0)) {
        return std::nullopt;
    }
    state& one = found->second;
    if (amount > largest_amount(one.quota_)) {
        // Does not count as demand, which would give this gateway the parts of others.
        one.refused_ += largest_amount(one.quota_);
        return max_wait_ms;
    }
    one.mean_request_ = one.mean_request_ <= 0
                            ? amount
                            : one.mean_request_ + mean_request_weight * (amount - one.mean_request_);
    one.recent_demand_ = one.recent_demand_ * decay(one.demand_at_, now) + amount;
    one.demand_at_ = std::max(one.demand_at_, now);
    advance(one, found->first, now);
    const bool taken = may_take(one, amount, now);
    if (!is_learning(now) && one.level_ > 0 && exceeds_announcement(one, amount, now)) {
        announcement_is_due_ = true;
    }
    if (!taken) {
        one.refused_ += amount;
        return wait_ms(one, now);
    }
    one.used_ += amount;
    one.level_ -= amount;
    one.pace_credit_ = std::max(one.pace_credit_ - amount, -amount);
    return std::nullopt;
}

void shared_quotas::give_back(std::string_view organisation, double amount, time_ms now) {
    const auto found = states_.find(organisation);
    if (found == states_.end() || !(amount > 0)) {
        return;
    }
    state& one = found->second;
    advance(one, found->first, now);
    const double returned = std::min(amount, one.used_);
    one.used_ -= returned;
    one.level_ = std::min(capacity(one.quota_, one.mean_request_), one.level_ + returned);
    one.pace_credit_ = std::min(0.0, one.pace_credit_ + returned);
}

void shared_quotas::apply(const std::string& from, std::uint64_t incarnation,
                          std::span<const announcement> announced, time_ms late_ms, time_ms now) {
    if (from == own_id_) {
        return;
    }
    const auto [found, added] = peers_.try_emplace(from);
    peer& other = found->second;
    peer_message message;
    message.restarted_ = added || other.incarnation_ != incarnation;
    message.resumed_ = message.restarted_ || now - other.heard_at_ > unresponsive_ms;
    message.age_s_ = double(transit_ms + std::clamp<time_ms>(late_ms, 0, max_late_ms)) / ms_per_s;
    other.incarnation_ = incarnation;
    other.heard_at_ = now;
    const auto valid = announced.first(std::min(announced.size(), max_announcements));
    for (auto& entry : other.use_by_organisation_) {
        const bool is_announced = std::any_of(valid.begin(), valid.end(), [&](const announcement& one) {
            return one.organisation_ == entry.first;
        });
        if (!is_announced) {
            stop_extrapolating(entry.second, entry.first, now);
        }
    }
    for (const announcement& one : valid) {
        if (limited(one.organisation_) && is_valid(one)) {
            apply_use(other, one, message, now);
        }
    }
    std::erase_if(other.use_by_organisation_, [&](const auto& entry) { return !limited(entry.first); });
    if (message.resumed_) {
        announces_idle_until_ = now + limits::listening_ms;
        update_peer_totals(now);
    }
}

// Replaces what was extrapolated of a peer's use by what it announced.
void shared_quotas::apply_use(peer& other, const announcement& announced, const peer_message& message,
                              time_ms now) {
    state& one = states_.find(announced.organisation_)->second;
    advance(one, announced.organisation_, now);
    const double most = largest_amount(one.quota_);
    const double use_per_s = std::min(announced.expected_use_per_s_, most);
    peer_use next;
    next.used_ = announced.used_;
    next.expected_use_per_s_ = next.extrapolated_per_s_ = use_per_s;
    next.demand_per_s_ = std::min(announced.demand_per_s_, most);
    next.level_ = std::clamp(announced.level_, -most, most);
    next.extrapolated_ = use_per_s * message.age_s_;
    next.extrapolated_at_ = now;

    const auto [found, is_new] = other.use_by_organisation_.try_emplace(announced.organisation_);
    const peer_use last = std::exchange(found->second, next);
    // The total also begins anew if the peer's configuration had no such quota in between.
    const bool begins_anew = message.restarted_ || announced.used_ + one.quota_.burst_ < last.used_;
    double unexpected = next.used_ + next.extrapolated_;
    if (!begins_anew) {
        unexpected -=
            last.used_ + last.extrapolated_ + last.extrapolated_per_s_ * seconds(last.extrapolated_at_, now);
    }
    if (message.resumed_ || begins_anew || is_new) {
        // It is not known when the amount was used.
        unexpected = std::min(unexpected, one.quota_.burst_);
    }
    if (is_new && is_learning(now)) {
        unexpected = 0; // the level will be adopted from the peers, who know of it
    }
    unexpected = std::clamp(unexpected, -most, most);
    one.level_ = std::min(capacity(one.quota_, one.mean_request_), one.level_ - unexpected);
    one.peer_use_per_s_ =
        std::max(0.0, one.peer_use_per_s_ - last.extrapolated_per_s_ + next.extrapolated_per_s_);
    one.peer_demand_per_s_ = std::max(0.0, one.peer_demand_per_s_ - last.demand_per_s_ + next.demand_per_s_);
}

// Called for a quota that a peer no longer announces, since it has no demand.
void shared_quotas::stop_extrapolating(peer_use& use, std::string_view organisation, time_ms now) {
    const auto found = states_.find(organisation);
    if (found == states_.end()) {
        return;
    }
    state& one = found->second;
    advance(one, organisation, now);
    one.peer_use_per_s_ = std::max(0.0, one.peer_use_per_s_ - use.extrapolated_per_s_);
    one.peer_demand_per_s_ = std::max(0.0, one.peer_demand_per_s_ - use.demand_per_s_);
    use.extrapolated_ += use.extrapolated_per_s_ * seconds(use.extrapolated_at_, now);
    use.extrapolated_at_ = now;
    use.extrapolated_per_s_ = use.expected_use_per_s_ = use.demand_per_s_ = 0;
    use.level_.reset();
}

// Updates which peers hold a part, and the sums of their use and demand.
void shared_quotas::update_peer_totals(time_ms now) {
    int known = 0;
    int unresponsive = 0;
    for (const auto& [id, other] : peers_) {
        const time_ms since_heard = now - other.heard_at_;
        known += since_heard < limits::isolated_hold_ms ? 1 : 0;
        unresponsive += since_heard >= unresponsive_ms && since_heard < limits::isolated_hold_ms ? 1 : 0;
    }
    isolated_ = 2 * unresponsive > known;
    const time_ms hold = isolated_ ? limits::isolated_hold_ms : departed_hold_ms;
    int holders = 0;
    for (auto& [id, other] : peers_) {
        other.holds_part_ = now - other.heard_at_ < limits::announcement_timeout_ms + hold;
        holders += other.holds_part_ ? 1 : 0;
    }
    for (auto& [organisation, one] : states_) {
        advance(one, organisation, now);
        one.peer_count_ = holders;
        extrapolate_peers(organisation, one, now);
    }
}

// Sets the rates at which the peers' use of one quota is extrapolated. An unresponsive peer may merely be cut
// off and use its whole part.
void shared_quotas::extrapolate_peers(std::string_view organisation, state& one, time_ms now) {
    one.peer_use_per_s_ = 0;
    one.peer_demand_per_s_ = 0;
    for (const auto& [id, other] : peers_) {
        const auto use = other.use_by_organisation_.find(organisation);
        if (other.holds_part_ && use != other.use_by_organisation_.end()) {
            one.peer_demand_per_s_ += use->second.demand_per_s_;
        }
    }
    const double own = one.announced_.empty() ? 0 : one.announced_.front().demand_per_s_;
    const double all = own + one.peer_demand_per_s_;
    const double even = even_rate_part * std::max(all, one.quota_.per_s_);
    for (auto& [id, other] : peers_) {
        const auto found = other.use_by_organisation_.find(organisation);
        if (found == other.use_by_organisation_.end()) {
            continue;
        }
        peer_use& use = found->second;
        use.extrapolated_ += use.extrapolated_per_s_ * seconds(use.extrapolated_at_, now);
        use.extrapolated_at_ = now;
        use.extrapolated_per_s_ = other.holds_part_ ? use.expected_use_per_s_ : 0;
        if (other.holds_part_ && now - other.heard_at_ >= unresponsive_ms) {
            const double part = (use.demand_per_s_ + even / (1 + one.peer_count_)) / (all + even);
            use.extrapolated_per_s_ = std::max(use.extrapolated_per_s_, part * one.quota_.per_s_);
        }
        one.peer_use_per_s_ += use.extrapolated_per_s_;
    }
}

// Sets each level to the median of the peers' estimates.
void shared_quotas::adopt_peer_levels(time_ms now) {
    for (auto& [organisation, one] : states_) {
        std::vector<double> levels;
        for (const auto& [id, other] : peers_) {
            const auto use = other.use_by_organisation_.find(organisation);
            if (use != other.use_by_organisation_.end() && use->second.level_ &&
                now - other.heard_at_ < limits::announcement_timeout_ms) {
                levels.push_back(*use->second.level_);
            }
        }
        advance(one, organisation, now);
        if (levels.empty()) {
            one.level_ = std::min(one.level_, 0.0);
            continue;
        }
        const auto median = levels.begin() + std::ptrdiff_t(levels.size() / 2);
        std::nth_element(levels.begin(), median, levels.end());
        one.level_ = std::min(capacity(one.quota_, one.mean_request_), *median);
    }
}

void shared_quotas::update(time_ms now, bool takes_part) {
    if (now - updated_at_ > limits::max_update_gap_ms) {
        learns_until_ = now + limits::listening_ms;
        level_unknown_ = true;
    }
    updated_at_ = now;
    takes_part_ = takes_part;
    std::erase_if(peers_,
                  [&](const auto& entry) { return now - entry.second.heard_at_ > peer_retention_ms; });
    update_peer_totals(now);
    if (level_unknown_ && now >= learns_until_) {
        adopt_peer_levels(now);
        level_unknown_ = false;
    }
}

std::vector<announcement> shared_quotas::announce(time_ms now) {
    announcement_is_due_ = false;
    std::vector<announcement> all;
    for (auto& [organisation, one] : states_) {
        advance(one, organisation, now);
        const bool unchanged = !one.announced_.empty() && one.announced_.back().used_ == one.used_;
        if (now >= announces_idle_until_ && now - one.demand_at_ > idle_ms && (unchanged || one.used_ == 0)) {
            one.announced_.push_back({now, one.used_, 0, 0});
            continue;
        }
        const double demand = demand_per_s(one, now);
        const double expected = one.paced_ ? std::min(demand, pace_per_s(one, now)) : demand;
        all.push_back({organisation, one.used_, expected, demand, one.level_});
    }
    std::stable_sort(all.begin(), all.end(), [](const announcement& left, const announcement& right) {
        return left.demand_per_s_ > right.demand_per_s_;
    });
    all.resize(std::min(all.size(), max_announcements));
    for (const announcement& one : all) {
        states_.find(one.organisation_)
            ->second.announced_.push_back({now, one.used_, one.expected_use_per_s_, one.demand_per_s_});
    }
    return all;
}

std::vector<quota_state> shared_quotas::report(time_ms now) {
    std::vector<std::pair<double, quota_state>> all;
    for (auto& [organisation, one] : states_) {
        advance(one, organisation, now);
        int sharers = 1;
        for (const auto& [id, other] : peers_) {
            const auto use = other.use_by_organisation_.find(organisation);
            const bool has_demand = use != other.use_by_organisation_.end() && use->second.demand_per_s_ > 0;
            sharers += other.holds_part_ && has_demand ? 1 : 0;
        }
        all.emplace_back(demand_per_s(one, now),
                         quota_state{organisation, one.quota_, one.level_, one.used_, one.refused_, sharers});
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const auto& left, const auto& right) { return left.first > right.first; });
    std::vector<quota_state> states;
    for (auto& [demand, one] : all) {
        states.push_back(std::move(one));
    }
    return states;
}

} // namespace tamarack::quotas
