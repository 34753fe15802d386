// One connection of a client: reads requests, starts each of them, and writes the responses.
#pragma once

#include "gateway/response_sink.hpp"
#include "http/message_parser.hpp"
#include "tamarack/fleet.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace tamarack::gateway {

// Callbacks of a session to the traffic thread.
struct session_callbacks {
    std::function<fleet::client_limits()> limits_;
    std::function<std::shared_ptr<running_request>(std::shared_ptr<response_sink>, http::request)>
        start_request_;
    std::function<bool()> is_shutting_down_; // whether each connection closes after its response
    std::function<void(const std::shared_ptr<response_sink>&)> on_closed_;
};

// Serves one request at a time; pipelined requests wait.
class client_session : public response_sink, public std::enable_shared_from_this<client_session> {
public:
    client_session(boost::asio::ip::tcp::socket socket, const session_callbacks& callbacks);

    void start();

    // Closes the connection if no request is being read or served.
    void close_if_idle();
    void refuse_if_unsent();
    void end_if_quarantined();
    void close();

    void send_response(int status, const std::vector<http::header>& headers, std::string_view body) override;
    void begin_stream(int status, const std::vector<http::header>& headers) override;
    void send_data(std::string_view bytes) override;
    void end_stream() override;
    void abort() override;
    std::size_t unsent_bytes() const override { return queued_.size() + writing_.size(); }

private:
    void read_next_request();
    void read();
    void parse_received();
    void begin_request();
    void reject_request(int status);
    void arm_timer(time_ms timeout_ms);
    void on_timeout();
    void queue_head(int status, const std::vector<http::header>& headers, std::string_view framing);
    void finish_response();
    void write();
    void on_written();

    boost::asio::ip::tcp::socket socket_;
    const session_callbacks& callbacks_;
    boost::asio::steady_timer timer_;
    boost::beast::flat_buffer received_;
    std::unique_ptr<http::request_parser> parser_;
    std::shared_ptr<running_request> request_;
    std::string queued_;
    std::string writing_;
    bool reading_ = false;
    bool keep_alive_ = true;
    bool chunked_ = true;
    bool close_when_written_ = false;
    bool closed_ = false;
    bool discard_input_ = false; // set after a rejected request or the last response
    time_ms request_began_at_ = 0;
};

} // namespace tamarack::gateway
