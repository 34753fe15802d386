#include "tamarack/dispatch.hpp"

#include <algorithm>

namespace tamarack::dispatch {

int urgency(int rank, bool late) {
    constexpr int levels = 10;         // priorities that engines distinguish
    constexpr int levels_per_rank = 2; // in time and late
    return levels_per_rank * std::clamp(rank, 0, levels / levels_per_rank - 1) + (late ? 1 : 0);
}

double late_request_wait_ms(double wait_ms, double load) {
    constexpr double min_free_share = 0.3; // some slots become free even under overload
    return wait_ms / std::max(min_free_share, 1 - load);
}

} // namespace tamarack::dispatch
