#include "policy/world.hpp"

#include <algorithm>
#include <cmath>

namespace tamarack::policy_bench {

namespace {

constexpr std::int64_t prefill_ms = 60;
constexpr double decode_base_ms = 6.0;
constexpr double decode_slope_ms = 0.25; // for each other request in the batch
constexpr std::int64_t mean_tokens = 150;
constexpr time_ms interactive_deadline_ms = 4'000;
constexpr time_ms deferrable_deadline_ms = 60'000;
constexpr double deferrable_fraction = 0.15;
constexpr std::int64_t adapter_load_ms = 5;
constexpr std::int64_t model_memory_mb = 14'000;
constexpr std::int64_t adapter_memory_mb = 60;

deployment make(int engines, int models, int adapters, bool fencing, double attainment_weight,
                store_limits store) {
    deployment made;
    pool_row& pool = made.pool_;
    pool.name_ = "pool";
    pool.endpoints_ = engines;
    pool.memory_mb_ = 80'000;
    pool.kv_reserve_mb_ = 16'000;
    pool.slots_ = 32;
    pool.fencing_ = fencing;
    pool.attainment_weight_ = attainment_weight;
    for (int index = 0; index < models; ++index) {
        model_row model;
        model.name_ = "m" + std::to_string(index);
        model.version_ = "1";
        model.memory_mb_ = model_memory_mb;
        for (int adapter = index; adapter < adapters; adapter += models) {
            model.adapters_.push_back({"a" + std::to_string(adapter), "1", adapter_memory_mb});
        }
        pool.models_.push_back(std::move(model));
    }
    made.store_ = store;
    return made;
}

// Requests a second that all engines together can serve with full batches.
double capacity(const world& where) {
    const auto slots = double(where.deployment_.pool_.slots_);
    const double service =
        double(prefill_ms) + double(mean_tokens) * (decode_base_ms + decode_slope_ms * slots);
    return double(where.engines_.size()) * slots * 1'000.0 / service;
}

// Draws requests of one scenario.
class arrivals {
public:
    arrivals(world& where, const scenario& what, std::uint64_t seed)
        : where_(where), what_(what), random_(seed) {}

    void schedule(policy& receiver, std::uint64_t number) {
        std::exponential_distribution<double> gap(capacity(where_) * what_.load_ / 1'000.0);
        const auto when = where_.time_.now() + time_ms(std::llround(gap(random_)));
        if (when >= what_.length_ms_) {
            return;
        }
        where_.time_.at(when, [this, &receiver, number] {
            receiver.arrive(draw(number));
            schedule(receiver, number + 1);
        });
    }

private:
    std::size_t draw_model() {
        const auto& models = where_.deployment_.pool_.models_;
        std::vector<double> weights;
        const double progress = double(where_.time_.now()) / double(what_.length_ms_);
        for (std::size_t index = 0; index < models.size(); ++index) {
            weights.push_back(1.0 / std::pow(double(index + 1), what_.skew_));
        }
        // The demand for a model of middling popularity rises to `swing_` times its first level.
        weights[models.size() / 2] *= 1.0 + (what_.swing_ - 1.0) * progress;
        return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random_);
    }

    request draw(std::uint64_t number) {
        std::uniform_real_distribution<double> uniform(0.0, 1.0);
        const model_row& model = where_.deployment_.pool_.models_[draw_model()];
        request one;
        one.id_ = number + 1;
        one.model_ = model.name_;
        one.item_ = item_name(model);
        if (!model.adapters_.empty() &&
            (what_.cold_adapters_ || uniform(random_) < what_.adapter_fraction_)) {
            one.item_ = item_name(model, model.adapters_[random_() % model.adapters_.size()]);
        }
        const bool deferrable = uniform(random_) < deferrable_fraction;
        one.class_ = deferrable ? traffic_class::deferrable : traffic_class::interactive;
        one.arrived_ = where_.time_.now();
        one.deadline_ = one.arrived_ + (deferrable ? deferrable_deadline_ms : interactive_deadline_ms);
        one.tokens_ = mean_tokens / 2 + std::int64_t(random_() % mean_tokens);
        ++where_.measures_.of(one.class_).requests_;
        return one;
    }

