// The traffic thread's state of one endpoint: registry record, load, health and idle connections.
#pragma once

#include "net/connection.hpp"
#include "tamarack/dispatch.hpp"
#include "tamarack/links.hpp"

#include <memory>

namespace tamarack::gateway {

// A connection to an endpoint. It carries one request at a time.
struct endpoint_connection : net::connection {
    using connection::connection;

    time_ms idle_since_ = 0;
    time_ms usable_until_ = 0;
    std::vector<std::uint64_t> refused_ids_; // hashes of the ids of requests that were refused over it
    bool idle_ = false;
    bool watched_ = false; // a wait for unexpected bytes or the end of the connection is pending
};

// State of an engine according to its agent's last report.
struct engine_view {
    bool known_ = false;
    bool reachable_ = false;
    bool leaving_ = false;
    std::optional<time_ms> gone_at_; // time when it will be gone, if it leaves at short notice
    std::int64_t incarnation_ = 0;
    int running_ = 0;
    int queued_ = 0;
    int unread_ = 0; // running requests whose prompts are still being read
    double kv_used_ = 0;
    double kv_total_ = 0;
    bool busy_ = false;
    std::string loading_;
    time_ms loading_since_ = 0; // time of the first report that showed this load
    std::vector<fleet::held_model> models_;
    std::set<std::string, std::less<>> cached_models_; // models with weights on its disk or in main memory
    std::vector<time_ms> store_loads_;                 // start times of loads from the weight store
    time_ms reported_at_ = 0;
};

class endpoint : public std::enable_shared_from_this<endpoint> {
public:
    endpoint(fleet::endpoint_record record, boost::asio::any_io_executor executor);
    ~endpoint();

    void update(const fleet::endpoint_record& record);
    const fleet::endpoint_record& record() const { return record_; }

    // Whether new requests may be sent to this endpoint.
    bool accepts_requests() const;

    // Whether reports of the engine's agent are missing, for example because its instance has stalled. Agents
    // report less often when there are many gateways.
    bool report_overdue(time_ms now, int gateway_count) const;

    // Whether one report is missing. Less certain, and known sooner.
    bool report_missed(time_ms now, int gateway_count) const;

    // The models that the engine holds, as reported by its agent or, without a report, by the registry.
    const std::vector<fleet::held_model>& models() const;
    const fleet::held_model* find_model(std::string_view name) const;

    // The endpoint rejected a request for `model`, empty or with an adapter, as misdirected: what is known of
    // its models is out of date. Until a newer report, or for `rejection_ms`, it counts as not holding it.
    void note_rejection(const std::string& model, time_ms now);
    bool has_rejected(const std::string& model, time_ms now) const;
    void forget_rejections() { rejections_.clear(); }

    // Removes and returns a connection for the request with this id that was idle for at most
    // `longest_idle_ms`; null if there is none. An endpoint may repeat a response that it sent before, so
    // connections with unexpected bytes are closed, and those over which the same id was refused are left
    // out.
    std::shared_ptr<endpoint_connection> take_idle_connection(time_ms now, time_ms longest_idle_ms,
                                                              std::string_view request_id);

    // Keeps a connection for reuse after its response has ended; it expires after `usable_ms`.
    void keep_idle_connection(std::shared_ptr<endpoint_connection> connection, time_ms now,
                              time_ms usable_ms);

    // Whether this gateway may open another connection without exceeding its share of `max_connections`, or 4
    // connections if the share is smaller. There is no limit if `max_connections` is 0.
    bool may_connect(int max_connections, int gateway_count) const;

    // Stops sending requests until the record's address or incarnation changes, for example because another
    // endpoint uses the address now or the registry lists the endpoint no longer.
    void set_gone() { gone_ = true; }

    engine_view engine_;
    dispatch::endpoint_health health_;
    int in_flight_ = 0;                     // attempts of this gateway that have not ended
    int begun_since_report_ = 0;            // attempts begun since the last report, less those ended since
    double prompt_tokens_since_report_ = 0; // prompt tokens of attempts begun since the last report
    double pending_prompt_tokens_ = 0;      // prompt tokens of attempts without a first event
    int connections_ = 0;                   // open connections, including idle ones
    double slowness_ = 1;                   // time to the first event, relative to what was expected
    int waiting_for_place_ = 0;             // requests of this gateway that wait until its limit lets them go

private:
    bool silent_for_reports(time_ms reports, time_ms now, int gateway_count) const;
    void watch_idle_connection(const std::shared_ptr<endpoint_connection>& connection);
    void drop_idle_connection(const std::shared_ptr<endpoint_connection>& connection);

    fleet::endpoint_record record_;
    boost::asio::any_io_executor executor_;
    std::vector<std::shared_ptr<endpoint_connection>> idle_;
    bool gone_ = false;
    std::map<std::string, time_ms> rejections_; // time of the last one of each model
};

} // namespace tamarack::gateway
