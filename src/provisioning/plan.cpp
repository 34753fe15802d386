#include "tamarack/provisioning.hpp"

#include <algorithm>

namespace tamarack::provisioning {

namespace {

// Share of an engine's batch that one model may fill before loading another copy is worthwhile.
constexpr double busy_share = 0.12;

// Share of an engine's batch that one more copy relieves the others of at most.
constexpr double copy_share = 0.3;

// Weight of work that no copy serves, relative to work that makes the copies busy: its requests are refused.
constexpr double unserved_weight = 2;

// Bound on the work per remaining copy of a dropped model, relative to that of the loaded model.
constexpr double victim_ratio = 0.75;

// Requests in service at once below which a model counts as unused.
constexpr double idle_work = 0.3;

// Weight of a request that waits for a model without a copy, relative to a running request.
constexpr double waiting_weight = 4;

// Memory reserved for adapters: enough to fill the adapter slots with the largest adapter.
double adapter_reserve_mb(const fleet::engine_spec& spec) {
    double largest = 0;
    for (const fleet::model_spec& model : spec.models_) {
        largest = std::max(largest, model.adapters_ > 0 ? model.adapter_mb_ : 0.0);
    }
    return largest * spec.adapter_slots_;
}

// Copies and demand of one model.
struct model_status {
    const fleet::model_spec* spec_ = nullptr;
    int resident_copies_ = 0;
    int loading_copies_ = 0;
    int limited_copies_ = 0; // resident ones on engines that take few requests for now
    double work_ = 0;
    int waiting_ = 0;

    int copies() const { return resident_copies_ + loading_copies_; }

    // Copies that carry work as usual, now or once they are loaded.
    int full_copies() const { return copies() - limited_copies_; }

    double work_per_copy(int copies) const { return work_ / std::max(1, copies); }

    // Work for each copy that is left without the one on this engine. Copies that are being loaded do not
    // count: until they are ready, the resident ones carry all the work.
    double work_per_copy_without(const engine_state& engine) const {
        constexpr double limited_part = 0.1; // of the work that a copy on a limited engine carries
        const int left = resident_copies_ - limited_copies_ - (engine.limited_ ? 0 : 1);
        return left <= 0 && limited_copies_ > 0 ? work_ / limited_part : work_per_copy(left);
    }

    // An occasional request can wait for a load from the engine's own disk, so it does not count as demand.
    bool in_demand() const { return work_ > idle_work || waiting_ > 0; }

    // Work beyond what the copies should carry.
    double excess_work(double busy_work) const { return std::max(0.0, work_ - busy_work * full_copies()); }

