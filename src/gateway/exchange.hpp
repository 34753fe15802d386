// One sending of a request to an endpoint, from the connection to the end of the answer.
#pragma once

#include "gateway/endpoint.hpp"
#include "http/message_parser.hpp"

#include <boost/asio/steady_timer.hpp>

namespace tamarack::gateway {

struct exchange_request {
    std::string bytes_;
    std::string id_header_; // name of the header that answers echo
    std::string id_;
    time_ms longest_idle_ms_ = 0; // of a kept connection that may be used
    int max_connections_ = 0;     // of the endpoint, from all gateways together
    int gateways_ = 1;
};

// How the sending ended.
enum class exchange_end {
    complete,      // the whole answer arrived
    not_connected, // no byte went out
    broken,        // the connection broke, or the bytes are no answer to this request
};

class exchange : public std::enable_shared_from_this<exchange> {
public:
    struct events {
        // The head of the answer is known, or more of its body is.
        std::function<void(http::response_parser&)> progress_;
        std::function<void(exchange_end)> ended_; // once
    };

    exchange(boost::asio::any_io_executor executor, std::shared_ptr<endpoint> target,
             exchange_request request, events handlers);
    ~exchange();

    void start();

    // Ends it without calling a handler; the endpoint sees the connection close.
    void abandon();

    // Stops and resumes reading, for clients that read slowly.
    void pause() { paused_ = true; }
    void resume();

    bool sent() const { return sent_; }
    bool reused() const { return reused_; }
    endpoint& target() { return *target_; }
    http::response_parser& answer() { return *parser_; }

private:
    void connect();
    void send();
    void read();
    void take_received();
    bool belongs() const;
    bool skip_foreign_answer();
    void finish(exchange_end end);
    void release(bool keep);
    time_ms usable_ms() const;

    boost::asio::any_io_executor executor_;
    std::shared_ptr<endpoint> target_;
    exchange_request request_;
    std::shared_ptr<const events> handlers_; // shared, since a handler may abandon the exchange
    boost::asio::steady_timer timer_;
    std::shared_ptr<endpoint_connection> connection_;
    std::unique_ptr<http::response_parser> parser_;
    int foreign_answers_ = 0;
    bool sent_ = false;
    bool written_ = false;
    bool reused_ = false;
    bool paused_ = false;
    bool reading_ = false;
    bool ended_ = false;
};

} // namespace tamarack::gateway
