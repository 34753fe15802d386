// Ensures that a request with an idempotency key runs at most once.
//
// A bound key names one incarnation of one agent, and the `run_table` of that incarnation alone decides
// whether the request runs. A key that the caller chose may reach several agents; for these the first claim
// in the log decides, which `claim_index` looks up.
#pragma once

#include "tamarack/kernel.hpp"

#include <optional>
#include <span>
#include <unordered_map>

namespace tamarack {

struct log_record;

// 128-bit digest of a key and its organisation.
struct key_digest {
    std::uint64_t high_ = 0;
    std::uint64_t low_ = 0;

    bool operator==(const key_digest&) const = default;
};

struct key_digest_hash {
    std::size_t operator()(const key_digest& digest) const { return std::size_t(digest.high_ ^ digest.low_); }
};

key_digest digest_key(std::string_view organisation, std::string_view key);

// An agent's claim to run the request with a key. An incarnation never makes two different claims for one
// key.
struct claim {
    key_digest key_;
    std::uint64_t body_hash_ = 0;
    std::uint64_t incarnation_ = 0;
    std::string endpoint_; // id of the claiming agent's endpoint, for redirects

    bool operator==(const claim&) const = default;
};

// Encodes claims as the text of one log record.
std::string encode_claims(std::span<const claim> claims);

// Decodes the claims of a log record. Skips malformed claims; returns none for text that is not a claims
// record.
std::vector<claim> decode_claims(std::string_view text);

// The first claim of each key in log order, among the records read so far.
class claim_index {
public:
    // `window_ms` is the time for which claims are kept, by the log's clock.
    explicit claim_index(std::int64_t window_ms) : window_ms_(window_ms) {}

    // Adds the claims of a batch of records in offset order. `first_retained` is the lowest offset that the
    // log still has, and `log_now_ms` is the log's clock. If retention removed records before they were read,
    // `complete_from_ms` moves forward.
    void apply_records(std::int64_t first_retained, std::int64_t log_now_ms,
                       std::span<const log_record> records);

    // Returns the first claim of the key, or null if there is none.
    const claim* find(const key_digest& key) const;

    std::int64_t next_offset() const { return next_offset_; }

    // Log time from which the index is complete. Earlier claims may be missing, so keys issued before it
    // cannot be checked.
    std::int64_t complete_from_ms() const { return complete_from_ms_; }

    std::int64_t log_now_ms() const { return log_now_ms_; }

    std::size_t size() const { return claims_.size(); }

private:
    struct indexed_claim {
        claim claim_;
        std::int64_t time_ms_;
    };

    void remove_expired();

    std::int64_t window_ms_;
    std::int64_t next_offset_ = 0;
    std::int64_t complete_from_ms_ = 0;
    std::int64_t log_now_ms_ = 0;
    std::unordered_map<key_digest, indexed_claim, key_digest_hash> claims_;
    std::multimap<std::int64_t, key_digest> by_time_;
};

// Greatest tolerated difference between the log's clock and the caller's clock that gave a key its issue
// time.
inline constexpr std::int64_t max_clock_skew_ms = 30'000;

enum class key_age { valid, too_old, in_the_future };

// Checks whether the index can decide about a key that its caller issued at `issued_ms`, and why not.
key_age check_key_age(const claim_index& index, std::int64_t issued_ms);

// The response to a finished request, returned to repeats with the same key.
struct stored_response {
    int status_ = 0;
    std::string content_type_;
    std::string body_;
};

// Decisions of the run table.
struct run_now {};       // the request runs here now
struct claim_first {};   // the caller appends a claim, reads the log and calls `resolve_claim`
struct replay_response { // the request has run; `response_` is its response
    stored_response response_;
};
struct still_running {}; // an earlier request with the key is in progress here
struct already_run {};   // the request ran or may have run, and its response is not stored
struct key_conflict {};  // the key belongs to a request with another body
struct held_elsewhere {  // another incarnation claimed the key first
    std::string endpoint_;
    std::uint64_t incarnation_;
};
struct table_full {}; // the table has no room for another key; the request did not run

using run_decision = std::variant<run_now, claim_first, replay_response, still_running, already_run,
                                  key_conflict, held_elsewhere, table_full>;

struct run_table_limits {
    std::size_t keys_ = 200'000;
    std::size_t response_bytes_ = 8 * 1024 * 1024; // total size of all stored response bodies
    time_ms keep_ms_ = 3'600'000;                  // retention of ended runs, by this process's clock
};

// Holds the runs of this incarnation by key. Ended runs may be dropped after `keep_ms_`; the caller refuses
// bound keys that were issued longer ago than that.
class run_table {
public:
    run_table(std::uint64_t incarnation, const run_table_limits& limits)
        : incarnation_(incarnation), limits_(limits) {}

    // Decides about a request whose key names this incarnation. `run_now` marks it as running.
    run_decision begin_bound(const key_digest& key, std::uint64_t body_hash, time_ms now);

    // Decides about a request with a key that the caller chose. `index` must have been read from the log
    // after the key was issued.
    run_decision begin_claimed(const key_digest& key, std::uint64_t body_hash, const claim_index& index,
                               time_ms now);

    // Decides about a repeat from the runs of this incarnation alone, without the log. Returns nothing if the
    // key has no run here or its run was abandoned.
    std::optional<run_decision> decide_repeat(const key_digest& key, std::uint64_t body_hash) const;

    // Decides by the first claim of the key, once `index` contains the claim of this incarnation.
    run_decision resolve_claim(const key_digest& key, std::uint64_t body_hash, const claim_index& index);

    // Records that the request was abandoned before any byte reached the endpoint. The claim stays in the
    // log, so a repeat may run here.
    void abandon(const key_digest& key, time_ms now);

    // Records that the request finished, and stores its response.
    void finish(const key_digest& key, stored_response answer, time_ms now);

    // Records that the request may have run and that its response is lost.
    void finish_unknown(const key_digest& key, time_ms now);

    std::size_t size() const { return runs_.size(); }

private:
    enum class phase { claiming, abandoned, running, finished, unknown };

    struct run {
        phase phase_ = phase::claiming;
        std::uint64_t body_hash_ = 0;
        std::optional<stored_response> response_;
    };

    static bool in_progress(const run& one);
    run_decision decide_by_run(const run& earlier, std::uint64_t body_hash) const;
    run_decision decide_by_claim(const claim& holder, const key_digest& key, std::uint64_t body_hash);
    bool make_room(time_ms now);
    void end_run(const key_digest& key, phase final_phase, time_ms now);
    void drop_oldest_bodies();

    std::uint64_t incarnation_;
    run_table_limits limits_;
    std::unordered_map<key_digest, run, key_digest_hash> runs_;
    std::multimap<time_ms, key_digest> ended_;
    std::size_t stored_bytes_ = 0;
};

// A key issued by the system. It names an endpoint and the incarnation that issued it.
struct bound_key {
    std::string endpoint_;
    std::uint64_t incarnation_ = 0;
    std::int64_t issued_ms_ = 0; // issue time by the clock of that incarnation
    std::uint64_t nonce_ = 0;
};

std::string encode_bound_key(const bound_key& key);

// Parses a bound key. Returns nothing for keys that callers chose.
std::optional<bound_key> decode_bound_key(std::string_view text);

} // namespace tamarack
