// Configuration: how a log of published changes becomes the one accepted history of tables.
//
// Every reader applies the same pure function to the same records, so all readers accept the same changes
// without talking to each other. The version of the tables is the log offset of the last accepted change.
#pragma once

#include "tamarack/tables.hpp"

namespace tamarack {

// Version before any change was accepted.
inline constexpr std::int64_t no_version = -1;

// A change as an operator publishes it: rows to put and names to remove, made from the version `base_`.
struct config_change {
    std::string id_;     // unique, chosen by the publisher
    std::string author_; // for the history only
    std::int64_t base_ = no_version;
    std::vector<route_row> put_routes_;
    std::vector<pool_row> put_pools_;
    std::vector<std::string> removed_routes_;
    std::vector<std::string> removed_pools_;
};

// The accepted tables after all records up to and including offset `last_offset_`.
struct config_state {
    std::int64_t version_ = no_version;
    std::int64_t last_offset_ = -1;
    tables tables_;

    bool operator==(const config_state&) const = default;
};

enum class change_outcome { accepted, rejected, ignored };

// What a record did to the state. `reason_` is empty for accepted changes.
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
    std::int64_t time_ms_ = 0; // the log's own clock
    std::string data_;
};

// Applies one record to the state. Records at or below `last_offset_` are ignored. Text that is no change
// (random bytes, snapshots) leaves the tables as they are.
change_result apply_record(config_state& state, const log_record& record);

// The change that turns the tables of `base` into `wanted`.
config_change diff_tables(const config_state& base, const tables& wanted, std::string id, std::string author);

std::string encode_change(const config_change& change);
std::string encode_state(const config_state& state);

// Parses a state that a peer sent or that stands in a snapshot record. Fails with `invalid` for anything
// else.
result<config_state> decode_state(std::string_view text);

// Follows the log from wherever it still begins.
//
// A reader is synchronised once it has read the log from offset zero, adopted a peer's state, or met a
// snapshot whose gap it can fill from the records read since. Only then are its tables usable.
class config_reader {
public:
    // Takes a batch in offset order; `first_retained` is the lowest offset that the log still keeps. Returns
    // the results of the changes that were decided.
    std::vector<change_result> apply_records(std::int64_t first_retained,
                                             std::span<const log_record> records);

    // Takes the state of a peer if it is newer than what this reader has. Returns whether it was taken.
    bool adopt(const config_state& peer_state);

    bool synchronised() const { return synchronised_; }

    // The offset to read next.
    std::int64_t next_offset() const;

    const config_state& state() const { return state_; }

    // Log time of the newest record that can start a new reader: a snapshot, or zero for none yet.
    std::int64_t last_snapshot_time_ms() const { return last_snapshot_time_ms_; }

private:
    void lose_synchronisation(std::int64_t first_retained);
    std::vector<change_result> try_snapshot(const log_record& record);

    config_state state_;
    bool synchronised_ = false;
    std::int64_t pending_first_ = -1;
    std::vector<log_record> pending_;
    std::int64_t last_snapshot_time_ms_ = 0;
};

// Whether a synchronised reader should append a snapshot now, so that a snapshot always stands in the log.
// All arguments in milliseconds of the log's clock; `share` in [0, 1) spreads the instances over time.
bool snapshot_due(std::int64_t last_snapshot_ms, std::int64_t now_ms, std::int64_t retention_ms,
                  double share);

} // namespace tamarack
