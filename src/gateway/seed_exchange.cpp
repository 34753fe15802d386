#include "gateway/seed_exchange.hpp"

#include "net/socket_options.hpp"

namespace tamarack::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds first_wait{450};     // for the store to answer a gateway that starts
constexpr std::chrono::milliseconds ask_interval{350};   // for one seed to answer
constexpr std::chrono::milliseconds answer_limit{2'000}; // for one asking gateway to take the answer

} // namespace

seed_exchange::seed_exchange(asio::io_context& context, fleet::fleet_source& source,
                             asio::ip::tcp::endpoint listen, std::vector<asio::ip::tcp::endpoint> seeds,
                             event_log& events)
    : context_(context), source_(source), listen_(std::move(listen)), seeds_(std::move(seeds)),
      events_(events), acceptor_(context), timer_(context) {
    std::erase(seeds_, listen_);
}

void seed_exchange::start(std::function<bool()> knows) {
    knows_ = std::move(knows);
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
    timer_.expires_after(first_wait);
    timer_.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) {
            ask_next();
        }
    });
}

void seed_exchange::accept() {
    acceptor_.async_accept([this](boost::system::error_code failed, asio::ip::tcp::socket socket) {
        if (failed == asio::error::operation_aborted) {
            return;
        }
        if (!failed) {
            const auto timer = std::make_shared<asio::steady_timer>(context_, answer_limit);
            const auto asking = std::make_shared<links::link>(
                std::move(socket),
                links::link::events{[](const links::frame&) {}, [timer] { timer->cancel(); }});
            asking->start();
            for (const std::string& reading : source_.snapshot()) {
                links::store_relay relay;
                relay.bytes.assign(reading.begin(), reading.end());
                asking->send(links::make_frame(std::move(relay)));
            }
            timer->async_wait([asking, timer](boost::system::error_code) { asking->close(); });
        }
        accept();
    });
}

void seed_exchange::ask_next() {
    if (asked_) {
        asked_->close();
        asked_ = nullptr;
    }
    if (knows_() || seeds_.empty()) {
        return;
    }
    ask(seeds_[next_++ % seeds_.size()]);
    timer_.expires_after(ask_interval);
    timer_.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) {
            ask_next();
        }
    });
}

void seed_exchange::ask(const asio::ip::tcp::endpoint& seed) {
    const auto socket = std::make_shared<asio::ip::tcp::socket>(context_);
    socket->async_connect(seed, [this, socket, seed](boost::system::error_code failed) {
        if (failed || knows_()) {
            return;
        }
        links::link::events handlers;
        handlers.frame_ = [this, seed](const links::frame& received) {
            if (received.body.type == links::fbs::Body::StoreRelay) {
                const auto& bytes = received.body.AsStoreRelay()->bytes;
                source_.take_relayed({bytes.begin(), bytes.end()});
                events_.write(
                    {event_kind::dependency,
                     "gateway",
                     "fleet_learned_from_peer",
                     {},
                     {{"peer", seed.address().to_string()}, {"bytes", std::int64_t(bytes.size())}}});
            }
        };
        handlers.closed_ = [] {};
        asked_ = std::make_shared<links::link>(std::move(*socket), std::move(handlers));
        asked_->start();
    });
}

} // namespace tamarack::gateway
