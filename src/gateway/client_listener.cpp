#include "gateway/client_listener.hpp"

#include "net/socket_options.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace tamarack::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::size_t read_bytes = 16 * 1024;

// Bytes that the kernel receives for a connection that the gateway does not read. They count towards the
// machine's memory, while a request that is read is charged as it grows.
constexpr int receive_buffer_bytes = 64 * 1024;

// Time until connections are accepted again after that failed, for example for want of descriptors.
constexpr std::chrono::milliseconds accept_retry_delay{20};

// Part of the connections that is closed when their limit is reached, so that their order is not determined
// anew for each further one.
constexpr int evicted_part = 16;

} // namespace

client_listener::client_listener(asio::io_context& context, const memory::limits& allowed, metrics& measures,
                                 event_log& events, listener_callbacks handlers)
    : context_(context), measures_(measures), events_(events), handlers_(std::move(handlers)),
      acceptor_(context), retry_timer_(context),
      memory_(allowed, [this](memory::pool which) { schedule_relief(which); }),
      read_buffer_(read_bytes), session_context_{memory_,
                                                 read_buffer_,
                                                 handlers_.limits_,
                                                 handlers_.start_request_,
                                                 handlers_.is_shutting_down_,
                                                 [this](int change) { in_service_ += change; },
                                                 [this](const std::shared_ptr<client_session>& closed) {
                                                     sessions_.erase(closed);
                                                 }} {
    const auto set_limit = [&](std::string_view pool, double limit) {
        measures_.set("tamarack_memory_limit_bytes", "Most bytes held for clients and endpoints, by pool",
                      {{"pool", std::string(pool)}}, limit);
    };
    for (std::size_t index = 0; index < memory::pool_count; ++index) {
        set_limit(memory::to_string(memory::pool(index)), double(allowed.bytes_[index]));
    }
    measures_.set("tamarack_client_connections_limit", "Most connections of clients", {},
                  double(allowed.connections_));
}

result<done> client_listener::listen(const asio::ip::tcp::endpoint& local) {
    const result<done> listening = net::listen_on(acceptor_, local, "clients", receive_buffer_bytes);
    if (ok(listening)) {
        accept();
    }
    return listening;
}

void client_listener::accept() {
    acceptor_.async_accept([this](boost::system::error_code failed, asio::ip::tcp::socket socket) {
        if (failed == asio::error::operation_aborted || !acceptor_.is_open()) {
            return;
        }
        if (!failed) {
            add(std::move(socket));
            accept();
            return;
        }
        // Without a descriptor, accepting fails at once each time.
        make_room();
        retry_timer_.expires_after(accept_retry_delay);
        retry_timer_.async_wait([this](boost::system::error_code cancelled) {
            if (!cancelled && acceptor_.is_open()) {
                accept();
            }
        });
    });
}

void client_listener::add(asio::ip::tcp::socket socket) {
    if (int(sessions_.size()) >= memory_.allowed().connections_ && !make_room()) {
        ++connections_refused_;
        return; // closes the socket, from which nothing has been read
    }
    const auto session = std::make_shared<client_session>(std::move(socket), session_context_);
    sessions_.insert(session);
    session->start();
}

// Closes the connections that have waited longest for a request or the rest of one, or else for their client
// to read. Returns whether there were any.
bool client_listener::make_room() {
    std::vector<std::pair<time_ms, std::shared_ptr<client_session>>> waiting;
    std::vector<std::pair<time_ms, std::shared_ptr<client_session>>> unread;
    for (const auto& session : sessions_) {
        if (const auto since = session->waiting_since()) {
            waiting.emplace_back(*since, session);
        } else if (const auto held = session->evictable(memory::pool::responses)) {
            unread.emplace_back(held->since_, session);
        }
    }
    auto& chosen = waiting.empty() ? unread : waiting;
    const auto count = std::min<std::size_t>(chosen.size(), sessions_.size() / evicted_part + 1);
    std::partial_sort(chosen.begin(), chosen.begin() + std::ptrdiff_t(count), chosen.end(),
                      [](const auto& left, const auto& right) { return left.first < right.first; });
    for (std::size_t index = 0; index < count; ++index) {
        chosen[index].second->close();
    }
    connections_evicted_ += std::int64_t(count);
    return count > 0;
}

