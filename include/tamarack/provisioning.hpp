// Provisioning: which model is loaded on which engine next, paced for the weight store. Pure.
#pragma once

#include "tamarack/fleet.hpp"

#include <span>

namespace tamarack::provisioning {

// An engine as the planner sees it.
struct engine_state {
    std::string id_;
    std::vector<std::string> models_;                  // resident
    std::string loading_;                              // model under way, or empty
    std::set<std::string, std::less<>> cached_models_; // weights on its disk or in its main memory
    bool available_ = false;                           // reachable, not leaving, and ready for an order
    bool serving_ = false;                             // reachable and not leaving
    double running_ = 0;                               // requests in its batch and queue
};

// Demand for one model over all gateways.
struct model_need {
    double work_ = 0; // requests in service at once, at the pace of an idle engine
    int waiting_ = 0; // requests that no engine could take
};

struct placement_step {
    std::string engine_;
    std::string load_;
    std::vector<std::string> drop_;
    bool from_store_ = true;
};

// Whether one more load from the weight store fits its rate, given the starts of earlier ones.
bool store_load_allowed(std::span<const time_ms> starts, double per_s, double window_s, time_ms now);

struct plan_facts {
    const fleet::engine_spec* spec_ = nullptr;
    std::span<const engine_state> engines_;
    const std::map<std::string, model_need, std::less<>>* needs_ = nullptr;
    bool store_load_allowed_ = true; // by the pacer

    // Whether all engines have had the time to report. Until then a model that seems to have no copy may well
    // have one, so only models that are asked for are loaded.
    bool fleet_known_ = true;
};

// The next order, if any is worth giving: the model with the most work beyond what its copies carry goes
// first. No copy is dropped that would then be busier than the new one. The last copy of a model goes only if
// it is not in demand and the engine has its weights at hand.
std::optional<placement_step> next_placement(const plan_facts& facts);

// How many adapters, of the largest size, an engine has places and memory for beside the models that it
// holds.
int adapters_that_fit(const fleet::engine_spec& spec, std::span<const fleet::held_model> models);

} // namespace tamarack::provisioning
