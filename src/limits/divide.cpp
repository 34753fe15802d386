#include "tamarack/limits.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace tamarack::limits {

namespace {

constexpr double demand_margin = 1.5; // a holder may send more than it wanted last

// How little a claimant wants: 0 if it could use an even part, and one more for each time that this is
// halved. Classes, so that the holders do not change with each change of the demand.
int low_demand_class(const claimant& one, double even_part) {
    constexpr double lowest = 8;
    if (!one.wanted_per_s_ || *one.wanted_per_s_ >= even_part) {
        return 0;
    }
    return int(std::min(lowest, std::ceil(std::log2(even_part / std::max(*one.wanted_per_s_, 1e-9)))));
}

// Gives each holder what it wants or an even part of what is left, and spreads the rest evenly.
std::vector<double> fill(double total, std::span<const double> wanted) {
    std::vector<std::size_t> order(wanted.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    std::sort(order.begin(), order.end(),
              [&](std::size_t left, std::size_t right) { return wanted[left] < wanted[right]; });
    std::vector<double> parts(wanted.size());
    double left = total;
    std::size_t open = wanted.size();
    for (const std::size_t index : order) {
        parts[index] = std::min(wanted[index], left / double(open));
        left -= parts[index];
        --open;
    }
    for (double& part : parts) {
        part += left / double(wanted.size());
    }
    return parts;
}

} // namespace

std::vector<double> divide(std::string_view endpoint, double per_s, std::span<const claimant> claimants) {
    std::vector<double> parts(claimants.size());
    if (claimants.empty()) {
        return parts;
    }
    const double total = used_share * std::max(per_s, min_per_s);
    const auto holders = std::size_t(std::min(max_holders(per_s), double(claimants.size())));
    const double even_part = total / double(holders);
    struct rank {
        int low_demand_ = 0;
        std::uint64_t hash_ = 0;
        std::size_t index_ = 0;
        auto operator<=>(const rank&) const = default;
    };
    std::vector<rank> ranks;
    const std::uint64_t seed = hash64(endpoint);
    for (std::size_t index = 0; index < claimants.size(); ++index) {
        const claimant& one = claimants[index];
        ranks.push_back({low_demand_class(one, even_part), hash64(one.id_, seed), index});
    }
    std::partial_sort(ranks.begin(), ranks.begin() + std::ptrdiff_t(holders), ranks.end());
    std::vector<double> wanted;
    for (std::size_t place = 0; place < holders; ++place) {
        const auto& known = claimants[ranks[place].index_].wanted_per_s_;
        wanted.push_back(known ? demand_margin * *known : std::numeric_limits<double>::max());
    }
    const std::vector<double> filled = fill(total, wanted);
    for (std::size_t place = 0; place < holders; ++place) {
        parts[ranks[place].index_] = filled[place];
    }
    return parts;
}

} // namespace tamarack::limits
