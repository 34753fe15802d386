#include "gateway/traffic.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace tamarack::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::int64_t ticks_per_digest = 2; // two digests a second
constexpr time_ms min_digest_interval_ms = 100;
constexpr time_ms configuration_relay_delay_ms = 1'000; // time for a version to reach all gateways by itself
constexpr std::int64_t ticks_per_demand_event = 4;      // one event a second about the demand
constexpr time_ms startup_digest_ms = 2'500;            // time after a start with a digest at each tick
constexpr double ms_per_s = 1'000;

constexpr std::size_t bytes_per_mb = 1024 * 1024;

memory::limits client_limits(const gateway_settings& settings) {
    return memory::limits_for(settings.memory_mb_ > 0 ? std::size_t(settings.memory_mb_) * bytes_per_mb
                                                      : memory::machine_memory_bytes(),
                              settings.max_descriptors_ > 0 ? int(settings.max_descriptors_)
                                                            : memory::descriptor_limit());
}

// Number of organisations; -1 if requests carry no keys.
std::int64_t organisation_count(const fleet::configuration& configuration) {
    return configuration.organisations_ ? std::int64_t(configuration.organisations_->size()) : -1;
}

dispatch::retry_limits retry_limits(const gateway_settings& settings) {
    return {settings.retry_ratio_, settings.retry_slack_, time_ms(settings.retry_window_s_ * ms_per_s)};
}

} // namespace

traffic::traffic(const gateway_settings& settings, header_names names, metrics& measures, event_log& events,
                 traffic_events handlers)
    : settings_(settings), incarnation_(new_incarnation()), measures_(measures), events_(events),
      handlers_(std::move(handlers)), context_(1), work_guard_(context_.get_executor()),
      tick_timer_(context_),
      fleet_(settings.id_, context_.get_executor(), std::move(names), retry_limits(settings),
             {settings.quota_window_s_, settings.quota_over_, settings.quota_slack_},
             {settings.strict_revocation_, time_ms(settings.revocation_limit_ms_)}),
      peers_(settings.id_, steady_now_ms()),
      agents_(fleet_, settings.id_, incarnation_, std::uint16_t(settings.agent_port_), events,
              {[this](const links::gateway_digest& digest) {
                   const time_ms late_ms = peers_.apply_digest(digest, steady_now_ms());
                   apply_limits(digest, late_ms);
                   apply_leaving(digest);
                   apply_quarantine(digest, late_ms);
                   apply_quotas(digest, late_ms);
               },
               [this](const links::configuration_relay& relay) {
                   const auto& current = fleet_.current();
                   if (current == nullptr || relay.version > current->configuration_->version_) {
                       handlers_.relayed_configuration_(relay.encoded);
                   }
               },
               [this](fleet::relayed_data data) { handlers_.store_relay_(std::move(data)); }}),
      probes_(context_.get_executor(), events,
              [this](endpoint& at, std::int64_t incarnation) {
                  at.health_.note_unreachable(steady_now_ms());
                  fleet_.quarantine_.note_ended(at.record().id_, incarnation, boot_now_ms());
              }),
      listener_(context_, client_limits(settings), measures, events,
                {[this] {
                     return fleet_.current() ? fleet_.current()->configuration_->limits_
                                             : fleet::client_limits();
                 },
                 [this](std::shared_ptr<response_sink> sink, http::request incoming) {
                     return start_request(std::move(sink), std::move(incoming));
                 },
                 [this] { return shutting_down_.load(); }}),
      flows_{fleet_,
             measures,
             events,
             [this](endpoint& at, const std::string& model, const std::string& adapter,
                    std::function<void(bool)> done) {
                 return agents_.request_adapter(at, model, adapter, std::move(done));
             },
             [this](std::string_view endpoint, std::uint64_t number) {
                 agents_.release_adapter(endpoint, number);
             },
             [this] { announce_notices(); },
             [this] { return reader_rank_ == 0; },
             [this](const std::shared_ptr<endpoint>& at) { probes_.start(at); },
             listener_.memory()},
      started_at_(steady_now_ms()) {}

result<done> traffic::listen() {
    return listener_.listen(settings_.listen_);
}

void traffic::run() {
    tick();
    context_.run();
}

std::shared_ptr<running_request> traffic::start_request(std::shared_ptr<response_sink> sink,
                                                        http::request incoming) {
    const auto flow = std::make_shared<request_flow>(flows_, std::move(sink), std::move(incoming));
    flow->on_finished([] {});
    flow->start();
    return flow;
}