    world& where_;
    scenario what_;
    std::mt19937_64 random_;
};

} // namespace

deployment bureau() {
    return make(12, 20, 75, true, 1.0, {2.0, 9, 4'000, 70});
}

deployment chorro() {
    return make(9, 17, 55, false, 0.0, {1.5, 6, 4'000, 50});
}

void timeline::at(time_ms when, std::function<void()> action) {
    entries_.push({std::max(when, now_), next_number_++, std::move(action)});
}

void timeline::run(time_ms until) {
    while (!entries_.empty() && entries_.top().when_ <= until) {
        const entry next = entries_.top();
        entries_.pop();
        now_ = next.when_;
        next.action_();
    }
    now_ = until;
}

void weight_store::load(const std::string& item, std::function<void()> loaded) {
    const bool adapter = item.find(':') != std::string::npos;
    if (adapter) {
        ++adapters_;
        const std::int64_t slowed = std::max<std::int64_t>(1, adapters_ / limits_.adapters_in_transit_);
        time_.after(adapter_load_ms * slowed, [this, loaded = std::move(loaded)] {
            --adapters_;
            loaded();
        });
        return;
    }
    const time_ms start = std::max(time_.now(), next_start_);
    next_start_ = start + time_ms(1'000.0 / limits_.loads_per_second_);
    time_.at(start, [this, loaded = std::move(loaded)] {
        ++models_;
        const std::int64_t slowed = limits_.model_load_ms_ * models_ / limits_.loads_at_once_;
        time_.after(std::max(limits_.model_load_ms_, slowed), [this, loaded] {
            --models_;
            loaded();
        });
    });
}

std::int64_t engine::weights_mb() const {
    std::int64_t total = 0;
    for (const auto& [item, memory_mb] : resident_) {
        total += memory_mb;
    }
    for (const auto& [item, memory_mb] : loading_) {
        total += memory_mb;
    }
    return total;
}

world::world(const deployment& deployed) : deployment_(deployed), store_(time_, deployed.store_) {
    for (std::int64_t index = 0; index < deployed.pool_.endpoints_; ++index) {
        engines_.push_back({"engine-" + std::to_string(index), true, {}, {}, 0, 1});
    }
}

std::int64_t world::service_ms(const engine& on, const request& one) const {
    const double decode = decode_base_ms + decode_slope_ms * double(on.running_);
    return prefill_ms + std::int64_t(double(one.tokens_) * decode);
}

std::int64_t world::item_mb(const std::string& item) const {
    return item.find(':') == std::string::npos ? model_memory_mb : adapter_memory_mb;
}

void world::load(engine& into, const std::string& item, std::function<void()> loaded) {
    const std::int64_t memory_mb = item_mb(item);
    into.loading_[item] = memory_mb;
    ++into.sequence_;
    ++measures_.moves_;
    store_.load(item, [&into, item, memory_mb, loaded = std::move(loaded)] {
        into.loading_.erase(item);
        into.resident_[item] = memory_mb;
        ++into.sequence_;
        loaded();
    });
}

void world::unload(engine& from, const std::string& item) {
    from.resident_.erase(item);
    ++from.sequence_;
    ++measures_.moves_;
}

void world::answered(const request& one) {
    measures::by_class& kind = measures_.of(one.class_);
    const bool in_time = time_.now() <= one.deadline_;
    ++(in_time ? kind.in_time_ : kind.late_);
    kind.latencies_ms_.push_back(time_.now() - one.arrived_);
}

void world::refused(const request& one) {
    measures::by_class& kind = measures_.of(one.class_);
    ++(time_.now() == one.arrived_ ? kind.refused_at_once_ : kind.refused_late_);
}

std::vector<scenario> all_scenarios() {
    scenario steady{"steady"};
    scenario swing{"tenfold_swing"};
    swing.length_ms_ = 120'000;
    swing.swing_ = 10.0;
    swing.load_ = 0.7;
    scenario rush{"rush"};
    rush.load_ = 1.1;
    rush.length_ms_ = 90'000;
    scenario cold{"cold_adapters"};
    cold.cold_adapters_ = true;
    scenario death = rush;
    death.name_ = "death_in_rush";
    death.death_ = true;
    return {steady, swing, rush, cold, death};
}

measures run(const deployment& deployed, const scenario& what, const policy_factory& make_policy,
             std::uint64_t seed) {
    world where(deployed);
    const std::unique_ptr<policy> driven = make_policy(where);
    arrivals source(where, what, seed);
    source.schedule(*driven, 0);
    if (what.death_) {
        where.time_.at(what.length_ms_ / 2, [&] {
            where.engines_[0].alive_ = false;
            driven->engine_died(0);
        });
    }
    where.time_.run(what.length_ms_ + deferrable_deadline_ms);
    return where.measures_;
}

} // namespace tamarack::policy_bench
