#include "tamarack/dispatch.hpp"

#include <algorithm>

namespace tamarack::dispatch {

namespace {

// Share of the allowed retries that is used: gateways learn of each other with a delay, so their number may
// be out of date.
constexpr double used_share = 0.7;

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

bool retry_window::available(time_ms now, int gateways) {
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
    const double allowed = limits_.ratio_ * requests + limits_.slack_ / std::max(1, gateways);
    return retries + 1 <= used_share * allowed;
}

} // namespace tamarack::dispatch