void traffic::set_configuration(std::shared_ptr<const indexed_configuration> configuration,
                                std::string encoded) {
    asio::post(context_,
               [this, configuration = std::move(configuration), encoded = std::move(encoded)]() mutable {
                   if (!fleet_.apply_configuration(configuration)) {
                       return;
                   }
                   encoded_configuration_ = std::move(encoded);
                   events_.write({event_kind::fleet_view,
                                  "gateway",
                                  "configuration_in_force",
                                  {},
                                  {{"version", configuration->configuration_->version_},
                                   {"routes", std::int64_t(configuration->configuration_->routes_.size())},
                                   {"organisations", organisation_count(*configuration->configuration_)}}});
                   measures_.set("tamarack_config_version", "Version of the configuration in force", {},
                                 double(configuration->configuration_->version_));
               });
}

void traffic::set_endpoints(std::map<std::string, fleet::endpoint_record, std::less<>> records) {
    asio::post(context_, [this, records = std::move(records)] { fleet_.apply_endpoints(records); });
}

void traffic::set_registry_freshness(const fleet::freshness& current) {
    asio::post(context_, [this, current] { fleet_.set_registry_freshness(current); });
}

void traffic::set_configuration_freshness(const fleet::freshness& current) {
    asio::post(context_, [this, current] { fleet_.set_configuration_freshness(current); });
}

void traffic::relay_store_reading(fleet::relayed_data data) {
    asio::post(context_, [this, data = std::move(data)] { agents_.relay_store_reading(data); });
}

void traffic::send_orders(std::vector<planned_order> orders) {
    asio::post(context_, [this, orders = std::move(orders)] {
        for (const planned_order& one : orders) {
            const bool sent = agents_.send_order(one.engine_, one.order_);
            events_.write({event_kind::order,
                           "planner",
                           "placement",
                           {},
                           {{"endpoint", one.engine_},
                            {"load", one.order_.load},
                            {"drop", one.order_.drop.empty() ? std::string() : one.order_.drop.front()},
                            {"from_store", one.order_.from_store},
                            {"sent", sent}}});
        }
    });
}

void traffic::tick() {
    const time_ms now = steady_now_ms();
    agents_.tick(now);
    listener_.tick();
    fleet_.set_gateway_count(peers_.gateway_count(now));
    fleet_.set_budget_sharers(peers_.budget_sharers(now));
    fleet_.notices_.limits().update(boot_now_ms(), !shutting_down_);
    measures_.set("tamarack_limited_endpoints", "Endpoints that name a limit on their requests", {},
                  double(fleet_.notices_.limits().count()));
    measures_.set("tamarack_endpoints_in_back_off",
                  "Endpoints that want no requests of this gateway for a while", {},
                  double(fleet_.notices_.back_off_count(boot_now_ms())));
    measures_.set("tamarack_leaving_endpoints", "Endpoints that are known to shut down", {},
                  double(fleet_.notices_.leaving_count()));
    update_quarantine();
    update_quotas();
    const bool just_started = now - started_at_ < startup_digest_ms;
    if (++ticks_ % ticks_per_digest == 0 || just_started || notices_changed_ ||
        fleet_.quarantine_.announcement_is_due() || fleet_.quotas_.announcement_is_due()) {
        send_digest(now);
    }
    relay_configuration(now);
    measures_.set("tamarack_registry_view_age_ms", "Age of the view of the endpoints", {},
                  double(fleet_.view_age_ms(boot_now_ms())));
    measures_.set("tamarack_configuration_age_ms",
                  "Time since the configuration was known to be the operator's newest", {},
                  double(fleet_.configuration_age_ms(boot_now_ms())));
    fleet_.set_needs(peers_.total_needs(fleet_.demand_.levels(now), now));
    const int rank = std::min(peers_.reader_rank(store_reachable_, now), store_reader_count);
    if (rank != reader_rank_) {
        reader_rank_ = rank;
        const bool reads = rank < store_reader_count;
        events_.write({event_kind::fleet_view,
                       "gateway",
                       reads ? "reads_store" : "leaves_reading_to_others",
                       {},
                       {{"gateways", peers_.gateway_count(now)}}});
        handlers_.store_reader_changed_(reads, rank == 0);
        tell_quarantine_memory();
    }
    const bool plans = peers_.is_planner(now, planning_) && !shutting_down_;
    if (plans != planning_) {
        planning_ = plans;
        events_.write({event_kind::fleet_view,
                       "planner",
                       plans ? "plans_here" : "plans_elsewhere",
                       {},
                       {{"gateways", peers_.gateway_count(now)}}});
    }
    if (plans && fleet_.current()) {
        const auto seen = snapshot(now);
        if (ticks_ % ticks_per_demand_event == 0) {
            log_demand(*seen);
        }
        handlers_.snapshot_ready_(seen);
    }
    tick_timer_.expires_after(std::chrono::milliseconds(agent_links::tick_ms));
    tick_timer_.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) {
            tick();
        }
    });
}

