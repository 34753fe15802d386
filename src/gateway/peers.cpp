#include "gateway/peers.hpp"

#include <algorithm>

namespace tamarack::gateway {

namespace {

constexpr time_ms silence_ms = 1'800; // several digests; the gateway counts as gone then

// After it has settled, a gateway with a lesser id takes over. The one that plans stops first, by more than
// the time between two digests.
constexpr time_ms stop_planning_ms = 1'200;
constexpr time_ms start_planning_ms = 2'000;

} // namespace

bool peers::alive(const peer& one, time_ms now) const {
    return now - one.heard_at_ < silence_ms;
}

void peers::apply_digest(const links::gateway_digest& digest, time_ms now) {
    if (digest.from == own_id_) {
        return;
    }
    peer& one = peers_[digest.from];
    one.heard_at_ = now;
    one.started_at_ = now - digest.uptime_ms;
    one.version_ = digest.configuration_version;
    one.store_reachable_ = digest.store_reachable;
    one.demand_.clear();
    for (const auto& demand : digest.demand) {
        one.demand_[demand->model] = {demand->work, demand->waiting};
    }
}

int peers::gateway_count(time_ms now) const {
    return 1 + int(std::count_if(peers_.begin(), peers_.end(),
                                 [&](const auto& entry) { return alive(entry.second, now); }));
}

bool peers::is_planner(time_ms now, bool plans_already) const {
    const time_ms own_margin = plans_already ? 0 : start_planning_ms;
    const time_ms peer_margin = plans_already ? stop_planning_ms : 0;
    const bool settled_here = now - started_at_ >= settling_ms + own_margin;
    return std::none_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const auto& [id, one] = entry;
        const bool settled_there = now - one.started_at_ >= settling_ms + peer_margin;
        const bool goes_first = settled_there == settled_here ? id < own_id_ : settled_there;
        return alive(one, now) && goes_first;
    });
}

std::map<std::string, provisioning::model_need, std::less<>>
peers::needs(const std::map<std::string, demand_meter::level>& own, time_ms now) const {
    std::map<std::string, provisioning::model_need, std::less<>> total;
    const auto add = [&total](const std::map<std::string, demand_meter::level>& levels) {
        for (const auto& [model, level] : levels) {
            provisioning::model_need& need = total[model];
            need.work_ += level.work_;
            need.waiting_ += level.waiting_;
        }
    };
    add(own);
    for (const auto& [id, one] : peers_) {
        if (alive(one, now)) {
            add(one.demand_);
        }
    }
    return total;
}

int peers::reader_rank(bool reachable_here, time_ms now) const {
    return int(std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
        return alive(entry.second, now) && entry.second.store_reachable_ &&
               (!reachable_here || entry.first < own_id_);
    }));
}

bool peers::any_behind(std::int64_t version, time_ms now) const {
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        return alive(entry.second, now) && entry.second.version_ < version;
    });
}

} // namespace tamarack::gateway
