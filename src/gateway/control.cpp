#include "gateway/control.hpp"

#include <boost/asio/post.hpp>

#include <thread>

namespace tamarack::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds tick_interval{250};
constexpr std::chrono::milliseconds end_interval{50};
constexpr double ms_per_s = 1'000;

// After SIGTERM the platform asks twice, a second apart, before new connections go elsewhere.
constexpr time_ms rotation_ms = 2'600;

// Before the end, for clients to read that their requests were not sent.
constexpr time_ms refusal_ms = 150;

// Kept of the grace time, for the process to end by itself.
constexpr time_ms end_margin_ms = 600;

} // namespace

control::control(const gateway_settings& settings, std::string settings_path, event_log& events)
    : settings_(settings), settings_path_(std::move(settings_path)), events_(events), context_(1),
      signals_(context_, SIGTERM, SIGINT, SIGHUP), timer_(context_), end_timer_(context_),
      planner_(settings.id_, settings.load_window_s_),
      traffic_(settings, *registry<header_names>::instance().find(settings.platform_), measures_, events,
               {[this](std::shared_ptr<const fleet_snapshot> snapshot) {
                    asio::post(context_, [this, snapshot = std::move(snapshot)] {
                        auto orders = planner_.next_orders(*snapshot, steady_now_ms());
                        if (!orders.empty()) {
                            traffic_.give_orders(std::move(orders));
                        }
                    });
                },
                [this](std::string encoded) {
                    asio::post(context_, [this, encoded = std::move(encoded)] {
                        const auto decoded = source_->decode(encoded);
                        if (ok(decoded)) {
                            take_configuration(value(decoded), encoded);
                        }
                    });
                },
                [this](std::string bytes) {
                    asio::post(context_, [this, bytes = std::move(bytes)] { source_->take_relayed(bytes); });
                },
                [this](bool reads, bool first) {
                    asio::post(context_, [this, reads, first] { source_->set_reads_store(reads, first); });
                }}),
      admin_(context_, http::server_limits(),
             [this](http::exchange& current) -> asio::awaitable<void> { co_await handle_admin(current); }),
      metrics_server_(
          context_, http::server_limits(),
          [this](http::exchange& current) -> asio::awaitable<void> { co_await handle_metrics(current); }) {
    fleet::fleet_events handlers;
    handlers.configuration_ = [this](std::shared_ptr<const fleet::configuration> given,
                                     const std::string& encoded) {
        take_configuration(std::move(given), encoded);
    };
    handlers.endpoints_ = [this](const std::vector<fleet::endpoint_change>& changes) {
        take_endpoints(changes);
    };
    handlers.registry_ = [this](bool reachable) { note_registry(reachable); };
    handlers.skipped_ = [this](const error& why) {
        events_.write({event_kind::belief, "gateway", "record_skipped", {}, {{"why", to_string(why)}}});
    };
    handlers.relay_ = [this](std::string bytes) { traffic_.relay_store(std::move(bytes)); };
    source_ = (*registry<fleet::fleet_source_factory>::instance().find(settings.platform_))(
        context_, settings.store_, std::move(handlers));
    seeds_ = std::make_unique<seed_exchange>(context_, *source_, settings.peers_, settings.seeds_, events);
}

int control::run() {
    for (const auto& listening : {traffic_.listen(), admin_.listen(settings_.admin_)}) {
        if (!ok(listening)) {
            events_.write({event_kind::process,
                           "gateway",
                           "cannot_listen",
                           {},
                           {{"error", to_string(failure(listening))}}});
            return 1;
        }
    }
    const auto metrics_listening = metrics_server_.listen(settings_.metrics_);
    if (!ok(metrics_listening)) {
        events_.write({event_kind::process,
                       "gateway",
                       "metrics_not_served",
                       {},
                       {{"error", to_string(failure(metrics_listening))}}});
    }
    events_.write({event_kind::process, "gateway", "started", {}, {{"port", int(settings_.listen_.port())}}});
    std::thread traffic_thread([this] { traffic_.run(); });
    source_->start();
    seeds_->start([this] { return version_ >= 0 && endpoints_known_; });
    watch_signals();
    tick();
    context_.run();
    traffic_.stop();
    traffic_thread.join();
    events_.write({event_kind::process, "gateway", "stopped", {}, {}});
    return 0;
}

