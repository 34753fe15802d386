// Platform: clients of the services that the platform gives: the append-only log and the instance list.
//
// Both are plain structs of functions, so that tests and other platforms can put their own behind them.
#pragma once

#include "tamarack/configuration.hpp"
#include "tamarack/membership.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace tamarack {

// Records of one stream from some offset on.
struct log_batch {
    std::int64_t first_retained_ = 0; // lowest offset that the log still has
    std::int64_t next_ = 0;           // offset of the next append
    std::int64_t now_ms_ = 0;         // the log's clock
    std::int64_t retention_ms_ = 0;
    std::vector<log_record> records_;
};

struct log_client {
    // Appends one record and returns its offset. After `interrupted` or `timeout` it may have been appended.
    std::function<boost::asio::awaitable<result<std::int64_t>>(std::string stream, std::string data)> append_;

    // Reads records from an offset on; waits up to `wait` for the first one.
    std::function<boost::asio::awaitable<result<log_batch>>(std::string stream, std::int64_t from,
                                                            std::chrono::milliseconds wait)>
        read_;
};

struct instance_list_client {
    std::function<boost::asio::awaitable<result<std::vector<listed_instance>>>()> fetch_;
};

// Clients over HTTP. The log: POST /v1/streams/NAME and GET /v1/streams/NAME?from=N&wait_ms=N.
// The list: GET /v1/instances.
log_client http_log_client(boost::asio::ip::tcp::endpoint remote, std::chrono::milliseconds limit);
instance_list_client http_instance_list_client(boost::asio::ip::tcp::endpoint remote,
                                               std::chrono::milliseconds limit);

// Makes a client from an address; registered by scheme name, "http" among them.
using log_client_factory =
    std::function<log_client(boost::asio::ip::tcp::endpoint, std::chrono::milliseconds)>;
using instance_list_client_factory =
    std::function<instance_list_client(boost::asio::ip::tcp::endpoint, std::chrono::milliseconds)>;

// Follows the configuration stream of the log and keeps the accepted state. Runs on one executor.
class config_follower {
public:
    // `changed` is called with each new accepted state. With `writes_snapshots` the follower renews the
    // snapshot in the log before the retention ends; `share` in [0, 1) spreads the instances over time.
    config_follower(boost::asio::any_io_executor executor, log_client log,
                    std::function<void(const config_state&)> changed, bool writes_snapshots, double share);
    ~config_follower();

    // Begins to follow; ends with the follower.
    void start();

    // Takes the state of a peer if it is newer.
    void apply_peer_state(std::string_view encoded);

    const config_state& state() const;

private:
    struct state_data;
    std::shared_ptr<state_data> data_;
};

// Stream names.
inline constexpr std::string_view config_stream = "config";
std::string claims_stream(std::string_view pool);

} // namespace tamarack
