#include "engine_agent/agent.hpp"

#include "net/socket_options.hpp"
#include "observe/contract_report.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace tamarack::engine_agent {

namespace asio = boost::asio;

namespace {

// Time between reads of the report while nothing is pending.
constexpr time_ms idle_report_interval_ms = 100;

// Time between reads of the report while an order, an adapter request or a placement is pending.
constexpr time_ms busy_report_interval_ms = 20;

// Most links whose peer has not said hello. A gateway says it with its first bytes.
constexpr std::ptrdiff_t max_unidentified_links = 64;

// Time until links are accepted again after that failed, for example for want of descriptors.
constexpr std::chrono::milliseconds accept_retry_delay{20};

constexpr int failures_until_unreachable = 2; // consecutive failed reads of the report

// Least time between two statuses to the gateways, unless a change is urgent.
constexpr time_ms min_status_interval_ms = 100;

// The interval grows with the number of gateways, which limits the statuses that one agent sends per second.
constexpr time_ms status_interval_per_gateway_ms = 10;

} // namespace

agent::agent(const engine_agent_settings& settings, event_log& events)
    : settings_(settings), events_(events), context_(1), acceptor_(context_),
      signals_(context_, SIGTERM, SIGINT, SIGHUP), report_timer_(context_),
      engine_client_((*registry<engine::client_factory>::instance().find(settings.platform_))(
          context_, settings.engine_)),
      scheduler_(settings.id_), metrics_server_(context_, http::observer_limits(),
                                                [this](http::exchange& current) -> asio::awaitable<void> {
                                                    co_await handle_metrics(current);
                                                }) {}

int agent::run() {
    const auto listening = listen();
    if (!ok(listening)) {
        events_.write(
            {event_kind::process, "agent", "cannot_listen", {}, {{"error", to_string(failure(listening))}}});
        return 1;
    }
    const auto metrics_listening = metrics_server_.listen(settings_.metrics_);
    if (!ok(metrics_listening)) {
        events_.write({event_kind::process,
                       "agent",
                       "metrics_not_served",
                       {},
                       {{"error", to_string(failure(metrics_listening))}}});
    }
    events_.write({event_kind::process, "agent", "started", {}, {{"port", int(settings_.listen_.port())}}});
    report_contract(settings_.contract_, settings_.platform_, "agent", events_, measures_);
    watch_signals();
    read_report();
    context_.run();
    events_.write({event_kind::process, "agent", "stopped", {}, {}});
    return 0;
}

void agent::watch_signals() {
    signals_.async_wait([this](boost::system::error_code failed, int number) {
        if (failed) {
            return;
        }
        if (number != SIGHUP) {
            context_.stop();
            return;
        }
        events_.write(
            {event_kind::process, "agent", "settings_kept", {}, {{"outcome", "in force at the next start"}}});
        watch_signals();
    });
}

result<done> agent::listen() {
    const result<done> listening = net::listen_on(acceptor_, settings_.listen_, "gateways");
    if (ok(listening)) {
        accept();
    }
    return listening;
}

void agent::accept() {
    acceptor_.async_accept([this](boost::system::error_code failed, asio::ip::tcp::socket socket) {
        if (failed == asio::error::operation_aborted) {
            return;
        }
        if (!failed) {
            const auto connected = std::make_shared<gateway>();
            links::link::events handlers;
            handlers.frame_ = [this, connected](const links::frame& received) {
                handle_frame(connected, received);
            };
            handlers.closed_ = [this, connected] {
                for (const auto& [number, request_id] : connected->request_ids_) {
                    scheduler_.release_adapter(request_id);
                }
                std::erase(gateways_, connected);
                events_.write(
                    {event_kind::dependency, "agent", "gateway_lost", {}, {{"gateway", connected->id_}}});
            };
            connected->link_ = std::make_shared<links::link>(std::move(socket), std::move(handlers),
                                                             links::max_first_frame_bytes);
            limit_unidentified();
            gateways_.push_back(connected);
            connected->link_->start();
            accept();
            return;
        }
        const auto pause = std::make_shared<asio::steady_timer>(context_, accept_retry_delay);
        pause->async_wait([this, pause](boost::system::error_code) { accept(); });
    });
}

