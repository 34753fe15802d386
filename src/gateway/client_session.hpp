// One connection of a client: reads requests, starts each of them, and writes the responses.
#pragma once

#include "gateway/response_sink.hpp"
#include "http/message_parser.hpp"
#include "tamarack/fleet.hpp"
#include "tamarack/memory.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <span>

namespace tamarack::gateway {

class client_session;

// What the sessions of one thread share.
struct session_context {
    memory::account& memory_;
    std::span<char> read_buffer_; // holds bytes within one read only
    std::function<fleet::client_limits()> limits_;
    std::function<std::shared_ptr<running_request>(std::shared_ptr<response_sink>, http::request)>
        start_request_;

    // Whether each connection closes once the requests that were read whole are answered.
    std::function<bool()> is_shutting_down_;

    std::function<void(int change)> on_in_service_; // the number of responses that are owed changes
    std::function<void(const std::shared_ptr<client_session>&)> on_closed_;
};

// Serves one request at a time. The next one is parsed when the response has been written, so a client that
// does not read makes the process hold one response at most. When the process has been told to end, requests
// that have been read whole are still served, and the connection closes after the last one.
//
// Received bytes have one owner: they are read when the socket is readable and appended to `received_` at
// once, so no pending operation refers to that buffer while requests are parsed from it.
class client_session : public response_sink, public std::enable_shared_from_this<client_session> {
public:
    client_session(boost::asio::ip::tcp::socket socket, const session_context& context);

    void start();

    // Closes the connection if no request is being read or served.
    void close_if_idle();
    void refuse_if_unsent();
    void end_if_quarantined();

    // Refuses the request that is being received.
    void refuse_incomplete();

    // Gives the request that is being received or served its last response.
    void end_before_exit();
    void close();

    // What may be ended to free memory of the pool: a request that is being received, or a response that is
    // not read. Nothing of requests in service, which may have run.
    std::optional<memory::holder> evictable(memory::pool which) const;

    // Ends it: refuses the request, or closes the connection.
    void evict(memory::pool which);

    // The time since which the connection has waited for a request or for the rest of one; nothing while one
    // is served.
    std::optional<time_ms> waiting_since() const;

    void send_response(int status, const std::vector<http::header>& headers, std::string body) override;
    void begin_stream(int status, const std::vector<http::header>& headers) override;
    void send_data(std::string_view bytes) override;
    void end_stream() override;
    void abort() override;
    std::size_t unsent_bytes() const override { return response_charge_.bytes(); }
    bool is_memory_scarce() const override { return context_.memory_.is_scarce(memory::pool::responses); }

private:
    enum class phase {
        receiving,  // between requests, or while one is received
        responding, // a request is complete, and its response is not written yet
        closing,    // the last response is being or has been written; input is discarded
        closed,
    };

    void read_next_request();
    bool may_read() const;
    void wait_for_bytes();
    void on_readable();
    void parse_received();
    bool has_whole_request() const;
    bool closes_after_response() const;
    void begin_request();
    void reject_request(int status, const std::vector<http::header>& headers = {});
    void arm_timer(time_ms timeout_ms);
    void cancel_timer();
    void on_timeout();
    void queue(std::string bytes);
    void queue_head(int status, const std::vector<http::header>& headers, std::string_view framing);
    void set_reset_on_close(bool enabled);
    void finish_response();
    void end_written_response();
    void write();
    void on_written();
    void update_charge();

    boost::asio::ip::tcp::socket socket_;
    const session_context& context_;
    boost::asio::steady_timer timer_;
    std::uint64_t timer_number_ = 0; // changes whenever the timer is set or cancelled
    boost::beast::flat_buffer received_;
    std::unique_ptr<http::request_parser> parser_;
    std::shared_ptr<running_request> request_;
    std::deque<std::string> queued_; // bytes to be written
    std::deque<std::string> writing_;
    memory::charge receiving_charge_;
    memory::charge service_charge_;
    memory::charge response_charge_;
    std::size_t queued_bytes_ = 0;
    std::size_t writing_bytes_ = 0;
    phase phase_ = phase::receiving;
    bool waiting_for_bytes_ = false;
    bool keep_alive_ = true;
    bool chunked_ = true;
    bool response_complete_ = false; // all of it is queued or written
    bool in_service_ = false;        // counted as owing a response
    time_ms waiting_since_ = 0;
    time_ms unsent_since_ = 0;
};

} // namespace tamarack::gateway
