// The control thread: reads the store, plans placement, and serves readiness, signals and metrics.
#pragma once

#include "gateway/seed_exchange.hpp"
#include "gateway/traffic.hpp"
#include "tamarack/http.hpp"

#include <boost/asio/signal_set.hpp>

namespace tamarack::gateway {

class control {
public:
    // On SIGHUP the file at `settings_path` is read again, to report whether it is valid and whether it
    // differs, and to release the quarantined parts that it names.
    control(const gateway_settings& settings, std::string settings_path, event_log& events);

    // Serves until SIGTERM or SIGINT. Returns the exit code of the process.
    int run();

private:
    void apply_configuration(std::shared_ptr<const fleet::configuration> configuration,
                             const std::string& encoded);
    void log_ignored_terms(const fleet::configuration& configuration);
    void apply_endpoints(const std::vector<fleet::endpoint_change>& changes, const fleet::freshness& current);
    bool erase_expired();
    void log_endpoint(std::string_view id, std::string_view decision);
    void set_store_reachable(bool reachable);
    void watch_signals();
    void check_settings();
    void shut_down();
    void continue_shutdown();
    bool ready() const;
    boost::asio::awaitable<void> handle_admin(http::exchange& current);
    boost::asio::awaitable<void> handle_metrics(http::exchange& current);

    gateway_settings settings_;
    std::string settings_path_;
    event_log& events_;
    metrics measures_;
    boost::asio::io_context context_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer shutdown_timer_;
    std::unique_ptr<fleet::fleet_source> source_;
    fleet::directory directory_;
    fleet::freshness registry_freshness_;
    planner planner_;
    traffic traffic_;
    std::unique_ptr<seed_exchange> seed_exchange_;
    http::server admin_;
    http::server metrics_server_;
    std::int64_t configuration_version_ = -1;
    std::vector<std::string> ignored_terms_; // terms of the configuration in force that are not followed
    bool endpoints_known_ = false;
    bool quarantine_known_ = false;
    bool shutting_down_ = false;

    // Of the shutdown.
    time_ms close_idle_at_ = 0;
    time_ms serving_ends_at_ = 0;
    time_ms exits_at_ = 0;
};

} // namespace tamarack::gateway
