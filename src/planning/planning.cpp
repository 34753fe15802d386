#include "tamarack/planning.hpp"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

// Thresholds for an extra copy at an attainment weight of 1 and of 0.
constexpr double threshold_for_attainment = 2.0;
constexpr double threshold_for_moves = 12.0;

struct wanted_item {
    std::string item_;
    std::int64_t memory_mb_;
};

// Items of one model that can be loaded now: the model itself, and its adapters once the model is resident.
std::vector<wanted_item> loadable_items(const plan_facts& facts, const model_row& model) {
    std::vector<wanted_item> items{{item_name(model), model.memory_mb_}};
    if (!facts.ledger_->resident().contains(item_name(model))) {
        return items;
    }
    for (const adapter_row& adapter : model.adapters_) {
        items.push_back({item_name(model, adapter), adapter.memory_mb_});
    }
    return items;
}

std::optional<wanted_item> first_missing(const plan_facts& facts, const model_row& model) {
    for (wanted_item& wanted : loadable_items(facts, model)) {
        if (!facts.ledger_->resident().contains(wanted.item_) && !facts.ledger_->in_flight(wanted.item_)) {
            return std::move(wanted);
        }
    }
    return std::nullopt;
}

bool fits(const plan_facts& facts, std::int64_t memory_mb) {
    const std::int64_t after_mb =
        facts.ledger_->weights_mb() + facts.ledger_->reserve_mb() + facts.kv_in_use_mb_;
    return after_mb + memory_mb <= facts.ledger_->capacity_mb();
}

// Name of the same model or adapter in the tables in force, or empty if they do not contain it.
std::string name_in_force(const plan_facts& facts, const std::string& item) {
    return configured_item(*facts.pool_, parse_model_reference(item));
}

bool is_home(const plan_facts& facts, const std::string& item) {
    return facts.home_models_.contains(parse_model_reference(item).model_);
}

const item_use& use_of(const plan_facts& facts, const std::string& item) {
    static const item_use unused;
    auto found = facts.uses_.find(item);
    return found == facts.uses_.end() ? unused : found->second;
}

// Returns a drop of an item that the tables no longer name, or whose version is replaced: by an item that is
// resident here or, on an endpoint that is not a home of the model, by one that another endpoint keeps.
std::optional<drop_step> obsolete_item(const plan_facts& facts) {
    for (const auto& [item, memory_mb] : facts.ledger_->resident()) {
        if (facts.ledger_->in_flight(item)) {
            continue;
        }
        const std::string current = name_in_force(facts, item);
        const std::string model = parse_model_reference(item).model_;
        if (current.empty()) {
            return drop_step{item, model, {}, false};
        }
        if (current != item && facts.ledger_->resident().contains(current)) {
            return drop_step{item, model, current, false};
        }
        if (current != item && !is_home(facts, item)) {
            return drop_step{item, model, current, true};
        }
    }
    return std::nullopt;
}

// Returns a drop of the extra copy with the earliest last use before `unused_since`. Adapters are dropped
// before their model.
std::optional<drop_step> idle_extra_copy(const plan_facts& facts, time_ms unused_since) {
    std::optional<drop_step> best;
    time_ms best_used = unused_since;
    bool best_adapter = false;
    for (const auto& [item, memory_mb] : facts.ledger_->resident()) {
        const item_use& use = use_of(facts, item);
        if (is_home(facts, item) || use.running_ > 0 || facts.ledger_->in_flight(item)) {
            continue;
        }
        const bool adapter = item.find(':') != std::string::npos;
        const bool better =
            use.last_used_ < best_used || (use.last_used_ == best_used && adapter && !best_adapter);
        if (better) {
            best = drop_step{item, parse_model_reference(item).model_, item, true};
            best_used = use.last_used_;
            best_adapter = adapter;
        }
    }
    return best;
}

std::optional<plan_step> free_memory(const plan_facts& facts, time_ms unused_since) {
    if (auto drop = idle_extra_copy(facts, unused_since)) {
        return *drop;
    }
    return std::nullopt;
}

std::optional<plan_step> home_model_step(const plan_facts& facts) {
    bool short_of_memory = false;
    for (const std::string& name : facts.home_models_) {
        const model_row* model = find_model(*facts.pool_, name);
        const auto missing = model == nullptr ? std::nullopt : first_missing(facts, *model);
        if (!missing) {
            continue;
        }
        if (fits(facts, missing->memory_mb_)) {
            return load_step{missing->item_, missing->memory_mb_, false};
        }
        short_of_memory = true;
    }
    return short_of_memory ? free_memory(facts, facts.now_ + 1) : std::nullopt;
}

std::optional<plan_step> extra_copy_step(const plan_facts& facts) {
    const double threshold = extra_copy_threshold(facts.pool_->attainment_weight_);
    for (const model_row& model : facts.pool_->models_) {
        if (facts.demand_ == nullptr || facts.demand_->level(model.name_, facts.now_) < threshold) {
            continue;
        }
        const auto missing = first_missing(facts, model);
        if (!missing) {
            continue;
        }
        if (fits(facts, missing->memory_mb_)) {
            return load_step{missing->item_, missing->memory_mb_, true};
        }
        return free_memory(facts, facts.now_ - extra_copy_hold_ms);
    }
    return std::nullopt;
}

} // namespace

void demand_meter::note_miss(std::string_view model, time_ms now) {
    const double before = level(model, now);
    meters_.insert_or_assign(std::string(model), meter{before + 1.0, now});
}

double demand_meter::level(std::string_view model, time_ms now) const {
    auto found = meters_.find(model);
    if (found == meters_.end()) {
        return 0.0;
    }
    const double half_lives = double(now - found->second.updated_at_) / double(demand_half_life_ms);
    return found->second.level_ * std::exp2(-half_lives);
}

void demand_meter::clear(std::string_view model) {
    auto found = meters_.find(model);
    if (found != meters_.end()) {
        meters_.erase(found);
    }
}

std::vector<std::string> retiring_items::update(const ledger& memory, std::string_view dropping) {
    std::vector<std::string> removed;
    for (const std::string& item : items_) {
        const bool gone = !memory.resident().contains(item);
        const bool given_up = item != dropping && !memory.in_flight(item);
        if (gone || given_up) {
            removed.push_back(item);
        }
    }
    for (const std::string& item : removed) {
        items_.erase(item);
    }
    return removed;
}

double extra_copy_threshold(double attainment_weight) {
    return threshold_for_moves + attainment_weight * (threshold_for_attainment - threshold_for_moves);
}

std::int64_t home_memory_mb(const plan_facts& facts) {
    std::int64_t total = 0;
    for (const std::string& name : facts.home_models_) {
        const model_row* model = find_model(*facts.pool_, name);
        total += model == nullptr ? 0 : memory_with_adapters_mb(*model);
    }
    return total;
}

std::optional<plan_step> next_plan_step(const plan_facts& facts) {
    if (auto step = home_model_step(facts)) {
        return step;
    }
    if (auto drop = obsolete_item(facts)) {
        return *drop;
    }
    return extra_copy_step(facts);
}

} // namespace tamarack
