// Dispatch: where a request goes, whether it may go again, and when a refused client should return.
//
// Pure: facts and the time go in, a decision comes out.
#pragma once

#include "tamarack/fleet.hpp"

#include <array>
#include <span>

namespace tamarack::dispatch {

// How one sending of a request ended.
enum class send_end {
    answered,      // a whole answer of the endpoint
    rejected,      // the endpoint confirmed that it did not run the request
    not_connected, // no byte went out
    broken,        // anything else; it may have run
};

std::string_view to_string(send_end end);

// What to do next.
enum class next_step {
    deliver,   // pass the endpoint's answer on
    try_again, // send to another endpoint
    refuse,    // tell the client that the request has not run
    fail,      // tell the client that the outcome is unknown
};

std::string_view to_string(next_step step);

struct send_facts {
    send_end end_ = send_end::broken;
    bool repeatable_ = false;          // the request may run more than once
    bool may_have_run_before_ = false; // an earlier sending was broken
    bool failure_status_ = false;      // the answer is a server error
    int sends_that_may_have_run_ = 0;  // this one included
    int max_attempts_ = 1;
    bool budget_left_ = true;    // of the retry budget
    bool time_left_ = true;      // another endpoint could still answer in time
    bool other_endpoint_ = true; // there is one that was not tried
};

// Sends a request again only if it may run twice or is known not to have run.
next_step after_send(const send_facts& facts);

// Retries of one service within a sliding window. All gateways together may add
// `ratio` times the requests plus `slack`; each takes an equal share of the slack.
struct retry_limits {
    double ratio_ = 0.2;
    double slack_ = 50;
    time_ms window_ms_ = 10'000;
};

class retry_window {
public:
    explicit retry_window(retry_limits limits) : limits_(limits) {}

    void note_request(time_ms now);
    void note_retry(time_ms now);

    // Whether one more retry fits, with `gateways` of them in service.
    bool available(time_ms now, int gateways);

private:
    static constexpr std::size_t bucket_count = 20;

    // Requests and retries of one part of the window.
    struct bucket {
        std::int64_t number_ = -1;
        int requests_ = 0;
        int retries_ = 0;
    };

    time_ms bucket_ms() const { return limits_.window_ms_ / time_ms(bucket_count); }
    bucket& bucket_at(time_ms now);

    retry_limits limits_;
    std::array<bucket, bucket_count + 1> buckets_;
};

// An endpoint as a choice for one request, as this gateway sees it.
struct endpoint_candidate {
    std::string_view id_;
    int slots_ = 1;
    double running_ = 0;               // requests in its batch: reported, plus sent and less ended since
    double queued_ = 0;                // requests that wait there, as reported
    double pending_prompt_tokens_ = 0; // prompts that this gateway sent and that have no first event yet
    double memory_use_ = 0;            // share of its KV cache that cannot yield
    double slowness_ = 1;              // its time to the first event against its peers, 1 or more
    double failure_rate_ = 0;          // recent share of failed sends
    double adapter_wait_ms_ = 0;       // until the wanted adapter is resident
    bool suspected_ = false;           // did not connect or went silent a moment ago
};

// Speeds of engines that the gateway learns from answers.
struct engine_timing {
    double ms_per_prompt_token_ = 0.03;
    double slot_ms_ = 1'000; // that a request holds its place in the batch
};

// Estimated time until the first event, in ms.
double expected_first_event_ms(const endpoint_candidate& choice, double prompt_tokens,
                               const engine_timing& pace);

// Chooses the endpoint with the least expected time; `random` breaks near ties, so that gateways with the
// same view do not all choose one. Nothing if there are no options.
std::optional<std::size_t> choose_endpoint(std::span<const endpoint_candidate> options, double prompt_tokens,
                                           const engine_timing& pace, std::uint64_t random);

// When a refused client should return, in ms: after `wait_ms`, spread by `random` so that returns do not
// meet, and within the share of its remaining time that clients honour.
time_ms retry_after_ms(time_ms wait_ms, time_ms left_ms, std::uint64_t random);

// What decides whether a request is taken, in ms.
struct admission_facts {
    time_ms wait_ms_ = 0;      // until its first event
    time_ms objective_ms_ = 0; // for the first event
    time_ms patience_ms_ = 0;  // after which the client leaves; 0 if not known
    time_ms left_ms_ = 0;      // until the deadline
    bool returned_ = false;    // the client was told to return and did
};

// Whether the request should be taken. One that would come late holds a place that others could use in time,
// so its client is told to return; a client that did return is taken as long as it still waits.
bool should_admit(const admission_facts& facts);

// Order in which engines admit requests, 0 first: by rank and, within a rank, those that can still be in time
// before those that cannot. A late answer loses little by more delay, while one that is in time would be
// lost.
int urgency(int rank, bool late);

// Expected wait of a late request, in ms, where in-time requests fill `load` (0 to 1 and above) of the places
// that serve its model: it gets what they leave.
double late_request_wait_ms(double wait_ms, double load);

// Which endpoints fail or went silent, learned from the outcome of sends.
class endpoint_health {
public:
    void note_success(time_ms now);
    void note_failure(time_ms now);
    void note_unreachable(time_ms now);

    // Recent share of failures, fading with time.
    double failure_rate(time_ms now) const;

    // Whether new requests should go elsewhere for now.
    bool suspected(time_ms now) const { return now < suspected_until_; }

private:
    void fade(time_ms now);

    double sends_ = 0;
    double failures_ = 0;
    time_ms faded_at_ = 0;
    time_ms suspected_until_ = 0;
    time_ms suspicion_ms_ = 0;
};

} // namespace tamarack::dispatch
