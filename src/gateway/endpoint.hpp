// An endpoint as the traffic thread sees it: its record, its load, its health and its kept connections.
#pragma once

#include "tamarack/dispatch.hpp"
#include "tamarack/links.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <memory>

namespace tamarack::gateway {

// A connection to an endpoint that serves one request at a time.
struct endpoint_connection {
    explicit endpoint_connection(const boost::asio::any_io_executor& executor) : socket_(executor) {}

    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer received_;
    time_ms idle_since_ = 0;
    time_ms usable_until_ = 0;
    bool idle_ = false;
    bool watched_ = false; // a wait for unasked bytes or the end is under way
};

// State of an engine as its agent last reported it.
struct engine_view {
    bool known_ = false;
    bool reachable_ = false;
    bool leaving_ = false;
    std::optional<time_ms> gone_at_;
    std::int64_t incarnation_ = 0;
    int running_ = 0;
    int queued_ = 0;
    double kv_used_ = 0;
    double kv_total_ = 0;
    bool busy_ = false;
    std::string loading_;
    time_ms loading_since_ = 0; // by the first report of it
    std::vector<fleet::held_model> models_;
    std::set<std::string, std::less<>> cached_models_;
    std::vector<time_ms> store_loads_; // starts of loads from the weight store
    time_ms reported_at_ = 0;
};

class endpoint : public std::enable_shared_from_this<endpoint> {
public:
    endpoint(fleet::endpoint_record record, boost::asio::any_io_executor executor);
    ~endpoint();

    void update(const fleet::endpoint_record& record);
    const fleet::endpoint_record& record() const { return record_; }

    // Whether new requests may go there.
    bool accepts_requests() const;

    // Whether the engine's agent fell silent, as when its machine stands still. Agents report less often to
    // many gateways.
    bool report_overdue(time_ms now, int gateways) const;

    // The models that it holds, by the newest source.
    const std::vector<fleet::held_model>& models() const;
    const fleet::held_model* find_model(std::string_view name) const;

    // A kept connection that was idle for less than `longest_idle_ms`, or null.
    std::shared_ptr<endpoint_connection> take_idle_connection(time_ms now, time_ms longest_idle_ms);

    // Keeps a connection on which an answer has ended.
    void keep_idle_connection(std::shared_ptr<endpoint_connection> connection, time_ms now,
                              time_ms usable_ms);

    // Whether this gateway may open one more connection.
    bool may_connect(int max_connections, int gateways) const;

    // Marks the endpoint as gone for this record, for example since its address has another user.
    void set_gone() { gone_ = true; }

    engine_view engine_;
    dispatch::endpoint_health health_;
    int in_flight_ = 0;                // attempts of this gateway that are open there
    int begun_since_report_ = 0;       // less those that ended since
    double pending_prompt_tokens_ = 0; // of attempts without a first event
    int connections_ = 0;              // open ones, idle ones included
    double slowness_ = 1;

private:
    void watch(const std::shared_ptr<endpoint_connection>& connection);
    void drop(const std::shared_ptr<endpoint_connection>& connection);

    fleet::endpoint_record record_;
    boost::asio::any_io_executor executor_;
    std::vector<std::shared_ptr<endpoint_connection>> idle_;
    bool gone_ = false;
};

} // namespace tamarack::gateway
