#include "engine_agent/agent.hpp"

#include "net/socket_options.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace tamarack::engine_agent {

namespace asio = boost::asio;

namespace {

constexpr time_ms idle_report_ms = 100;     // between reports of an engine that has no order
constexpr time_ms busy_report_ms = 20;      // while an order or a wanted adapter is under way
constexpr int failures_until_down = 2;      // reports in a row
constexpr time_ms least_push_ms = 100;      // between statuses to the gateways
constexpr time_ms push_ms_per_gateway = 10; // bounds the statuses that one agent sends a second

} // namespace

agent::agent(const engine_agent_settings& settings, event_log& events)
    : settings_(settings), events_(events), context_(1), acceptor_(context_),
      signals_(context_, SIGTERM, SIGINT, SIGHUP), report_timer_(context_),
      port_((*registry<engine::client_factory>::instance().find(settings.platform_))(context_,
                                                                                     settings.engine_)),
      book_(settings.id_), metrics_server_(context_, http::server_limits(),
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
            const auto one = std::make_shared<gateway>();
            links::link::events handlers;
            handlers.frame_ = [this, one](const links::frame& received) { take_frame(one, received); };
            handlers.closed_ = [this, one] {
                for (const auto& [theirs, number] : one->wants_) {
                    book_.release_adapter(number);
                }
                std::erase(gateways_, one);
                events_.write({event_kind::dependency, "agent", "gateway_lost", {}, {{"gateway", one->id_}}});
            };
            one->link_ = std::make_shared<links::link>(std::move(socket), std::move(handlers));
            gateways_.push_back(one);
            one->link_->start();
        }
        accept();
    });
}

void agent::take_frame(const std::shared_ptr<gateway>& from, const links::frame& received) {
    switch (received.body.type) {
    case links::fbs::Body::Hello: {
        const links::hello& greeting = *received.body.AsHello();
        if (greeting.protocol != links::protocol_version) {
            from->link_->close();
            return;
        }
        from->id_ = greeting.id;
        engine_ids_[greeting.engine_incarnation] = greeting.engine;
        events_.write({event_kind::dependency, "agent", "gateway_linked", {}, {{"gateway", from->id_}}});
        from->link_->send(links::make_frame(make_status(true)));
        return;
    }
    case links::fbs::Body::AdapterWanted: {
        const links::adapter_wanted& wanted = *received.body.AsAdapterWanted();
        const std::uint64_t number = next_want_++;
        from->wants_[wanted.number] = number;
        wants_[number] = {from->link_, wanted.number};
        book_.set_most_adapters(wanted.most_adapters);
        book_.want_adapter(number, wanted.model, wanted.adapter, steady_now_ms());
        answer_wants(book_.answer_wants(steady_now_ms()));
        give_next();
        return;
    }
    case links::fbs::Body::AdapterReleased:
        release(*from, received.body.AsAdapterReleased()->number);
        return;
    case links::fbs::Body::PlacementOrder:
        take_placement(*received.body.AsPlacementOrder());
        return;
    case links::fbs::Body::GatewayDigest:
    case links::fbs::Body::ConfigurationRelay:
    case links::fbs::Body::StoreRelay:
        relay(*from, received);
        return;
    default:
        return;
    }
}

// The gateway's request has ended; the adapter may make way.
void agent::release(gateway& from, std::uint64_t theirs) {
    const auto found = from.wants_.find(theirs);
    if (found == from.wants_.end()) {
        return;
    }
    book_.release_adapter(found->second);
    wants_.erase(found->second);
    from.wants_.erase(found);
}

void agent::take_placement(const links::placement_order& order) {
    placement wanted;
    wanted.load_ = order.load;
    wanted.drop_ = order.drop;
    wanted.capacity_mb_ = order.capacity_mb;
    wanted.adapter_slots_ = order.adapter_slots;
    for (std::size_t index = 0; index < order.model_names.size(); ++index) {
        wanted.model_mb_[order.model_names[index]] = order.model_mb[index];
        wanted.adapter_mb_[order.model_names[index]] = order.adapter_mb[index];
    }
    events_.write({event_kind::order,
                   "agent",
                   "placement_taken",
                   {},
                   {{"planner", order.planner}, {"load", order.load}}});
    book_.take_placement(std::move(wanted), steady_now_ms());
    push_status();
    give_next();
}

void agent::relay(const gateway& from, const links::frame& received) {
    const std::string bytes = links::encode(received);
    const auto linked = gateways_; // a link that fails leaves the list
    for (const auto& one : linked) {
        if (one.get() != &from) {
            one->link_->send_encoded(bytes);
        }
    }
}

void agent::read_report() {
    if (std::exchange(reading_, true)) {
        return;
    }
    asked_at_ = steady_now_ms();
    port_->read_report([this](result<engine::report> outcome) {
        reading_ = false;
        take_report(std::move(outcome));
    });
}

