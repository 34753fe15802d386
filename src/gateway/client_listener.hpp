// Accepts the connections of clients, and bounds their number and what they make the process hold.
#pragma once

#include "gateway/client_session.hpp"
#include "tamarack/events.hpp"
#include "tamarack/observe.hpp"

#include <atomic>
#include <unordered_set>

namespace tamarack::gateway {

// Callbacks of the listener to the traffic thread.
struct listener_callbacks {
    std::function<fleet::client_limits()> limits_;
    std::function<std::shared_ptr<running_request>(std::shared_ptr<response_sink>, http::request)>
        start_request_;
    std::function<bool()> is_shutting_down_;
};

class client_listener {
public:
    client_listener(boost::asio::io_context& context, const memory::limits& allowed, metrics& measures,
                    event_log& events, listener_callbacks handlers);

    // Fails with `unavailable` if the address cannot be bound.
    result<done> listen(const boost::asio::ip::tcp::endpoint& local);

    // Stops listening and closes the connections without a request.
    void close_idle();

    // Refuses the requests that have not been sent to an endpoint yet and may no longer be.
    void refuse_unsent();

    // Refuses the requests that have not been received whole.
    void refuse_incomplete();

    // Gives all requests their last response.
    void end_before_exit();

    void end_quarantined();

    // Updates the metrics, and logs the evictions since the last call.
    void tick();

    // Requests whose responses have not been written to their clients yet. May be called from any thread.
    std::int64_t in_service() const { return in_service_.load(); }

    memory::account& memory() { return memory_; }

private:
    void accept();
    void add(boost::asio::ip::tcp::socket socket);
    void schedule_relief(memory::pool which);
    void relieve(memory::pool which);
    bool make_room();
    std::vector<std::shared_ptr<client_session>> sessions() const;

    boost::asio::io_context& context_;
    metrics& measures_;
    event_log& events_;
    listener_callbacks handlers_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_timer_;
    memory::account memory_;
    std::vector<char> read_buffer_;
    session_context session_context_;
    std::unordered_set<std::shared_ptr<client_session>> sessions_;
    std::array<bool, memory::pool_count> relief_scheduled_ = {};
    std::array<std::int64_t, memory::pool_count> evicted_ = {}; // requests and responses since the last tick
    std::int64_t connections_evicted_ = 0;
    std::int64_t connections_refused_ = 0;
    std::atomic<std::int64_t> in_service_ = 0;
};

} // namespace tamarack::gateway
