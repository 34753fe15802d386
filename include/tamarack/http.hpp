// HTTP: a server and a client over plain structs. Beast does the protocol and stays behind this header.
#pragma once

#include "tamarack/kernel.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <optional>

namespace tamarack::http {

using boost::asio::awaitable;

struct header {
    std::string name_;
    std::string value_;
};

struct request {
    std::string method_;
    std::string target_; // path with query
    std::vector<header> headers_;
    std::string body_;

    // The first header of that name, ignoring case.
    std::optional<std::string_view> find(std::string_view name) const;

    // The target without its query.
    std::string_view path() const;

    // Value of a query parameter, not unescaped.
    std::optional<std::string_view> query(std::string_view name) const;
};

struct response {
    int status_ = 200;
    std::vector<header> headers_;
    std::string body_;

    std::optional<std::string_view> find(std::string_view name) const;
};

// A JSON answer.
response json_response(int status, std::string body);

struct server_limits {
    std::size_t header_bytes_ = 16 * 1024;
    std::size_t body_bytes_ = 4 * 1024 * 1024;
    std::size_t connections_ = 10'000;
    std::chrono::milliseconds idle_{60'000};  // between requests, and for a request to arrive whole
    std::chrono::milliseconds write_{30'000}; // for the caller to take one part of an answer
};

// A request in service. Answered once: either `reply`, or `begin`, any number of `write`, and `finish`.
class exchange {
public:
    virtual ~exchange() = default;

    virtual const request& incoming() const = 0;

    // Sends a whole answer. Returns false if the caller is gone.
    virtual awaitable<bool> reply(response answer) = 0;

    // Begins an answer of unknown length.
    virtual awaitable<bool> begin(int status, std::vector<header> headers) = 0;

    // Sends a part and waits until the caller's side took it.
    virtual awaitable<bool> write(std::string_view part) = 0;

    virtual awaitable<bool> finish() = 0;

    // Ends the connection so that the caller sees an incomplete answer.
    virtual void abort() = 0;

    // Calls `gone` once if the caller closes the connection before the exchange ends.
    virtual void on_disconnect(std::function<void()> gone) = 0;
};

using handler = std::function<awaitable<void>(exchange&)>;

// Serves HTTP/1.1 on one io_context. Malformed and oversized requests are answered with 400, 413 or 431 and
// the connection is closed; a full server answers 503.
class server {
public:
    server(boost::asio::io_context& context, server_limits limits, handler handle);
    ~server();

    // Listens and begins to serve. Fails with `unavailable` if the address cannot be had.
    result<done> listen(const boost::asio::ip::tcp::endpoint& local);

    std::uint16_t port() const;

    // Stops accepting; exchanges in service go on.
    void stop_accepting();

    std::size_t connections() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

// Time limits of one call.
struct call_limits {
    std::chrono::milliseconds connect_{1'000};
    std::chrono::milliseconds total_{30'000};
};

// An answer that arrives in parts. Destroying it closes the connection.
class response_stream {
public:
    virtual ~response_stream() = default;

    virtual int status() const = 0;
    virtual std::string_view content_type() const = 0;

    // The next part; empty at the end. Fails with `interrupted` or `timeout`.
    virtual awaitable<result<std::string>> read() = 0;

    // Closes the connection; a pending read fails.
    virtual void cancel() = 0;
};

// Sends a request and waits for the head of the answer. Fails with `unreachable` only if no byte was sent,
// else with `interrupted` or `timeout`. `started`, if given, receives a function that cancels the call while
// it waits.
awaitable<result<std::unique_ptr<response_stream>>>
open(boost::asio::ip::tcp::endpoint remote, request outgoing, call_limits limits,
     std::function<void(std::function<void()>)> started = nullptr);

// Sends a request and collects the whole answer. Fails like `open`.
awaitable<result<response>> fetch(boost::asio::ip::tcp::endpoint remote, request outgoing,
                                  call_limits limits);

// Parses "a.b.c.d:port" or "[v6]:port". Fails with `invalid`.
result<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

} // namespace tamarack::http
