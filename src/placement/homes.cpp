#include "tamarack/placement.hpp"

#include <algorithm>

namespace tamarack {

namespace {

// Limit on the memory of an endpoint's home models in a balanced assignment, relative to the mean.
constexpr double balance_factor = 1.25;

// Memory left on an engine during the assignment.
struct engine_memory {
    std::string_view id_;
    std::int64_t free_mb_;
    std::int64_t share_mb_; // rest of its balanced share
};

std::vector<const model_row*> models_by_size(const pool_row& pool) {
    std::vector<const model_row*> models;
    for (const model_row& model : pool.models_) {
        models.push_back(&model);
    }
    std::sort(models.begin(), models.end(), [](const model_row* left, const model_row* right) {
        const std::int64_t left_mb = memory_with_adapters_mb(*left);
        const std::int64_t right_mb = memory_with_adapters_mb(*right);
        return left_mb != right_mb ? left_mb > right_mb : left->name_ < right->name_;
    });
    return models;
}

// Memory for home models per endpoint in a balanced assignment, with slack that keeps assignments stable.
std::int64_t balanced_share_mb(const pool_row& pool, std::size_t endpoints) {
    std::int64_t total_mb = 0;
    std::int64_t largest_mb = 0;
    for (const model_row& model : pool.models_) {
        total_mb += memory_with_adapters_mb(model) * model.copies_;
        largest_mb = std::max(largest_mb, memory_with_adapters_mb(model));
    }
    const double mean_mb = double(total_mb) / double(std::max<std::size_t>(1, endpoints));
    return std::max(largest_mb, std::int64_t(mean_mb * balance_factor));
}

// Places one model on its highest-ranked engines with enough memory: first within their balanced shares, then
// without that limit, so that every copy that fits is placed.
std::vector<std::string> place_model(const model_row& model, std::vector<engine_memory>& engines) {
    std::vector<std::pair<std::uint64_t, engine_memory*>> ranked;
    for (engine_memory& engine : engines) {
        ranked.emplace_back(rendezvous_weight(model.name_, engine.id_), &engine);
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first : left.second->id_ < right.second->id_;
    });
    const std::int64_t needed_mb = memory_with_adapters_mb(model);
    std::vector<std::string> homes;
    for (const bool balanced : {true, false}) {
        for (auto& [weight, engine] : ranked) {
            const bool wanted = std::int64_t(homes.size()) < model.copies_;
            const bool taken = std::find(homes.begin(), homes.end(), engine->id_) != homes.end();
            const bool fits = engine->free_mb_ >= needed_mb && (!balanced || engine->share_mb_ >= needed_mb);
            if (!wanted || taken || !fits) {
                continue;
            }
            engine->free_mb_ -= needed_mb;
            engine->share_mb_ -= needed_mb;
            homes.emplace_back(engine->id_);
        }
    }
    return homes;
}

const registration<placement_policy> rendezvous_policy("rendezvous", assign_homes);

} // namespace

std::uint64_t rendezvous_weight(std::string_view subject, std::string_view endpoint) {
    return mix64(hash64(subject), hash64(endpoint));
}

home_map assign_homes(const pool_row& pool, std::span<const std::string> endpoints) {
    std::vector<engine_memory> engines;
    const std::int64_t share_mb = balanced_share_mb(pool, endpoints.size());
    for (const std::string& endpoint : endpoints) {
        engines.push_back({endpoint, weights_budget_mb(pool), share_mb});
    }
    home_map homes;
    for (const model_row* model : models_by_size(pool)) {
        homes[model->name_] = place_model(*model, engines);
    }
    return homes;
}

} // namespace tamarack
