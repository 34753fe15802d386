// Claims: how a request that may not be repeated runs at most once.
//
// A bound key names one incarnation of one agent; that agent's `run_table` decides alone. A key of the
// caller's own may reach two agents; there the first claim in the log decides, which `claim_index` reads.
#pragma once

#include "tamarack/kernel.hpp"

#include <optional>
#include <span>
#include <unordered_map>

namespace tamarack {

struct log_record;

// 128-bit digest of a key within its organisation.
struct key_digest {
    std::uint64_t high_ = 0;
    std::uint64_t low_ = 0;

    bool operator==(const key_digest&) const = default;
};

struct key_digest_hash {
    std::size_t operator()(const key_digest& digest) const { return std::size_t(digest.high_ ^ digest.low_); }
};

key_digest digest_key(std::string_view organisation, std::string_view key);

// One agent's claim of one key. An incarnation never claims the same key with two claims that differ.
struct claim {
    key_digest key_;
    std::uint64_t body_hash_ = 0;
    std::uint64_t incarnation_ = 0;
    std::string endpoint_; // where the holder can be reached, for redirects

    bool operator==(const claim&) const = default;
};

// Text form of one log record with many claims.
std::string encode_claims(std::span<const claim> claims);
std::vector<claim> decode_claims(std::string_view text);

// The first claim of each key in log order, as far as this reader has read.
class claim_index {
public:
    // `window_ms` is how long claims are kept, by the log's clock.
    explicit claim_index(std::int64_t window_ms) : window_ms_(window_ms) {}

    // Takes a batch in offset order. `first_retained` is the lowest offset that the log still has and
    // `log_now_ms` its clock. Records that were lost to retention before they were read move
    // `complete_from_ms` forward.
    void apply_records(std::int64_t first_retained, std::int64_t log_now_ms,
                       std::span<const log_record> records);

    const claim* find(const key_digest& key) const;

    std::int64_t next_offset() const { return next_offset_; }

    // Claims made before this log time may be missing here; keys issued before it cannot be judged.
    std::int64_t complete_from_ms() const { return complete_from_ms_; }

    std::int64_t log_now_ms() const { return log_now_ms_; }

    std::size_t size() const { return claims_.size(); }

private:
    struct indexed_claim {
        claim claim_;
        std::int64_t time_ms_;
    };

    void forget_old();

    std::int64_t window_ms_;
    std::int64_t next_offset_ = 0;
    std::int64_t complete_from_ms_ = 0;
    std::int64_t log_now_ms_ = 0;
    std::unordered_map<key_digest, indexed_claim, key_digest_hash> claims_;
    std::multimap<std::int64_t, key_digest> by_time_;
};

// Greatest difference between a caller's clock and the log's that is tolerated in the issue time of a key.
inline constexpr std::int64_t max_clock_skew_ms = 30'000;

enum class key_age { valid, too_old, in_the_future };

// Whether a key that its caller issued at `issued_ms` can be judged by this index.
key_age check_key_age(const claim_index& index, std::int64_t issued_ms);

// An answer that repeats of the key get.
struct stored_response {
    int status_ = 0;
    std::string content_type_;
    std::string body_;
};

// Decisions of the run table.
struct run_now {};       // this request runs, now and here
struct claim_first {};   // append a claim, read the log back, then call `resolve_claim`
struct replay_response { // it ran before; this is its answer
    stored_response response_;
};
struct still_running {}; // it runs here at this moment
struct already_run {};   // it ran or may have run; its answer is not held
struct key_conflict {};  // the key belongs to a request with another body
struct held_elsewhere {  // another incarnation claimed the key first
    std::string endpoint_;
    std::uint64_t incarnation_;
};
struct table_full {}; // no room for another key; nothing was run

using run_decision = std::variant<run_now, claim_first, replay_response, still_running, already_run,
                                  key_conflict, held_elsewhere, table_full>;

struct run_table_limits {
    std::size_t keys_ = 200'000;
    std::size_t response_bytes_ = 8 * 1024 * 1024; // of all stored bodies together
    time_ms keep_ms_ = 3'600'000;                  // records of keys, by this process's clock
};

// What this incarnation did about each key. Exact for the keys it may still accept.
class run_table {
public:
    run_table(std::uint64_t incarnation, const run_table_limits& limits)
        : incarnation_(incarnation), limits_(limits) {}

    // A request whose key names this incarnation. `run_now` marks it as running.
    run_decision begin_bound(const key_digest& key, std::uint64_t body_hash, time_ms now);

    // A request with a key of the caller's own; `index` must have been read since the key's issue time.
    run_decision begin_claimed(const key_digest& key, std::uint64_t body_hash, const claim_index& index,
                               time_ms now);

    // What a repeat gets from this incarnation's own record, without the log; nothing if there is none to go
    // by.
    std::optional<run_decision> decide_repeat(const key_digest& key, std::uint64_t body_hash) const;

    // The index has passed this incarnation's claim of the key: who won?
    run_decision resolve_claim(const key_digest& key, std::uint64_t body_hash, const claim_index& index);

    // The request that was about to run was given up on before any byte reached the endpoint. The claim
    // stays, so a repeat may run here.
    void abandon(const key_digest& key, time_ms now);

    // The request ran to its end.
    void finish(const key_digest& key, stored_response answer, time_ms now);

    // The request may have run; its answer is lost.
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
    run_decision repeat_of(const run& earlier, std::uint64_t body_hash) const;
    run_decision judge_holder(const claim& holder, const key_digest& key, std::uint64_t body_hash);
    bool make_room(time_ms now);
    void end(const key_digest& key, phase how, time_ms now);
    void drop_bodies();

    std::uint64_t incarnation_;
    run_table_limits limits_;
    std::unordered_map<key_digest, run, key_digest_hash> runs_;
    std::multimap<time_ms, key_digest> ended_;
    std::size_t stored_bytes_ = 0;
};

// A key that the system issues: it names the endpoint and its incarnation.
struct bound_key {
    std::string endpoint_;
    std::uint64_t incarnation_ = 0;
    std::int64_t issued_ms_ = 0; // of the incarnation's own clock
    std::uint64_t nonce_ = 0;
};

std::string encode_bound_key(const bound_key& key);

// Parses a key; nothing for keys of callers' own.
std::optional<bound_key> decode_bound_key(std::string_view text);

} // namespace tamarack
