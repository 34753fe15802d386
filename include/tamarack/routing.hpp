// Routing: which endpoint of the pool gets a request, and what to do when an attempt ends.
#pragma once

#include "tamarack/kernel.hpp"

#include <optional>
#include <span>

namespace tamarack {

// An endpoint that a request may be sent to.
struct candidate {
    std::string_view id_;
    bool holds_ = false; // the requested item is resident
    bool home_ = false;  // the endpoint is a home of the requested model
    bool same_data_centre_ = false;
    std::int64_t load_ = 0; // running and queued requests: last reported, plus those sent since
};

// Returns the index of the chosen candidate, or nothing if there are no candidates. Endpoints that hold the
// item are preferred to homes that must load it first, and homes to all others. Within the best group, the
// endpoint with the highest rendezvous rank for `affinity` is chosen while its load is within a bound above
// the group's mean, otherwise the less loaded of two endpoints drawn with `random`.
std::optional<std::size_t> choose_endpoint(std::span<const candidate> candidates, std::uint64_t affinity,
                                           std::uint64_t random);

// Chooses by the rendezvous rank for `key` alone, so that requests with the same key reach the same endpoint.
std::optional<std::size_t> choose_by_key(std::span<const candidate> candidates, std::string_view key);

// How an attempt to run a request at an endpoint ended.
enum class attempt_end {
    answered,    // the complete response arrived
    refused,     // the agent confirmed that the request did not run and never will
    not_sent,    // no byte was sent
    interrupted, // any other failure; the request may have run
};

// Outcome that is reported to the caller.
enum class outcome { answered, not_run, unknown };

std::string_view to_string(outcome kind);

// What to do after an attempt ended.
enum class next_step { finish, try_again };

// An attempt that ended, and what limits another one.
struct attempt_facts {
    attempt_end end_ = attempt_end::interrupted;
    bool idempotent_ = false;
    bool maybe_ran_before_ = false; // an earlier attempt was interrupted
    bool key_used_before_ = false;  // the refusal shows that the key may have been used at another instance
    bool bytes_delivered_ = false;  // part of the response reached the caller
    bool retriable_ = true;         // another endpoint may accept the request
    std::int64_t budget_ms_ = 0;    // time left before the deadline
    std::int64_t attempts_made_ = 1;
    bool retry_token_ = true; // the retry budget allows one more attempt
};

// What to do next and, if no attempt follows, which outcome to report.
struct attempt_decision {
    next_step next_ = next_step::finish;
    outcome outcome_ = outcome::unknown;
};

// Most attempts for one request.
inline constexpr std::int64_t max_attempts = 4;

// Decides on a retry and on the outcome. A request that is not idempotent is retried only if the attempt
// certainly did not run it, and no request is retried once bytes were delivered. The outcome `not_run` is
// returned only if no attempt can have run the request.
attempt_decision after_attempt(const attempt_facts& facts);

// Limits retries to a fraction of the requests, so that a fault does not multiply the load.
class retry_budget {
public:
    // Each request adds `ratio` retries to the budget, which holds at most `reserve`.
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