// Closes the link that has waited longest for its hello if there are too many of them.
void agent::limit_unidentified() {
    const auto unidentified = [](const std::shared_ptr<gateway>& one) {
        return !one->identified_ && !one->link_->closed();
    };
    if (std::count_if(gateways_.begin(), gateways_.end(), unidentified) >= max_unidentified_links) {
        (*std::find_if(gateways_.begin(), gateways_.end(), unidentified))->link_->close();
    }
}

void agent::handle_frame(const std::shared_ptr<gateway>& from, const links::frame& received) {
    switch (received.body.type) {
    case links::fbs::Body::Hello: {
        const links::hello& hello = *received.body.AsHello();
        if (hello.protocol != links::protocol_version) {
            from->link_->close();
            return;
        }
        from->id_ = hello.id;
        from->identified_ = true;
        from->link_->set_max_received_bytes(links::max_frame_bytes);
        engine_ids_[hello.engine_incarnation] = hello.engine;
        from->stamps_.note(hello.sent_at, boot_now_ms());
        events_.write({event_kind::dependency, "agent", "gateway_linked", {}, {{"gateway", from->id_}}});
        from->link_->send(links::make_frame(make_status(true)));
        return;
    }
    case links::fbs::Body::AdapterWanted: {
        const links::adapter_wanted& wanted = *received.body.AsAdapterWanted();
        const auto model = fleet::plain_name::parse(wanted.model);
        const auto adapter = fleet::plain_name::parse(wanted.adapter);
        if (!model || !adapter) {
            events_.write({event_kind::order,
                           "agent",
                           "adapter_refused",
                           {},
                           {{"gateway", from->id_}, {"reason", "it has no valid name"}}});
            links::adapter_state state;
            state.number = wanted.number;
            from->link_->send(links::make_frame(state));
            return;
        }
        const std::uint64_t request_id = next_request_id_++;
        from->request_ids_[wanted.number] = request_id;
        adapter_requests_[request_id] = {from->link_, wanted.number};
        scheduler_.set_max_adapters(wanted.most_adapters);
        scheduler_.request_adapter(request_id, *model, *adapter, steady_now_ms());
        send_answers(scheduler_.resolve_requests(steady_now_ms()));
        send_next_order();
        return;
    }
    case links::fbs::Body::AdapterReleased:
        release_adapter(*from, received.body.AsAdapterReleased()->number);
        return;
    case links::fbs::Body::PlacementOrder:
        handle_placement(*received.body.AsPlacementOrder());
        return;
    case links::fbs::Body::GatewayDigest:
        from->stamps_.note(received.body.AsGatewayDigest()->sent_at, boot_now_ms());
        relay_digest(*from, received);
        return;
    case links::fbs::Body::ConfigurationRelay:
        relay(*from, received);
        return;
    case links::fbs::Body::StoreRelay:
        relay_store_reading(*from, *received.body.AsStoreRelay());
        return;
    default:
        return;
    }
}

// Handles the end of a gateway's request. The adapter may then be unloaded.
void agent::release_adapter(gateway& from, std::uint64_t number) {
    const auto found = from.request_ids_.find(number);
    if (found == from.request_ids_.end()) {
        return;
    }
    scheduler_.release_adapter(found->second);
    adapter_requests_.erase(found->second);
    from.request_ids_.erase(found);
}

void agent::handle_placement(const links::placement_order& order) {
    const auto ignore = [&](const char* reason) {
        events_.write({event_kind::order,
                       "agent",
                       "placement_ignored",
                       {},
                       {{"planner", order.planner}, {"reason", reason}}});
    };
    const std::size_t models = order.model_names.size();
    if (order.model_mb.size() != models || order.adapter_mb.size() != models) {
        ignore("its lists of models differ in length");
        return;
    }
    placement requested;
    const auto load = fleet::plain_name::parse(order.load);
    for (const std::string& dropped : order.drop) {
        if (const auto name = fleet::plain_name::parse(dropped)) {
            requested.drop_.push_back(*name);
        }
    }
    if (!load || requested.drop_.size() != order.drop.size()) {
        ignore("it names a model that has no valid name");
        return;
    }
    requested.load_ = *load;
    requested.capacity_mb_ = order.capacity_mb;
    requested.adapter_slots_ = order.adapter_slots;
    for (std::size_t index = 0; index < models; ++index) {
        requested.model_mb_[order.model_names[index]] = order.model_mb[index];
        requested.adapter_mb_[order.model_names[index]] = order.adapter_mb[index];
    }
    events_.write({event_kind::order,
                   "agent",
                   "placement_taken",
                   {},
                   {{"planner", order.planner}, {"load", order.load}}});
    scheduler_.set_placement(std::move(requested), steady_now_ms());
    send_status();
    send_next_order();
}

