#include "gateway/end_probe.hpp"

#include <boost/asio/steady_timer.hpp>

namespace tamarack::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds connect_timeout{450};

// A process that ends may close its connections shortly before the port on which it listens.
constexpr int most_connects = 2;
constexpr std::chrono::milliseconds pause_between{150};

} // namespace

struct end_probe::probe {
    probe(const asio::any_io_executor& executor, std::shared_ptr<endpoint> target)
        : target_(std::move(target)), incarnation_(target_->record().incarnation_), socket_(executor),
          timer_(executor) {}

    const std::shared_ptr<endpoint> target_;
    const std::int64_t incarnation_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    int connects_ = 0;
};

end_probe::end_probe(asio::any_io_executor executor, event_log& events,
                     std::function<void(endpoint&, std::int64_t incarnation)> ended)
    : executor_(std::move(executor)), events_(events), ended_(std::move(ended)) {}

void end_probe::start(const std::shared_ptr<endpoint>& target) {
    if (pending_.insert(target->record().id_).second) {
        connect(std::make_shared<probe>(executor_, target));
    }
}

void end_probe::connect(const std::shared_ptr<probe>& one) {
    ++one->connects_;
    one->timer_.expires_after(connect_timeout);
    one->timer_.async_wait([one](boost::system::error_code cancelled) {
        if (!cancelled) {
            boost::system::error_code ignored;
            one->socket_.close(ignored);
        }
    });
    one->socket_.async_connect(
        one->target_->record().address_, [this, one](boost::system::error_code failed) {
            one->timer_.cancel();
            boost::system::error_code ignored;
            one->socket_.close(ignored);
            events_.write({event_kind::fleet_view,
                           "gateway",
                           "endpoint_probed",
                           {},
                           {{"endpoint", one->target_->record().id_},
                            {"incarnation", one->incarnation_},
                            {"result", failed ? failed.message() : "accepted"}}});
            if (failed == asio::error::connection_refused) {
                ended_(*one->target_, one->incarnation_);
            }
            if (failed || one->connects_ == most_connects) {
                pending_.erase(one->target_->record().id_);
                return;
            }
            one->timer_.expires_after(pause_between);
            one->timer_.async_wait([this, one](boost::system::error_code) { connect(one); });
        });
}

} // namespace tamarack::gateway
