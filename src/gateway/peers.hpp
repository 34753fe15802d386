// The other gateways, as their digests tell: who is in service, who plans, and the demand that each sees.
#pragma once

#include "gateway/demand.hpp"
#include "tamarack/links.hpp"
#include "tamarack/provisioning.hpp"

namespace tamarack::gateway {

// Gateways that read the store for all; one may fail unnoticed.
inline constexpr int store_readers = 2;

class peers {
public:
    explicit peers(std::string own_id) : own_id_(std::move(own_id)) {}

    void take(const links::gateway_digest& digest, time_ms now);

    // Gateways in service, this one included.
    int count(time_ms now) const;

    // The gateway with the least id plans.
    bool plans_here(time_ms now) const;

    // Whether a gateway that started at `started_at` has had the time to hear of the others.
    static bool settled(time_ms now, time_ms started_at);

    // This gateway's place among those that read the store; the first `store_readers` read for all.
    int reader_rank(bool reachable_here, time_ms now) const;

    // Demand over all gateways.
    std::map<std::string, provisioning::model_need, std::less<>>
    needs(const std::map<std::string, demand_meter::level>& own, time_ms now) const;

    // Whether another gateway in service has an older configuration.
    bool any_behind(std::int64_t version, time_ms now) const;

private:
    struct peer {
        time_ms heard_at_ = 0;
        std::int64_t version_ = -1;
        bool store_reachable_ = false;
        std::map<std::string, demand_meter::level> demand_;
    };

    bool alive(const peer& one, time_ms now) const;

    std::string own_id_;
    std::map<std::string, peer> peers_;
};

} // namespace tamarack::gateway
