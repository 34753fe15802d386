#include "gateway/control.hpp"

#include "observe/contract_report.hpp"

#include <boost/asio/post.hpp>

#include <thread>

namespace tamarack::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds shutdown_poll_interval{50};
constexpr double ms_per_s = 1'000;

// After SIGTERM the platform probes readiness twice, a second apart, before it sends new connections
// elsewhere.
constexpr time_ms readiness_propagation_ms = 2'600;

// Time before the end of the process for clients to read the last responses.
constexpr time_ms last_response_ms = 150;

// Part of the grace time that is left for the process to exit by itself.
constexpr time_ms exit_margin_ms = 600;

} // namespace

control::control(const gateway_settings& settings, std::string settings_path, event_log& events)
    : settings_(settings), settings_path_(std::move(settings_path)), events_(events), context_(1),
      signals_(context_, SIGTERM, SIGINT, SIGHUP), shutdown_timer_(context_),
      planner_(settings.id_, settings.load_window_s_),
      traffic_(settings, *registry<header_names>::instance().find(settings.platform_), measures_, events,
               {[this](std::shared_ptr<const fleet_snapshot> snapshot) {
                    asio::post(context_, [this, snapshot = std::move(snapshot)] {
                        auto orders = planner_.next_orders(*snapshot, steady_now_ms());
                        if (!orders.empty()) {
                            traffic_.send_orders(std::move(orders));
                        }
                    });
                },
                [this](std::string encoded) {
                    asio::post(context_, [this, encoded = std::move(encoded)] {
                        const auto decoded = source_->decode(encoded);
                        if (ok(decoded)) {
                            apply_configuration(value(decoded), encoded);
                        }
                    });
                },
                [this](fleet::relayed_data data) {
                    asio::post(context_, [this, data = std::move(data)] { source_->take_relayed(data); });
                },
                [this](bool reads, bool first) {
                    asio::post(context_, [this, reads, first] { source_->set_reads_store(reads, first); });
                },
                [this](std::map<std::string, std::string> records, bool writes) {
                    asio::post(context_, [this, records = std::move(records), writes] {
                        if (writes && quarantine_known_) {
                            source_->write_quarantine(records);
                        }
                    });
                },
                [this] { asio::post(context_, [this] { quarantine_known_ = true; }); }}),
      admin_(context_, http::observer_limits(),
             [this](http::exchange& current) -> asio::awaitable<void> { co_await handle_admin(current); }),
      metrics_server_(
          context_, http::observer_limits(),
          [this](http::exchange& current) -> asio::awaitable<void> { co_await handle_metrics(current); }) {
    fleet::fleet_events handlers;
    handlers.configuration_ = [this](std::shared_ptr<const fleet::configuration> configuration,
                                     const std::string& encoded) {
        apply_configuration(std::move(configuration), encoded);
    };
    handlers.configuration_current_ = [this](const fleet::freshness& current) {
        traffic_.set_configuration_freshness(current);
    };
    handlers.endpoints_ = [this](const std::vector<fleet::endpoint_change>& changes,
                                 const fleet::freshness& current) { apply_endpoints(changes, current); };
    handlers.store_reached_ = [this](bool reachable) { set_store_reachable(reachable); };
    handlers.rolled_back_ = [this] {
        events_.write({event_kind::dependency,
                       "gateway",
                       "store_rolled_back",
                       {},
                       {{"endpoints", std::int64_t(directory_.endpoints().size())},
                        {"configuration", configuration_version_}}});
    };
    handlers.skipped_ = [this](const error& why) {
        events_.write({event_kind::fleet_view, "gateway", "record_skipped", {}, {{"why", to_string(why)}}});
    };
    handlers.call_failed_ = [this](const std::string& topic, const error& why) {
        measures_.count("tamarack_store_calls_failed_total", "Calls for a topic of the store that failed",
                        {{"topic", topic}, {"error", std::string(to_string(why.kind_))}});
        events_.write({event_kind::dependency,
                       "gateway",
                       "store_call_failed",
                       {},
                       {{"topic", topic}, {"why", to_string(why)}}});
    };
    handlers.relay_ = [this](fleet::relayed_data data) { traffic_.relay_store_reading(std::move(data)); };
    handlers.quarantine_ = [this](std::map<std::string, std::string> records) {
        traffic_.restore_quarantine(std::move(records));
    };
    source_ = (*registry<fleet::fleet_source_factory>::instance().find(settings.platform_))(
        context_, settings.store_, std::move(handlers));
    seed_exchange_ =
        std::make_unique<seed_exchange>(context_, *source_, settings.peers_, settings.seeds_, events);
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
    report_contract(settings_.contract_, settings_.platform_, "gateway", events_, measures_);
    std::thread traffic_thread([this] { traffic_.run(); });
    source_->start();
    seed_exchange_->start([this] { return configuration_version_ >= 0 && endpoints_known_; });
    watch_signals();
    context_.run();
    traffic_.stop();
    traffic_thread.join();
    events_.write({event_kind::process, "gateway", "stopped", {}, {}});
    return 0;
}

void control::apply_configuration(std::shared_ptr<const fleet::configuration> configuration,
                                  const std::string& encoded) {
    if (configuration->version_ <= configuration_version_) {
        return;
    }
    configuration_version_ = configuration->version_;
    log_ignored_terms(*configuration);
    traffic_.set_configuration(std::make_shared<const indexed_configuration>(std::move(configuration)),
                               encoded);
}

