#include "gateway/seed_exchange.hpp"

#include "net/socket_options.hpp"

namespace tamarack::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds initial_delay{450};      // time for the store to respond after a start
constexpr std::chrono::milliseconds seed_timeout{350};       // time for one seed to respond
constexpr std::chrono::milliseconds transfer_timeout{2'000}; // time for a gateway to receive the snapshot

// Most transfers at a time. Each may hold all known state, and a gateway that is cut off asks the next seed.
constexpr std::size_t max_transfers = 16;

// Time until connections are accepted again after that failed, for example for want of descriptors.
constexpr std::chrono::milliseconds accept_retry_delay{20};

} // namespace

seed_exchange::seed_exchange(asio::io_context& context, fleet::fleet_source& source,
                             asio::ip::tcp::endpoint listen, std::vector<asio::ip::tcp::endpoint> seeds,
                             event_log& events)
    : context_(context), source_(source), listen_(std::move(listen)), seeds_(std::move(seeds)),
      events_(events), acceptor_(context), timer_(context) {
    std::erase(seeds_, listen_);
}

void seed_exchange::start(std::function<bool()> fleet_known) {
    fleet_known_ = std::move(fleet_known);
    if (listen_.port() != 0) {
        const result<done> listening = net::listen_on(acceptor_, listen_, "gateways");
        if (!ok(listening)) {
            events_.write({event_kind::process,
                           "gateway",
                           "peers_not_served",
                           {},
                           {{"error", to_string(failure(listening))}}});
        } else {
            accept();
        }
    }
    timer_.expires_after(initial_delay);
    timer_.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) {
            ask_next_seed();
        }
    });
}

void seed_exchange::accept() {
    acceptor_.async_accept([this](boost::system::error_code failed, asio::ip::tcp::socket socket) {
        if (failed == asio::error::operation_aborted) {
            return;
        }
        if (!failed) {
            transfer(std::move(socket));
            accept();
            return;
        }
        const auto pause = std::make_shared<asio::steady_timer>(context_, accept_retry_delay);
        pause->async_wait([this, pause](boost::system::error_code cancelled) {
            if (!cancelled) {
                accept();
            }
        });
    });
}

// Sends all known state to a gateway that has connected, which sends nothing itself.
void seed_exchange::transfer(asio::ip::tcp::socket socket) {
    std::erase_if(transfers_, [](const auto& one) { return one.expired(); });
    if (transfers_.size() >= max_transfers) {
        if (const auto oldest = transfers_.front().lock()) {
            oldest->close();
        }
        transfers_.pop_front();
    }
    const auto timer = std::make_shared<asio::steady_timer>(context_, transfer_timeout);
    const auto requester = std::make_shared<links::link>(
        std::move(socket), links::link::events{[](const links::frame&) {}, [timer] { timer->cancel(); }},
        links::max_first_frame_bytes);
    transfers_.push_back(requester);
    requester->start();
    const time_ms now = boot_now_ms();
    for (const fleet::relayed_data& reading : source_.snapshot()) {
        links::store_relay relay;
        relay.bytes.assign(reading.bytes_.begin(), reading.bytes_.end());
        relay.age_ms = reading.as_of_ == fleet::never ? -1 : now - reading.as_of_;
        requester->send(links::make_frame(std::move(relay)));
    }
    timer->async_wait([requester, timer](boost::system::error_code) { requester->close(); });
}

void seed_exchange::end_current_ask() {
    if (const auto connecting = std::exchange(connecting_, nullptr)) {
        boost::system::error_code ignored;
        connecting->close(ignored);
    }
    if (const auto link = std::exchange(current_link_, nullptr)) {
        link->close();
    }
}

void seed_exchange::ask_next_seed() {
    end_current_ask();
    if (fleet_known_() || seeds_.empty()) {
        return;
    }
    ask_seed(seeds_[next_seed_++ % seeds_.size()]);
    timer_.expires_after(seed_timeout);
    timer_.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) {
            ask_next_seed();
        }
    });
}

void seed_exchange::ask_seed(const asio::ip::tcp::endpoint& seed) {
    const auto socket = std::make_shared<asio::ip::tcp::socket>(context_);
    connecting_ = socket;
    const time_ms asked_at = boot_now_ms();
    socket->async_connect(seed, [this, socket, seed, asked_at](boost::system::error_code failed) {
        if (connecting_ != socket) {
            return; // another seed has been asked since
        }
        connecting_ = nullptr;
        if (failed || fleet_known_()) {
            return;
        }
        links::link::events handlers;
        handlers.frame_ = [this, seed, asked_at](const links::frame& received) {
            if (received.body.type == links::fbs::Body::StoreRelay) {
                const links::store_relay& relay = *received.body.AsStoreRelay();
                const auto& bytes = relay.bytes;
                // The seed sent its data after it was asked.
                const time_ms as_of = relay.age_ms < 0 ? fleet::never : asked_at - relay.age_ms;
                source_.take_relayed({{bytes.begin(), bytes.end()}, as_of});
                events_.write(
                    {event_kind::dependency,
                     "gateway",
                     "fleet_learned_from_peer",
                     {},
                     {{"peer", seed.address().to_string()}, {"bytes", std::int64_t(bytes.size())}}});
            }
        };
        handlers.closed_ = [] {};
        current_link_ = std::make_shared<links::link>(std::move(*socket), std::move(handlers));
        current_link_->start();
    });
}

} // namespace tamarack::gateway
