#include "tamarack/dispatch.hpp"

#include <algorithm>
#include <numeric>

namespace tamarack::dispatch {

bool may_begin(const shutdown_schedule& schedule, const request_times& request, time_ms now) {
    if (now >= schedule.serving_ends_at_) {
        return false;
    }
    const time_ms half_time = std::midpoint(schedule.told_at_, schedule.serving_ends_at_);
    if (request.deadline_at_ <= schedule.serving_ends_at_ ||
        now < std::min(schedule.redirected_at_, half_time)) {
        return true;
    }
    const bool in_time = now + request.objective_ms_ <= schedule.serving_ends_at_;
    return in_time && (request.repeatable_ || request.arrived_at_ < schedule.redirected_at_);
}

} // namespace tamarack::dispatch
