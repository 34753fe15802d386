#include "tamarack/dispatch.hpp"

#include <algorithm>

namespace tamarack::dispatch {

namespace {

// Share of the allowed retries that is used: gateways learn of each other with a delay, so their number may
// be out of date.
constexpr double used_share = 0.7;

// Retries that a process may make, within its part of the slack, before it has run for a window. The part of
// the ratio that is not used pays for them at gateways that get eight requests a second or more.
constexpr double free_retries = 4;

} // namespace

retry_window::bucket& retry_window::bucket_at(time_ms now) {
    const std::int64_t number = now / bucket_ms();
    bucket& current = buckets_[std::size_t(number) % buckets_.size()];
    if (current.number_ != number) {
        current = bucket{number, 0, 0};
    }
    return current;
}

void retry_window::note_request(time_ms now) {
    ++bucket_at(now).requests_;
}

void retry_window::note_retry(time_ms now) {
    ++bucket_at(now).retries_;
}

bool retry_window::take(time_ms now, const budget_sharers& sharers) {
    if (!available(now, sharers)) {
        return false;
    }
    note_retry(now);
    return true;
}

bool retry_window::available(time_ms now, const budget_sharers& sharers) {
    const std::int64_t newest = now / bucket_ms();
    const auto oldest = newest - std::int64_t(bucket_count);
    int requests = 0;
    int retries = 0;
    for (const bucket& one : buckets_) {
        if (one.number_ >= oldest && one.number_ <= newest) {
            requests += one.requests_;
            retries += one.retries_;
        }
    }
    const double run_share = std::clamp(double(now - started_at_) / double(limits_.window_ms_), 0.0, 1.0);
    const double slack = limits_.slack_ / std::max(1, sharers.count_);
    const double usable_slack = sharers.known_ ? run_share * slack : 0;
    const double allowed = used_share * (limits_.ratio_ * requests + usable_slack);
    return retries + 1 <= std::max(allowed, std::min(slack, free_retries));
}

} // namespace tamarack::dispatch
