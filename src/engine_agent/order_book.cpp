#include "engine_agent/order_book.hpp"

#include "tamarack/links.hpp"

#include <algorithm>

namespace tamarack::engine_agent {

namespace {

constexpr time_ms placement_timeout_ms = 8'000;  // time after which an unfinished placement is cancelled
constexpr time_ms loading_timeout_ms = 1'000;    // time limit for a loaded adapter to appear in the reports
constexpr time_ms unloading_timeout_ms = 10'000; // time limit for requests that use an unloaded adapter

// Pause after an order for a model, and after an adapter order that the engine neither accepted nor reported
// as done. An order that conflicts with another one at the engine also waits this long before it is sent
// again.
constexpr time_ms order_pause_ms = 30;

// Time for which the start of a load from the weight store is kept, for the planner to limit the rate.
constexpr time_ms store_load_retention_ms = 20'000;

std::string adapter_key(std::string_view model, std::string_view adapter) {
    return std::string(model) + "/" + std::string(adapter);
}

} // namespace

const fleet::held_model* order_scheduler::find_model(std::string_view name) const {
    if (!report_) {
        return nullptr;
    }
    const auto found = std::find_if(report_->models_.begin(), report_->models_.end(),
                                    [&](const fleet::held_model& model) { return model.name_ == name; });
    return found == report_->models_.end() ? nullptr : &*found;
}

bool order_scheduler::has_adapter(std::string_view model, std::string_view adapter) const {
    const fleet::held_model* held = find_model(model);
    return held != nullptr && held->adapters_.contains(adapter) &&
           !unloading_.contains(adapter_key(model, adapter));
}

std::vector<fleet::held_model> order_scheduler::usable_models() const {
    std::vector<fleet::held_model> usable = report_->models_;
    // The engine refuses new requests for a model as soon as it is ordered to unload it.
    std::erase_if(usable, [&](const fleet::held_model& model) {
        return placement_ && std::find(placement_->drop_.begin(), placement_->drop_.end(), model.name_) !=
                                 placement_->drop_.end();
    });
    for (fleet::held_model& model : usable) {
        std::erase_if(model.adapters_, [&](const std::string& adapter) {
            return unloading_.contains(adapter_key(model.name_, adapter));
        });
    }
    return usable;
}

int order_scheduler::count_adapters() const {
    std::set<std::string> held(report_->adapters_in_transit_);
    for (const fleet::held_model& model : report_->models_) {
        for (const std::string& adapter : model.adapters_) {
            held.insert(adapter_key(model.name_, adapter));
        }
    }
    for (const auto& [key, since] : loading_) {
        held.insert(key);
    }
    return int(held.size());
}

bool order_scheduler::is_adapter_loading(const std::string& key) const {
    return report_->adapters_in_transit_.contains(key) || loading_.contains(key);
}

// Whether the adapter is not being unloaded and no request uses or waits for it.
bool order_scheduler::is_evictable(const std::string& key) const {
    const bool pinned =
        std::any_of(pins_.begin(), pins_.end(), [&](const auto& pin) { return pin.second == key; });
    const bool requested =
        std::any_of(adapter_requests_.begin(), adapter_requests_.end(), [&](const adapter_request& request) {
            return adapter_key(request.model_.text(), request.adapter_.text()) == key;
        });
    return !pinned && !requested && !unloading_.contains(key);
}

// Memory used by the models on the engine, with all adapter slots taken as full.
double order_scheduler::used_mb() const {
    double used = 0;
    double largest_adapter = 0;
    for (const auto& [model, adapter_mb] : sizes_->adapter_mb_) {
        largest_adapter = std::max(largest_adapter, adapter_mb);
    }
    for (const fleet::held_model& model : report_->models_) {
        const auto size = sizes_->model_mb_.find(model.name_);
        // A model of unknown size counts as filling the engine, so that nothing is loaded beside it.
        used += size == sizes_->model_mb_.end() ? sizes_->capacity_mb_ : size->second;
    }
    return used + largest_adapter * sizes_->adapter_slots_;
}

void order_scheduler::update_report(const engine::report& new_report, time_ms now) {
    const bool restarted = report_ && report_->incarnation_ != new_report.incarnation_;
    if (restarted) {
        placement_.reset();
        unconfirmed_order_.reset();
        unloading_.clear();
        loading_.clear();
        pins_.clear();
    }
    if (unconfirmed_order_ && new_report.accepted_ > unconfirmed_order_->expected_accepted_) {
        // The engine has accepted this order or, with the same count, another one that rules it out.
        if (loads_from_store(*unconfirmed_order_)) {
            store_load_starts_.push_back(now);
        }
        unconfirmed_order_.reset();
    }
    const bool left_before = report_ && !restarted && report_->leaving_;
    report_ = new_report;
    report_->leaving_ = report_->leaving_ || left_before; // holds until the engine starts again
    const auto resident = [this](const std::string& key) {
        const fleet::model_reference reference = fleet::parse_model_reference(key);
        const fleet::held_model* held = find_model(reference.model_);
        return held != nullptr && held->adapters_.contains(reference.adapter_);
    };
    std::erase_if(unloading_, [&](const auto& entry) {
        return !resident(entry.first) || now - entry.second > unloading_timeout_ms;
    });
    std::erase_if(loading_, [&](const auto& entry) {
        return resident(entry.first) || now - entry.second > loading_timeout_ms;
    });
    std::erase_if(last_requested_, [&](const auto& entry) {
        return !resident(entry.first) && now - entry.second > links::adapter_timeout_ms + loading_timeout_ms;
    });
    std::erase_if(store_load_starts_, [&](time_ms start) { return now - start > store_load_retention_ms; });
    if (placement_ && (find_model(placement_->load_.text()) != nullptr || now > placement_deadline_)) {
        placement_.reset();
    }
}

std::vector<adapter_answer> order_scheduler::resolve_requests(time_ms now) {
    std::vector<adapter_answer> answers;
    if (!report_) {
        return answers;
    }
    std::erase_if(adapter_requests_, [&](const adapter_request& request) {
        const bool ready = has_adapter(request.model_.text(), request.adapter_.text());
        const bool failed =
            find_model(request.model_.text()) == nullptr || request.deadline_ <= now || report_->leaving_;
        if (ready) {
            pins_[request.id_] = adapter_key(request.model_.text(), request.adapter_.text());
        }
        if (ready || failed) {
            answers.push_back({request.id_, ready});
        }
        return ready || failed;
    });
    return answers;
}

std::vector<adapter_answer> order_scheduler::handle_engine_lost() {
    std::vector<adapter_answer> answers;
    for (const adapter_request& request : adapter_requests_) {
        answers.push_back({request.id_, false});
    }
    adapter_requests_.clear();
    pins_.clear();
    placement_.reset();
    return answers;
}

void order_scheduler::set_placement(placement new_placement, time_ms now) {
    sizes_ = new_placement;
    placement_ = std::move(new_placement);
    placement_deadline_ = now + placement_timeout_ms;
}

void order_scheduler::request_adapter(std::uint64_t request_id, const fleet::plain_name& model,
                                      const fleet::plain_name& adapter, time_ms now) {
    last_requested_[adapter_key(model.text(), adapter.text())] = now;
    adapter_requests_.push_back({request_id, model, adapter, now + links::adapter_timeout_ms});
}

void order_scheduler::release_adapter(std::uint64_t request_id) {
    pins_.erase(request_id);
    std::erase_if(adapter_requests_,
                  [&](const adapter_request& request) { return request.id_ == request_id; });
}

engine::order order_scheduler::make_order(bool load, const fleet::plain_name& model,
                                          const fleet::plain_name& adapter) const {
    engine::order order;
    order.load_ = load;
    order.model_ = model;
    order.adapter_ = adapter;
    order.engine_ = report_->engine_;
    order.expected_accepted_ = report_->accepted_;
    order.holder_ = holder_;
    // This agent is the only holder for the lifetime of the engine, so the incarnation serves as the token.
    order.fencing_token_ = report_->incarnation_;
    return order;
}

std::optional<engine::order> order_scheduler::next_order(time_ms now) {
    // An order without the engine's id could be carried out by another engine that takes over the address.
    if (!report_ || report_->engine_.empty() || order_in_flight_ || now < paused_until_) {
        return std::nullopt;
    }
    std::optional<engine::order> order;
    if (unconfirmed_order_ && !report_->leaving_) {
        // The engine accepts only one of two orders with the same count, so the order can be repeated safely.
        order = unconfirmed_order_;
    } else {
        order = next_adapter_order();
        if (!order) {
            order = next_placement_order();
        }
    }
    order_in_flight_ = order;
    return order;
}

// Returns the order for the oldest adapter request that needs one. An engine that is carrying out another
// order refuses adapter orders as well.
std::optional<engine::order> order_scheduler::next_adapter_order() {
    if (report_->busy_ || report_->leaving_ || max_adapters_ == 0) {
        return std::nullopt;
    }
    for (const adapter_request& request : adapter_requests_) {
        const std::string key = adapter_key(request.model_.text(), request.adapter_.text());
        if (has_adapter(request.model_.text(), request.adapter_.text()) || is_adapter_loading(key) ||
            unloading_.contains(key)) {
            continue;
        }
        if (count_adapters() < max_adapters_) {
            return make_order(true, request.model_, request.adapter_);
        }
        return next_eviction_order();
    }
    return std::nullopt;
}

// Returns an order to unload the least recently requested adapter that no request uses.
std::optional<engine::order> order_scheduler::next_eviction_order() {
    std::optional<engine::order> oldest;
    time_ms oldest_at = 0;
    for (const fleet::held_model& model : report_->models_) {
        for (const std::string& adapter : model.adapters_) {
            const std::string key = adapter_key(model.name_, adapter);
            if (!is_evictable(key)) {
                continue;
            }
            const auto requested = last_requested_.find(key);
            const time_ms at = requested == last_requested_.end() ? 0 : requested->second;
            const auto model_name = fleet::plain_name::parse(model.name_);
            const auto adapter_name = fleet::plain_name::parse(adapter);
            if (model_name && adapter_name && (!oldest || at < oldest_at)) {
                oldest_at = at;
                oldest = make_order(false, *model_name, *adapter_name);
            }
        }
    }
    return oldest;
}

std::optional<engine::order> order_scheduler::next_placement_order() {
    if (!placement_ || report_->busy_ || report_->leaving_) {
        return std::nullopt;
    }
    for (const fleet::plain_name& model : placement_->drop_) {
        if (find_model(model.text()) != nullptr) {
            return make_order(false, model, {});
        }
    }
    const auto size = placement_->model_mb_.find(placement_->load_.text());
    if (size == placement_->model_mb_.end() || used_mb() + size->second > placement_->capacity_mb_) {
        placement_.reset();
        return std::nullopt;
    }
    return make_order(true, placement_->load_, {});
}

bool order_scheduler::loads_from_store(const engine::order& order) const {
    return order.load_ && order.adapter_.empty() && report_ &&
           !report_->cached_models_.contains(order.model_.text());
}

void order_scheduler::handle_answer(engine::order_answer answer, time_ms now) {
    const std::optional<engine::order> order = std::exchange(order_in_flight_, std::nullopt);
    if (!order) {
        return;
    }
    switch (answer) {
    case engine::order_answer::accepted:
    case engine::order_answer::done: {
        if (loads_from_store(*order) && answer == engine::order_answer::accepted) {
            store_load_starts_.push_back(now);
        }
        unconfirmed_order_.reset();
        if (!order->adapter_.empty()) {
            (order->load_ ? loading_
                          : unloading_)[adapter_key(order->model_.text(), order->adapter_.text())] = now;
        }
        if (report_) {
            ++report_->accepted_;
        }
        if (report_ && order->adapter_.empty()) {
            // The engine counts as busy until its next report.
            report_->busy_ = true;
        }
        paused_until_ = now + (order->adapter_.empty() ? order_pause_ms : 0);
        return;
    }
    case engine::order_answer::unknown:
        unconfirmed_order_ = order;
        paused_until_ = now + order_pause_ms;
        return;
    case engine::order_answer::conflict:
        paused_until_ = now + order_pause_ms;
        return;
    case engine::order_answer::invalid:
        handle_refused_order(*order);
        paused_until_ = now + order_pause_ms;
        return;
    case engine::order_answer::fenced:
    case engine::order_answer::wrong_engine:
        unconfirmed_order_.reset();
        placement_.reset();
        paused_until_ = now + order_pause_ms;
        return;
    }
}

// Handles an order that the engine will never carry out, as it is. It says nothing of other orders.
void order_scheduler::handle_refused_order(const engine::order& order) {
    unconfirmed_order_.reset();
    if (order.adapter_.empty()) {
        placement_.reset();
        return;
    }
    for (adapter_request& request : adapter_requests_) {
        if (request.model_ == order.model_ && request.adapter_ == order.adapter_) {
            request.deadline_ = 0; // `resolve_requests` answers requests past their deadline as failed
        }
    }
}

std::string order_scheduler::loading_model() const {
    return placement_ ? placement_->load_.text() : std::string();
}

} // namespace tamarack::engine_agent
