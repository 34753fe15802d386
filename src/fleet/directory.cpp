#include "tamarack/fleet.hpp"

namespace tamarack::fleet {

bool is_older(const endpoint_record& candidate, const endpoint_record& known) {
    if (candidate.incarnation_ != known.incarnation_) {
        return candidate.incarnation_ < known.incarnation_;
    }
    return candidate.sequence_ < known.sequence_;
}

const std::string& endpoint_id(const endpoint_change& change) {
    return std::visit([](const auto& one) -> const std::string& { return one.id_; }, change);
}

std::string_view to_string(directory_effect effect) {
    switch (effect) {
    case directory_effect::none:
        return "none";
    case directory_effect::renewed:
        return "renewed";
    case directory_effect::listed:
        return "listed";
    case directory_effect::leaving:
        return "leaving";
    case directory_effect::kept:
        return "kept";
    case directory_effect::removed:
        return "removed";
    }
    return "unknown";
}

bool directory::in_grace_period(time_ms now) const {
    return registry_unreachable_ || now < registry_returned_at_ + registry_return_grace_ms;
}

directory_effect directory::apply(const endpoint_change& change, time_ms now) {
    if (const auto* record = std::get_if<endpoint_record>(&change)) {
        const auto known = endpoints_.find(record->id_);
        const bool listed = known == endpoints_.end() || lapsed_.contains(record->id_);
        if (known != endpoints_.end() && is_older(*record, known->second)) {
            return directory_effect::none;
        }
        const bool left_before = known != endpoints_.end() && known->second.leaving_;
        lapsed_.erase(record->id_);
        endpoints_.insert_or_assign(record->id_, *record);
        if (record->leaving_ && !left_before) {
            return directory_effect::leaving;
        }
        return listed ? directory_effect::listed : directory_effect::renewed;
    }
    const std::string& id = std::get<endpoint_removed>(change).id_;
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        return directory_effect::none;
    }
    // The entry of an endpoint that was shutting down is erased. Any other endpoint may merely have been
    // unable to renew its entry.
    if (in_grace_period(now) && !found->second.leaving_) {
        return lapsed_.insert(id).second ? directory_effect::kept : directory_effect::none;
    }
    lapsed_.erase(id);
    endpoints_.erase(found);
    return directory_effect::removed;
}

void directory::registry_lost(time_ms) {
    registry_unreachable_ = true;
}

void directory::registry_returned(time_ms now) {
    registry_unreachable_ = false;
    registry_returned_at_ = now;
}

std::vector<std::string> directory::expire(time_ms now) {
    if (in_grace_period(now)) {
        return {};
    }
    std::vector<std::string> expired(lapsed_.begin(), lapsed_.end());
    for (const std::string& id : lapsed_) {
        endpoints_.erase(id);
    }
    lapsed_.clear();
    return expired;
}

} // namespace tamarack::fleet
