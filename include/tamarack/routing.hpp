// Routing: which endpoint of the pool gets a request, and what to do when an attempt ends. Pure functions.
#pragma once

#include "tamarack/kernel.hpp"

#include <optional>
#include <span>

namespace tamarack {

// An endpoint as a choice for one request.
struct candidate {
    std::string_view id_;
    bool holds_ = false; // the wanted item is resident there
    bool home_ = false;  // it is a home of the wanted model
    bool same_data_centre_ = false;
    std::int64_t load_ = 0; // requests running and queued, as last reported plus those sent since
};

// Chooses among the candidates. Holders go before homes that must load first, and those before the rest.
// Within that group the endpoint that `affinity` prefers is taken while its load is within the bound;
// otherwise the less loaded of two drawn with `random`. Returns an index, or nothing if there is no
// candidate.
std::optional<std::size_t> choose_endpoint(std::span<const candidate> candidates, std::uint64_t affinity,
                                           std::uint64_t random);

// Chooses by key alone, so that repeats of a key meet the same endpoint.
std::optional<std::size_t> choose_by_key(std::span<const candidate> candidates, std::string_view key);

// How an attempt at an endpoint ended.
enum class attempt_end {
    answered,    // the whole answer arrived
    refused,     // the agent confirmed that it was not run and will never be
    not_sent,    // no byte went out
    interrupted, // anything else: it may have run
};

// What the caller is told.
enum class outcome { answered, not_run, unknown };

std::string_view to_string(outcome kind);

// What to do after an attempt.
enum class next_step { finish, try_again };

struct attempt_facts {
    attempt_end end_ = attempt_end::interrupted;
    bool idempotent_ = false;
    bool maybe_ran_before_ = false; // an earlier attempt was interrupted
    bool key_used_before_ = false;  // the refusal says that another instance has or had the key
    bool bytes_delivered_ = false;  // to the caller
    bool retriable_ = true;         // the refusal may go better elsewhere
    std::int64_t budget_ms_ = 0;    // that remains before the deadline
    std::int64_t attempts_made_ = 1;
    bool retry_token_ = true; // the retry budget allows one more
};

struct attempt_decision {
    next_step next_ = next_step::finish;
    outcome outcome_ = outcome::unknown;
};

// Limits of attempts for one request.
inline constexpr std::int64_t max_attempts = 4;

// Decides truthfully: a non-idempotent request is tried again only after "not run" is certain, and nothing is
// tried again once bytes were delivered.
attempt_decision after_attempt(const attempt_facts& facts);

// Limits retries to a fraction of requests, so that a fault never multiplies load.
class retry_budget {
public:
    // `ratio` retries are earned per request; at most `reserve` are kept.
    retry_budget(double ratio, double reserve) : ratio_(ratio), reserve_(reserve), tokens_(reserve) {}

    void request_started();
    bool available() const { return tokens_ >= 1.0; }
    void retry_made() { tokens_ -= 1.0; }

private:
    double ratio_;
    double reserve_;
    double tokens_;
};

} // namespace tamarack
