// The agent beside one engine: reads its reports, gives it orders, and serves the gateways' links.
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

    // Serves until told to stop. Returns the exit code of the process.
    int run();

private:
    struct gateway {
        std::string id_;
        std::shared_ptr<links::link> link_;
        std::map<std::uint64_t, std::uint64_t> wants_; // its numbers of wants, and those of this agent
    };

    // What the gateways were last told; a change is told at once.
    struct pushed_state {
        std::vector<fleet::held_model> models_;
        std::int64_t incarnation_ = 0;
        bool reachable_ = false;
        bool leaving_ = false;
    };

    result<done> listen();
    void watch_signals();
    void accept();
    void take_frame(const std::shared_ptr<gateway>& from, const links::frame& received);
    void release(gateway& from, std::uint64_t theirs);
    void take_placement(const links::placement_order& order);
    void relay(const gateway& from, const links::frame& received);

    void read_report();
    void take_report(result<engine::report> outcome);
    void schedule_report();
    void give_next();
    void answer_wants(const std::vector<adapter_answer>& answers);
    links::engine_status make_status(bool with_models) const;
    void push_status();
    time_ms push_interval_ms() const;
    boost::asio::awaitable<void> handle_metrics(http::exchange& current);

    engine_agent_settings settings_;
    event_log& events_;
    metrics measures_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer report_timer_;
    std::unique_ptr<engine::client> port_;
    order_book book_;
    http::server metrics_server_;
    std::vector<std::shared_ptr<gateway>> gateways_;
    std::map<std::int64_t, std::string> engine_ids_; // by the engine's start, as the registry names them
    std::map<std::uint64_t, std::pair<std::weak_ptr<links::link>, std::uint64_t>>
        wants_; // link and its number
    std::uint64_t next_want_ = 1;
    bool reachable_ = false;
    bool reading_ = false;
    int failures_ = 0;
    time_ms asked_at_ = 0;
    pushed_state pushed_;
    time_ms pushed_at_ = 0;
};

} // namespace tamarack::engine_agent
