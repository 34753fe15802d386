// HTTP: a server and a client over plain structs. The protocol is implemented by Beast, which this header
// hides.
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
    std::string target_; // path and query
    std::vector<header> headers_;
    std::string body_;

    // The value of the first header with that name, ignoring case.
    std::optional<std::string_view> find(std::string_view name) const;

    // The target without its query.
    std::string_view path() const;

    // The value of a query parameter, still percent-encoded.
    std::optional<std::string_view> query(std::string_view name) const;

    // The same, decoded; nothing if its encoding is malformed.
    std::optional<std::string> decoded_query(std::string_view name) const;
};

// Whether the text can be the value of a header: it has no control characters, and no space around it.
bool is_field_value(std::string_view text);

// Whether the method, the target and the headers can be written as the head of one request. The clients of
// this library send no other.
bool is_valid(const request& outgoing);

// A query parameter, not encoded.
struct query_parameter {
    std::string name_;
    std::string value_;
};

// Builds the target of a request. Percent-encodes the names and values of the parameters; the path is taken
// as it is.
std::string make_target(std::string_view path, const std::vector<query_parameter>& parameters);

struct response {
    int status_ = 200;
    std::vector<header> headers_;
    std::string body_;

    std::optional<std::string_view> find(std::string_view name) const;
};

// Whether a path has a segment "." or "..", also if it is percent-encoded or has parameters. A receiver that
// resolves such segments serves another path than one that does not.
bool has_dot_segments(std::string_view path);

// Builds a response with a JSON body.
response json_response(int status, std::string body);

struct server_limits {
    std::size_t header_bytes_ = 16 * 1024;
    std::size_t body_bytes_ = 4 * 1024 * 1024;
    std::size_t connections_ = 10'000;
    std::chrono::milliseconds idle_{60'000};  // time between requests and for receiving a complete request
    std::chrono::milliseconds write_{30'000}; // time for writing one part of a response to the client
};

// Limits of a server for readiness checks and metrics. Their requests have no bodies and few clients, but
// anyone who reaches the address may connect.
server_limits observer_limits();

// A request being served. Its handler responds once: either with `reply`, or with `begin`, any number of
// `write` and `finish`.
class exchange {
public:
    virtual ~exchange() = default;

    virtual const request& incoming() const = 0;

    // Sends a complete response. Returns false, like `begin`, `write` and `finish`, if the write fails or
    // times out.
    virtual awaitable<bool> reply(response full_response) = 0;

    // Sends the head of a response of unknown length.
    virtual awaitable<bool> begin(int status, std::vector<header> headers) = 0;

    // Sends a part of the body and waits until the socket has accepted it.
    virtual awaitable<bool> write(std::string_view part) = 0;

    // Ends the body.
    virtual awaitable<bool> finish() = 0;

    // Closes the connection, so that the client sees an incomplete response.
    virtual void abort() = 0;

    // Calls `disconnected` once if the client closes the connection before the exchange ends.
    virtual void on_disconnect(std::function<void()> disconnected) = 0;
};

using handler = std::function<awaitable<void>(exchange&)>;

// Serves HTTP/1.1 on one io_context. Malformed and oversized requests get 400, 413 or 431 and the connection
// is closed. At the limit of connections, a new one takes the place of the one that has waited longest for a
// request or the rest of one, and gets 503 if all are being served.
class server {
public:
    server(boost::asio::io_context& context, server_limits limits, handler handle);
    ~server();

    // Listens and starts to serve. Fails with `unavailable` if the address cannot be bound.
    result<done> listen(const boost::asio::ip::tcp::endpoint& local);

    std::uint16_t port() const;

    // Stops accepting connections; running exchanges continue.
    void stop_accepting();

    std::size_t connections() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

// Time limits for one call: the connect, and the exchange after it.
struct call_limits {
    std::chrono::milliseconds connect_{1'000};
    std::chrono::milliseconds total_{30'000};
};

// A response whose body arrives in parts. Destroying it closes the connection.
class response_stream {
public:
    virtual ~response_stream() = default;

    virtual int status() const = 0;
    virtual std::string_view content_type() const = 0;

    // Reads the next part of the body; empty at the end. Fails with `interrupted` or `timeout`.
    virtual awaitable<result<std::string>> read() = 0;

    // Closes the connection; a pending read fails.
    virtual void cancel() = 0;
};

// Sends a request and waits for the head of the response. Fails with `invalid` or `unreachable` only if no
// byte was sent, else with `interrupted` or `timeout`. `set_cancel`, if given, receives a function that
// cancels the call while it waits.
awaitable<result<std::unique_ptr<response_stream>>>
open(boost::asio::ip::tcp::endpoint remote, request outgoing, call_limits limits,
     std::function<void(std::function<void()>)> set_cancel = nullptr);

// Sends a request and reads the whole response. Fails like `open` and `read`.
awaitable<result<response>> fetch(boost::asio::ip::tcp::endpoint remote, request outgoing,
                                  call_limits limits);

// Parses "a.b.c.d:port" or "[v6]:port". Fails with `invalid`.
result<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

} // namespace tamarack::http
