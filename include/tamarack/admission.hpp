// Admission: which requests an endpoint starts, queues or refuses, by class, organisation, deadline and
// memory.
//
// Nothing here does I/O or reads a clock: callers pass the time and perform the returned actions.
#pragma once

#include "tamarack/tables.hpp"

#include <deque>
#include <set>

namespace tamarack {

enum class refusal_reason {
    overloaded,         // the queue is full or the deadline cannot be met
    organisation_limit, // the organisation has reached its limit at this endpoint
    expired,            // the deadline can no longer be met from the queue
    too_large,          // the request needs more KV cache than the endpoint has
    leaving,            // the endpoint is shutting down
    not_held,           // the item is not resident and cannot be loaded here in time
    key_conflict,       // the key was used with a different request
    key_too_old,        // the key is older than the claims that can be checked
    claims_down,        // the log that records the claims on callers' keys is unreachable
    unknown_key,        // the key names another incarnation
    key_held,           // another instance has claimed the key
    endpoint_down,      // the endpoint refused the connection
    no_route,           // no route matches
    no_endpoint,        // no endpoint of the pool accepts new requests
    not_ready,          // the tables or the endpoint's state are not known yet
};

std::string_view to_string(refusal_reason reason);

// Whether the refusal implies that a request with this key may have run elsewhere, so that the outcome "not
// run" cannot be reported.
bool key_may_have_run(refusal_reason reason);

// Whether another endpoint may accept the refused request.
bool retriable_elsewhere(refusal_reason reason);

// Upper limits for one endpoint.
struct admission_limits {
    std::int64_t slots_ = 1;              // running requests
    std::int64_t organisation_slots_ = 0; // running and queued requests of one organisation; 0 for no limit
    std::int64_t queue_ = 256;            // queued requests
    std::int64_t kv_mb_ = 0;              // KV cache of all running requests together; 0 for no limit
};

struct admission_request {
    std::uint64_t id_ = 0;
    traffic_class class_ = traffic_class::interactive;
    std::string organisation_;
    std::string item_; // item that must be resident before the request starts; empty for plain services
    time_ms deadline_ = 0;
    std::int64_t kv_mb_ = 0;
    std::int64_t load_wait_ms_ = 0; // expected time until the item is resident
    std::int64_t work_ = 1; // size of the request, such as its tokens; service time is assumed proportional
};

// Start the request.
struct start_action {
    std::uint64_t id_;
};

// Refuse the request, which was not started and never will be.
struct refuse_action {
    std::uint64_t id_;
    refusal_reason reason_;
    std::int64_t retry_after_ms_;
};

using admission_action = std::variant<start_action, refuse_action>;
using admission_actions = std::vector<admission_action>;

// Admission control of one endpoint, with a queue for each traffic class.
class admission {
public:
    explicit admission(const admission_limits& limits) : limits_(limits) {}

    // Changes the limits. Running requests are not affected.
    admission_actions set_limits(const admission_limits& limits, time_ms now);

    // Sets the items that are resident now.
    admission_actions set_resident(std::set<std::string> items, time_ms now);

    // Returns the refusal that `submit` would give now, or nothing if it would accept the request.
    std::optional<refuse_action> preview(const admission_request& request, time_ms now) const;

    // Starts, queues or refuses the request. A request that cannot meet its deadline is refused at once.
    admission_actions submit(admission_request request, time_ms now);

    // Records that a started request ended after `service_ms`.
    admission_actions finish(std::uint64_t id, std::int64_t service_ms, time_ms now);

    // Removes a queued request. Returns whether it was still queued, that is, whether it did not run.
    bool withdraw(std::uint64_t id);

    // Refuses queued requests whose deadline can no longer be met.
    admission_actions expire(time_ms now);

    // Refuses all queued requests and every later one.
    admission_actions drain(time_ms now);

    // Expected wait of a new request of the class, in ms.
    std::int64_t expected_wait_ms(traffic_class kind) const;

    std::int64_t running() const { return std::int64_t(running_.size()); }
    std::int64_t queued() const { return std::int64_t(queues_[0].size() + queues_[1].size()); }
    std::int64_t kv_in_use_mb() const { return kv_in_use_mb_; }

private:
    struct running_request {
        traffic_class class_;
        std::string organisation_;
        std::int64_t kv_mb_;
        std::int64_t work_;
    };

    using queue = std::deque<admission_request>;

    queue& queue_of(traffic_class kind) { return queues_[std::size_t(kind)]; }
    const queue& queue_of(traffic_class kind) const { return queues_[std::size_t(kind)]; }
    std::int64_t service_ms(const admission_request& request) const;
    double queued_work_ms(traffic_class kind) const;
    std::int64_t organisation_load(const std::string& organisation) const;
    std::optional<refusal_reason> reason_to_refuse(const admission_request& request, time_ms now) const;
    refuse_action refuse(const admission_request& request, refusal_reason reason) const;
    bool startable(const admission_request& request) const;
    queue::iterator first_startable(traffic_class kind);
    bool start_next(admission_actions& actions);
    void dispatch(admission_actions& actions);

    admission_limits limits_;
    bool draining_ = false;
    std::set<std::string> resident_;
    std::map<std::uint64_t, running_request> running_;
    std::map<std::string, std::int64_t> organisation_load_;
    std::int64_t kv_in_use_mb_ = 0;
    queue queues_[2];
    double mean_ms_per_work_[2] = {0.0, 0.0}; // service time of one unit of work, by class
    double mean_service_ms_ = 0.0;            // service time of one request
    std::int64_t starts_since_deferrable_ = 0;
};

} // namespace tamarack