void agent::relay(const gateway& from, const links::frame& received) {
    const auto bytes = links::share(links::encode(received));
    const auto recipients = gateways_; // a copy, since a link that fails is removed from gateways_
    for (const auto& to : recipients) {
        if (to.get() != &from) {
            to->link_->send_encoded(bytes);
        }
    }
}

void agent::relay_digest(const gateway& from, const links::frame& received) {
    const links::gateway_digest& digest = *received.body.AsGatewayDigest();
    if (digest.planners.empty()) {
        relay(from, received);
        return;
    }
    const auto whole = links::share(links::encode(received));
    const auto brief = links::share(links::encode(links::make_frame(links::make_brief(digest))));
    const auto recipients = gateways_; // a copy, since a link that fails is removed from gateways_
    for (const auto& to : recipients) {
        if (to.get() != &from) {
            const bool plans =
                std::find(digest.planners.begin(), digest.planners.end(), to->id_) != digest.planners.end();
            to->link_->send_encoded(plans ? whole : brief);
        }
    }
}

// Relays what a gateway read from the store. Its age then includes the way to this agent, and the echoes let
// the others add theirs.
void agent::relay_store_reading(const gateway& from, const links::store_relay& received) {
    const time_ms now = boot_now_ms();
    links::store_relay relayed(received);
    relayed.echo = nullptr;
    relayed.age_ms = received.age_ms < 0 || received.echo == nullptr
                         ? -1
                         : received.age_ms + links::max_transit_ms(*received.echo, now);
    const auto bytes = links::share(links::encode(links::make_frame(std::move(relayed))));
    const auto recipients = gateways_; // a copy, since a link that fails is removed from gateways_
    for (const auto& to : recipients) {
        if (to.get() == &from) {
            continue;
        }
        const auto echo = to->stamps_.make_echo(now);
        if (echo) {
            to->link_->send(links::make_frame(*echo));
        }
        to->link_->send_encoded(bytes);
    }
}

void agent::read_report() {
    if (std::exchange(report_pending_, true)) {
        return;
    }
    report_requested_at_ = steady_now_ms();
    engine_client_->read_report([this](result<engine::report> outcome) {
        report_pending_ = false;
        handle_report(std::move(outcome));
    });
}

void agent::handle_report(result<engine::report> outcome) {
    const time_ms now = steady_now_ms();
    if (ok(outcome)) {
        report_failures_ = 0;
        reachable_ = true;
        measures_.observe_ms("tamarack_report_ms", "From asking the engine for its report to having it", {},
                             double(now - report_requested_at_));
        engine::report& report = value(outcome);
        const auto named = engine_ids_.find(report.incarnation_);
        if (named != engine_ids_.end()) {
            report.engine_ = named->second;
        }
        scheduler_.update_report(report, now);
        send_answers(scheduler_.resolve_requests(now));
        send_next_order();
    } else if (++report_failures_ >= failures_until_unreachable) {
        if (reachable_) {
            events_.write({event_kind::dependency,
                           "agent",
                           "engine_lost",
                           {},
                           {{"error", to_string(failure(outcome))}}});
        }
        reachable_ = false;
        send_answers(scheduler_.handle_engine_lost());
    }
    send_answers(scheduler_.resolve_requests(now));
    send_status();
    schedule_report();
}

void agent::schedule_report() {
    const time_ms pause = scheduler_.has_pending_work() ? busy_report_interval_ms : idle_report_interval_ms;
    report_timer_.expires_after(std::chrono::milliseconds(pause));
    report_timer_.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) {
            read_report();
        }
    });
}