void traffic::send_digest(time_ms now) {
    if (shutting_down_) {
        return; // without digests, the other gateways choose another planner
    }
    notices_changed_ = false;
    digest_sent_at_ = now;
    links::gateway_digest digest;
    digest.from = settings_.id_;
    digest.incarnation = incarnation_;
    digest.uptime_ms = now - started_at_;
    digest.configuration_version = fleet_.current() ? fleet_.current()->configuration_->version_ : -1;
    digest.store_reachable = store_reachable_;
    digest.sent_at = boot_now_ms();
    digest.plans = planning_;
    const auto planners = peers_.likely_planners(now);
    digest.planners.assign(planners.begin(), planners.end());
    for (const auto& [model, level] : fleet_.demand_.levels(now)) {
        auto demand = std::make_unique<links::model_demand>();
        demand->model = model;
        demand->work = level.work_;
        demand->waiting = level.waiting_;
        digest.demand.push_back(std::move(demand));
    }
    for (const limits::announcement& one : fleet_.notices_.limits().announce(digest.sent_at)) {
        auto limit = std::make_unique<links::endpoint_limit>();
        limit->endpoint = one.endpoint_;
        limit->incarnation = one.incarnation_;
        limit->per_s = one.per_s_.value_or(-1);
        limit->age_ms = one.age_ms_;
        limit->wanted_per_s = one.wanted_per_s_;
        digest.limits.push_back(std::move(limit));
    }
    for (const notices::leaving_announcement& one : fleet_.notices_.announce()) {
        auto leaving = std::make_unique<links::leaving_endpoint>();
        leaving->endpoint = one.endpoint_;
        leaving->incarnation = one.incarnation_;
        digest.leaving.push_back(std::move(leaving));
    }
    add_quarantine(digest);
    add_quotas(digest);
    agents_.relay(links::make_frame(std::move(digest)));
}

// Tells the other gateways at once that an endpoint changed its limit or shuts down, unless they were told
// something just before.
void traffic::announce_notices() {
    const time_ms now = steady_now_ms();
    notices_changed_ = true;
    if (now - digest_sent_at_ >= min_digest_interval_ms) {
        send_digest(now);
    }
}

// Takes what another gateway announced of the endpoints' limits. `late_ms` is the digest's extra delay.
void traffic::apply_limits(const links::gateway_digest& digest, time_ms late_ms) {
    std::vector<limits::announcement> announced;
    for (const auto& one : digest.limits) {
        const auto known = fleet_.endpoints().find(one->endpoint);
        if (known != fleet_.endpoints().end() && known->second->record().incarnation_ == one->incarnation) {
            const auto per_s = one->per_s >= 0 ? std::optional(one->per_s) : std::nullopt;
            announced.push_back({one->endpoint, one->incarnation, per_s, one->age_ms, one->wanted_per_s});
        }
    }
    fleet_.notices_.limits().apply(digest.from, announced, late_ms, boot_now_ms(),
                                   [&](const limits::announcement& one, limits::limit_change change) {
                                       events_.write({event_kind::fleet_view,
                                                      "gateway",
                                                      limits::to_string(change),
                                                      {},
                                                      {{"endpoint", one.endpoint_},
                                                       {"per_s", one.per_s_.value_or(-1)},
                                                       {"from", digest.from},
                                                       {"age_ms", one.age_ms_ + late_ms}}});
                                   });
}

// Takes what another gateway learned from responses of endpoints that shut down. Frames from a peer may be
// damaged, so no more than a sound one has are taken.
void traffic::apply_leaving(const links::gateway_digest& digest) {
    const std::size_t count = std::min(digest.leaving.size(), notices::max_announcements);
    for (std::size_t index = 0; index < count; ++index) {
        const links::leaving_endpoint& one = *digest.leaving[index];
        if (fleet_.notices_.note_leaving({one.endpoint, one.incarnation},
                                         notices::leaving_source::announcement, boot_now_ms())) {
            events_.write({event_kind::fleet_view,
                           "gateway",
                           "endpoint_says_leaving",
                           {},
                           {{"endpoint", one.endpoint},
                            {"incarnation", one.incarnation},
                            {"source", notices::to_string(notices::leaving_source::announcement)},
                            {"from", digest.from}}});
        }
    }
}

// Sends the configuration to gateways that neither read the store nor received the version from one that
// does. Only the first store reader sends it, and only if a gateway stays outdated, since a new version takes
// a moment to reach all.
void traffic::relay_configuration(time_ms now) {
    if (fleet_.current() == nullptr || reader_rank_ != 0 ||
        !peers_.any_peer_outdated(fleet_.current()->configuration_->version_, now)) {
        peers_outdated_since_ = now;
        return;
    }
    if (now - peers_outdated_since_ < configuration_relay_delay_ms) {
        return;
    }
    peers_outdated_since_ = now;
    links::configuration_relay relay;
    relay.version = fleet_.current()->configuration_->version_;
    relay.encoded = encoded_configuration_;
    agents_.relay(links::make_frame(std::move(relay)));
}

