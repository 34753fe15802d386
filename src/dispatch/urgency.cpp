#include "tamarack/dispatch.hpp"

#include <algorithm>

namespace tamarack::dispatch {

int urgency(int rank, bool late) {
    constexpr int levels = 10; // that engines tell apart
    constexpr int steps = 2;   // in time, late
    return std::clamp(steps * rank, 0, levels - steps) + (late ? 1 : 0);
}

double late_request_wait_ms(double wait_ms, double load) {
    constexpr double least_room = 0.3; // some places become free in any case
    return wait_ms / std::max(least_room, 1 - load);
}

} // namespace tamarack::dispatch
