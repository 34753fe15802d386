#include "configuration/codec.hpp"

#include <algorithm>

namespace tamarack {

namespace {

// Fractions of the log's retention time, chosen so that the next snapshot is appended well before the log
// drops the last one.
constexpr double snapshot_renewal_fraction = 0.3;
constexpr double snapshot_spread_fraction = 0.3;

} // namespace

std::int64_t config_reader::next_offset() const {
    if (!synchronised_ && !pending_.empty()) {
        return pending_.back().offset_ + 1;
    }
    if (!synchronised_ && pending_first_offset_ > state_.last_offset_ + 1) {
        return pending_first_offset_;
    }
    return state_.last_offset_ + 1;
}

void config_reader::lose_synchronisation(std::int64_t first_retained) {
    synchronised_ = false;
    pending_.clear();
    pending_first_offset_ = first_retained;
}

std::vector<change_result> config_reader::apply_records(std::int64_t first_retained,
                                                        std::span<const log_record> records) {
    const std::int64_t wanted = next_offset();
    if (first_retained <= wanted && !synchronised_ && pending_first_offset_ < 0 && wanted == 0) {
        synchronised_ = true;
    }
    if (first_retained > wanted) {
        lose_synchronisation(first_retained);
    }
    std::vector<change_result> results;
    for (const log_record& record : records) {
        if (is_snapshot(record.data_)) {
            last_snapshot_time_ms_ = std::max(last_snapshot_time_ms_, record.time_ms_);
        }
        if (synchronised_) {
            results.push_back(apply_record(state_, record));
            continue;
        }
        pending_.push_back(record);
        std::vector<change_result> decided = synchronise_from_snapshot(record);
        results.insert(results.end(), decided.begin(), decided.end());
    }
    return results;
}

std::vector<change_result> config_reader::synchronise_from_snapshot(const log_record& record) {
    if (!is_snapshot(record.data_)) {
        return {};
    }
    const result<config_state> snapshot = decode_state(record.data_);
    const bool usable = ok(snapshot) && value(snapshot).last_offset_ + 1 >= pending_first_offset_ &&
                        value(snapshot).last_offset_ < record.offset_ &&
                        value(snapshot).version_ >= state_.version_;
    if (!usable) {
        return {};
    }
    state_ = value(snapshot);
    synchronised_ = true;
    std::vector<change_result> results;
    for (const log_record& later : std::exchange(pending_, {})) {
        results.push_back(apply_record(state_, later));
    }
    pending_first_offset_ = -1;
    return results;
}

bool config_reader::adopt(const config_state& peer_state) {
    const bool newer =
        peer_state.last_offset_ > state_.last_offset_ && peer_state.version_ >= state_.version_;
    if (!newer) {
        return false;
    }
    state_ = peer_state;
    synchronised_ = true;
    pending_.clear();
    pending_first_offset_ = -1;
    return true;
}

bool snapshot_due(std::int64_t last_snapshot_ms, std::int64_t now_ms, std::int64_t retention_ms,
                  double share) {
    const double age = double(now_ms - last_snapshot_ms);
    return age > double(retention_ms) * (snapshot_renewal_fraction + snapshot_spread_fraction * share);
}

} // namespace tamarack
