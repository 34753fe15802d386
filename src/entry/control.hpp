// The control thread of an entry: follows the log and the instance list, publishes views to the traffic
// threads, serves the admin address and coordinates the shutdown.
#pragma once

#include "entry/shard.hpp"
#include "tamarack/platform.hpp"

#include <boost/asio/signal_set.hpp>

#include <thread>

namespace tamarack::entry {

class control_thread {
public:
    explicit control_thread(const entry_settings& settings);

    // Starts the traffic threads and blocks until SIGTERM or SIGINT has been handled. Returns the exit code:
    // 0 after a shutdown, 1 if an address cannot be listened on.
    int run();

private:
    boost::asio::awaitable<void> poll_instance_list();
    boost::asio::awaitable<void> handle_admin(http::exchange& current);
    boost::asio::awaitable<void> wait_until_idle(std::chrono::steady_clock::time_point until);
    boost::asio::awaitable<void> shut_down();
    void publish_view();
    std::int64_t connected_agents() const;
    bool ready() const;
    std::int64_t requests_in_flight() const;

    entry_settings settings_;
    std::uint64_t incarnation_;
    boost::asio::io_context context_;
    metrics metrics_;
    instance_list_client list_client_;
    config_follower config_;
    http::server admin_;
    std::vector<std::unique_ptr<shard>> shards_;
    std::vector<std::thread> threads_;
    std::vector<listed_instance> instances_;
    time_ms list_as_of_ = -1; // start of the call that fetched `instances_`; -1 before the first one
    bool shutting_down_ = false;
};

} // namespace tamarack::entry
