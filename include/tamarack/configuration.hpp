// Derives the accepted tables from a log of published changes.
//
// Every reader applies the same pure function to the same records, so all readers accept the same changes
// without communicating. The version of the tables is the log offset of the last accepted change.
#pragma once

#include "tamarack/tables.hpp"

namespace tamarack {

// Version of the tables before the first accepted change.
inline constexpr std::int64_t no_version = -1;

// A change as an operator publishes it: rows to insert or replace, and names of rows to remove, relative to
// the version `base_`.
struct config_change {
    std::string id_;     // unique id that the publisher chose
    std::string author_; // name shown in the history
    std::int64_t base_ = no_version;
    std::vector<route_row> put_routes_;
    std::vector<pool_row> put_pools_;
    std::vector<std::string> removed_routes_;
    std::vector<std::string> removed_pools_;
};

// The accepted tables after all records up to and including `last_offset_`.
struct config_state {
    std::int64_t version_ = no_version;
    std::int64_t last_offset_ = -1;
    tables tables_;

    bool operator==(const config_state&) const = default;
};

enum class change_outcome { accepted, rejected, ignored };

// The result of applying one record. `reason_` is set for rejected changes only.
struct change_result {
    change_outcome kind_ = change_outcome::ignored;
    std::int64_t offset_ = -1;
    std::string id_;
    std::string author_;
    std::string reason_;
};

// A record as the log returns it.
struct log_record {
    std::int64_t offset_ = 0;
    std::int64_t time_ms_ = 0; // time of the append by the log's clock
    std::string data_;
};

// Applies one record to the state. Ignores records at or below `last_offset_`. Text that is not a change,
// such as a snapshot or random bytes, leaves the tables unchanged.
change_result apply_record(config_state& state, const log_record& record);

// Returns the change that turns the tables of `base` into `wanted`.
config_change diff_tables(const config_state& base, const tables& wanted, std::string id, std::string author);

std::string encode_change(const config_change& change);
std::string encode_state(const config_state& state);

// Parses a state that a peer sent or that a snapshot record holds. Returns the error `invalid` for any other
// text.
result<config_state> decode_state(std::string_view text);

// Follows the log from its first retained record.
//
// A reader is synchronised once it has read the log from offset zero, adopted the state of a peer, or read a
// snapshot and all records after the snapshot's last offset. Its tables are usable only then.
class config_reader {
public:
    // Applies a batch of records in offset order. `first_retained` is the lowest offset that the log still
    // has. Returns the results of the records that were applied to the state.
    std::vector<change_result> apply_records(std::int64_t first_retained,
                                             std::span<const log_record> records);

    // Replaces the state by that of a peer if that is newer. Returns whether it was newer.
    bool adopt(const config_state& peer_state);

    bool synchronised() const { return synchronised_; }

    // The offset to read next.
    std::int64_t next_offset() const;

    const config_state& state() const { return state_; }

    // Log time of the newest snapshot record, from which a new reader can start; zero if none was read.
    std::int64_t last_snapshot_time_ms() const { return last_snapshot_time_ms_; }

private:
    void lose_synchronisation(std::int64_t first_retained);
    std::vector<change_result> synchronise_from_snapshot(const log_record& record);

    config_state state_;
    bool synchronised_ = false;
    // Records read while not synchronised, complete from `pending_first_offset_` on; that is -1 while no
    // record was missed.
    std::int64_t pending_first_offset_ = -1;
    std::vector<log_record> pending_;
    std::int64_t last_snapshot_time_ms_ = 0;
};

// Returns whether a synchronised reader should append a snapshot now, so that the log always holds one. All
// times are in ms of the log's clock. `share` in [0, 1) differs between instances, so that they don't all
// append at the same time.
bool snapshot_due(std::int64_t last_snapshot_ms, std::int64_t now_ms, std::int64_t retention_ms,
                  double share);

} // namespace tamarack
