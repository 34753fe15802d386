// Judges a soak by what clients and engines see. Pure: observations and the time go in, broken promises come
// out.
#pragma once

#include "tamarack/kernel.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace tamarack::soak {

// Bounds of the promises, in ms.
struct promises {
    time_ms drain_ms_ = 2'000;        // until a leaving engine gets no more requests
    time_ms stable_ms_ = 3'000;       // after a disturbance, until bounds hold again
    time_ms late_answer_ms_ = 500;    // after a request's time, until it must have its final answer
    time_ms load_window_ms_ = 5'000;  // of the weight store's rate
    int loads_in_window_ = 14;        // rate of 2 a second, a tenth over, and three
    int most_attempts_ = 2;           // engines that may run one repeatable request
    time_ms cancel_ms_ = 500;         // until a run ends whose client has left
    time_ms limit_window_ms_ = 4'000; // in which an engine's limit on its requests is judged
    double limit_share_ = 1.5;        // of the limit that may arrive in that time,
    int limit_slack_ = 5;             // and requests beside it
    int crashes_of_part_ = 5;         // engines that may end under one part of a prompt
    int sends_after_crashes_ = 3;     // requests with it that may still arrive, `stable_ms_` after that
    int crashes_of_request_ = 3;      // engines that may end under one request until the same bound holds
    int least_sound_requests_ = 20;   // fewer requests without it show nothing
    time_ms back_off_told_ms_ = 500;  // a back-off binds its gateway this long after it was asked for
    int sends_in_back_off_ = 2;       // requests that may arrive in it nevertheless
    time_ms limit_told_ms_ = 500;     // until a gateway that got a response with the limit must keep it
    time_ms config_ms_ = 3'000;       // until a change of keys and limits takes effect
    time_ms quota_window_ms_ = 8'000; // in which the limit of an organisation is judged
    double quota_share_ = 1.1;        // of the limit that may be used in that time,
    double quota_slack_ = 17'000;     // and tokens beside it
};

// Whether a request needs the key of an organisation.
enum class key_rule {
    none,   // there are no organisations
    needed, // exactly one key that is in force
    open    // a public route
};

// What a client knows of its request.
struct sent_request {
    std::string id_;
    std::string gateway_;
    bool repeatable_ = false;
    time_ms sent_at_ = 0;
    time_ms limit_ms_ = 0;         // time within which the client wants a final answer
    std::string first_part_;       // id of the first part of its prompt; empty without one
    bool crashing_ = false;        // has the part that ends engines
    std::string crashing_request_; // path of a request that itself ends engines; empty for others
    key_rule key_rule_ = key_rule::none;
    std::vector<std::string> keys_; // values of its key headers
    double tokens_ = 0;             // that count for the limit of its organisation
    bool owed_ = true;              // a refusal can only be the system's fault
};

// What an endpoint received of a request.
struct received_request {
    std::vector<std::string> organisations_; // values of all headers that name an organisation
    std::string text_;                       // of its head and body
};

// What an organisation may use, in tokens.
struct usage_limit {
    double per_s_ = 0;
    double burst_ = 0;
};

// What a client received.
struct received_answer {
    int status_ = 0;       // 0 if the connection ended without one
    bool complete_ = true; // the answer ended as its framing says
    bool genuine_ = true;  // a success bears an engine's stamp and the body that it made
    bool gapless_ = true;  // the events of a stream follow each other
};

class referee {
public:
    explicit referee(promises bounds = {}) : bounds_(bounds) {}

    // A part of the system is disturbed in this span: a gateway or an endpoint by its name, "store", "links"
    // for any connection, or "all". Its bounds do not hold then.
    void disturb(const std::string& part, time_ms from, time_ms until);

    void sent(const sent_request& one);
    void answered(const std::string& id, const received_answer& answer, time_ms now);

    // An engine began to work on a request.
    void ran(const std::string& id, const std::string& engine, time_ms now);

    // An engine accepted an order. `holder` and `token` are as the order named them.
    void ordered(const std::string& engine, std::int64_t incarnation, const std::string& holder,
                 std::int64_t token);
    void holds(const std::string& engine, double used_mb, double capacity_mb, int adapters,
               int adapter_slots);
    void loads_from_store(time_ms now);

    // A request arrived at an engine, whether it runs or is turned away.
    void arrived(const std::string& id, const std::string& engine, time_ms now);

    // From now on an engine names this limit on its requests per second in its responses, or none.
    void limits(const std::string& engine, std::optional<double> per_s, time_ms now);

    // An engine responds to a request with its present limit.
    void told_limit(const std::string& id, const std::string& engine, time_ms now);

    // An engine says in its response to a request that it leaves. Counts for a gateway from the moment at
    // which it has passed on an answer to that request.
    void said_leaving(const std::string& id, const std::string& engine, std::int64_t incarnation);

    // An engine turned a request away and wants no other one of its gateway for this time.
    void asked_back_off(const std::string& id, const std::string& engine, time_ms back_off, time_ms now);

    // A request arrived at one incarnation of an engine.
    void arrived_at(const std::string& id, const std::string& engine, std::int64_t incarnation, time_ms now);

    // A gateway was killed, stopped or suspended, and need not keep what it learned before.
    void forgets(const std::string& gateway);

    // An engine ended as it began to answer a request with the crashing part.
    void crashed_by_part(time_ms now);

    // An engine ended as it began to answer a request with this path.
    void crashed_by_request(const std::string& path, time_ms now);

    // Judges the requests without the crashing part that were sent until now. To be called in the end.
    void check_sound_requests(time_ms now);

