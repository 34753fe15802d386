#include "entry/agent_link.hpp"

#include "tamarack/observe.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tamarack::entry {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds connect_timeout{500};
constexpr std::chrono::milliseconds reconnect_delay{100};

} // namespace

agent_link::agent_link(asio::any_io_executor executor, listed_instance instance, wire::hello hello,
                       link_callbacks callbacks)
    : executor_(std::move(executor)), instance_(std::move(instance)), hello_(std::move(hello)),
      callbacks_(std::move(callbacks)) {}

void agent_link::start() {
    asio::co_spawn(
        executor_, [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->run(); },
        asio::detached);
}

void agent_link::stop() {
    stopped_ = true;
    if (connection_) {
        connection_->close();
    }
}

void agent_link::retire() {
    retired_ = true;
    close_if_done();
}

void agent_link::release(std::uint64_t attempt) {
    mailboxes_.erase(attempt);
    close_if_done();
}

void agent_link::close_if_done() {
    if (retired_ && mailboxes_.empty()) {
        stop();
    }
}

asio::awaitable<void> agent_link::run() {
    while (!stopped_ && !retired_) {
        boost::system::error_code bad_address;
        const auto address = asio::ip::make_address(instance_.address_, bad_address);
        if (bad_address) {
            log_warning("entry", "Endpoint " + instance_.id_ + " has an invalid address.");
            co_return;
        }
        const asio::ip::tcp::endpoint remote(address, instance_.port_);
        auto connected = co_await wire::connect(remote, connect_timeout);
        if (ok(connected) && !stopped_) {
            co_await serve_connection(value(connected));
        }
        asio::steady_timer timer(executor_, reconnect_delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> agent_link::serve_connection(std::shared_ptr<wire::connection> connection) {
    connection->send({callbacks_.config_version_(), hello_});
    while (!stopped_) {
        result<wire::frame> received = co_await connection->receive();
        if (!ok(received)) {
            break;
        }
        const auto* hello = std::get_if<wire::hello>(&value(received).message_);
        if (hello != nullptr && hello->protocol_ != wire::protocol_version) {
            log_warning("entry", "Endpoint " + instance_.id_ + " uses a different protocol version.");
            break;
        }
        if (hello != nullptr) {
            incarnation_ = hello->incarnation_;
            connection_ = connection;
        }
        if (connection_) {
            handle_frame(value(received));
        }
    }
    connection->close();
    handle_disconnect();
}

void agent_link::handle_disconnect() {
    connection_.reset();
    requested_version_ = -1;
    const auto mailboxes = std::exchange(mailboxes_, {});
    for (const auto& [attempt, box] : mailboxes) {
        box->push(link_lost{});
    }
    if (!retired_) {
        callbacks_.on_disconnected_(instance_.id_);
    }
}

template <typename Message>
void agent_link::deliver(Message message) {
    auto found = mailboxes_.find(message.attempt_);
    if (found != mailboxes_.end()) {
        found->second->push(std::move(message));
    }
}

void agent_link::request_newer_config(std::int64_t agent_version) {
    if (agent_version > callbacks_.config_version_() && agent_version > requested_version_) {
        requested_version_ = agent_version;
        send(wire::config_fetch{});
    }
}

void agent_link::handle_frame(const wire::frame& received) {
    request_newer_config(received.config_version_);
    std::visit(
        [this](const auto& message) {
            using kind = std::decay_t<decltype(message)>;
            if constexpr (std::is_same_v<kind, wire::status>) {
                clock_offset_ms_ = message.clock_ms_ - steady_now_ms();
                if (!retired_) {
                    callbacks_.on_status_(instance_.id_, message);
                }
            } else if constexpr (std::is_same_v<kind, wire::config_fetch>) {
                send(wire::config_state{callbacks_.config_state_()});
            } else if constexpr (std::is_same_v<kind, wire::config_state>) {
                callbacks_.on_peer_config_(message.state_);
            } else if constexpr (std::is_constructible_v<attempt_event, kind>) {
                deliver(message);
            }
        },
        received.message_);
}

bool agent_link::send(wire::message message) {
    return connection_ && connection_->send({callbacks_.config_version_(), std::move(message)});
}

bool agent_link::submit(const wire::submit& request, std::shared_ptr<mailbox> box) {
    mailboxes_[request.attempt_] = std::move(box);
    if (send(request)) {
        return true;
    }
    mailboxes_.erase(request.attempt_);
    return false;
}

bool agent_link::request_key(std::uint64_t attempt, std::shared_ptr<mailbox> box) {
    mailboxes_[attempt] = std::move(box);
    if (send(wire::key_request{attempt})) {
        return true;
    }
    mailboxes_.erase(attempt);
    return false;
}

std::int64_t agent_link::agent_clock_ms() const {
    return steady_now_ms() + clock_offset_ms_;
}

} // namespace tamarack::entry
