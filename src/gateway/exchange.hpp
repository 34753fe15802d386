// One exchange of a request and its response with an endpoint, connecting included.
#pragma once

#include "gateway/endpoint.hpp"
#include "http/message_parser.hpp"
#include "tamarack/memory.hpp"

#include <boost/asio/steady_timer.hpp>

namespace tamarack::gateway {

struct exchange_request {
    std::string head_;                        // bytes of the head as sent
    std::shared_ptr<const std::string> body_; // shared by all attempts
    std::string id_header_;                   // name of the header that responses echo
    std::string id_;                          // value expected in that header
    time_ms max_idle_ms_ = 0;                 // longest idle time of a connection that may be reused
    int max_connections_ = 0;                 // limit of the endpoint for all gateways together; 0 for none
    int gateway_count_ = 1;                   // gateways that share this limit
    std::function<bool()> may_send_;          // called once, immediately before the first byte is sent
};

// How an exchange ended.
enum class exchange_outcome {
    complete,      // the complete response arrived
    not_connected, // nothing was sent
    withheld,      // nothing was sent, since `may_send_` returned false
    broken,        // the connection failed, or the bytes received are no whole response to this request
};

// Calls `on_progress_` any number of times and then `on_ended_` once, unless it is abandoned before.
class exchange : public std::enable_shared_from_this<exchange> {
public:
    struct callbacks {
        // The head of the response has arrived, or more of its body.
        std::function<void(http::response_parser&)> on_progress_;
        std::function<void(exchange_outcome)> on_ended_;
    };

    exchange(boost::asio::any_io_executor executor, memory::account& memory, std::shared_ptr<endpoint> target,
             exchange_request request, callbacks handlers);
    ~exchange();

    void start();

    // Resets the connection and calls no more handlers.
    void abandon();

    // Pauses and resumes reading the response, for clients that read slowly.
    void pause() { paused_ = true; }
    void resume();

    bool sent() const { return sent_; }
    bool response_begun() const { return parser_->head_done_ && matches_request(); }
    bool reused() const { return reused_; }
    endpoint& target() { return *target_; }
    http::response_parser& response() { return *parser_; }

private:
    void connect();
    void send();
    void read();
    void parse_received();
    bool completes_response_at_end();
    bool hold_body();
    bool matches_request() const;
    bool skip_unmatched_response();
    void finish(exchange_outcome outcome);
    void release_connection(bool keep);
    time_ms keep_alive_ms() const;

    boost::asio::any_io_executor executor_;
    memory::account& memory_;
    memory::charge held_body_;
    std::size_t unmatched_bytes_ = 0;
    std::shared_ptr<endpoint> target_;
    exchange_request request_;
    std::shared_ptr<const callbacks> handlers_; // shared, since a handler may abandon the exchange
    boost::asio::steady_timer timer_;
    std::shared_ptr<endpoint_connection> connection_;
    std::unique_ptr<http::response_parser> parser_;
    int unmatched_responses_ = 0;
    bool sent_ = false;
    bool written_ = false;
    bool reused_ = false;
    bool paused_ = false;
    bool reading_ = false;
    bool ended_ = false;
};

} // namespace tamarack::gateway
