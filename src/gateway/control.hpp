// The control thread: the store, readiness, planning, signals and metrics.
#pragma once

#include "gateway/seed_exchange.hpp"
#include "gateway/traffic.hpp"
#include "tamarack/http.hpp"

#include <boost/asio/signal_set.hpp>

namespace tamarack::gateway {

class control {
public:
    // `settings_path` is read again on SIGHUP, to tell whether the file is valid and what differs.
    control(const gateway_settings& settings, std::string settings_path, event_log& events);

    // Serves until told to stop. Returns the exit code of the process.
    int run();

private:
    void take_configuration(std::shared_ptr<const fleet::configuration> given, const std::string& encoded);
    void take_endpoints(const std::vector<fleet::endpoint_change>& changes);
    void note_registry(bool reachable);
    void tick();
    void watch_signals();
    void reload();
    void shut_down();
    void await_end(time_ms until);
    bool ready() const;
    boost::asio::awaitable<void> handle_admin(http::exchange& current);
    boost::asio::awaitable<void> handle_metrics(http::exchange& current);

    gateway_settings settings_;
    std::string settings_path_;
    event_log& events_;
    metrics measures_;
    boost::asio::io_context context_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer end_timer_;
    std::unique_ptr<fleet::fleet_source> source_;
    fleet::directory directory_;
    planner planner_;
    traffic traffic_;
    std::unique_ptr<seed_exchange> seeds_;
    http::server admin_;
    http::server metrics_server_;
    std::int64_t version_ = -1;
    bool endpoints_known_ = false;
    bool leaving_ = false;
    time_ms leaving_since_ = 0;
};

} // namespace tamarack::gateway
