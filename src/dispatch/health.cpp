#include "tamarack/dispatch.hpp"

#include <algorithm>
#include <cmath>

namespace tamarack::dispatch {

namespace {

constexpr double half_life_ms = 2'000;      // half-life of the send and failure counts
constexpr time_ms first_suspicion_ms = 300; // duration of the suspicion after the first failed connection
constexpr time_ms max_suspicion_ms = 2'000;
constexpr double prior_sends = 2; // assumed successes, added to the known sends

} // namespace

void endpoint_health::decay(time_ms now) {
    const double kept_share = std::exp2(-double(std::max<time_ms>(0, now - decayed_at_)) / half_life_ms);
    sends_ *= kept_share;
    failures_ *= kept_share;
    decayed_at_ = now;
}

void endpoint_health::note_success(time_ms now) {
    decay(now);
    sends_ += 1;
    suspected_until_ = 0;
    suspicion_ms_ = 0;
}

void endpoint_health::note_failure(time_ms now) {
    decay(now);
    sends_ += 1;
    failures_ += 1;
}

void endpoint_health::note_unreachable(time_ms now) {
    if (suspected(now)) {
        return;
    }
    suspicion_ms_ = suspicion_ms_ == 0 ? first_suspicion_ms : std::min(max_suspicion_ms, 2 * suspicion_ms_);
    suspected_until_ = now + suspicion_ms_;
}

double endpoint_health::failure_rate(time_ms now) const {
    const double kept_share = std::exp2(-double(std::max<time_ms>(0, now - decayed_at_)) / half_life_ms);
    return failures_ * kept_share / (prior_sends + sends_ * kept_share);
}

} // namespace tamarack::dispatch