    // Requests in service that one more copy would take over, at most `copy_work`. The cap keeps the busiest
    // model from getting copy after copy while other models have none.
    double relief(double busy_work, double copy_work) const {
        return copies() == 0 ? unserved_weight * std::min(work_, copy_work) + waiting_weight * waiting_
                             : std::min(excess_work(busy_work), copy_work);
    }
};

using model_statuses = std::map<std::string, model_status, std::less<>>;

model_statuses collect_statuses(const plan_facts& facts) {
    model_statuses all;
    for (const fleet::model_spec& model : facts.spec_->models_) {
        model_status& status = all[model.name_];
        status.spec_ = &model;
        const auto need = facts.needs_->find(model.name_);
        if (need != facts.needs_->end()) {
            status.work_ = need->second.work_;
            status.waiting_ = need->second.waiting_;
        }
    }
    for (const engine_state& engine : facts.engines_) {
        if (!engine.serving_) {
            continue;
        }
        for (const std::string& model : engine.models_) {
            const auto found = all.find(model);
            if (found != all.end()) {
                ++found->second.resident_copies_;
                found->second.limited_copies_ += engine.limited_ ? 1 : 0;
            }
        }
        const auto loading = all.find(engine.loading_);
        if (loading != all.end() && std::find(engine.models_.begin(), engine.models_.end(),
                                              engine.loading_) == engine.models_.end()) {
            ++loading->second.loading_copies_;
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

// Models to drop from an engine so that `wanted` fits, least busy first. Returns nothing if not enough memory
// can be freed.
std::optional<std::vector<std::string>> models_to_drop(const engine_state& engine, const model_status& wanted,
                                                       const model_statuses& all, const plan_facts& facts) {
    const double budget = facts.spec_->weights_mb_ - adapter_reserve_mb(*facts.spec_);
    double used = used_mb(engine, *facts.spec_);
    std::vector<std::string> drop;
    std::vector<const model_status*> victims;
    for (const std::string& model : engine.models_) {
        const auto found = all.find(model);
        if (found == all.end()) {
            continue;
        }
        // The last copy of a model that is not in demand may be dropped if the engine has its weights cached
        // and can load it again within a second.
        const bool reloadable =
            wanted.in_demand() && !found->second.in_demand() && engine.cached_models_.contains(model);
        if (found->second.resident_copies_ > 1 || reloadable) {
            victims.push_back(&found->second);
        }
    }
    std::sort(victims.begin(), victims.end(), [&](const model_status* left, const model_status* right) {
        if ((left->resident_copies_ > 1) != (right->resident_copies_ > 1)) {
            return left->resident_copies_ > 1 && left->work_per_copy_without(engine) <= right->work_;
        }
        return left->work_per_copy_without(engine) < right->work_per_copy_without(engine);
    });
    const double wanted_after = wanted.work_per_copy(wanted.full_copies() + 1);
    for (const model_status* victim : victims) {
        if (used + wanted.spec_->weights_mb_ <= budget) {
            break;
        }
        const bool less_busy = victim->work_per_copy_without(engine) <= victim_ratio * wanted_after;
        // A first copy must not replace one whose requests would then overload the remaining copies.
        const bool not_overloaded = victim->work_per_copy_without(engine) <= facts.spec_->slots_;
        const bool first_copy = wanted.copies() == 0 && wanted.in_demand();
        if (!less_busy && !(first_copy && not_overloaded)) {
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

// Estimated requests in service on the copies that are dropped. The engine waits for them before it unloads.
double requests_on_dropped(const placement_step& step, const model_statuses& all) {
    constexpr double max_requests = 4; // the wait lasts as long as the longest request, so more add little
    double requests = 0;
    for (const std::string& model : step.drop_) {
        const model_status& dropped = all.find(model)->second;
        requests += std::min(max_requests, dropped.work_per_copy(dropped.resident_copies_));
    }
    return requests;
}

double load_cost(const engine_state& engine, const placement_step& step, const model_statuses& all) {
    // In units of one request in the engine's batch.
    constexpr double store_load = 10;
    constexpr double unload = 4;
    constexpr double unload_wait = 6; // added cost of each request that a dropped copy serves
    constexpr double limited = 1'000; // an engine that takes few requests is the last choice
    return (step.from_store_ ? store_load : 0) + unload * double(step.drop_.size()) +
           unload_wait * requests_on_dropped(step, all) + engine.running_ + (engine.limited_ ? limited : 0);
}

std::optional<placement_step> best_placement(const model_status& wanted, const model_statuses& all,
                                             const plan_facts& facts) {
    std::optional<placement_choice> best;
    for (const engine_state& engine : facts.engines_) {
        const auto& models = engine.models_;
        if (!engine.available_ ||
            std::find(models.begin(), models.end(), wanted.spec_->name_) != models.end()) {
            continue;
        }
        const bool cached = engine.cached_models_.contains(wanted.spec_->name_);
        if (!cached && !facts.store_load_allowed_) {
            continue;
        }
        auto drop = models_to_drop(engine, wanted, all, facts);
        if (!drop) {
            continue;
        }
        placement_step step{engine.id_, wanted.spec_->name_, std::move(*drop), !cached};
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
    const model_statuses all = collect_statuses(facts);
    std::vector<const model_status*> wanted;
    const double busy_work = busy_share * facts.spec_->slots_;
    const double copy_work = copy_share * facts.spec_->slots_;
    for (const auto& [name, status] : all) {
        const bool without_copy = status.copies() == 0 && (facts.fleet_known_ || status.in_demand());
        if (without_copy || status.relief(busy_work, copy_work) > 0) {
            wanted.push_back(&status);
        }
    }
    std::sort(wanted.begin(), wanted.end(), [&](const model_status* left, const model_status* right) {
        const double left_relief = left->relief(busy_work, copy_work);
        const double right_relief = right->relief(busy_work, copy_work);
        return left_relief != right_relief ? left_relief > right_relief
                                           : left->excess_work(busy_work) > right->excess_work(busy_work);
    });
    for (const model_status* status : wanted) {
        auto step = best_placement(*status, all, facts);
        if (step) {
            return step;
        }
    }
    return std::nullopt;
}

} // namespace tamarack::provisioning