void agent::take_report(result<engine::report> outcome) {
    const time_ms now = steady_now_ms();
    if (ok(outcome)) {
        failures_ = 0;
        reachable_ = true;
        measures_.observe_ms("tamarack_report_ms", "From asking the engine for its report to having it", {},
                             double(now - asked_at_));
        engine::report& report = value(outcome);
        const auto named = engine_ids_.find(report.incarnation_);
        if (named != engine_ids_.end()) {
            report.engine_ = named->second;
        }
        book_.take_report(report, now);
        answer_wants(book_.answer_wants(now));
        give_next();
    } else if (++failures_ >= failures_until_down) {
        if (reachable_) {
            events_.write({event_kind::dependency,
                           "agent",
                           "engine_lost",
                           {},
                           {{"error", to_string(failure(outcome))}}});
        }
        reachable_ = false;
        answer_wants(book_.engine_lost());
    }
    answer_wants(book_.answer_wants(now));
    push_status();
    schedule_report();
}

void agent::schedule_report() {
    const time_ms pause = book_.waits() ? busy_report_ms : idle_report_ms;
    report_timer_.expires_after(std::chrono::milliseconds(pause));
    report_timer_.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) {
            read_report();
        }
    });
}

void agent::give_next() {
    const auto order = book_.next(steady_now_ms());
    if (!order) {
        return;
    }
    port_->send_order(*order, [this, order = *order](engine::order_answer answer) {
        book_.answered(answer, steady_now_ms());
        measures_.count("tamarack_orders_total", "Orders to the engine by their answer",
                        {{"order", order.load_ ? "load" : "unload"},
                         {"item", order.adapter_.empty() ? "model" : "adapter"},
                         {"answer", std::string(to_string(answer))}});
        events_.write({event_kind::order,
                       "agent",
                       order.load_ ? "load" : "unload",
                       {},
                       {{"model", order.model_},
                        {"adapter", order.adapter_},
                        {"engine", order.engine_},
                        {"expected", order.expected_accepted_},
                        {"token", order.fencing_token_},
                        {"outcome", to_string(answer)}}});
        // The report shows the effect of the order, and decides about the next one.
        report_timer_.cancel();
        read_report();
    });
}

void agent::answer_wants(const std::vector<adapter_answer>& answers) {
    for (const adapter_answer& one : answers) {
        const auto found = wants_.find(one.want_);
        if (found == wants_.end()) {
            continue;
        }
        if (const auto link = found->second.first.lock()) {
            links::adapter_state state;
            state.number = found->second.second;
            state.ready = one.ready_;
            link->send(links::make_frame(state));
        }
        wants_.erase(found);
    }
}

links::engine_status agent::make_status(bool with_models) const {
    links::engine_status status;
    status.reachable = reachable_;
    if (!book_.report()) {
        return status;
    }
    const engine::report& report = *book_.report();
    const time_ms now = steady_now_ms();
    status.engine = report.engine_;
    status.incarnation = report.incarnation_;
    status.leaving = report.leaving_;
    status.remaining_ms = report.remaining_ms_.value_or(-1);
    status.running = report.running_;
    status.queued = report.queued_;
    status.kv_used = std::int64_t(report.kv_used_);
    status.kv_total = std::int64_t(report.kv_total_);
    status.busy = report.busy_;
    status.loading = book_.loading();
    status.has_models = with_models;
    if (with_models) {
        for (const fleet::held_model& model : book_.usable_models()) {
            auto held = std::make_unique<links::held_model>();
            held->name = model.name_;
            held->adapters.assign(model.adapters_.begin(), model.adapters_.end());
            status.models.push_back(std::move(held));
        }
        status.nearby.assign(report.cached_models_.begin(), report.cached_models_.end());
    }
    for (const time_ms start : book_.store_loads()) {
        status.store_load_ages_ms.push_back(int(now - start));
    }
    return status;
}

time_ms agent::push_interval_ms() const {
    return std::max(least_push_ms, push_ms_per_gateway * time_ms(gateways_.size()));
}

void agent::push_status() {
    if (gateways_.empty()) {
        return;
    }
    const time_ms now = steady_now_ms();
    pushed_state state;
    state.reachable_ = reachable_;
    if (book_.report()) {
        state.leaving_ = book_.report()->leaving_;
        state.incarnation_ = book_.report()->incarnation_;
        state.models_ = book_.usable_models();
    }
    const bool models_changed =
        state.models_ != pushed_.models_ || state.incarnation_ != pushed_.incarnation_;
    const bool urgent =
        models_changed || state.reachable_ != pushed_.reachable_ || state.leaving_ != pushed_.leaving_;
    if (!urgent && now - pushed_at_ < push_interval_ms()) {
        return;
    }
    pushed_at_ = now;
    pushed_ = std::move(state);
    const std::string bytes = links::encode(links::make_frame(make_status(models_changed)));
    const auto linked = gateways_; // a link that fails leaves the list
    for (const auto& one : linked) {
        one->link_->send_encoded(bytes);
    }
}

asio::awaitable<void> agent::handle_metrics(http::exchange& current) {
    http::response answer{200, {{"Content-Type", "text/plain; version=0.0.4"}}, measures_.text()};
    co_await current.reply(std::move(answer));
}

} // namespace tamarack::engine_agent
