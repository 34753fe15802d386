#include "tamarack/tables.hpp"

#include <algorithm>
#include <set>

namespace tamarack {

namespace {

// A model with all its adapters, which are placed together.
struct unit {
    std::string name_;
    std::int64_t memory_mb_;
    std::int64_t copies_;
};

// Number of endpoints that remain while one is down, which every accepted table has to tolerate. A pool of
// one endpoint counts it as available.
std::int64_t surviving_endpoints(const pool_row& pool) {
    return std::max<std::int64_t>(1, pool.endpoints_ - 1);
}

std::vector<unit> units_of(const pool_row& pool) {
    std::vector<unit> units;
    for (const model_row& model : pool.models_) {
        units.push_back({item_name(model), memory_with_adapters_mb(model), model.copies_});
    }
    return units;
}

void sort_by_size(std::vector<unit>& units) {
    std::stable_sort(units.begin(), units.end(),
                     [](const unit& left, const unit& right) { return left.memory_mb_ > right.memory_mb_; });
}

// Returns the first unit that may not fit when units are placed greedily, largest first. Returns nothing if
// all units fit whichever endpoints are preferred.
//
// A unit of size s does not fit only if every endpoint without a copy of it already uses more than budget -
// s. The copies are on distinct endpoints, so at least (endpoints - copies + 1) endpoints have no copy yet.
// The unit therefore always fits while the placed total is at most (endpoints - copies + 1) * (budget - s).
std::optional<unit> first_unplaceable_unit(std::vector<unit> units, std::int64_t endpoints,
                                           std::int64_t budget_mb) {
    sort_by_size(units);
    std::int64_t placed_mb = 0;
    for (const unit& candidate : units) {
        const std::int64_t copies = std::min(candidate.copies_, endpoints);
        for (std::int64_t copy = 1; copy <= copies; ++copy) {
            const std::int64_t open_endpoints = endpoints - copy + 1;
            const bool fits = candidate.memory_mb_ <= budget_mb &&
                              placed_mb <= open_endpoints * (budget_mb - candidate.memory_mb_);
            if (!fits) {
                return candidate;
            }
            placed_mb += candidate.memory_mb_;
        }
    }
    return std::nullopt;
}

void check_fit(const pool_row& pool, std::vector<table_fault>& faults) {
    const std::optional<unit> unplaceable =
        first_unplaceable_unit(units_of(pool), surviving_endpoints(pool), weights_budget_mb(pool));
    if (!unplaceable) {
        return;
    }
    faults.push_back({"pools", pool.name_, "models",
                      unplaceable->name_ + " with its adapters is not guaranteed to fit into " +
                          std::to_string(surviving_endpoints(pool)) + " engines of " +
                          std::to_string(weights_budget_mb(pool)) +
                          " MB for weights (one engine may be down)",
                      "add endpoints or memory, or remove models, adapters or copies"});
}

void check_names(const pool_row& pool, std::vector<table_fault>& faults) {
    std::set<std::string> models;
    for (const model_row& model : pool.models_) {
        if (!models.insert(model.name_).second) {
            faults.push_back({"pools", pool.name_, "models", "model " + model.name_ + " is listed twice",
                              "keep one row for each model"});
        }
        std::set<std::string> adapters;
        for (const adapter_row& adapter : model.adapters_) {
            if (!adapters.insert(adapter.name_).second) {
                faults.push_back({"pools", pool.name_, "models",
                                  "adapter " + model.name_ + ":" + adapter.name_ + " is listed twice",
                                  "keep one row for each adapter"});
            }
        }
    }
}

void check_route(const tables& candidate, const route_row& route, std::vector<table_fault>& faults) {
    auto pool = candidate.pools_.find(route.pool_);
    if (pool == candidate.pools_.end()) {
        faults.push_back({"routes", route.name_, "pool",
                          "names pool " + route.pool_ + ", which does not exist",
                          "name an existing pool or publish that pool in the same change"});
        return;
    }
    if (route.model_ == "*") {
        return;
    }
    if (pool->second.kind_ == endpoint_kind::service) {
        faults.push_back({"routes", route.name_, "model", "names a model, but the pool holds plain services",
                          "write \"*\" or name a pool of engines"});
        return;
    }
    const model_reference reference = parse_model_reference(route.model_);
    const model_row* model = find_model(pool->second, reference.model_);
    const bool known = model != nullptr &&
                       (reference.adapter_.empty() || find_adapter(*model, reference.adapter_) != nullptr) &&
                       (reference.model_version_.empty() || reference.model_version_ == model->version_);
    if (!known) {
        faults.push_back({"routes", route.name_, "model",
                          "names " + route.model_ + ", which the pool does not hold",
                          "add the model, adapter or version to the pool or correct the name"});
    }
}

// Returns the pool as it is during a change, with the old and the new version of each model and adapter.
pool_row pool_during_change(const pool_row& before, const pool_row& after) {
    pool_row both = after;
    for (const model_row& old_model : before.models_) {
        auto kept = std::find_if(both.models_.begin(), both.models_.end(), [&](const model_row& model) {
            return model.name_ == old_model.name_ && model.version_ == old_model.version_;
        });
        if (kept == both.models_.end()) {
            both.models_.push_back(old_model);
            continue;
        }
        for (const adapter_row& adapter : old_model.adapters_) {
            if (std::find(kept->adapters_.begin(), kept->adapters_.end(), adapter) == kept->adapters_.end()) {
                kept->adapters_.push_back(adapter);
            }
        }
    }
    return both;
}

} // namespace

std::int64_t memory_with_adapters_mb(const model_row& model) {
    std::int64_t total = model.memory_mb_;
    for (const adapter_row& adapter : model.adapters_) {
        total += adapter.memory_mb_;
    }
    return total;
}

std::int64_t stale_order_reserve_mb(const pool_row& pool) {
    if (pool.fencing_) {
        return 0;
    }
    std::int64_t largest = 0;
    for (const model_row& model : pool.models_) {
        largest = std::max(largest, model.memory_mb_);
        for (const adapter_row& adapter : model.adapters_) {
            largest = std::max(largest, adapter.memory_mb_);
        }
    }
    return largest;
}

std::int64_t weights_budget_mb(const pool_row& pool) {
    return std::max<std::int64_t>(0, pool.memory_mb_ - pool.kv_reserve_mb_ - stale_order_reserve_mb(pool));
}

std::vector<table_fault> check_tables(const tables& candidate) {
    std::vector<table_fault> faults;
    for (const auto& [name, pool] : candidate.pools_) {
        check_names(pool, faults);
        check_fit(pool, faults);
    }
    for (const auto& [name, route] : candidate.routes_) {
        check_route(candidate, route, faults);
    }
    return faults;
}

std::vector<table_fault> check_transition(const tables& before, const tables& after) {
    std::vector<table_fault> faults;
    for (const auto& [name, pool] : after.pools_) {
        auto old_pool = before.pools_.find(name);
        if (old_pool == before.pools_.end() || old_pool->second.kind_ != pool.kind_) {
            continue;
        }
        const pool_row both = pool_during_change(old_pool->second, pool);
        std::vector<table_fault> found;
        check_fit(both, found);
        for (table_fault& fault : found) {
            fault.what_ = "while old and new are both resident, " + fault.what_;
            fault.remedy_ = "publish the change in steps that fit, or add endpoints";
            faults.push_back(std::move(fault));
        }
    }
    return faults;
}

} // namespace tamarack
