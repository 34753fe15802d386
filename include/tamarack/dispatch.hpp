// Request dispatch: the choice of an endpoint, retries after a failed send, and admission.
//
// Nothing here does I/O or reads a clock: callers pass the observed state and the time.
#pragma once

#include "tamarack/fleet.hpp"

#include <array>
#include <span>

namespace tamarack::dispatch {

// How one send of a request to an endpoint ended.
enum class send_end {
    answered,      // the endpoint sent a complete response
    rejected,      // the endpoint confirmed that it did not run the request
    not_connected, // no byte was sent
    withheld,      // no byte was sent, since the endpoint's limit on requests was used up
    broken,        // any other failure; the request may have run
};

std::string_view to_string(send_end end);

// What the gateway does after a send.
enum class next_step {
    deliver,   // forward the endpoint's response to the client
    try_again, // send the request to another endpoint
    refuse,    // tell the client that the request did not run
    fail,      // tell the client that the outcome is unknown
};

std::string_view to_string(next_step step);

// A send that ended, and what limits another one.
struct send_facts {
    send_end end_ = send_end::broken;
    bool repeatable_ = false;          // the request may run more than once
    bool may_have_run_before_ = false; // the request may have run in an earlier send
    bool failure_status_ = false;      // the response has a server error status
    int sends_that_may_have_run_ = 0;  // including this one
    int max_attempts_ = 1;
    bool budget_left_ = true;    // the retry budget allows another send
    bool time_left_ = true;      // another endpoint could still respond before the deadline
    bool other_endpoint_ = true; // an untried endpoint remains
};

// Returns `try_again` only if the request may run more than once or certainly has not run.
next_step after_send(const send_facts& facts);

// Limits for the retries of one service within a sliding window. All gateways together may retry
// `ratio_` times the number of requests, plus `slack_`; each gateway gets an equal share of the slack.
struct retry_limits {
    double ratio_ = 0.2;
    double slack_ = 50;
    time_ms window_ms_ = 10'000;
};

// The gateways among which a common budget is divided.
struct budget_sharers {
    budget_sharers(int count, bool known = true) : count_(count), known_(known) {}

    int count_;  // including this one
    bool known_; // false if this one has not heard the others since it started, and `count_` is assumed
};

// Counts the requests and retries of one service over a sliding window.
//
// A process that has just started does not know how many retries were made in the window before. If all
// gateways restarted at once, all of them may have used their slack. The slack of a process therefore grows
// from zero over its first window. While a process does not know how many share the slack it uses none, since
// any number that it assumes is too small for some fleet.
class retry_window {
public:
    retry_window(retry_limits limits, time_ms started_at) : limits_(limits), started_at_(started_at) {}

    void note_request(time_ms now);
    void note_retry(time_ms now);

    // Whether this gateway, one of `sharers`, may retry once more.
    bool available(time_ms now, const budget_sharers& sharers);

    // Counts a retry that is sent now if it is allowed. Returns whether it is.
    bool take(time_ms now, const budget_sharers& sharers);

private:
    static constexpr std::size_t bucket_count = 20;

    // Counts for one slice of the window.
    struct bucket {
        std::int64_t number_ = -1;
        int requests_ = 0;
        int retries_ = 0;
    };

    time_ms bucket_ms() const { return limits_.window_ms_ / time_ms(bucket_count); }
    bucket& bucket_at(time_ms now);