void agent::send_next_order() {
    const auto order = scheduler_.next_order(steady_now_ms());
    if (!order) {
        return;
    }
    engine_client_->send_order(*order, [this, order = *order](engine::order_answer answer) {
        scheduler_.handle_answer(answer, steady_now_ms());
        measures_.count("tamarack_orders_total", "Orders to the engine by their answer",
                        {{"order", order.load_ ? "load" : "unload"},
                         {"item", order.adapter_.empty() ? "model" : "adapter"},
                         {"answer", std::string(to_string(answer))}});
        events_.write({event_kind::order,
                       "agent",
                       order.load_ ? "load" : "unload",
                       {},
                       {{"model", order.model_.text()},
                        {"adapter", order.adapter_.text()},
                        {"engine", order.engine_},
                        {"expected", order.expected_accepted_},
                        {"token", order.fencing_token_},
                        {"outcome", to_string(answer)}}});
        // The next order depends on the effect of this one, which the report shows.
        report_timer_.cancel();
        read_report();
    });
}

void agent::send_answers(const std::vector<adapter_answer>& answers) {
    for (const adapter_answer& answer : answers) {
        const auto found = adapter_requests_.find(answer.request_id_);
        if (found == adapter_requests_.end()) {
            continue;
        }
        if (const auto link = found->second.first.lock()) {
            links::adapter_state state;
            state.number = found->second.second;
            state.ready = answer.ready_;
            link->send(links::make_frame(state));
        }
        adapter_requests_.erase(found);
    }
}

links::engine_status agent::make_status(bool with_models) const {
    links::engine_status status;
    status.sent_at = boot_now_ms();
    status.reachable = reachable_;
    if (!scheduler_.report()) {
        return status;
    }
    const engine::report& report = *scheduler_.report();
    const time_ms now = steady_now_ms();
    status.engine = report.engine_;
    status.incarnation = report.incarnation_;
    status.leaving = report.leaving_;
    status.remaining_ms = report.remaining_ms_.value_or(-1);
    status.running = report.running_;
    status.queued = report.queued_;
    status.unread = report.unread_;
    status.kv_used = std::int64_t(report.kv_used_);
    status.kv_total = std::int64_t(report.kv_total_);
    status.busy = report.busy_;
    status.loading = scheduler_.loading_model();
    status.has_models = with_models;
    if (with_models) {
        for (const fleet::held_model& model : scheduler_.usable_models()) {
            auto held = std::make_unique<links::held_model>();
            held->name = model.name_;
            held->adapters.assign(model.adapters_.begin(), model.adapters_.end());
            status.models.push_back(std::move(held));
        }
        status.nearby.assign(report.cached_models_.begin(), report.cached_models_.end());
    }
    for (const time_ms start : scheduler_.store_load_starts()) {
        status.store_load_ages_ms.push_back(int(now - start));
    }
    return status;
}

time_ms agent::status_interval_ms() const {
    return std::max(min_status_interval_ms, status_interval_per_gateway_ms * time_ms(gateways_.size()));
}

void agent::send_status() {
    if (gateways_.empty()) {
        return;
    }
    const time_ms now = steady_now_ms();
    urgent_state state;
    state.reachable_ = reachable_;
    if (scheduler_.report()) {
        state.leaving_ = scheduler_.report()->leaving_;
        state.incarnation_ = scheduler_.report()->incarnation_;
        state.models_ = scheduler_.usable_models();
    }
    const bool models_changed =
        state.models_ != sent_state_.models_ || state.incarnation_ != sent_state_.incarnation_;
    const bool urgent = models_changed || state.reachable_ != sent_state_.reachable_ ||
                        state.leaving_ != sent_state_.leaving_;
    if (!urgent && now - sent_at_ < status_interval_ms()) {
        return;
    }
    sent_at_ = now;
    sent_state_ = std::move(state);
    const auto bytes = links::share(links::encode(links::make_frame(make_status(models_changed))));
    const auto recipients = gateways_; // a copy, since a link that fails is removed from gateways_
    for (const auto& to : recipients) {
        to->link_->send_encoded(bytes);
    }
}

asio::awaitable<void> agent::handle_metrics(http::exchange& current) {
    http::response answer{200, {{"Content-Type", "text/plain; version=0.0.4"}}, measures_.text()};
    co_await current.reply(std::move(answer));
}

} // namespace tamarack::engine_agent
