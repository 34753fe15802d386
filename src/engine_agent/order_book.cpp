#include "engine_agent/order_book.hpp"

#include <algorithm>

namespace tamarack::engine_agent {

namespace {

constexpr time_ms want_limit_ms = 1'200;      // for an adapter to become resident
constexpr time_ms placement_limit_ms = 8'000; // for the drops and the load of one placement to begin
constexpr time_ms coming_limit_ms = 1'000;    // for an accepted adapter to show in the reports
constexpr time_ms going_limit_ms = 10'000;    // for the requests that use an unloaded adapter to end
constexpr time_ms conflict_pause_ms = 30;     // before an order is given again that met another one
constexpr time_ms store_load_memory_ms = 20'000;

std::string key_of(std::string_view model, std::string_view adapter) {
    return std::string(model) + "/" + std::string(adapter);
}

} // namespace

const fleet::held_model* order_book::find_model(std::string_view name) const {
    if (!report_) {
        return nullptr;
    }
    const auto found = std::find_if(report_->models_.begin(), report_->models_.end(),
                                    [&](const fleet::held_model& one) { return one.name_ == name; });
    return found == report_->models_.end() ? nullptr : &*found;
}

bool order_book::has_adapter(std::string_view model, std::string_view adapter) const {
    const fleet::held_model* held = find_model(model);
    return held != nullptr && held->adapters_.contains(adapter) && !going_.contains(key_of(model, adapter));
}

std::vector<fleet::held_model> order_book::usable_models() const {
    std::vector<fleet::held_model> usable = report_->models_;
    // The engine refuses new requests for a model from the moment at which it is told to drop it.
    std::erase_if(usable, [&](const fleet::held_model& model) {
        return placement_ && std::find(placement_->drop_.begin(), placement_->drop_.end(), model.name_) !=
                                 placement_->drop_.end();
    });
    for (fleet::held_model& model : usable) {
        std::erase_if(model.adapters_, [&](const std::string& adapter) {
            return going_.contains(key_of(model.name_, adapter));
        });
    }
    return usable;
}

int order_book::adapters_held() const {
    std::set<std::string> held(report_->adapters_in_transit_);
    for (const fleet::held_model& model : report_->models_) {
        for (const std::string& adapter : model.adapters_) {
            held.insert(key_of(model.name_, adapter));
        }
    }
    for (const auto& [key, since] : coming_) {
        held.insert(key);
    }
    return int(held.size());
}

bool order_book::adapter_coming(const std::string& key) const {
    return report_->adapters_in_transit_.contains(key) || coming_.contains(key);
}

// Whether no request uses or wants the adapter.
bool order_book::evictable(const std::string& key) const {
    const bool pinned =
        std::any_of(pins_.begin(), pins_.end(), [&](const auto& pin) { return pin.second == key; });
    const bool wanted = std::any_of(wants_.begin(), wants_.end(),
                                    [&](const want& one) { return key_of(one.model_, one.adapter_) == key; });
    return !pinned && !wanted && !going_.contains(key);
}

double order_book::used_mb() const {
    double used = 0;
    double largest_adapter = 0;
    for (const auto& [model, adapter_mb] : sizes_->adapter_mb_) {
        largest_adapter = std::max(largest_adapter, adapter_mb);
    }
    for (const fleet::held_model& model : report_->models_) {
        const auto size = sizes_->model_mb_.find(model.name_);
        // A model of unknown size fills the engine: nothing is loaded beside it.
        used += size == sizes_->model_mb_.end() ? sizes_->capacity_mb_ : size->second;
    }
    return used + largest_adapter * sizes_->adapter_slots_;
}

void order_book::take_report(const engine::report& given, time_ms now) {
    const bool restarted = report_ && report_->incarnation_ != given.incarnation_;
    if (restarted) {
        placement_.reset();
        doubtful_.reset();
        going_.clear();
        coming_.clear();
        pins_.clear();
    }
    if (doubtful_ && given.accepted_ > doubtful_->expected_accepted_) {
        // It was carried out, or can no longer be.
        if (loads_from_store(*doubtful_)) {
            store_loads_.push_back(now);
        }
        doubtful_.reset();
    }
    report_ = given;
    const auto resident = [this](const std::string& key) {
        const fleet::model_reference reference = fleet::parse_model_reference(key);
        const fleet::held_model* held = find_model(reference.model_);
        return held != nullptr && held->adapters_.contains(reference.adapter_);
    };
    std::erase_if(going_, [&](const auto& entry) {
        return !resident(entry.first) || now - entry.second > going_limit_ms;
    });
    std::erase_if(coming_, [&](const auto& entry) {
        return resident(entry.first) || now - entry.second > coming_limit_ms;
    });
    std::erase_if(store_loads_, [&](time_ms start) { return now - start > store_load_memory_ms; });
    if (placement_ && (find_model(placement_->load_) != nullptr || now > placement_until_)) {
        placement_.reset();
    }
}

std::vector<adapter_answer> order_book::answer_wants(time_ms now) {
    std::vector<adapter_answer> answers;
    if (!report_) {
        return answers;
    }
    std::erase_if(wants_, [&](const want& one) {
        const bool ready = has_adapter(one.model_, one.adapter_);
        const bool hopeless = find_model(one.model_) == nullptr || one.until_ <= now;
        if (ready) {
            pins_[one.number_] = key_of(one.model_, one.adapter_);
        }
        if (ready || hopeless) {
            answers.push_back({one.number_, ready});
        }
        return ready || hopeless;
    });
    return answers;
}

std::vector<adapter_answer> order_book::engine_lost() {
    std::vector<adapter_answer> answers;
    for (const want& one : wants_) {
        answers.push_back({one.number_, false});
    }
    wants_.clear();
    pins_.clear();
    placement_.reset();
    return answers;
}

void order_book::take_placement(placement wanted, time_ms now) {
    sizes_ = wanted;
    placement_ = std::move(wanted);
    placement_until_ = now + placement_limit_ms;
}

void order_book::want_adapter(std::uint64_t number, std::string_view model, std::string_view adapter,
                              time_ms now) {
    last_wanted_[key_of(model, adapter)] = now;
    wants_.push_back({number, std::string(model), std::string(adapter), now + want_limit_ms});
}

void order_book::release_adapter(std::uint64_t number) {
    pins_.erase(number);
    std::erase_if(wants_, [&](const want& one) { return one.number_ == number; });
}

engine::order order_book::make(bool load, std::string_view model, std::string_view adapter) const {
    engine::order one;
    one.load_ = load;
    one.model_ = model;
    one.adapter_ = adapter;
    one.engine_ = report_->engine_;
    one.expected_accepted_ = report_->accepted_;
    one.holder_ = holder_;
    // This agent is the only holder for the whole life of the engine, so the engine's start will do.
    one.fencing_token_ = report_->incarnation_;
    return one;
}

std::optional<engine::order> order_book::next(time_ms now) {
    // Without the engine's name an order could reach whoever has its address later.
    if (!report_ || report_->engine_.empty() || given_ || now < quiet_until_) {
        return std::nullopt;
    }
    std::optional<engine::order> order;
    if (doubtful_) {
        // The engine accepts one of two orders with the same count, so giving it again settles it.
        order = doubtful_;
    } else {
        order = next_adapter_order();
        if (!order) {
            order = next_placement_order();
        }
    }
    given_ = order;
    return order;
}

// An engine that carries out another order refuses those about adapters as well.
std::optional<engine::order> order_book::next_adapter_order() {
    if (report_->busy_ || most_adapters_ == 0) {
        return std::nullopt;
    }
    for (const want& one : wants_) {
        const std::string key = key_of(one.model_, one.adapter_);
        if (has_adapter(one.model_, one.adapter_) || adapter_coming(key) || going_.contains(key)) {
            continue;
        }
        if (adapters_held() < most_adapters_) {
            return make(true, one.model_, one.adapter_);
        }
        return evict_adapter();
    }
    return std::nullopt;
}

// The adapter that was wanted longest ago, and that no request uses, makes way.
std::optional<engine::order> order_book::evict_adapter() {
    std::optional<engine::order> oldest;
    time_ms oldest_at = 0;
    for (const fleet::held_model& model : report_->models_) {
        for (const std::string& adapter : model.adapters_) {
            const std::string key = key_of(model.name_, adapter);
            if (!evictable(key)) {
                continue;
            }
            const auto wanted = last_wanted_.find(key);
            const time_ms at = wanted == last_wanted_.end() ? 0 : wanted->second;
            if (!oldest || at < oldest_at) {
                oldest_at = at;
                oldest = make(false, model.name_, adapter);
            }
        }
    }
    return oldest;
}

std::optional<engine::order> order_book::next_placement_order() {
    if (!placement_ || report_->busy_ || report_->leaving_) {
        return std::nullopt;
    }
    for (const std::string& model : placement_->drop_) {
        if (find_model(model) != nullptr) {
            return make(false, model, "");
        }
    }
    const auto size = placement_->model_mb_.find(placement_->load_);
    if (size == placement_->model_mb_.end() || used_mb() + size->second > placement_->capacity_mb_) {
        placement_.reset();
        return std::nullopt;
    }
    return make(true, placement_->load_, "");
}

bool order_book::loads_from_store(const engine::order& order) const {
    return order.load_ && order.adapter_.empty() && report_ &&
           !report_->cached_models_.contains(order.model_);
}

void order_book::answered(engine::order_answer answer, time_ms now) {
    const std::optional<engine::order> order = std::exchange(given_, std::nullopt);
    if (!order) {
        return;
    }
    switch (answer) {
    case engine::order_answer::accepted:
    case engine::order_answer::done: {
        if (loads_from_store(*order) && answer == engine::order_answer::accepted) {
            store_loads_.push_back(now);
        }
        doubtful_.reset();
        if (!order->adapter_.empty()) {
            (order->load_ ? coming_ : going_)[key_of(order->model_, order->adapter_)] = now;
        }
        if (report_) {
            ++report_->accepted_;
        }
        if (report_ && order->adapter_.empty()) {
            report_->busy_ = true; // until the next report
        }
        quiet_until_ = now + (order->adapter_.empty() ? conflict_pause_ms : 0);
        return;
    }
    case engine::order_answer::unknown:
        doubtful_ = order;
        quiet_until_ = now + conflict_pause_ms;
        return;
    case engine::order_answer::conflict:
        quiet_until_ = now + conflict_pause_ms;
        return;
    case engine::order_answer::fenced:
    case engine::order_answer::wrong_engine:
    case engine::order_answer::invalid:
        doubtful_.reset();
        placement_.reset();
        quiet_until_ = now + conflict_pause_ms;
        return;
    }
}

std::string order_book::loading() const {
    return placement_ ? placement_->load_ : std::string();
}

} // namespace tamarack::engine_agent