// Posted, since the account reports a pool that is exceeded while a session grows.
void client_listener::schedule_relief(memory::pool which) {
    if (!std::exchange(relief_scheduled_[std::size_t(which)], true)) {
        asio::post(context_, [this, which] { relieve(which); });
    }
}

void client_listener::relieve(memory::pool which) {
    relief_scheduled_[std::size_t(which)] = false;
    const std::size_t excess = memory_.excess(which);
    if (excess == 0) {
        return;
    }
    std::vector<std::shared_ptr<client_session>> candidates;
    std::vector<memory::holder> holders;
    for (const auto& session : sessions_) {
        if (const auto held = session->evictable(which)) {
            candidates.push_back(session);
            holders.push_back(*held);
        }
    }
    for (const std::size_t index : memory::choose_evictions(holders, excess, steady_now_ms())) {
        candidates[index]->evict(which);
        ++evicted_[std::size_t(which)];
    }
}

void client_listener::tick() {
    for (std::size_t index = 0; index < memory::pool_count; ++index) {
        const auto which = memory::pool(index);
        const std::string name(memory::to_string(which));
        measures_.set("tamarack_memory_held_bytes", "Bytes held for clients and endpoints, by pool",
                      {{"pool", name}}, double(memory_.held(which)));
        measures_.set("tamarack_memory_most_held_bytes", "Most bytes held since the start, by pool",
                      {{"pool", name}}, double(memory_.most(which)));
        if (const std::int64_t evicted = std::exchange(evicted_[index], 0)) {
            measures_.count("tamarack_evictions_total",
                            "Requests and responses ended to free memory, by pool", {{"pool", name}},
                            double(evicted));
            events_.write({event_kind::admission,
                           "gateway",
                           "memory_freed",
                           {},
                           {{"pool", name},
                            {"evicted", evicted},
                            {"held_bytes", std::int64_t(memory_.held(which))},
                            {"limit_bytes", std::int64_t(memory_.allowed().of(which))}}});
        }
    }
    measures_.set("tamarack_client_connections", "Connections of clients", {}, double(sessions_.size()));
    const std::int64_t evicted = std::exchange(connections_evicted_, 0);
    const std::int64_t refused = std::exchange(connections_refused_, 0);
    if (evicted > 0 || refused > 0) {
        measures_.count("tamarack_connections_evicted_total", "Waiting connections closed for new ones", {},
                        double(evicted));
        measures_.count("tamarack_connections_refused_total", "New connections closed for want of room", {},
                        double(refused));
        events_.write({event_kind::admission,
                       "gateway",
                       "connections_limited",
                       {},
                       {{"evicted", evicted},
                        {"refused", refused},
                        {"open", std::int64_t(sessions_.size())},
                        {"limit", memory_.allowed().connections_}}});
    }
}

std::vector<std::shared_ptr<client_session>> client_listener::sessions() const {
    return {sessions_.begin(), sessions_.end()};
}

void client_listener::close_idle() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& session : sessions()) {
        session->close_if_idle();
    }
}

void client_listener::refuse_unsent() {
    for (const auto& session : sessions()) {
        session->refuse_if_unsent();
    }
}

void client_listener::refuse_incomplete() {
    for (const auto& session : sessions()) {
        session->refuse_incomplete();
    }
}

void client_listener::end_before_exit() {
    for (const auto& session : sessions()) {
        session->end_before_exit();
    }
}

void client_listener::end_quarantined() {
    for (const auto& session : sessions()) {
        session->end_if_quarantined();
    }
}

} // namespace tamarack::gateway
