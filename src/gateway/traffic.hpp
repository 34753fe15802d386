// The traffic thread: client connections, requests, endpoint connections and links to agents.
#pragma once

#include "gateway/agent_links.hpp"
#include "gateway/client_listener.hpp"
#include "gateway/end_probe.hpp"
#include "gateway/peers.hpp"
#include "gateway/planner.hpp"
#include "gateway/request_flow.hpp"
#include "tamarack/settings.hpp"

#include <boost/asio/executor_work_guard.hpp>

#include <atomic>

namespace tamarack::gateway {

// Handlers through which the traffic thread notifies the control thread. Called on the traffic thread.
struct traffic_events {
    // A new snapshot to plan from. Called only while this gateway is the planner.
    std::function<void(std::shared_ptr<const fleet_snapshot>)> snapshot_ready_;

    // A configuration from another gateway that is newer than the one in force.
    std::function<void(std::string encoded)> relayed_configuration_;

    // Data that another gateway read from the store.
    std::function<void(fleet::relayed_data)> store_relay_;

    // Whether this gateway is to read the store, and whether it is the first of those that do.
    std::function<void(bool reads, bool first)> store_reader_changed_;

    // What the store should keep of the quarantine, after each change of it or of the gateway that writes it.
    // `writes` tells whether this one does.
    std::function<void(std::map<std::string, std::string> records, bool writes)> quarantine_changed_;
    std::function<void()> quarantine_known_; // this gateway has learned what is quarantined
};

// Totals of an organisation's quota, as last added to the metrics.
struct quota_totals {
    double used_ = 0;
    double refused_ = 0;
    bool own_series_ = false;
};

class traffic {
public:
    traffic(const gateway_settings& settings, header_names names, metrics& measures, event_log& events,
            traffic_events handlers);

    // Listens for clients. Fails with `unavailable` if the address cannot be bound.
    result<done> listen();

    // Serves on the calling thread until `stop` is called.
    void run();

    // The functions below may be called from any thread.

    void set_configuration(std::shared_ptr<const indexed_configuration> configuration, std::string encoded);
    void set_endpoints(std::map<std::string, fleet::endpoint_record, std::less<>> records);

    // To be called after `set_endpoints`, so that the endpoints are at least as current.
    void set_registry_freshness(const fleet::freshness& current);

    // To be called after `set_configuration`, so that the configuration is at least as current.
    void set_configuration_freshness(const fleet::freshness& current);

    void relay_store_reading(fleet::relayed_data data);

    // What the store kept of the quarantine, and the suspects that an operator released.
    void restore_quarantine(std::map<std::string, std::string> records);
    void release_suspects(std::vector<std::string> suspects);
    void set_store_reachable(bool reachable) { store_reachable_ = reachable; }
    void send_orders(std::vector<planned_order> orders);

    // Ends connections after their current response, and stops planning and sending digests. Requests that
    // are not expected to end within the schedule are refused from now on.
    void begin_shutdown(const dispatch::shutdown_schedule& schedule);

    // Stops listening and closes the client connections without a request.
    void close_idle();

    // Refuses the requests that wait to be sent to an endpoint and may no longer be.
    void refuse_unsent();

    // Refuses the requests that have not been received whole.
    void refuse_incomplete();
    bool incomplete_refused() const { return incomplete_refused_; }

    // Gives all requests their last response. To be called shortly before the process ends.
    void end_before_exit();

    void stop();

    // Requests whose responses have not been written to their clients yet.
    std::int64_t in_service() const { return listener_.in_service(); }

private:
    std::shared_ptr<running_request> start_request(std::shared_ptr<response_sink> sink,
                                                   http::request incoming);
    void tick();
    void send_digest(time_ms now);
    void announce_notices();
    void apply_limits(const links::gateway_digest& digest, time_ms late_ms);
    void add_quarantine(links::gateway_digest& digest);
    void apply_leaving(const links::gateway_digest& digest);
    void apply_quarantine(const links::gateway_digest& digest, time_ms late_ms);
    void update_quarantine();
    void add_quotas(links::gateway_digest& digest);
    void apply_quotas(const links::gateway_digest& digest, time_ms late_ms);
    void update_quotas();
    void tell_quarantine_memory();
    void relay_configuration(time_ms now);
    void log_demand(const fleet_snapshot& seen);
    std::shared_ptr<const fleet_snapshot> snapshot(time_ms now) const;

    gateway_settings settings_;
    std::uint64_t incarnation_;
    metrics& measures_;
    event_log& events_;
    traffic_events handlers_;
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard_;
    boost::asio::steady_timer tick_timer_;
    fleet_state fleet_;
    peers peers_;
    agent_links agents_;
    end_probe probes_;
    client_listener listener_;
    flow_context flows_;
    std::string encoded_configuration_;
    time_ms started_at_;
    std::int64_t ticks_ = 0;
    std::atomic<bool> shutting_down_ = false;
    std::atomic<bool> incomplete_refused_ = false;
    std::atomic<bool> store_reachable_ = false;
    bool planning_ = false;
    bool notices_changed_ = false; // the others have not been told
    time_ms digest_sent_at_ = 0;
    time_ms peers_outdated_since_ = 0;
    int reader_rank_ = 0;
    bool quarantine_known_ = false;
    std::map<std::string, quota_totals, std::less<>> quota_totals_; // keyed by organisation
};

} // namespace tamarack::gateway
