// The other gateways, as their digests tell: who is in service, who plans, and the demand that each sees.
#pragma once

#include "gateway/demand.hpp"
#include "tamarack/links.hpp"
#include "tamarack/provisioning.hpp"

namespace tamarack::gateway {

// Gateways that read the store for all; one may fail unnoticed.
inline constexpr int store_reader_count = 2;

// After a start: the window of the weight store's rate, in which an earlier planner may have given orders
// that nobody has reported since.
inline constexpr time_ms settling_ms = 5'200;

class peers {
public:
    peers(std::string own_id, time_ms started_at) : own_id_(std::move(own_id)), started_at_(started_at) {}

    void apply_digest(const links::gateway_digest& digest, time_ms now);

    // Gateways in service, this one included.
    int gateway_count(time_ms now) const;

    // Whether this gateway plans: the one with the least id among those that have settled, or among all while
    // none has. `plans_already` keeps two from planning at once while one hands over to the other.
    bool is_planner(time_ms now, bool plans_already) const;

    // Whether this gateway has run for long enough to know all recent loads from the weight store.
    bool settled(time_ms now) const { return now - started_at_ >= settling_ms; }

    // This gateway's place among those that read the store; the first `store_reader_count` read for all.
    int reader_rank(bool reachable_here, time_ms now) const;

    // Demand over all gateways.
    std::map<std::string, provisioning::model_need, std::less<>>
    needs(const std::map<std::string, demand_meter::level>& own, time_ms now) const;

    // Whether another gateway in service has an older configuration.
    bool any_behind(std::int64_t version, time_ms now) const;

private:
    struct peer {
        time_ms heard_at_ = 0;
        time_ms started_at_ = 0; // by this gateway's clock
        std::int64_t version_ = -1;
        bool store_reachable_ = false;
        std::map<std::string, demand_meter::level> demand_;
    };

    bool alive(const peer& one, time_ms now) const;

    std::string own_id_;
    time_ms started_at_;
    std::map<std::string, peer> peers_;
};

} // namespace tamarack::gateway
