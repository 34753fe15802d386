#include "gateway/peers.hpp"

#include "tamarack/limits.hpp"

#include <algorithm>

namespace tamarack::gateway {

namespace {

// A gateway without a digest for this time, in which several are due, counts as gone.
constexpr time_ms digest_timeout_ms = 1'800;

// Time for which a gateway that fell silent counts among those that share a budget: the window of the budget.
constexpr time_ms departed_budget_ms = 10'000;

constexpr int sharers_while_listening = 8; // assumed until the others have been heard

// A gateway with a lower id takes over planning after it has settled. The current planner stops before the
// new one starts; the difference of the delays exceeds the interval between two digests.
constexpr time_ms stop_planning_delay_ms = 1'200;
constexpr time_ms start_planning_delay_ms = 2'000;

} // namespace

bool peers::is_alive(const peer& other, time_ms now) const {
    return now - other.heard_at_ < digest_timeout_ms;
}

time_ms peers::apply_digest(const links::gateway_digest& digest, time_ms now) {
    if (digest.from == own_id_) {
        return 0;
    }
    peer& other = peers_[digest.from];
    if (std::exchange(other.incarnation_, digest.incarnation) != digest.incarnation) {
        other.delay_ = {};
    }
    other.heard_at_ = now;
    other.started_at_ = now - digest.uptime_ms;
    other.configuration_version_ = digest.configuration_version;
    other.store_reachable_ = digest.store_reachable;
    other.plans_ = digest.plans;
    other.demand_.clear();
    for (const auto& demand : digest.demand) {
        other.demand_[demand->model] = {demand->work, demand->waiting};
    }
    return digest.sent_at < 0 ? 0 : other.delay_.note(digest.sent_at, boot_now_ms());
}

int peers::gateway_count(time_ms now) const {
    return 1 + int(std::count_if(peers_.begin(), peers_.end(),
                                 [&](const auto& entry) { return is_alive(entry.second, now); }));
}

dispatch::budget_sharers peers::budget_sharers(time_ms now) const {
    const auto heard_within = [&](time_ms limit_ms) {
        return int(std::count_if(peers_.begin(), peers_.end(),
                                 [&](const auto& entry) { return now - entry.second.heard_at_ < limit_ms; }));
    };
    const int known = heard_within(limits::isolated_hold_ms);
    const bool isolated = 2 * heard_within(digest_timeout_ms) < known;
    const int sharers = 1 + (isolated ? known : heard_within(departed_budget_ms));
    const bool listening = now - started_at_ < limits::listening_ms;
    return {listening ? std::max(sharers, sharers_while_listening) : sharers, !listening && !peers_.empty()};
}

bool peers::is_planner(time_ms now, bool is_planning) const {
    const time_ms own_margin = is_planning ? 0 : start_planning_delay_ms;
    const time_ms peer_margin = is_planning ? stop_planning_delay_ms : 0;
    const bool settled_here = now - started_at_ >= settling_time_ms + own_margin;
    return std::none_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const auto& [id, other] = entry;
        const bool settled_there = now - other.started_at_ >= settling_time_ms + peer_margin;
        const bool takes_precedence = settled_there == settled_here ? id < own_id_ : settled_there;
        return is_alive(other, now) && takes_precedence;
    });
}

std::set<std::string, std::less<>> peers::likely_planners(time_ms now) const {
    std::set<std::string, std::less<>> likely;
    std::string lowest = own_id_;
    std::optional<std::string> lowest_settled = settled(now) ? std::optional(own_id_) : std::nullopt;
    for (const auto& [id, other] : peers_) {
        if (!is_alive(other, now)) {
            continue;
        }
        lowest = std::min(lowest, id);
        if (now - other.started_at_ >= settling_time_ms && (!lowest_settled || id < *lowest_settled)) {
            lowest_settled = id;
        }
        if (other.plans_) {
            likely.insert(id);
        }
    }
    likely.insert(lowest);
    likely.insert(lowest_settled.value_or(lowest));
    return likely;
}

std::map<std::string, provisioning::model_need, std::less<>>
peers::total_needs(const std::map<std::string, demand_meter::level>& own, time_ms now) const {
    std::map<std::string, provisioning::model_need, std::less<>> total;
    const auto add = [&total](const std::map<std::string, demand_meter::level>& levels) {
        for (const auto& [model, level] : levels) {
            provisioning::model_need& need = total[model];
            need.work_ += level.work_;
            need.waiting_ += level.waiting_;
        }
    };
    add(own);
    for (const auto& [id, other] : peers_) {
        if (is_alive(other, now)) {
            add(other.demand_);
        }
    }
    return total;
}

int peers::reader_rank(bool reachable_here, time_ms now) const {
    return int(std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
        return is_alive(entry.second, now) && entry.second.store_reachable_ &&
               (!reachable_here || entry.first < own_id_);
    }));
}

bool peers::any_peer_outdated(std::int64_t version, time_ms now) const {
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        return is_alive(entry.second, now) && entry.second.configuration_version_ < version;
    });
}

} // namespace tamarack::gateway
