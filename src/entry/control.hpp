// The control thread of an entry: follows the log and the instance list, gives views to the traffic threads,
// serves the admin address and conducts the shutdown.
#pragma once

#include "entry/shard.hpp"
#include "tamarack/platform.hpp"

#include <boost/asio/signal_set.hpp>

#include <thread>

namespace tamarack::entry {

class control {
public:
    explicit control(const entry_settings& settings);

    // Runs until the process is told to stop. Returns the exit code.
    int run();

private:
    boost::asio::awaitable<void> follow_list();
    boost::asio::awaitable<void> handle_admin(http::exchange& current);
    boost::asio::awaitable<void> shut_down();
    void publish_view();
    bool ready() const;
    std::int64_t in_service() const;

    entry_settings settings_;
    std::uint64_t incarnation_;
    boost::asio::io_context context_;
    metrics measures_;
    instance_list_client list_;
    config_follower config_;
    http::server admin_;
    std::vector<std::unique_ptr<shard>> shards_;
    std::vector<std::thread> threads_;
    std::vector<listed_instance> instances_;
    bool leaving_ = false;
};

} // namespace tamarack::entry
