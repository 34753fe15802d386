#include "tamarack/fleet.hpp"

namespace tamarack::fleet {

bool is_older(const endpoint_record& candidate, const endpoint_record& known) {
    if (candidate.incarnation_ != known.incarnation_) {
        return candidate.incarnation_ < known.incarnation_;
    }
    return candidate.sequence_ < known.sequence_;
}

bool directory::in_grace_period(time_ms now) const {
    return registry_unreachable_ || now < registry_returned_at_ + registry_return_grace_ms;
}

void directory::apply(const endpoint_change& change, time_ms now) {
    if (const auto* record = std::get_if<endpoint_record>(&change)) {
        const auto known = endpoints_.find(record->id_);
        if (known != endpoints_.end() && is_older(*record, known->second)) {
            return;
        }
        lapsed_.erase(record->id_);
        endpoints_.insert_or_assign(record->id_, *record);
        return;
    }
    const std::string& id = std::get<endpoint_removed>(change).id_;
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        return;
    }
    // The entry of an endpoint that was shutting down is erased. Any other endpoint may merely have been
    // unable to renew its entry.
    if (in_grace_period(now) && !found->second.leaving_) {
        lapsed_.insert(id);
        return;
    }
    lapsed_.erase(id);
    endpoints_.erase(found);
}

void directory::registry_lost(time_ms) {
    registry_unreachable_ = true;
}

void directory::registry_returned(time_ms now) {
    registry_unreachable_ = false;
    registry_returned_at_ = now;
}

bool directory::expire(time_ms now) {
    if (in_grace_period(now) || lapsed_.empty()) {
        return false;
    }
    for (const std::string& id : lapsed_) {
        endpoints_.erase(id);
    }
    lapsed_.clear();
    return true;
}

} // namespace tamarack::fleet
