#include "tamarack/wire.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace tamarack::wire {

namespace asio = boost::asio;

namespace {

constexpr std::size_t length_bytes = 4;
constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

std::uint32_t read_length(std::span<const std::uint8_t> bytes) {
    std::uint32_t length = 0;
    for (std::size_t index = 0; index < length_bytes; ++index) {
        length |= std::uint32_t(bytes[index]) << (8 * index);
    }
    return length;
}

error connection_ended() {
    return {error_kind::interrupted, "the connection ended", "reconnect"};
}

} // namespace

connection::connection(asio::ip::tcp::socket socket) : socket_(std::move(socket)) {
    boost::system::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio::awaitable<result<frame>> connection::receive() {
    const auto self = shared_from_this();
    std::uint8_t length_field[length_bytes];
    auto [length_error, length_read] =
        co_await asio::async_read(socket_, asio::buffer(length_field), no_throw);
    if (length_error || closed_) {
        close();
        co_return connection_ended();
    }
    const std::uint32_t length = read_length(length_field);
    if (length > max_frame_bytes) {
        close();
        co_return error{error_kind::invalid,
                        "a frame of " + std::to_string(length) + " bytes exceeds the limit",
                        "send frames of at most " + std::to_string(max_frame_bytes) + " bytes"};
    }
    received_.resize(length);
    auto [body_error, body_read] = co_await asio::async_read(socket_, asio::buffer(received_), no_throw);
    if (body_error || closed_) {
        close();
        co_return connection_ended();
    }
    result<frame> decoded = decode_frame(received_);
    if (!ok(decoded)) {
        close();
    }
    co_return decoded;
}

bool connection::send(const frame& outgoing) {
    if (closed_) {
        return false;
    }
    std::vector<std::uint8_t> encoded = encode_frame(outgoing);
    if (encoded.size() > max_frame_bytes + length_bytes) {
        return false;
    }
    queued_.push_back(std::move(encoded));
    if (!writing_) {
        writing_ = true;
        asio::co_spawn(socket_.get_executor(), write_queued(), asio::detached);
    }
    return true;
}

asio::awaitable<void> connection::write_queued() {
    const auto self = shared_from_this();
    while (!queued_.empty() && !closed_) {
        const std::deque<std::vector<std::uint8_t>> batch = std::exchange(queued_, {});
        std::vector<asio::const_buffer> buffers;
        for (const std::vector<std::uint8_t>& encoded : batch) {
            buffers.push_back(asio::buffer(encoded));
        }
        auto [write_error, written] = co_await asio::async_write(socket_, buffers, no_throw);
        if (write_error) {
            close();
        }
    }
    writing_ = false;
}

void connection::finish_sending() {
    boost::system::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void connection::close() {
    if (closed_) {
        return;
    }
    closed_ = true;
    boost::system::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

asio::awaitable<result<std::shared_ptr<connection>>> connect(asio::ip::tcp::endpoint remote,
                                                             std::chrono::milliseconds limit) {
    const auto executor = co_await asio::this_coro::executor;
    auto socket = std::make_shared<asio::ip::tcp::socket>(executor);
    auto timer = std::make_shared<asio::steady_timer>(executor, limit);
    timer->async_wait([socket](boost::system::error_code cancelled) {
        if (!cancelled) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
    auto [connect_error] = co_await socket->async_connect(remote, no_throw);
    timer->cancel();
    if (connect_error) {
        co_return error{error_kind::unreachable, "cannot connect: " + connect_error.message(),
                        "check that the process runs and its address is right"};
    }
    co_return std::make_shared<connection>(std::move(*socket));
}

} // namespace tamarack::wire