    retry_limits limits_;
    time_ms started_at_;
    std::array<bucket, bucket_count + 1> buckets_;
};

// An endpoint that a request may be sent to, as this gateway sees it.
struct endpoint_candidate {
    std::string_view id_;
    int slots_ = 1;
    double running_ = 0;               // requests in the batch: last reported, adjusted by own sends since
    double queued_ = 0;                // requests ahead in the endpoint's queue, estimated from its report
    double pending_prompt_tokens_ = 0; // prompt tokens to be read before this request's, of all gateways
    double memory_use_ = 0;            // share of the KV cache that cannot be freed
    double slowness_ = 1;              // time to first event relative to the expected one, at least 1
    double failure_rate_ = 0;          // recent share of failed sends
    double adapter_wait_ms_ = 0;       // time until the requested adapter is resident
    bool suspected_ = false;           // recently unreachable, or its reports are overdue
};

// Timings of a service's engines, learned from their responses.
struct engine_timing {
    double ms_per_prompt_token_ = 0.03;
    double slot_ms_ = 1'000; // time that a request occupies a slot of the batch
    int prompt_samples_ = 0; // first events that `ms_per_prompt_token_` was learned from
};

// Corrects the time for a prompt token after a first event that took `took_ms` where `expected_ms` had been
// expected at an endpoint of usual speed.
void learn_prompt_time(engine_timing& timing, double took_ms, double expected_ms);

// Estimated time until the first event, in ms.
double expected_first_event_ms(const endpoint_candidate& candidate, double prompt_tokens,
                               const engine_timing& timing);

// Returns the index of the candidate with the least expected time, or nothing if there are no candidates.
// `random` selects among near ties: a random number spreads requests of gateways with the same view over
// several endpoints, while a hash of the model and adapter makes these gateways prefer the same one.
std::optional<std::size_t> choose_endpoint(std::span<const endpoint_candidate> candidates,
                                           double prompt_tokens, const engine_timing& timing,
                                           std::uint64_t random);

// Value of Retry-After for a refused client, in ms: `wait_ms` plus a spread drawn with `random`, so that
// clients do not return all at once, capped at the share of the remaining time `left_ms` that clients honour.
time_ms retry_after_ms(time_ms wait_ms, time_ms left_ms, std::uint64_t random);

// Inputs of the admission decision, in ms.
struct admission_facts {
    time_ms wait_ms_ = 0;      // expected time until the first event
    time_ms objective_ms_ = 0; // latency objective for the first event
    time_ms patience_ms_ = 0;  // longest wait for the first event before the client gives up; 0 if unknown
    time_ms left_ms_ = 0;      // time until the deadline
    bool returned_ = false;    // the client was refused before and is retrying

    // Part of the wait in which the endpoint makes the request's adapter resident.
    time_ms adapter_wait_ms_ = 0;

    // Whether at least half of the endpoint's slots are free and no request waits for one.
    bool slots_are_free_ = false;
};

// Whether to admit the request. A request that would miss its objective takes a slot from one that could meet
// it, so its client is told to retry later. A client that retries is admitted if it is likely to be served
// before it gives up, and so is any client that waits for nothing but its adapter.
bool should_admit(const admission_facts& facts);

// Time before a client leaves in which it is told that its stream has failed. It covers an interval between
// two checks of the stream and the way to the client.
inline constexpr time_ms leaving_margin_ms = 300;

// Whether the client is about to abandon its stream: after `patience_ms` without an event (0 if unknown), or
// when no time is left.
bool is_client_about_to_leave(time_ms silent_ms, time_ms patience_ms, time_ms left_ms);

// Priority with which engines admit requests, 0 first: by rank, and within a rank requests that can still
// meet their objective before late ones. A late request loses little by more delay, while one that is in time
// would become late.
int urgency(int rank, bool late);

// Expected wait of a late request, in ms, where `wait_ms` is the wait estimated without priorities. Requests
// that are in time fill the share `load` (may exceed 1) of the slots that serve the model, and late ones get
// the rest, but at least 30 % of the slots, since some become free even under overload.
double late_request_wait_ms(double wait_ms, double load);

// Times of a process that has been told to end.
struct shutdown_schedule {
    time_ms told_at_ = 0;
    time_ms redirected_at_ =
        0; // time at which the platform has noticed, and clients connect to other processes
    time_ms serving_ends_at_ = 0; // when the requests in service get their last response
};

// The times of a request, and whether a client that learned no outcome may simply repeat it.
struct request_times {
    time_ms arrived_at_ = 0;
    time_ms deadline_at_ = 0;
    time_ms objective_ms_ = 0; // latency objective for the first event
    bool repeatable_ = false;  // false for streams, of which the client has seen a part
};

// Whether a process that ends may send the request to an endpoint now. It may if the request ends before the
// process by its own deadline, and, while new connections still come here, in the first half of the time for
// which the process serves. Otherwise there must be time left for its objective. Of the requests that arrived
// when clients could already connect elsewhere, those whose outcome must not be left unknown are then not
// sent: their clients lose less by a refusal.
bool may_begin(const shutdown_schedule& schedule, const request_times& request, time_ms now);

// Failure rate and reachability of one endpoint, learned from the outcome of sends.
class endpoint_health {
public:
    void note_success(time_ms now);
    void note_failure(time_ms now);
    void note_unreachable(time_ms now);

    // Share of failed sends, with exponential decay.
    double failure_rate(time_ms now) const;

    // Whether new requests should avoid the endpoint for now.
    bool suspected(time_ms now) const { return now < suspected_until_; }

private:
    void decay(time_ms now);

    double sends_ = 0;
    double failures_ = 0;
    time_ms decayed_at_ = 0;
    time_ms suspected_until_ = 0;
    time_ms suspicion_ms_ = 0;
};

} // namespace tamarack::dispatch
