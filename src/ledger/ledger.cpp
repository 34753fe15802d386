#include "tamarack/ledger.hpp"

#include <algorithm>

namespace tamarack {

std::string_view to_string(order_refusal refusal) {
    switch (refusal) {
    case order_refusal::not_settled:
        return "not_settled";
    case order_refusal::too_many_in_flight:
        return "too_many_in_flight";
    case order_refusal::no_memory:
        return "no_memory";
    case order_refusal::already_in_flight:
        return "already_in_flight";
    case order_refusal::superseded:
        return "superseded";
    case order_refusal::not_resident:
        return "not_resident";
    case order_refusal::already_resident:
        return "already_resident";
    }
    return "unknown";
}

ledger::ledger(const ledger_settings& settings, time_ms started_at)
    : settings_(settings), started_at_(started_at), fence_needed_(settings.fencing_) {}

bool ledger::settled(time_ms now) const {
    if (!state_known_ || fence_needed_) {
        return false;
    }
    return settings_.fencing_ || now >= started_at_ + settings_.settle_ms_;
}

std::optional<order_refusal> ledger::reason_to_refuse(std::string_view item, time_ms now) const {
    if (superseded_) {
        return order_refusal::superseded;
    }
    if (!settled(now)) {
        return order_refusal::not_settled;
    }
    if (in_flight(item)) {
        return order_refusal::already_in_flight;
    }
    if (orders_.size() >= settings_.max_in_flight_) {
        return order_refusal::too_many_in_flight;
    }
    return std::nullopt;
}

std::variant<engine_order, order_refusal> ledger::begin_load(std::string_view item, std::int64_t memory_mb,
                                                             std::int64_t kv_in_use_mb, time_ms now) {
    if (auto reason = reason_to_refuse(item, now)) {
        return *reason;
    }
    if (resident_.contains(item) || loading_.contains(item)) {
        return order_refusal::already_resident;
    }
    const std::int64_t after_mb = weights_mb() + settings_.stale_reserve_mb_ + kv_in_use_mb + memory_mb;
    if (after_mb > capacity_mb_) {
        return order_refusal::no_memory;
    }
    return track_order(order_kind::load, item, memory_mb, now);
}

std::variant<engine_order, order_refusal> ledger::begin_unload(std::string_view item, time_ms now) {
    if (auto reason = reason_to_refuse(item, now)) {
        return *reason;
    }
    auto found = resident_.find(item);
    if (found == resident_.end()) {
        return order_refusal::not_resident;
    }
    return track_order(order_kind::unload, item, found->second, now);
}

engine_order ledger::track_order(order_kind kind, std::string_view item, std::int64_t memory_mb,
                                 time_ms now) {
    engine_order order;
    order.id_ = next_order_++;
    order.kind_ = kind;
    order.item_ = item;
    order.memory_mb_ = memory_mb;
    order.fence_ = fence_;
    order.incarnation_ = settings_.incarnation_;
    orders_.emplace(order.id_, tracked_order{order, order_machine(), now});
    return order;
}

void ledger::order_confirmed(std::uint64_t id) {
    auto found = orders_.find(id);
    if (found != orders_.end()) {
        found->second.machine_.process(order_event::confirmed);
    }
}

void ledger::order_refused(std::uint64_t id) {
    orders_.erase(id);
}

bool ledger::apply_report(const engine_report& report, time_ms now) {
    const bool same_engine = report.engine_incarnation_ == engine_incarnation_;
    const bool stale = same_engine ? report.sequence_ < sequence_
                                   : past_engine_incarnations_.contains(report.engine_incarnation_);
    if (stale) {
        return false;
    }
    if (report.newest_agent_ > settings_.incarnation_) {
        superseded_ = true;
    }
    highest_fence_ = std::max(highest_fence_, report.highest_fence_);
    if (settings_.fencing_ && !same_engine) {
        fence_needed_ = true;
    }
    if (fence_needed_) {
        return true;
    }
    replace_state(report);
    apply_ended_orders(report);
    state_known_ = state_known_ || settings_.fencing_ || now >= started_at_ + settings_.settle_ms_;
    return true;
}

void ledger::replace_state(const engine_report& report) {
    if (report.engine_incarnation_ != engine_incarnation_ && engine_incarnation_ != 0) {
        past_engine_incarnations_.insert(engine_incarnation_);
    }
    engine_incarnation_ = report.engine_incarnation_;
    sequence_ = report.sequence_;
    capacity_mb_ = report.capacity_mb_;
    resident_.clear();
    for (const resident_item& item : report.resident_) {
        resident_.emplace(item.item_, item.memory_mb_);
    }
    loading_.clear();
    for (const resident_item& item : report.loading_) {
        loading_.emplace(item.item_, item.memory_mb_);
    }
}

void ledger::apply_ended_orders(const engine_report& report) {
    for (const ended_order& ended : report.ended_) {
        auto found = orders_.find(ended.id_);
        if (found == orders_.end() || ended.incarnation_ != settings_.incarnation_) {
            continue;
        }
        found->second.machine_.process(ended.applied_ ? order_event::reported_applied
                                                      : order_event::reported_failed);
    }
    erase_ended();
}

void ledger::erase_ended() {
    std::erase_if(orders_, [](const auto& entry) { return entry.second.machine_.ended(); });
}

void ledger::apply_fence(std::uint64_t fence, const engine_report& exact, time_ms) {
    fence_ = fence;
    fence_needed_ = false;
    highest_fence_ = std::max(highest_fence_, fence);
    replace_state(exact);
    apply_ended_orders(exact);
    for (auto& [id, tracked] : orders_) {
        if (tracked.order_.fence_ < fence) {
            tracked.machine_.process(order_event::fenced);
        }
    }
    erase_ended();
    state_known_ = true;
}

void ledger::expire_orders(time_ms now) {
    for (auto& [id, tracked] : orders_) {
        if (now < tracked.began_at_ + settings_.settle_ms_) {
            continue;
        }
        tracked.machine_.process(order_event::settle_time_passed);
        if (settings_.fencing_) {
            fence_needed_ = true;
        } else {
            tracked.machine_.process(order_event::fenced);
        }
    }
    erase_ended();
}

std::uint64_t ledger::next_fence() const {
    return std::max(highest_fence_, fence_) + 1;
}

std::int64_t ledger::weights_mb() const {
    // Each item counts once, with the largest size that a report or an order gives for it.
    std::map<std::string_view, std::int64_t> sizes;
    const auto count = [&](std::string_view item, std::int64_t memory_mb) {
        std::int64_t& size = sizes[item];
        size = std::max(size, memory_mb);
    };
    for (const auto& [item, memory_mb] : resident_) {
        count(item, memory_mb);
    }
    for (const auto& [item, memory_mb] : loading_) {
        count(item, memory_mb);
    }
    for (const auto& [id, tracked] : orders_) {
        count(tracked.order_.item_, tracked.order_.memory_mb_);
    }
    std::int64_t total = 0;
    for (const auto& [item, memory_mb] : sizes) {
        total += memory_mb;
    }
    return total;
}

std::int64_t ledger::kv_budget_mb(std::int64_t kept_for_weights_mb) const {
    const std::int64_t for_weights_mb = std::max(weights_mb(), kept_for_weights_mb);
    return std::max<std::int64_t>(0, capacity_mb_ - settings_.stale_reserve_mb_ - for_weights_mb);
}

std::set<std::string> ledger::ready_items() const {
    std::set<std::string> ready;
    for (const auto& [item, memory_mb] : resident_) {
        ready.insert(item);
    }
    for (const auto& [id, tracked] : orders_) {
        if (tracked.order_.kind_ == order_kind::unload) {
            ready.erase(tracked.order_.item_);
        }
    }
    return ready;
}

bool ledger::in_flight(std::string_view item) const {
    return std::any_of(orders_.begin(), orders_.end(),
                       [&](const auto& entry) { return entry.second.order_.item_ == item; });
}

} // namespace tamarack