void control::take_configuration(std::shared_ptr<const fleet::configuration> given,
                                 const std::string& encoded) {
    if (given->version_ <= version_) {
        return;
    }
    version_ = given->version_;
    traffic_.set_configuration(std::make_shared<const indexed_configuration>(std::move(given)), encoded);
}

void control::take_endpoints(const std::vector<fleet::endpoint_change>& changes) {
    const time_ms now = steady_now_ms();
    if (!std::exchange(endpoints_known_, true)) {
        traffic_.set_store_reachable(true);
    }
    for (const fleet::endpoint_change& change : changes) {
        directory_.apply(change, now);
    }
    directory_.expire(now);
    traffic_.set_endpoints(directory_.endpoints());
}

void control::note_registry(bool reachable) {
    const time_ms now = steady_now_ms();
    traffic_.set_store_reachable(reachable);
    if (reachable) {
        directory_.registry_returned(now);
    } else {
        directory_.registry_lost(now);
    }
    events_.write(
        {event_kind::dependency,
         "gateway",
         reachable ? "store_regained" : "store_lost",
         {},
         {{"endpoints", std::int64_t(directory_.endpoints().size())}, {"configuration", version_}}});
}

void control::tick() {
    if (directory_.expire(steady_now_ms())) {
        traffic_.set_endpoints(directory_.endpoints());
    }
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) {
            tick();
        }
    });
}

bool control::ready() const {
    return !leaving_ && version_ >= 0 && endpoints_known_;
}

asio::awaitable<void> control::handle_admin(http::exchange& current) {
    const std::string path(current.incoming().path());
    http::response answer = http::json_response(404, "{}");
    if (path == settings_.ready_path_) {
        answer = http::json_response(ready() ? 200 : 503, "{}");
    }
    co_await current.reply(std::move(answer));
}

asio::awaitable<void> control::handle_metrics(http::exchange& current) {
    http::response answer{200, {{"Content-Type", "text/plain; version=0.0.4"}}, measures_.text()};
    co_await current.reply(std::move(answer));
}

void control::watch_signals() {
    signals_.async_wait([this](boost::system::error_code failed, int number) {
        if (failed) {
            return;
        }
        if (number == SIGHUP) {
            reload();
        } else if (!leaving_) {
            shut_down();
        }
        watch_signals();
    });
}

// Settings that can change while the process runs take effect at its next start; a wrong file changes
// nothing.
void control::reload() {
    const auto settings = load_gateway_settings(settings_path_);
    const std::string outcome = !ok(settings)                  ? to_string(failure(settings))
                                : value(settings) == settings_ ? "unchanged"
                                                               : "in force at the next start";
    events_.write({event_kind::process, "gateway", "settings_read", {}, {{"outcome", outcome}}});
}

// Reports not ready at once, serves until the platform has taken notice, then ends with the last request.
void control::shut_down() {
    leaving_ = true;
    leaving_since_ = steady_now_ms();
    events_.write({event_kind::process, "gateway", "leaving", {}, {{"in_service", traffic_.in_service()}}});
    traffic_.drain();
    await_end(leaving_since_ + time_ms(settings_.shutdown_grace_s_ * ms_per_s) - end_margin_ms);
}

void control::await_end(time_ms until) {
    const time_ms now = steady_now_ms();
    const bool rotated = now >= leaving_since_ + rotation_ms;
    if (rotated) {
        traffic_.close_idle();
    }
    if (now >= until - refusal_ms) {
        traffic_.refuse_unsent();
    }
    if (now >= until || (rotated && traffic_.in_service() == 0)) {
        context_.stop();
        return;
    }
    end_timer_.expires_after(end_interval);
    end_timer_.async_wait([this, until](boost::system::error_code cancelled) {
        if (!cancelled) {
            await_end(until);
        }
    });
}

} // namespace tamarack::gateway
