#include "tamarack/provisioning.hpp"

#include <algorithm>

namespace tamarack::provisioning {

namespace {

// Part of an engine's batch that one model may fill before another copy is worth a load.
constexpr double busy_share = 0.12;

// A victim's copies may become at most this busy, relative to those of the model that is loaded.
constexpr double victim_ratio = 0.75;

// Requests in service at once below which a model counts as unused.
constexpr double idle_work = 0.3;

// Weight of a request that waits for a model without a copy, against one that runs.
constexpr double waiting_weight = 4;

// Memory that is kept for adapters, in adapters of the largest size.
double adapter_reserve_mb(const fleet::engine_spec& spec) {
    double largest = 0;
    for (const fleet::model_spec& model : spec.models_) {
        largest = std::max(largest, model.adapters_ > 0 ? model.adapter_mb_ : 0.0);
    }
    return largest * spec.adapter_slots_;
}

struct model_standing {
    const fleet::model_spec* spec_ = nullptr;
    int copies_ = 0; // resident or loading
    double work_ = 0;
    int waiting_ = 0;

    double work_per_copy(int copies) const { return work_ / std::max(1, copies); }

    // A request now and then can wait for a load from the engine's own disk.
    bool in_demand() const { return work_ > idle_work || waiting_ > 0; }

    // Work beyond what its copies should carry; requests that wait for a first copy weigh more.
    double unmet(double busy_work) const {
        return std::max(0.0, work_ - busy_work * copies_) + (copies_ == 0 ? waiting_weight * waiting_ : 0.0);
    }
};

using standings = std::map<std::string, model_standing, std::less<>>;

standings make_standings(const plan_facts& facts) {
    standings all;
    for (const fleet::model_spec& model : facts.spec_->models_) {
        model_standing& standing = all[model.name_];
        standing.spec_ = &model;
        const auto need = facts.needs_->find(model.name_);
        if (need != facts.needs_->end()) {
            standing.work_ = need->second.work_;
            standing.waiting_ = need->second.waiting_;
        }
    }
    for (const engine_state& engine : facts.engines_) {
        if (!engine.serving_) {
            continue;
        }
        for (const std::string& model : engine.models_) {
            const auto found = all.find(model);
            if (found != all.end()) {
                ++found->second.copies_;
            }
        }
        const auto loading = all.find(engine.loading_);
        if (loading != all.end() && std::find(engine.models_.begin(), engine.models_.end(),
                                              engine.loading_) == engine.models_.end()) {
            ++loading->second.copies_;
        }
    }
    return all;
}

double used_mb(const engine_state& engine, const fleet::engine_spec& spec) {
    double used = 0;
    for (const std::string& model : engine.models_) {
        const fleet::model_spec* known = spec.find_model(model);
        used += known == nullptr ? 0 : known->weights_mb_;
    }
    return used;
}

// Models that make room on an engine, least busy first; nothing if there is no room to be had.
std::optional<std::vector<std::string>> make_room(const engine_state& engine, const model_standing& wanted,
                                                  const standings& all, const plan_facts& facts) {
    const double budget = facts.spec_->weights_mb_ - adapter_reserve_mb(*facts.spec_);
    double used = used_mb(engine, *facts.spec_);
    std::vector<std::string> drop;
    std::vector<const model_standing*> victims;
    for (const std::string& model : engine.models_) {
        const auto found = all.find(model);
        if (found == all.end()) {
            continue;
        }
        // The last copy of a model that nobody asks for may go if the engine can have it back within a
        // second.
        const bool parked =
            wanted.in_demand() && !found->second.in_demand() && engine.cached_models_.contains(model);
        if (found->second.copies_ > 1 || parked) {
            victims.push_back(&found->second);
        }
    }
    std::sort(victims.begin(), victims.end(), [](const model_standing* left, const model_standing* right) {
        if ((left->copies_ > 1) != (right->copies_ > 1)) {
            return left->copies_ > 1 && left->work_per_copy(left->copies_ - 1) <= right->work_;
        }
        return left->work_per_copy(left->copies_ - 1) < right->work_per_copy(right->copies_ - 1);
    });
    const double wanted_after = wanted.work_per_copy(wanted.copies_ + 1);
    for (const model_standing* victim : victims) {
        if (used + wanted.spec_->weights_mb_ <= budget) {
            break;
        }
        const bool idle = victim->work_per_copy(victim->copies_ - 1) <= victim_ratio * wanted_after;
        // A model without a copy does not take one whose requests would then fill the others.
        const bool spare = victim->work_per_copy(victim->copies_ - 1) <= facts.spec_->slots_;
        const bool missing = wanted.copies_ == 0 && wanted.in_demand();
        if (!idle && !(missing && spare)) {
            return std::nullopt;
        }
        drop.push_back(victim->spec_->name_);
        used -= victim->spec_->weights_mb_;
    }
    if (used + wanted.spec_->weights_mb_ > budget) {
        return std::nullopt;
    }
    return drop;
}

struct placement_choice {
    placement_step step_;
    double cost_ = 0;
};

// Requests that a copy which is dropped most likely serves: the engine waits for them before it drops it.
double drop_wait(const placement_step& step, const standings& all) {
    constexpr double most_requests = 4; // the wait ends with the longest of them, so more add little
    double requests = 0;
    for (const std::string& model : step.drop_) {
        const model_standing& dropped = all.find(model)->second;
        requests += std::min(most_requests, dropped.work_per_copy(dropped.copies_));
    }
    return requests;
}

double load_cost(const engine_state& engine, const placement_step& step, const standings& all) {
    constexpr double store_load = 10; // against one request in the engine's batch
    constexpr double unload = 4;
    constexpr double unload_wait = 6; // for each request that the dropped copy serves
    return (step.from_store_ ? store_load : 0) + unload * double(step.drop_.size()) +
           unload_wait * drop_wait(step, all) + engine.running_;
}

std::optional<placement_step> place(const model_standing& wanted, const standings& all,
                                    const plan_facts& facts) {
    std::optional<placement_choice> best;
    for (const engine_state& engine : facts.engines_) {
        const auto& models = engine.models_;
        if (!engine.available_ ||
            std::find(models.begin(), models.end(), wanted.spec_->name_) != models.end()) {
            continue;
        }
        const bool nearby = engine.cached_models_.contains(wanted.spec_->name_);
        if (!nearby && !facts.store_load_allowed_) {
            continue;
        }
        auto drop = make_room(engine, wanted, all, facts);
        if (!drop) {
            continue;
        }
        placement_step step{engine.id_, wanted.spec_->name_, std::move(*drop), !nearby};
        const double cost = load_cost(engine, step, all);
        if (!best || cost < best->cost_) {
            best = placement_choice{std::move(step), cost};
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return best->step_;
}

} // namespace

std::optional<placement_step> next_placement(const plan_facts& facts) {
    const standings all = make_standings(facts);
    std::vector<const model_standing*> wanted;
    const double busy_work = busy_share * facts.spec_->slots_;
    for (const auto& [name, standing] : all) {
        const bool unreachable = standing.copies_ == 0 && (facts.fleet_known_ || standing.in_demand());
        if (unreachable || standing.unmet(busy_work) > 0) {
            wanted.push_back(&standing);
        }
    }
    std::sort(wanted.begin(), wanted.end(),
              [busy_work](const model_standing* left, const model_standing* right) {
                  return left->unmet(busy_work) > right->unmet(busy_work);
              });
    for (const model_standing* standing : wanted) {
        auto step = place(*standing, all, facts);
        if (step) {
            return step;
        }
    }
    return std::nullopt;
}

} // namespace tamarack::provisioning