std::shared_ptr<const fleet_snapshot> traffic::snapshot(time_ms now) const {
    auto all = std::make_shared<fleet_snapshot>();
    all->settled_ = peers_.settled(now);
    all->needs_ = peers_.total_needs(fleet_.demand_.levels(now), now);
    const auto& configuration = fleet_.current()->configuration_;
    for (const fleet::service_spec& service : configuration->services_) {
        if (!service.engine_) {
            continue;
        }
        service_snapshot part{configuration, &*service.engine_, {}};
        for (const auto& one : fleet_.endpoints_of(service.name_)) {
            engine_snapshot engine;
            provisioning::engine_state& state = engine.state_;
            state.id_ = one->record().id_;
            state.serving_ =
                fleet_.accepts_requests(*one) && (!one->engine_.known_ || one->engine_.reachable_);
            state.available_ =
                state.serving_ && one->engine_.known_ && !one->engine_.busy_ && one->engine_.loading_.empty();
            state.loading_ = one->engine_.loading_;
            state.cached_models_ = one->engine_.cached_models_;
            state.limited_ = fleet_.notices_.limits().limited(state.id_) ||
                             fleet_.notices_.back_off_ms(key_of(*one), boot_now_ms()).has_value();
            state.running_ = one->engine_.running_ + one->engine_.queued_;
            for (const fleet::held_model& model : one->models()) {
                state.models_.push_back(model.name_);
            }
            engine.store_loads_ = one->engine_.store_loads_;
            part.engines_.push_back(std::move(engine));
        }
        all->services_.push_back(std::move(part));
    }
    return all;
}

// Writes an event for each service with the demand for its models and the number of copies, busiest models
// first.
void traffic::log_demand(const fleet_snapshot& seen) {
    for (const service_snapshot& service : seen.services_) {
        std::vector<std::pair<double, std::string>> lines;
        for (const auto& [model, need] : seen.needs_) {
            int copies = 0;
            int loading = 0;
            int nearby = 0; // serving engines that can load it soon, from weights on disk or in memory
            for (const engine_snapshot& engine : service.engines_) {
                const auto& models = engine.state_.models_;
                copies +=
                    engine.state_.serving_ && std::find(models.begin(), models.end(), model) != models.end();
                loading += engine.state_.loading_ == model;
                nearby += engine.state_.serving_ && engine.state_.cached_models_.contains(model);
            }
            lines.emplace_back(-need.work_, model + " work " + std::to_string(std::lround(need.work_)) +
                                                " copies " + std::to_string(copies) + "+" +
                                                std::to_string(loading) + " near " + std::to_string(nearby) +
                                                " waiting " + std::to_string(need.waiting_));
        }
        std::sort(lines.begin(), lines.end());
        event report{event_kind::fleet_view, "planner", "demand", {}, {}};
        std::int64_t available = 0;
        std::int64_t store_loads = 0;
        const time_ms window_start = steady_now_ms() - time_ms(settings_.load_window_s_ * ms_per_s);
        for (const engine_snapshot& engine : service.engines_) {
            available += engine.state_.available_ ? 1 : 0;
            store_loads += std::count_if(engine.store_loads_.begin(), engine.store_loads_.end(),
                                         [&](time_ms start) { return start > window_start; });
        }
        report.fields_.emplace_back("engines", std::int64_t(service.engines_.size()));
        report.fields_.emplace_back("available", available);
        report.fields_.emplace_back("store_loads_in_window", store_loads);
        static constexpr std::array<std::string_view, 6> ranks = {"first",  "second", "third",
                                                                  "fourth", "fifth",  "sixth"};
        for (std::size_t index = 0; index < std::min(lines.size(), ranks.size()); ++index) {
            report.fields_.emplace_back(ranks[index], lines[index].second);
        }
        events_.write(report);
    }
}

void traffic::begin_shutdown(const dispatch::shutdown_schedule& schedule) {
    shutting_down_ = true;
    asio::post(context_, [this, schedule] { flows_.shutdown_ = schedule; });
}

void traffic::close_idle() {
    asio::post(context_, [this] { listener_.close_idle(); });
}

void traffic::refuse_unsent() {
    asio::post(context_, [this] { listener_.refuse_unsent(); });
}

void traffic::refuse_incomplete() {
    asio::post(context_, [this] {
        listener_.refuse_incomplete();
        incomplete_refused_ = true;
    });
}

void traffic::end_before_exit() {
    asio::post(context_, [this] { listener_.end_before_exit(); });
}

void traffic::stop() {
    asio::post(context_, [this] {
        work_guard_.reset();
        context_.stop();
    });
}

} // namespace tamarack::gateway
