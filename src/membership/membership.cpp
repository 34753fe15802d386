#include "tamarack/membership.hpp"

#include <algorithm>

namespace tamarack {

void membership::apply_list(std::span<const listed_instance> instances) {
    std::set<std::string_view> listed;
    for (const listed_instance& instance : instances) {
        if (instance.role_ != "agent") {
            continue;
        }
        listed.insert(instance.id_);
        endpoints_[instance.id_].instance_ = instance;
    }
    std::erase_if(endpoints_, [&](const auto& entry) {
        return !listed.contains(entry.first) && !entry.second.connected_;
    });
}

void membership::apply_status(std::string_view id, const agent_status& status, time_ms now) {
    auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        return;
    }
    endpoint_view& endpoint = found->second;
    if (status.incarnation_ < endpoint.status_.incarnation_ && heard(endpoint, now)) {
        return;
    }
    const bool same_incarnation = endpoint.status_.incarnation_ == status.incarnation_;
    const bool left_before = same_incarnation && endpoint.status_.leaving_;
    std::vector<std::string> items_before = std::move(endpoint.status_.resident_);
    endpoint.connected_ = true;
    endpoint.last_status_at_ = now;
    endpoint.status_ = status;
    if (status.same_items_ && same_incarnation) {
        endpoint.status_.resident_ = std::move(items_before);
    }
    endpoint.status_.leaving_ = status.leaving_ || left_before;
}

void membership::connection_lost(std::string_view id) {
    auto found = endpoints_.find(id);
    if (found != endpoints_.end()) {
        found->second.connected_ = false;
    }
}

bool membership::heard(const endpoint_view& endpoint, time_ms now) const {
    return endpoint.connected_ && now - endpoint.last_status_at_ <= heartbeat_limit_ms_;
}

bool membership::accepts_new_requests(const endpoint_view& endpoint, time_ms now) const {
    return heard(endpoint, now) && !endpoint.instance_.leaving_ && !endpoint.status_.leaving_;
}

std::vector<const endpoint_view*> membership::pool_endpoints(std::string_view pool) const {
    std::vector<const endpoint_view*> found;
    for (const auto& [id, endpoint] : endpoints_) {
        if (endpoint.instance_.pool_ == pool) {
            found.push_back(&endpoint);
        }
    }
    return found;
}

} // namespace tamarack