    // The registry accepted that the engine leaves.
    void leaves(const std::string& engine, time_ms now) { leaving_since_.try_emplace(engine, now); }
    void returned(const std::string& engine) { leaving_since_.erase(engine); }

    // A process ended by itself.
    void ended(const std::string& process) { broken("a process ended by itself: " + process); }

    // A process that was told to stop still ran after its grace time.
    void overstayed(const std::string& process) { broken("a process did not stop in time: " + process); }

    // A version of the configuration with this key, or without it, was acknowledged. The keys of the first
    // version are added at 0.
    void key_added(const std::string& key, const std::string& organisation, time_ms now);
    void key_revoked(const std::string& key, time_ms now);

    // A version with this limit of an organisation was acknowledged.
    void limits_organisation(const std::string& organisation, const usage_limit& limit, time_ms now);

    // An endpoint began to work on a request that it received in this form.
    void ran_as(const std::string& id, const received_request& seen, time_ms now);

    // Requests without a final answer whose time is over.
    void check_unanswered(time_ms now);

    const std::vector<std::string>& broken_promises() const { return broken_; }
    int requests() const { return int(requests_.size()); }
    int served() const { return served_; }

    // One line for each request that was not served: where and when it was sent, its status, and its runs.
    // Times are relative to `started_at`.
    std::vector<std::string> unserved(time_ms started_at) const;

    // Share of the owed requests sent in a span that were served; 1 if there were none.
    double served_share(time_ms from, time_ms until) const;

private:
    struct request {
        sent_request sent_;
        std::vector<std::string> runs_; // engines
        bool refused_ = false;
        bool served_ = false;
        bool final_ = false;
        int status_ = 0;
        time_ms answered_at_ = 0; // 0 while there is no final answer
    };
    struct span {
        std::string part_;
        time_ms from_ = 0;
        time_ms until_ = 0;
    };
    struct engine_orders {
        std::int64_t incarnation_ = 0;
        std::string holder_;
        std::int64_t token_ = 0;
    };

    // What is known of an engine that names a limit on its requests.
    struct limited_engine {
        time_ms first_named_at_ = 0;
        std::vector<std::pair<time_ms, double>> limits_; // with the times from which they hold
        std::map<std::string, time_ms> told_;            // gateways, by their first response with a limit
        std::deque<std::pair<time_ms, std::string>> arrivals_; // of requests, with their gateways
        int arrived_ = 0;                                      // since the limit was first named
        bool reported_ = false;
    };

    // Engines that ended for one cause, and the requests with it that arrived afterwards.
    struct crash_cause {
        std::vector<time_ms> crashes_;
        int sends_after_ = 0;
        std::set<std::string> counted_; // ids of requests
    };

    // An engine's back-off for one gateway.
    struct back_off {
        time_ms from_ = 0;
        time_ms until_ = 0;
        int arrivals_ = 0;
    };

    // A key that a version of the configuration had.
    struct known_key {
        std::string organisation_;
        time_ms added_at_ = 0;
        std::optional<time_ms> revoked_at_;
    };

    // One request that ran, as it counts for the limit of its organisation.
    struct usage {
        time_ms sent_at_ = 0;
        time_ms ran_at_ = 0;
        double tokens_ = 0;
    };

    struct limited_organisation {
        std::vector<std::pair<time_ms, usage_limit>> limits_; // with the times of their versions
        std::deque<usage> used_;
        std::set<std::string> counted_; // ids of requests
        bool reported_ = false;
    };

    const known_key* sole_key(const sent_request& one) const;
    bool out_of_touch(const std::string& gateway, time_ms from, time_ms until) const;
    void judge_refused_key(const sent_request& one, time_ms now);
    void note_usage(const std::string& organisation, const sent_request& one, time_ms now);
    double allowed_by(const limited_organisation& one, time_ms now) const;
    void broken_rule(const std::string& rule, const std::string& what);

    void note_arrival_after_leaving(const std::string& gateway, const std::string& engine,
                                    std::int64_t incarnation, time_ms now);
    void note_arrival_in_back_off(const std::string& gateway, const std::string& engine, time_ms now);
    void note_crashing_arrival(const request& one, time_ms now);
    void note_crashing_arrival(const std::string& name, crash_cause& cause, int crashes, const request& one,
                               time_ms now);
    static double allowed_by(const limited_engine& one, time_ms from, time_ms until);

    void broken(std::string what) { broken_.push_back(std::move(what)); }
    bool disturbed(const std::string& part, time_ms from, time_ms until) const;

    promises bounds_;
    std::map<std::string, request> requests_;
    std::map<std::string, engine_orders> orders_;
    std::map<std::string, time_ms> leaving_since_;
    std::deque<time_ms> store_loads_;
    std::map<std::string, limited_engine> limited_;
    std::map<std::string, std::pair<std::string, std::int64_t>> said_leaving_; // engines, by request
    // Time at which a gateway passed on that an incarnation of an engine leaves.
    std::map<std::tuple<std::string, std::string, std::int64_t>, time_ms> told_leaving_;
    std::map<std::pair<std::string, std::string>, std::vector<back_off>>
        back_offs_; // key: gateway and engine
    crash_cause crashing_part_;
    std::map<std::string, crash_cause> crashing_requests_; // keyed by path
    std::map<std::string, known_key> keys_;
    std::map<std::string, limited_organisation> organisations_; // that have a limit
    std::map<std::string, int> broken_rules_;                   // how often
    std::vector<span> disturbances_;
    std::vector<std::string> broken_;
    int served_ = 0;
};

} // namespace tamarack::soak
