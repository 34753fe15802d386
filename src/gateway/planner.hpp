// Turns the fleet's state into orders for the agents, one step at a time. No network and no clock.
#pragma once

#include "tamarack/links.hpp"
#include "tamarack/provisioning.hpp"

namespace tamarack::gateway {

// One engine at a moment, with the recent starts of loads from the weight store there.
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

    // Whether the other gateways and all engines have been heard. Until then several may plan, so none loads
    // from the weight store, whose rate they share.
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

    // The orders that are worth giving now.
    std::vector<planned_order> next_orders(const fleet_snapshot& snapshot, time_ms now);

private:
    // An order that the engine's reports do not show yet.
    struct pending_order {
        std::string model_;
        time_ms given_at_ = 0;
    };

    void settle(const engine_snapshot& engine, time_ms now);
    std::vector<time_ms> store_loads(const service_snapshot& service, time_ms now) const;
    planned_order make_order(const provisioning::placement_step& step, const fleet::engine_spec& spec) const;

    std::string own_id_;
    double load_window_s_;
    std::map<std::string, pending_order> pending_;                // by engine
    std::map<std::string, std::vector<time_ms>> own_store_loads_; // by engine
};

} // namespace tamarack::gateway
