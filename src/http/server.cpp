#include "http/message_parser.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <map>

#include <sys/socket.h>

namespace tamarack::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
constexpr int http_1_1 = 11;
constexpr std::size_t read_bytes = 16 * 1024;

// Time until connections are accepted again after that failed.
constexpr std::chrono::milliseconds accept_retry_delay{20};

// Watches the socket of an exchange for a disconnect of the client. Shared with the wait handler, which may
// outlive the exchange.
struct disconnect_watch {
    beast::tcp_stream& stream_;
    std::function<void()> on_disconnect_;
    bool active_ = true;
};

// Whether the peer closed the connection. Unread bytes mean that it is still open.
bool peer_closed(tcp::socket& socket) {
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

class beast_exchange : public exchange {
public:
    beast_exchange(beast::tcp_stream& stream, request incoming, bool keep_alive,
                   std::chrono::milliseconds write)
        : stream_(stream), incoming_(std::move(incoming)), keep_alive_(keep_alive), write_limit_(write) {}

    ~beast_exchange() override { stop_watching(); }

    const request& incoming() const override { return incoming_; }

    awaitable<bool> reply(response full_response) override {
        stop_watching();
        bhttp::response<bhttp::string_body> message{bhttp::status(full_response.status_), http_1_1};
        for (const header& one : full_response.headers_) {
            message.set(one.name_, one.value_);
        }
        message.keep_alive(keep_alive_);
        message.body() = std::move(full_response.body_);
        message.prepare_payload();
        stream_.expires_after(write_limit_);
        auto [write_error, written] = co_await bhttp::async_write(stream_, message, no_throw);
        response_started_ = true;
        co_return record_write(!write_error);
    }

    awaitable<bool> begin(int status, std::vector<header> headers) override {
        bhttp::response<bhttp::empty_body> message{bhttp::status(status), http_1_1};
        for (const header& one : headers) {
            message.set(one.name_, one.value_);
        }
        message.keep_alive(keep_alive_);
        message.chunked(true);
        bhttp::response_serializer<bhttp::empty_body> serializer{message};
        stream_.expires_after(write_limit_);
        auto [write_error, written] = co_await bhttp::async_write_header(stream_, serializer, no_throw);
        response_started_ = true;
        co_return record_write(!write_error);
    }

    awaitable<bool> write(std::string_view part) override {
        if (part.empty()) {
            co_return alive_;
        }
        stream_.expires_after(write_limit_);
        auto [write_error, written] =
            co_await asio::async_write(stream_, bhttp::make_chunk(asio::buffer(part)), no_throw);
        co_return record_write(!write_error);
    }

    awaitable<bool> finish() override {
        stop_watching();
        stream_.expires_after(write_limit_);
        auto [write_error, written] = co_await asio::async_write(stream_, bhttp::make_chunk_last(), no_throw);
        co_return record_write(!write_error);
    }

    void abort() override {
        stop_watching();
        alive_ = false;
        stream_.close();
    }

    void on_disconnect(std::function<void()> disconnected) override {
        stop_watching();
        watch_ = std::make_shared<disconnect_watch>(disconnect_watch{stream_, std::move(disconnected)});
        stream_.socket().async_wait(tcp::socket::wait_read,
                                    [watch = watch_](boost::system::error_code failed) {
                                        if (!watch->active_ || failed) {
                                            return;
                                        }
                                        if (peer_closed(watch->stream_.socket())) {
                                            watch->active_ = false;
                                            watch->on_disconnect_();
                                        }
                                    });
    }

    bool is_reusable() const { return alive_ && response_started_ && keep_alive_; }
    bool response_started() const { return response_started_; }

private:
    bool record_write(bool success) {
        alive_ = alive_ && success;
        return success;
    }

    void stop_watching() {
        if (!watch_ || !watch_->active_) {
            return;
        }
        watch_->active_ = false;
        boost::system::error_code ignored;
        stream_.socket().cancel(ignored);
    }

    beast::tcp_stream& stream_;
    request incoming_;
    bool keep_alive_;
    std::chrono::milliseconds write_limit_;
    bool alive_ = true;
    bool response_started_ = false;
    std::shared_ptr<disconnect_watch> watch_;
};

response fault_response(parse_fault fault) {
    switch (fault) {
    case parse_fault::body_too_large:
        return json_response(413, R"({"error":{"kind":"too_large","message":"the body is over the limit",)"
                                  R"("remedy":"send a smaller body"}})");
    case parse_fault::header_too_large:
        return json_response(431, R"({"error":{"kind":"too_large","message":"the header is over the limit",)"
                                  R"("remedy":"send fewer or shorter header fields"}})");
    case parse_fault::none:
    case parse_fault::malformed:
        break;
    }
    return json_response(400, R"({"error":{"kind":"invalid","message":"the request is not valid HTTP/1.1",)"
                              R"("remedy":"correct the request"}})");
}

} // namespace

struct server::state : std::enable_shared_from_this<server::state> {
    state(asio::io_context& context, server_limits limits, handler handle)
        : context_(context), acceptor_(context), limits_(limits), handle_(std::move(handle)) {}

