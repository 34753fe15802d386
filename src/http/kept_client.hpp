// An HTTP client that keeps its connection: one call at a time, in order, each with its own time limit.
#pragma once

#include "http/message_parser.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <deque>

namespace tamarack::http {

// The bytes of a request, with a length if it has a body or a method that usually has one.
std::string encode(const request& outgoing);

class kept_client : public std::enable_shared_from_this<kept_client> {
public:
    using answer_handler = std::function<void(result<response>)>;

    kept_client(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint remote,
                std::chrono::milliseconds connect_limit);

    // Queues a call; the server's address is the host if the call names none. The answer comes with any
    // status; failures are `unreachable` if no byte was sent, else `interrupted` or `timeout`, after which
    // the connection is not used again.
    void call(request outgoing, std::chrono::milliseconds limit, answer_handler done);

    // Forgets queued calls and closes the connection; no handler is called any more.
    void close();

private:
    struct pending_call {
        std::string bytes_;
        std::chrono::milliseconds limit_;
        answer_handler done_;
    };

    void begin_next();
    void connect();
    void send();
    void read();
    void take_received();
    void finish(result<response> outcome, bool keep);
    void drop_connection();

    boost::asio::any_io_executor executor_;
    boost::asio::ip::tcp::endpoint remote_;
    std::chrono::milliseconds connect_limit_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    boost::beast::flat_buffer received_;
    std::unique_ptr<response_parser> parser_;
    std::deque<pending_call> calls_;
    std::uint64_t round_ = 0; // tells late completions of an earlier call apart
    bool busy_ = false;
    bool connected_ = false;
};

} // namespace tamarack::http