// Reports what a configuration asks for and this program does not do, when that changes.
void control::log_ignored_terms(const fleet::configuration& configuration) {
    if (configuration.ignored_terms_ == ignored_terms_) {
        return;
    }
    ignored_terms_ = configuration.ignored_terms_;
    events_.write({event_kind::fleet_view,
                   "gateway",
                   "configuration_terms_ignored",
                   {},
                   {{"version", configuration.version_}, {"terms", contract::joined(ignored_terms_)}}});
    measures_.set("tamarack_configuration_terms_ignored",
                  "Terms of the configuration that this program does not follow", {},
                  double(ignored_terms_.size()));
}

void control::apply_endpoints(const std::vector<fleet::endpoint_change>& changes,
                              const fleet::freshness& current) {
    registry_freshness_ = current;
    if (!std::exchange(endpoints_known_, true)) {
        traffic_.set_store_reachable(true);
    }
    bool changed = false;
    for (const fleet::endpoint_change& change : changes) {
        const fleet::directory_effect effect = directory_.apply(change, current);
        changed = changed || effect != fleet::directory_effect::none;
        if (effect != fleet::directory_effect::none && effect != fleet::directory_effect::renewed) {
            log_endpoint(fleet::endpoint_id(change), fleet::to_string(effect));
        }
    }
    changed = erase_expired() || changed;
    if (changed) {
        traffic_.set_endpoints(directory_.endpoints());
    }
    traffic_.set_registry_freshness(registry_freshness_);
}

// Erases the endpoints whose grace period has ended. Returns whether there were any.
bool control::erase_expired() {
    const std::vector<std::string> expired = directory_.expire(registry_freshness_);
    for (const std::string& id : expired) {
        log_endpoint(id, "expired");
    }
    return !expired.empty();
}

void control::log_endpoint(std::string_view id, std::string_view decision) {
    events_.write({event_kind::fleet_view,
                   "gateway",
                   "endpoint_" + std::string(decision),
                   {},
                   {{"endpoint", id},
                    {"view_age_ms", fleet::age_ms(registry_freshness_, boot_now_ms())},
                    {"relayed", registry_freshness_.relayed_}}});
}

void control::set_store_reachable(bool reachable) {
    traffic_.set_store_reachable(reachable);
    events_.write({event_kind::dependency,
                   "gateway",
                   reachable ? "store_regained" : "store_lost",
                   {},
                   {{"endpoints", std::int64_t(directory_.endpoints().size())},
                    {"configuration", configuration_version_}}});
}

bool control::ready() const {
    return !shutting_down_ && configuration_version_ >= 0 && endpoints_known_ && quarantine_known_;
}

asio::awaitable<void> control::handle_admin(http::exchange& current) {
    const std::string path(current.incoming().path());
    http::response response = http::json_response(404, "{}");
    if (path == settings_.ready_path_) {
        response = http::json_response(ready() ? 200 : 503, "{}");
    }
    co_await current.reply(std::move(response));
}

asio::awaitable<void> control::handle_metrics(http::exchange& current) {
    http::response response{200, {{"Content-Type", "text/plain; version=0.0.4"}}, measures_.text()};
    co_await current.reply(std::move(response));
}

void control::watch_signals() {
    signals_.async_wait([this](boost::system::error_code failed, int signal_number) {
        if (failed) {
            return;
        }
        if (signal_number == SIGHUP) {
            check_settings();
        } else if (!shutting_down_) {
            shut_down();
        }
        watch_signals();
    });
}

// Reports whether the settings file is valid and differs. The released suspects take effect at once, other
// changes at the next start; an invalid file changes nothing.
void control::check_settings() {
    const auto settings = load_gateway_settings(settings_path_);
    const std::string outcome = !ok(settings)                  ? to_string(failure(settings))
                                : value(settings) == settings_ ? "unchanged"
                                                               : "in force at the next start";
    events_.write({event_kind::process, "gateway", "settings_read", {}, {{"outcome", outcome}}});
    if (ok(settings)) {
        report_contract(value(settings).contract_, settings_.platform_, "gateway", events_, measures_);
        traffic_.release_suspects(value(settings).released_suspects_);
    }
}

// Reports not ready at once, serves until the platform has noticed, then exits when no request is in service.
// Shortly before the grace time ends, what is still in service gets its last response.
void control::shut_down() {
    shutting_down_ = true;
    const time_ms now = steady_now_ms();
    close_idle_at_ = now + readiness_propagation_ms;
    exits_at_ = now + time_ms(settings_.shutdown_grace_s_ * ms_per_s) - exit_margin_ms;
    serving_ends_at_ = exits_at_ - last_response_ms;
    events_.write({event_kind::process, "gateway", "leaving", {}, {{"in_service", traffic_.in_service()}}});
    traffic_.begin_shutdown({now, close_idle_at_, serving_ends_at_});
    continue_shutdown();
}

void control::continue_shutdown() {
    const time_ms now = steady_now_ms();
    if (now >= close_idle_at_) {
        traffic_.close_idle();
    }
    traffic_.refuse_unsent();
    if (now >= serving_ends_at_) {
        traffic_.end_before_exit();
    }
    // Read first: what is refused counts as in service before this is set.
    const bool incomplete_refused = traffic_.incomplete_refused();
    const bool all_ended = now >= close_idle_at_ && traffic_.in_service() == 0;
    if (now >= exits_at_ || (all_ended && incomplete_refused)) {
        context_.stop();
        return;
    }
    if (all_ended) {
        traffic_.refuse_incomplete();
    }
    shutdown_timer_.expires_after(shutdown_poll_interval);
    shutdown_timer_.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) {
            continue_shutdown();
        }
    });
}

} // namespace tamarack::gateway
