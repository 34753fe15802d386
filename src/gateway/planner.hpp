// Turns snapshots of the fleet into placement orders for the agents. Uses no network and no clock.
#pragma once

#include "tamarack/links.hpp"
#include "tamarack/provisioning.hpp"

namespace tamarack::gateway {

// State of an engine, with the start times of its recent loads from the weight store.
struct engine_snapshot {
    provisioning::engine_state state_;
    std::vector<time_ms> store_loads_;
};

struct service_snapshot {
    std::shared_ptr<const fleet::configuration> configuration_; // keeps the specification alive
    const fleet::engine_spec* spec_ = nullptr;
    std::vector<engine_snapshot> engines_;
};

struct fleet_snapshot {
    std::vector<service_snapshot> services_;
    std::map<std::string, provisioning::model_need, std::less<>> needs_;

    // Whether this gateway has run long enough to know the other gateways and all engines. Until then several
    // may plan at once, so none loads from the weight store, whose rate limit they share.
    bool settled_ = true;
};

struct planned_order {
    std::string engine_;
    links::placement_order order_;
};

class planner {
public:
    planner(std::string own_id, double load_window_s)
        : own_id_(std::move(own_id)), load_window_s_(load_window_s) {}

    // Returns the orders to send now, and remembers them as pending.
    std::vector<planned_order> next_orders(const fleet_snapshot& snapshot, time_ms now);

private:
    // An order that does not show in the engine's reports yet.
    struct pending_order {
        std::string model_;
        time_ms issued_at_ = 0;
    };

    void update_pending_order(const engine_snapshot& engine, time_ms now);
    std::vector<time_ms> recent_store_loads(const service_snapshot& service, time_ms now) const;
    planned_order make_order(const provisioning::placement_step& step, const fleet::engine_spec& spec) const;

    std::string own_id_;
    double load_window_s_;
    std::map<std::string, pending_order> pending_;                // keyed by engine id
    std::map<std::string, std::vector<time_ms>> own_store_loads_; // keyed by engine id
};

} // namespace tamarack::gateway
