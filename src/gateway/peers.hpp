// State of the other gateways from their digests: which are in service, which one plans, and the demand at
// each.
#pragma once

#include "gateway/demand.hpp"
#include "tamarack/dispatch.hpp"
#include "tamarack/links.hpp"
#include "tamarack/provisioning.hpp"

namespace tamarack::gateway {

// Number of gateways that read the store for all. With two, updates continue if one of them fails.
inline constexpr int store_reader_count = 2;

// Time after a start until a gateway knows all recent loads from the weight store. It covers the window of
// the store's rate limit, in which an earlier planner may have given orders that no agent has reported yet.
inline constexpr time_ms settling_time_ms = 5'200;

class peers {
public:
    peers(std::string own_id, time_ms started_at) : own_id_(std::move(own_id)), started_at_(started_at) {}

    // Updates the state of the gateway that sent the digest. Ignores digests of this gateway. Returns how
    // much longer than usual the digest was on its way.
    time_ms apply_digest(const links::gateway_digest& digest, time_ms now);

    // Number of gateways in service, including this one.
    int gateway_count(time_ms now) const;

    // Number of gateways, including this one, that may have used a part of a common budget lately. Does not
    // fall at once when others fall silent, since this gateway may merely not hear them, and is at least the
    // number assumed at a start until a gateway has had time to hear the others.
    dispatch::budget_sharers budget_sharers(time_ms now) const;

    // Whether this gateway is the planner: the one with the lowest id among the settled gateways, or among
    // all while none is settled. `is_planning` tells whether it plans at present; the present planner stops
    // before the next one starts, so that no two plan at once.
    bool is_planner(time_ms now, bool is_planning) const;

    // The gateways that plan or would plan next, by what is known here: those that say that they plan, the
    // lowest id among the settled ones, and the lowest of all.
    std::set<std::string, std::less<>> likely_planners(time_ms now) const;

    // Whether this gateway has run long enough to know all recent loads from the weight store.
    bool settled(time_ms now) const { return now - started_at_ >= settling_time_ms; }

    // Rank of this gateway among those that can reach the store; those with a rank below `store_reader_count`
    // read it for all.
    int reader_rank(bool reachable_here, time_ms now) const;

    // Sum of this gateway's demand and that of the other gateways in service, by model. Gateways that are not
    // among the likely planners know the others' demand for their busiest models only.
    std::map<std::string, provisioning::model_need, std::less<>>
    total_needs(const std::map<std::string, demand_meter::level>& own, time_ms now) const;

    // Whether another gateway in service has an older configuration.
    bool any_peer_outdated(std::int64_t version, time_ms now) const;

private:
    struct peer {
        std::uint64_t incarnation_ = 0;
        links::delay_meter delay_;
        time_ms heard_at_ = 0;
        time_ms started_at_ = 0; // on this gateway's clock
        std::int64_t configuration_version_ = -1;
        bool store_reachable_ = false;
        bool plans_ = false;
        std::map<std::string, demand_meter::level> demand_;
    };

    bool is_alive(const peer& other, time_ms now) const;

    std::string own_id_;
    time_ms started_at_;
    std::map<std::string, peer> peers_;
};

} // namespace tamarack::gateway
