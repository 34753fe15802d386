#include "tamarack/provisioning.hpp"

#include <algorithm>

namespace tamarack::provisioning {

namespace {

// Share of the allowed loads that is used. The rest is a margin, since a load is counted when it starts, some
// time after its order.
constexpr double used_share = 0.9;

} // namespace

bool store_load_allowed(std::span<const time_ms> starts, double per_s, double window_s, time_ms now) {
    constexpr double ms_per_s = 1'000;
    const auto window_ms = time_ms(window_s * ms_per_s);
    const auto recent =
        std::count_if(starts.begin(), starts.end(), [&](time_ms start) { return start > now - window_ms; });
    const double allowed = std::max(1.0, per_s * window_s * used_share);
    return double(recent) + 1 <= allowed;
}

} // namespace tamarack::provisioning
