#include "tamarack/links.hpp"

#include <algorithm>

namespace tamarack::links {

gateway_digest make_brief(const gateway_digest& digest) {
    gateway_digest brief(digest);
    auto& demand = brief.demand;
    if (demand.size() > brief_demand_models) {
        const auto kept = demand.begin() + std::ptrdiff_t(brief_demand_models);
        std::nth_element(demand.begin(), kept, demand.end(),
                         [](const auto& left, const auto& right) { return left->work > right->work; });
        demand.erase(kept, demand.end());
    }
    return brief;
}

} // namespace tamarack::links