    awaitable<void> accept_loop() {
        const auto self = shared_from_this();
        while (acceptor_.is_open()) {
            auto [accept_error, socket] = co_await acceptor_.async_accept(no_throw);
            if (accept_error == asio::error::operation_aborted) {
                co_return;
            }
            if (accept_error) {
                // Without a descriptor, accepting fails at once each time.
                asio::steady_timer pause(context_, accept_retry_delay);
                co_await pause.async_wait(no_throw);
                continue;
            }
            asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
        }
    }

    awaitable<void> serve(tcp::socket socket) {
        const auto self = shared_from_this();
        beast::tcp_stream stream(std::move(socket));
        boost::system::error_code ignored;
        stream.socket().set_option(tcp::no_delay(true), ignored);
        ++connections_;
        if (connections_ > limits_.connections_ && !close_longest_waiting()) {
            co_await refuse(stream,
                            json_response(503, R"({"error":{"kind":"unavailable","message":"too many )"
                                               R"(connections","remedy":"come back later"}})"));
        } else {
            beast::flat_buffer buffer;
            while (co_await serve_one(stream, buffer)) {
            }
        }
        --connections_;
        stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    // Returns whether there was one.
    bool close_longest_waiting() {
        if (waiting_.empty()) {
            return false;
        }
        // Its read fails in a later task, which ends the connection.
        waiting_.begin()->second->close();
        waiting_.erase(waiting_.begin());
        return true;
    }

    // Returns whether the connection may carry another request.
    awaitable<bool> serve_one(beast::tcp_stream& stream, beast::flat_buffer& buffer) {
        request_parser parser(limits_.header_bytes_, limits_.body_bytes_);
        stream.expires_after(limits_.idle_);
        const std::uint64_t place = next_place_++;
        waiting_[place] = &stream;
        bool broken = false;
        while (!parser.take(buffer) && parser.fault() == parse_fault::none && !broken) {
            auto [read_error, count] = co_await stream.async_read_some(buffer.prepare(read_bytes), no_throw);
            buffer.commit(count);
            broken = bool(read_error);
        }
        waiting_.erase(place);
        if (parser.fault() != parse_fault::none) {
            co_await refuse(stream, fault_response(parser.fault()));
            co_return false;
        }
        if (broken) {
            co_return false;
        }
        stream.expires_never();
        const bool keep_alive = parser.keep_alive() && acceptor_.is_open();
        beast_exchange current(stream, std::move(parser.request_), keep_alive, limits_.write_);
        co_await handle_(current);
        if (!current.response_started()) {
            co_await current.reply(json_response(500,
                                                 R"({"error":{"kind":"unavailable","message":"no answer",)"
                                                 R"("remedy":"report this as a fault"}})"));
        }
        co_return current.is_reusable();
    }

    awaitable<void> refuse(beast::tcp_stream& stream, response refusal) {
        beast_exchange current(stream, request(), false, limits_.write_);
        refusal.headers_.push_back({"Connection", "close"});
        co_await current.reply(std::move(refusal));
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    server_limits limits_;
    handler handle_;
    std::size_t connections_ = 0;
    // Connections that wait for a request or the rest of one, in the order in which they began to.
    std::map<std::uint64_t, beast::tcp_stream*> waiting_;
    std::uint64_t next_place_ = 0;
};

server_limits observer_limits() {
    server_limits limits;
    limits.header_bytes_ = 8 * 1024;
    limits.body_bytes_ = 1024;
    limits.connections_ = 64;                // the platform's checks and an operator's readers need some few
    limits.idle_ = std::chrono::seconds(20); // longer than usual intervals between reads of metrics
    limits.write_ = std::chrono::seconds(5);
    return limits;
}

server::server(asio::io_context& context, server_limits limits, handler handle)
    : state_(std::make_shared<state>(context, limits, std::move(handle))) {}

server::~server() {
    stop_accepting();
}

result<done> server::listen(const tcp::endpoint& local) {
    boost::system::error_code failed;
    tcp::acceptor& acceptor = state_->acceptor_;
    acceptor.open(local.protocol(), failed);
    if (!failed) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
        const int enable = 1;
        ::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_REUSEPORT, &enable, sizeof(enable));
        acceptor.bind(local, failed);
    }
    if (!failed) {
        acceptor.listen(asio::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        return error{error_kind::unavailable,
                     "cannot listen on port " + std::to_string(local.port()) + ": " + failed.message(),
                     "choose a free address in the settings"};
    }
    asio::co_spawn(state_->context_, state_->accept_loop(), asio::detached);
    return done{};
}

std::uint16_t server::port() const {
    boost::system::error_code ignored;
    return state_->acceptor_.local_endpoint(ignored).port();
}

void server::stop_accepting() {
    boost::system::error_code ignored;
    state_->acceptor_.close(ignored);
}

std::size_t server::connections() const {
    return state_->connections_;
}

} // namespace tamarack::http
