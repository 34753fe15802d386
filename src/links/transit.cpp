#include "tamarack/links.hpp"

#include <algorithm>
#include <utility>

namespace tamarack::links {

void stamp_keeper::note(time_ms sent_at, time_ms now) {
    if (sent_at >= 0) {
        newest_ = received_stamp{sent_at, now};
    }
}

std::optional<echo> stamp_keeper::make_echo(time_ms now) const {
    if (!newest_) {
        return std::nullopt;
    }
    echo returned;
    returned.sent_at = newest_->sent_at_;
    returned.held_ms = std::max<time_ms>(0, now - newest_->received_at_);
    return returned;
}

time_ms max_transit_ms(const echo& returned, time_ms now) {
    return std::max<time_ms>(0, now - returned.sent_at - returned.held_ms);
}

time_ms delay_meter::note(time_ms sent_at, time_ms now) {
    constexpr time_ms period_ms = 60'000;
    const time_ms difference = now - sent_at;
    if (!period_began_at_) {
        period_began_at_ = now;
        least_ = least_before_ = difference;
    } else if (now - *period_began_at_ >= period_ms) {
        period_began_at_ = now;
        least_before_ = std::exchange(least_, difference);
    }
    least_ = std::min(least_, difference);
    return difference - std::min(least_, least_before_);
}

} // namespace tamarack::links
