#include "gateway/planner.hpp"

#include <algorithm>

namespace tamarack::gateway {

namespace {

// Time for an order to show in the reports of its engine.
constexpr time_ms order_visibility_timeout_ms = 2'500;

// Limit for one call. After a restart of the whole fleet each engine needs an order.
constexpr int max_orders_per_service = 64;

bool holds(const provisioning::engine_state& engine, const std::string& model) {
    return std::find(engine.models_.begin(), engine.models_.end(), model) != engine.models_.end();
}

} // namespace

// Removes the engine's pending order once a report shows it, or after a timeout, since it may have been lost.
void planner::update_pending_order(const engine_snapshot& engine, time_ms now) {
    const auto found = pending_.find(engine.state_.id_);
    if (found == pending_.end()) {
        return;
    }
    const bool visible =
        holds(engine.state_, found->second.model_) || engine.state_.loading_ == found->second.model_;
    if (visible || now - found->second.issued_at_ > order_visibility_timeout_ms) {
        pending_.erase(found);
    }
}

// Start times of recent loads from the weight store on all engines. Uses an engine's own report unless this
// planner has ordered more loads there.
std::vector<time_ms> planner::recent_store_loads(const service_snapshot& service, time_ms now) const {
    constexpr double ms_per_s = 1'000;
    const time_ms oldest = now - time_ms(load_window_s_ * ms_per_s);
    std::vector<time_ms> all;
    for (const engine_snapshot& engine : service.engines_) {
        std::vector<time_ms> reported = engine.store_loads_;
        std::erase_if(reported, [&](time_ms start) { return start <= oldest; });
        std::vector<time_ms> ordered;
        const auto own = own_store_loads_.find(engine.state_.id_);
        if (own != own_store_loads_.end()) {
            ordered = own->second;
            std::erase_if(ordered, [&](time_ms start) { return start <= oldest; });
        }
        const std::vector<time_ms>& counted = ordered.size() > reported.size() ? ordered : reported;
        all.insert(all.end(), counted.begin(), counted.end());
    }
    return all;
}

planned_order planner::make_order(const provisioning::placement_step& step,
                                  const fleet::engine_spec& spec) const {
    planned_order planned;
    planned.engine_ = step.engine_;
    links::placement_order& order = planned.order_;
    order.planner = own_id_;
    order.load = step.load_;
    order.drop = step.drop_;
    order.from_store = step.from_store_;
    order.capacity_mb = spec.weights_mb_;
    order.adapter_slots = spec.adapter_slots_;
    for (const fleet::model_spec& model : spec.models_) {
        order.model_names.push_back(model.name_);
        order.model_mb.push_back(model.weights_mb_);
        order.adapter_mb.push_back(model.adapter_mb_);
        if (model.name_ == step.load_) {
            order.load_mb = model.weights_mb_;
            order.expected_ms = model.store_load_ms_;
        }
    }
    return planned;
}

std::vector<planned_order> planner::next_orders(const fleet_snapshot& snapshot, time_ms now) {
    std::vector<planned_order> orders;
    for (const service_snapshot& service : snapshot.services_) {
        std::vector<provisioning::engine_state> engines;
        for (const engine_snapshot& engine : service.engines_) {
            update_pending_order(engine, now);
            engines.push_back(engine.state_);
            const auto pending = pending_.find(engine.state_.id_);
            if (pending != pending_.end()) {
                engines.back().available_ = false;
                engines.back().loading_ = pending->second.model_;
            }
        }
        std::vector<time_ms> starts = recent_store_loads(service, now);
        for (int count = 0; count < max_orders_per_service; ++count) {
            provisioning::plan_facts facts;
            facts.spec_ = service.spec_;
            facts.engines_ = engines;
            facts.needs_ = &snapshot.needs_;
            facts.fleet_known_ = snapshot.settled_;
            facts.store_load_allowed_ =
                snapshot.settled_ && provisioning::store_load_allowed(
                                         starts, service.spec_->store_loads_per_s_, load_window_s_, now);
            const auto step = provisioning::next_placement(facts);
            if (!step) {
                break;
            }
            orders.push_back(make_order(*step, *service.spec_));
            pending_[step->engine_] = {step->load_, now};
            if (step->from_store_) {
                starts.push_back(now);
                std::vector<time_ms>& own = own_store_loads_[step->engine_];
                std::erase_if(own,
                              [&](time_ms start) { return now - start > time_ms(load_window_s_ * 2'000); });
                own.push_back(now);
            }
            const auto engine = std::find_if(engines.begin(), engines.end(),
                                             [&](const auto& one) { return one.id_ == step->engine_; });
            engine->available_ = false;
            engine->loading_ = step->load_;
            std::erase_if(engine->models_, [&](const std::string& model) {
                return std::find(step->drop_.begin(), step->drop_.end(), model) != step->drop_.end();
            });
        }
    }
    return orders;
}

} // namespace tamarack::gateway
