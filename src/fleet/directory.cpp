#include "tamarack/fleet.hpp"

#include <algorithm>

namespace tamarack::fleet {

bool is_older(const endpoint_record& candidate, const endpoint_record& known) {
    if (candidate.incarnation_ == known.incarnation_) {
        return candidate.sequence_ < known.sequence_;
    }
    const registry_position& position = candidate.position_;
    if (position.offset_ >= 0 && position.epoch_ == known.position_.epoch_) {
        return position.offset_ < known.position_.offset_;
    }
    return candidate.incarnation_ < known.incarnation_;
}

namespace {

// The incarnation of the start that `record` replaces, if it is higher, and 0 otherwise.
std::int64_t replaced_incarnation(const endpoint_record& record, std::int64_t before) {
    return before > record.incarnation_ ? before : 0;
}

} // namespace

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
    case directory_effect::doubted:
        return "doubted";
    case directory_effect::kept:
        return "kept";
    case directory_effect::removed:
        return "removed";
    }
    return "unknown";
}

time_ms age_ms(const freshness& current, time_ms now) {
    return current.as_of_ == never ? -1 : now - current.as_of_;
}

freshness join(const freshness& known, const freshness& received) {
    const freshness& later = received.as_of_ >= known.as_of_ ? received : known;
    const freshness& earlier = received.as_of_ >= known.as_of_ ? known : received;
    freshness joined = later;
    if (later.continuous_since_ - earlier.as_of_ <= max_reading_gap_ms) {
        joined.continuous_since_ = std::min(later.continuous_since_, earlier.continuous_since_);
    }
    return joined;
}

namespace {

bool in_grace_period(const freshness& current) {
    return current.as_of_ < current.continuous_since_ + registry_return_grace_ms;
}

} // namespace

directory_effect directory::apply(const endpoint_change& change, const freshness& current) {
    if (const auto* record = std::get_if<endpoint_record>(&change)) {
        const auto known = endpoints_.find(record->id_);
        const bool listed = known == endpoints_.end() || lapsed_.contains(record->id_);
        if (known != endpoints_.end() && is_older(*record, known->second)) {
            return directory_effect::none;
        }
        const auto departed = departed_.find(record->id_);
        const bool had_left = known == endpoints_.end() && departed != departed_.end() &&
                              record->incarnation_ <= departed->second.incarnation_;
        if (record->rolled_back_ && had_left) {
            return directory_effect::doubted;
        }
        endpoint_record accepted = *record;
        if (known == endpoints_.end()) {
            accepted.replaced_incarnation_ =
                departed == departed_.end() ? 0
                                            : replaced_incarnation(*record, departed->second.incarnation_);
        } else if (known->second.incarnation_ == record->incarnation_) {
            accepted.replaced_incarnation_ = known->second.replaced_incarnation_;
        } else {
            accepted.replaced_incarnation_ = replaced_incarnation(*record, known->second.incarnation_);
        }
        departed_.erase(record->id_);
        const bool left_before = known != endpoints_.end() && known->second.leaving_;
        lapsed_.erase(record->id_);
        endpoints_.insert_or_assign(record->id_, std::move(accepted));
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
    if (in_grace_period(current) && !found->second.leaving_) {
        return lapsed_.insert(id).second ? directory_effect::kept : directory_effect::none;
    }
    erase(id, current);
    return directory_effect::removed;
}

void directory::erase(std::string_view id, const freshness& current) {
    const auto found = endpoints_.find(id);
    std::erase_if(departed_, [&](const auto& entry) {
        return entry.second.as_of_ < current.as_of_ - departed_retention_ms;
    });
    departed_[found->first] = {found->second.incarnation_, current.as_of_};
    lapsed_.erase(found->first);
    endpoints_.erase(found);
}

std::vector<std::string> directory::expire(const freshness& current) {
    if (in_grace_period(current)) {
        return {};
    }
    const std::vector<std::string> expired(lapsed_.begin(), lapsed_.end());
    for (const std::string& id : expired) {
        erase(id, current);
    }
    return expired;
}

} // namespace tamarack::fleet
