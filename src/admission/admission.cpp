#include "tamarack/admission.hpp"

#include <algorithm>

namespace tamarack {

namespace {

// While deferrable requests wait, at least one of this many consecutive starts is deferrable.
constexpr std::int64_t starts_per_deferrable = 8;

constexpr double service_smoothing = 0.2; // weight of a new sample in the moving averages
constexpr std::int64_t min_retry_after_ms = 1'000;

void smooth(double& mean, double sample) {
    mean = mean == 0.0 ? sample : mean + service_smoothing * (sample - mean);
}

} // namespace

std::string_view to_string(refusal_reason reason) {
    switch (reason) {
    case refusal_reason::overloaded:
        return "overloaded";
    case refusal_reason::organisation_limit:
        return "tenant_limit";
    case refusal_reason::expired:
        return "expired";
    case refusal_reason::too_large:
        return "too_large";
    case refusal_reason::leaving:
        return "leaving";
    case refusal_reason::not_held:
        return "not_held";
    case refusal_reason::key_conflict:
        return "key_conflict";
    case refusal_reason::key_too_old:
        return "key_too_old";
    case refusal_reason::claims_down:
        return "claims_down";
    case refusal_reason::unknown_key:
        return "unknown_key";
    case refusal_reason::key_held:
        return "key_held";
    case refusal_reason::endpoint_down:
        return "endpoint_down";
    case refusal_reason::no_route:
        return "no_route";
    case refusal_reason::no_endpoint:
        return "no_endpoint";
    case refusal_reason::not_ready:
        return "not_ready";
    }
    return "unknown";
}

bool key_may_have_run(refusal_reason reason) {
    return reason == refusal_reason::unknown_key || reason == refusal_reason::key_held;
}

bool retriable_elsewhere(refusal_reason reason) {
    switch (reason) {
    case refusal_reason::overloaded:
    case refusal_reason::leaving:
    case refusal_reason::not_held:
    case refusal_reason::endpoint_down:
    case refusal_reason::not_ready:
        return true;
    default:
        return false;
    }
}

admission_actions admission::set_limits(const admission_limits& limits, time_ms now) {
    limits_ = limits;
    return expire(now);
}

admission_actions admission::set_resident(std::set<std::string> items, time_ms now) {
    resident_ = std::move(items);
    return expire(now);
}

std::int64_t admission::service_ms(const admission_request& request) const {
    return std::int64_t(double(request.work_) * mean_ms_per_work_[std::size_t(request.class_)]);
}

// Queued work of one class, in ms of one slot.
double admission::queued_work_ms(traffic_class kind) const {
    std::int64_t work = 0;
    for (const admission_request& waiting : queue_of(kind)) {
        work += waiting.work_;
    }
    return double(work) * mean_ms_per_work_[std::size_t(kind)];
}

std::int64_t admission::organisation_load(const std::string& organisation) const {
    auto found = organisation_load_.find(organisation);
    return found == organisation_load_.end() ? 0 : found->second;
}

std::int64_t admission::expected_wait_ms(traffic_class kind) const {
    const bool free_slot = running() < limits_.slots_;
    if (free_slot && queued() == 0) {
        return 0;
    }
    double work_ms = queued_work_ms(traffic_class::interactive);
    if (kind == traffic_class::deferrable) {
        work_ms += queued_work_ms(traffic_class::deferrable);
    }
    const double next_slot_ms = free_slot ? 0.0 : mean_service_ms_;
    return std::int64_t((work_ms + next_slot_ms) / double(limits_.slots_));
}

std::optional<refusal_reason> admission::reason_to_refuse(const admission_request& request,
                                                          time_ms now) const {
    if (draining_) {
        return refusal_reason::leaving;
    }
    if (limits_.kv_mb_ > 0 && request.kv_mb_ > limits_.kv_mb_) {
        return refusal_reason::too_large;
    }
    if (limits_.organisation_slots_ > 0 &&
        organisation_load(request.organisation_) >= limits_.organisation_slots_) {
        return refusal_reason::organisation_limit;
    }
    if (queued() >= limits_.queue_) {
        return refusal_reason::overloaded;
    }
    const bool resident = request.item_.empty() || resident_.contains(request.item_);
    const std::int64_t load_ms = resident ? 0 : request.load_wait_ms_;
    const std::int64_t finish_in_ms = expected_wait_ms(request.class_) + load_ms + service_ms(request);
    if (now + finish_in_ms > request.deadline_) {
        return resident ? refusal_reason::overloaded : refusal_reason::not_held;
    }
    return std::nullopt;
}

refuse_action admission::refuse(const admission_request& request, refusal_reason reason) const {
    const std::int64_t wait_ms = std::max(expected_wait_ms(request.class_), request.load_wait_ms_);
    return {request.id_, reason, std::max(min_retry_after_ms, wait_ms)};
}

std::optional<refuse_action> admission::preview(const admission_request& request, time_ms now) const {
    if (auto reason = reason_to_refuse(request, now)) {
        return refuse(request, *reason);
    }
    return std::nullopt;
}

admission_actions admission::submit(admission_request request, time_ms now) {
    if (auto refusal = preview(request, now)) {
        return {*refusal};
    }
    ++organisation_load_[request.organisation_];
    queue_of(request.class_).push_back(std::move(request));
    admission_actions actions;
    dispatch(actions);
    return actions;
}

bool admission::startable(const admission_request& request) const {
    const bool resident = request.item_.empty() || resident_.contains(request.item_);
    const bool kv_fits = limits_.kv_mb_ == 0 || kv_in_use_mb_ + request.kv_mb_ <= limits_.kv_mb_;
    return resident && kv_fits;
}

admission::queue::iterator admission::first_startable(traffic_class kind) {
    queue& waiting = queue_of(kind);
    return std::find_if(waiting.begin(), waiting.end(),
                        [&](const admission_request& request) { return startable(request); });
}

bool admission::start_next(admission_actions& actions) {
    if (running() >= limits_.slots_) {
        return false;
    }
    auto interactive = first_startable(traffic_class::interactive);
    auto deferrable = first_startable(traffic_class::deferrable);
    const bool has_interactive = interactive != queue_of(traffic_class::interactive).end();
    const bool has_deferrable = deferrable != queue_of(traffic_class::deferrable).end();
    if (!has_interactive && !has_deferrable) {
        return false;
    }
    const bool deferrable_turn = has_deferrable && starts_since_deferrable_ + 1 >= starts_per_deferrable;
    const traffic_class kind =
        !has_interactive || deferrable_turn ? traffic_class::deferrable : traffic_class::interactive;
    auto chosen = kind == traffic_class::deferrable ? deferrable : interactive;
    starts_since_deferrable_ = kind == traffic_class::deferrable ? 0 : starts_since_deferrable_ + 1;
    kv_in_use_mb_ += chosen->kv_mb_;
    running_.emplace(chosen->id_,
                     running_request{kind, chosen->organisation_, chosen->kv_mb_, chosen->work_});
    actions.push_back(start_action{chosen->id_});
    queue_of(kind).erase(chosen);
    return true;
}

void admission::dispatch(admission_actions& actions) {
    while (start_next(actions)) {
    }
}

admission_actions admission::finish(std::uint64_t id, std::int64_t service_ms, time_ms now) {
    auto found = running_.find(id);
    if (found == running_.end()) {
        return {};
    }
    const double ms_for_work = double(service_ms) / double(std::max<std::int64_t>(1, found->second.work_));
    smooth(mean_ms_per_work_[std::size_t(found->second.class_)], ms_for_work);
    smooth(mean_service_ms_, double(service_ms));
    kv_in_use_mb_ -= found->second.kv_mb_;
    if (--organisation_load_[found->second.organisation_] == 0) {
        organisation_load_.erase(found->second.organisation_);
    }
    running_.erase(found);
    return expire(now);
}

bool admission::withdraw(std::uint64_t id) {
    for (queue& waiting : queues_) {
        auto found = std::find_if(waiting.begin(), waiting.end(),
                                  [&](const admission_request& request) { return request.id_ == id; });
        if (found == waiting.end()) {
            continue;
        }
        if (--organisation_load_[found->organisation_] == 0) {
            organisation_load_.erase(found->organisation_);
        }
        waiting.erase(found);
        return true;
    }
    return false;
}

admission_actions admission::expire(time_ms now) {
    admission_actions actions;
    dispatch(actions);
    for (queue& waiting : queues_) {
        for (std::size_t index = 0; index < waiting.size();) {
            const admission_request request = waiting[index];
            if (now + service_ms(request) <= request.deadline_) {
                ++index;
                continue;
            }
            withdraw(request.id_);
            actions.push_back(refuse(request, refusal_reason::expired));
        }
    }
    return actions;
}

admission_actions admission::drain(time_ms) {
    draining_ = true;
    admission_actions actions;
    for (queue& waiting : queues_) {
        while (!waiting.empty()) {
            const admission_request request = waiting.front();
            withdraw(request.id_);
            actions.push_back(refuse(request, refusal_reason::leaving));
        }
    }
    return actions;
}

} // namespace tamarack
