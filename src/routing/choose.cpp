#include "tamarack/routing.hpp"

#include "tamarack/placement.hpp"

#include <algorithm>

namespace tamarack {

namespace {

// Load up to which the preferred endpoint is chosen: this factor times the mean load, plus the slack.
constexpr double affinity_load_factor = 1.25;
constexpr double affinity_load_slack = 1.0;

int preference(const candidate& endpoint) {
    if (endpoint.holds_) {
        return 2;
    }
    return endpoint.home_ ? 1 : 0;
}

std::vector<std::size_t> best_group(std::span<const candidate> candidates) {
    int best = 0;
    for (const candidate& endpoint : candidates) {
        best = std::max(best, preference(endpoint));
    }
    std::vector<std::size_t> group;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (preference(candidates[index]) == best) {
            group.push_back(index);
        }
    }
    return group;
}

double mean_load(std::span<const candidate> candidates, std::span<const std::size_t> group) {
    double total = 0.0;
    for (std::size_t index : group) {
        total += double(candidates[index].load_);
    }
    return total / double(group.size());
}

std::size_t preferred(std::span<const candidate> candidates, std::span<const std::size_t> group,
                      std::uint64_t affinity) {
    auto weight = [&](std::size_t index) { return mix64(affinity, hash64(candidates[index].id_)); };
    return *std::max_element(group.begin(), group.end(), [&](std::size_t left, std::size_t right) {
        return weight(left) < weight(right);
    });
}

std::size_t less_loaded(std::span<const candidate> candidates, std::size_t first, std::size_t second) {
    const candidate& left = candidates[first];
    const candidate& right = candidates[second];
    if (left.load_ != right.load_) {
        return left.load_ < right.load_ ? first : second;
    }
    return left.same_data_centre_ || !right.same_data_centre_ ? first : second;
}

} // namespace

std::optional<std::size_t> choose_endpoint(std::span<const candidate> candidates, std::uint64_t affinity,
                                           std::uint64_t random) {
    if (candidates.empty()) {
        return std::nullopt;
    }
    const std::vector<std::size_t> group = best_group(candidates);
    const std::size_t wanted = preferred(candidates, group, affinity);
    const double bound = affinity_load_factor * mean_load(candidates, group) + affinity_load_slack;
    if (double(candidates[wanted].load_) <= bound) {
        return wanted;
    }
    const std::size_t first = group[random % group.size()];
    const std::size_t second = group[(random >> 32) % group.size()];
    return less_loaded(candidates, first, second);
}

std::optional<std::size_t> choose_by_key(std::span<const candidate> candidates, std::string_view key) {
    std::optional<std::size_t> best;
    std::uint64_t best_weight = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const std::uint64_t weight = rendezvous_weight(key, candidates[index].id_);
        if (!best || weight > best_weight) {
            best = index;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace tamarack
