// The traffic thread: clients' connections, requests, endpoints' connections and links to agents.
#pragma once

#include "gateway/agent_links.hpp"
#include "gateway/client_session.hpp"
#include "gateway/peers.hpp"
#include "gateway/planner.hpp"
#include "gateway/request_flow.hpp"
#include "tamarack/settings.hpp"

#include <boost/asio/executor_work_guard.hpp>

#include <atomic>
#include <unordered_set>

namespace tamarack::gateway {

// What the traffic thread tells the control thread. Called on the traffic thread.
struct traffic_events {
    std::function<void(std::shared_ptr<const fleet_snapshot>)> plan_; // while this gateway plans
    std::function<void(std::string encoded)> relayed_configuration_;  // newer than the one in force
    std::function<void(std::string bytes)> store_relay_;              // what another gateway read
    std::function<void(bool reads, bool first)> reads_store_;         // whether this gateway is to read
};

class traffic {
public:
    traffic(const gateway_settings& settings, header_names names, metrics& measures, event_log& events,
            traffic_events handlers);

    // Listens for clients. Fails with `unavailable` if the address cannot be had.
    result<done> listen();

    // Serves until `stop`, on the calling thread.
    void run();

    // From any thread.
    void set_configuration(std::shared_ptr<const indexed_configuration> given, std::string encoded);
    void set_endpoints(std::map<std::string, fleet::endpoint_record, std::less<>> records);
    void relay_store(std::string bytes);
    void set_store_reachable(bool reachable) { store_reachable_ = reachable; }
    void give_orders(std::vector<planned_order> orders);
    void drain();
    void close_idle();

    // Refuses requests that were not sent yet, shortly before the process ends.
    void refuse_unsent();
    void stop();
    std::int64_t in_service() const { return in_service_.load(); }

private:
    void accept();
    std::shared_ptr<running_request> begin(std::shared_ptr<response_sink> sink, http::request incoming);
    void tick();
    void send_digest(time_ms now);
    void relay_configuration(time_ms now);
    void report_plan(const fleet_snapshot& seen);
    std::shared_ptr<const fleet_snapshot> snapshot(time_ms now) const;

    gateway_settings settings_;
    std::uint64_t incarnation_;
    metrics& measures_;
    event_log& events_;
    traffic_events handlers_;
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer tick_timer_;
    fleet_state fleet_;
    peers peers_;
    agent_links agents_;
    flow_context flows_;
    session_callbacks session_callbacks_;
    std::unordered_set<std::shared_ptr<response_sink>> sessions_;
    std::string encoded_configuration_;
    time_ms started_at_;
    std::int64_t ticks_ = 0;
    std::atomic<std::int64_t> in_service_ = 0;
    std::atomic<bool> leaving_ = false;
    std::atomic<bool> store_reachable_ = false;
    bool planned_ = false;
    time_ms behind_since_ = 0;
    int reader_rank_ = 0;
};

} // namespace tamarack::gateway
