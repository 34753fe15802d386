// Provisioning: which model to load on which engine next, within the rate of the weight store.
//
// Pure functions.
#pragma once

#include "tamarack/fleet.hpp"

#include <span>

namespace tamarack::provisioning {

// State of one engine, as the planner sees it.
struct engine_state {
    std::string id_;
    std::vector<std::string> models_;                  // resident
    std::string loading_;                              // model being loaded, or empty
    std::set<std::string, std::less<>> cached_models_; // models with weights on its disk or in main memory
    bool available_ = false;                           // serving and ready to accept an order
    bool serving_ = false;                             // reachable and not shutting down
    double running_ = 0;                               // requests in its batch and queue
    bool limited_ = false;                             // takes few requests for now, whatever its slots
};

// Demand for one model over all gateways.
struct model_need {
    double work_ = 0; // expected concurrent requests: forecast arrival rate times mean service time
    int waiting_ = 0; // requests that wait because no engine holds the model
};

// One order: load a model on an engine, after unloading others to free memory.
struct placement_step {
    std::string engine_;
    std::string load_;
    std::vector<std::string> drop_;
    bool from_store_ = true; // the weights come from the weight store
};

// Whether one more load from the weight store stays within `per_s` loads per second over a window of
// `window_s` seconds. `starts` holds the start times of earlier loads.
bool store_load_allowed(std::span<const time_ms> starts, double per_s, double window_s, time_ms now);

// Inputs of the planner.
struct plan_facts {
    const fleet::engine_spec* spec_ = nullptr;
    std::span<const engine_state> engines_;
    const std::map<std::string, model_need, std::less<>>* needs_ = nullptr;
    bool store_load_allowed_ = true; // result of `store_load_allowed`

    // Whether all engines have had time to report. Before that, a model without a known copy may still have
    // one, so only models in demand are loaded.
    bool fleet_known_ = true;
};

// Returns the next order, or nothing if none is worth its cost. The model that one more copy helps most goes
// first: one with much work beyond what its copies can carry, or one in demand without any copy. A copy is
// not dropped if the remaining copies of its model would become busier than those of the loaded model; for
// the first copy of a model in demand it suffices that they are not overloaded. The last copy of a model is
// dropped only for a model in demand, if its own model is not in demand and the engine has its weights
// cached.
std::optional<placement_step> next_placement(const plan_facts& facts);

// Number of adapters, counted at the largest adapter size, that fit into an engine's adapter slots and into
// its memory beside the given models.
int adapters_that_fit(const fleet::engine_spec& spec, std::span<const fleet::held_model> models);

} // namespace tamarack::provisioning
