// The agent of one engine. It reads the engine's reports, sends it orders, and serves the links of gateways.
#pragma once

#include "engine_agent/order_book.hpp"
#include "tamarack/events.hpp"
#include "tamarack/http.hpp"
#include "tamarack/links.hpp"
#include "tamarack/observe.hpp"
#include "tamarack/settings.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace tamarack::engine_agent {

class agent {
public:
    agent(const engine_agent_settings& settings, event_log& events);

    // Serves until SIGTERM or SIGINT. Returns the exit code of the process.
    int run();

private:
    struct gateway {
        std::string id_;
        std::shared_ptr<links::link> link_;
        bool identified_ = false;                            // has said hello
        std::map<std::uint64_t, std::uint64_t> request_ids_; // this agent's id, by the gateway's number
        links::stamp_keeper stamps_;                         // of the gateway
    };

    // The parts of an engine's status whose changes are sent to the gateways without delay.
    struct urgent_state {
        std::vector<fleet::held_model> models_;
        std::int64_t incarnation_ = 0;
        bool reachable_ = false;
        bool leaving_ = false;
    };

    result<done> listen();
    void watch_signals();
    void accept();
    void limit_unidentified();
    void handle_frame(const std::shared_ptr<gateway>& from, const links::frame& received);
    void release_adapter(gateway& from, std::uint64_t number);
    void handle_placement(const links::placement_order& order);
    void relay(const gateway& from, const links::frame& received);
    void relay_digest(const gateway& from, const links::frame& received);
    void relay_store_reading(const gateway& from, const links::store_relay& received);

    void read_report();
    void handle_report(result<engine::report> outcome);
    void schedule_report();
    void send_next_order();
    void send_answers(const std::vector<adapter_answer>& answers);
    links::engine_status make_status(bool with_models) const;

    // Sends the status to all gateways if an urgent part has changed or the interval has passed.
    void send_status();
    time_ms status_interval_ms() const;
    boost::asio::awaitable<void> handle_metrics(http::exchange& current);

    engine_agent_settings settings_;
    event_log& events_;
    metrics measures_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer report_timer_;
    std::unique_ptr<engine::client> engine_client_;
    order_scheduler scheduler_;
    http::server metrics_server_;
    std::vector<std::shared_ptr<gateway>> gateways_;
    std::map<std::int64_t, std::string> engine_ids_; // ids in the registry, by the engine's incarnation
    std::map<std::uint64_t, std::pair<std::weak_ptr<links::link>, std::uint64_t>>
        adapter_requests_; // link and number of the gateway, by this agent's id
    std::uint64_t next_request_id_ = 1;
    bool reachable_ = false;
    bool report_pending_ = false;
    int report_failures_ = 0;
    time_ms report_requested_at_ = 0;
    urgent_state sent_state_;
    time_ms sent_at_ = 0;
};

} // namespace tamarack::engine_agent
