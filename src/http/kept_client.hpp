// HTTP client with a persistent connection. Calls run one at a time, in order, each with its own time limit.
#pragma once

#include "http/message_parser.hpp"
#include "net/connection.hpp"

#include <boost/asio/steady_timer.hpp>

#include <deque>

namespace tamarack::http {

// Encodes a request. Content-Length is added if there is a body or the method is POST.
std::string encode(const request& outgoing);

class kept_client : public std::enable_shared_from_this<kept_client> {
public:
    using response_handler = std::function<void(result<response>)>;

    kept_client(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint remote,
                std::chrono::milliseconds connect_limit);

    // Queues a call. A missing Host header is set to the server's address. `done` receives the response,
    // whatever its status, or a failure: `invalid` if no head can hold the request, `unreachable` if no byte
    // was sent, else `interrupted` or `timeout`. The connection is closed after the latter three, and after a
    // response that came before the request was written.
    void call(request outgoing, std::chrono::milliseconds limit, response_handler done);

    // Fails a call that is not sent. Its handler is called later.
    void fail(error why, response_handler done);

    // Discards all calls and closes the connection. Their handlers are not called.
    void close();

private:
    struct pending_call {
        net::shared_bytes bytes_;
        std::chrono::milliseconds limit_;
        response_handler done_;
    };

    void start_next_call();
    void connect();
    void send();
    void read();
    void parse_received();
    void finish(result<response> outcome, bool keep);
    void drop_connection();

    boost::asio::any_io_executor executor_;
    boost::asio::ip::tcp::endpoint remote_;
    std::chrono::milliseconds connect_limit_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<net::connection> connection_; // null if the next call needs a new one
    std::unique_ptr<response_parser> parser_;
    int interim_responses_ = 0; // to the present call
    std::deque<pending_call> calls_;
    // Changes whenever a call starts, has its connection, or ends, so that late completions of earlier calls
    // are ignored.
    std::uint64_t generation_ = 0;
    std::uint64_t closes_ = 0;
    bool request_written_ = false;
    bool busy_ = false;
};

} // namespace tamarack::http
