// Clients of the platform's services: the append-only log and the instance list.
//
// Each client is a struct of functions, so that tests and other platforms can supply their own.
#pragma once

#include "tamarack/configuration.hpp"
#include "tamarack/membership.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace tamarack {

// Records of one stream, from the requested offset on.
struct log_batch {
    std::int64_t first_retained_ = 0; // lowest offset that the log still retains
    std::int64_t next_ = 0;           // offset of the next append
    std::int64_t now_ms_ = 0;         // the log's clock
    std::int64_t retention_ms_ = 0;
    std::vector<log_record> records_;
};

struct log_client {
    // Appends one record and returns its offset. On `interrupted` or `timeout` the record may have been
    // appended.
    std::function<boost::asio::awaitable<result<std::int64_t>>(std::string stream, std::string data)> append_;

    // Reads the records from offset `from` on; waits up to `wait` for the first one.
    std::function<boost::asio::awaitable<result<log_batch>>(std::string stream, std::int64_t from,
                                                            std::chrono::milliseconds wait)>
        read_;
};

struct instance_list_client {
    // Fetches all listed instances.
    std::function<boost::asio::awaitable<result<std::vector<listed_instance>>>()> fetch_;
};

// Clients over HTTP. The log has POST /v1/streams/NAME and GET /v1/streams/NAME?from=N&wait_ms=N, the
// instance list has GET /v1/instances. `limit` is the time limit of a call; a read may take its `wait`
// longer.
log_client http_log_client(boost::asio::ip::tcp::endpoint remote, std::chrono::milliseconds limit);
instance_list_client http_instance_list_client(boost::asio::ip::tcp::endpoint remote,
                                               std::chrono::milliseconds limit);

// Creates a client for an address. Factories are registered by scheme name, such as "http".
using log_client_factory =
    std::function<log_client(boost::asio::ip::tcp::endpoint, std::chrono::milliseconds)>;
using instance_list_client_factory =
    std::function<instance_list_client(boost::asio::ip::tcp::endpoint, std::chrono::milliseconds)>;

// Follows the configuration stream of the log and holds the accepted state. Not thread-safe; runs on
// the given executor.
class config_follower {
public:
    // `on_change` is called with each new accepted state. With `writes_snapshots`, the follower appends a new
    // snapshot to the log before the retention removes the last one. The larger `share`, a number in [0, 1),
    // the later it does so, which spreads the snapshots of the instances over time.
    config_follower(boost::asio::any_io_executor executor, log_client log,
                    std::function<void(const config_state&)> on_change, bool writes_snapshots, double share);
    ~config_follower();

    // Starts following; the destructor stops it.
    void start();

    // Replaces the state by a peer's encoded state if that is valid and newer.
    void apply_peer_state(std::string_view encoded);

    const config_state& state() const;

private:
    struct state_data;
    std::shared_ptr<state_data> data_;
};

// Names of the log's streams.
inline constexpr std::string_view config_stream = "config";
std::string claims_stream(std::string_view pool);

} // namespace tamarack
