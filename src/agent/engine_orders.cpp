// Management of the engine by the control thread: reports, fences, orders and the dropping of copies.
#include "agent/control.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace tamarack::agent {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds peer_timeout{500};
constexpr time_ms drop_retry_ms = 1'000;
constexpr double load_smoothing = 0.3;

// Limit for engines that enforce fencing, where a fence proves that lost orders can no longer take effect.
constexpr std::size_t max_fenced_orders_in_flight = 2;

} // namespace

void control::create_ledger() {
    const pool_row* row = pool();
    if (ledger_ || row == nullptr || row->kind_ != endpoint_kind::engine) {
        return;
    }
    ledger_settings settings;
    settings.incarnation_ = incarnation_;
    settings.fencing_ = row->fencing_;
    settings.stale_reserve_mb_ = stale_order_reserve_mb(*row);
    settings.max_in_flight_ = row->fencing_ ? max_fenced_orders_in_flight : 1;
    settings.settle_ms_ = settings_.settle_ms_;
    ledger_.emplace(settings, steady_now_ms());
    asio::co_spawn(context_, run_engine_loop(), asio::detached);
}

asio::awaitable<void> control::run_engine_loop() {
    asio::steady_timer pause(context_);
    while (shutdown_.phase() != shutdown_phase::stopped) {
        const result<engine_report> report = co_await engine_.report();
        if (ok(report)) {
            ledger_->apply_report(value(report), steady_now_ms());
        }
        ledger_->expire_orders(steady_now_ms());
        if (ledger_->superseded()) {
            stop_after_takeover();
            co_return;
        }
        if (ok(report) && ledger_->needs_fence()) {
            co_await fence_engine();
        }
        refresh_admission();
        if (ok(report) && ledger_->settled(steady_now_ms())) {
            co_await execute_plan_step();
        }
        pause.expires_after(std::chrono::milliseconds(settings_.report_interval_ms_));
        co_await pause.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> control::fence_engine() {
    const std::uint64_t number = ledger_->next_fence();
    const result<engine_report> exact = co_await engine_.fence(number, incarnation_);
    if (ok(exact)) {
        ledger_->apply_fence(number, value(exact), steady_now_ms());
        log_info("agent", "Fenced the engine with number " + std::to_string(number) + ".");
    } else {
        log_warning("agent", "Could not fence the engine: " + to_string(failure(exact)) + ".");
    }
}

plan_facts control::make_plan_facts() const {
    plan_facts facts;
    facts.pool_ = pool();
    facts.home_models_ = home_models_;
    facts.ledger_ = &*ledger_;
    facts.kv_in_use_mb_ = admission_.kv_in_use_mb();
    facts.uses_ = item_uses_;
    facts.demand_ = &demand_;
    facts.now_ = steady_now_ms();
    return facts;
}

asio::awaitable<void> control::execute_plan_step() {
    if (pool() == nullptr || !shutdown_.accepts_new_requests()) {
        co_return;
    }
    const std::optional<plan_step> step = next_plan_step(make_plan_facts());
    const drop_step* dropping = step ? std::get_if<drop_step>(&*step) : nullptr;
    update_retiring(dropping == nullptr ? std::string_view() : dropping->item_);
    if (!step) {
        co_return;
    }
    if (const auto* load = std::get_if<load_step>(&*step)) {
        const auto order =
            ledger_->begin_load(load->item_, load->memory_mb_, admission_.kv_in_use_mb(), steady_now_ms());
        if (!std::holds_alternative<engine_order>(order)) {
            co_return;
        }
        if (load->extra_copy_) {
            demand_.clear(parse_model_reference(load->item_).model_);
        }
        metrics_.count("tamarack_moves_total", "Orders to load and unload weights",
                       {{"kind", load->extra_copy_ ? "extra_load" : "home_load"}});
        load_started_at_[load->item_] = steady_now_ms();
        refresh_admission();
        co_await send_order(std::get<engine_order>(order));
        co_return;
    }
    co_await drop_item(std::get<drop_step>(*step));
}

// Ends the retirement of items whose drop was completed or abandoned. Those that are still resident serve
// again.
void control::update_retiring(std::string_view dropping) {
    const std::vector<std::string> removed = retiring_.update(*ledger_, dropping);
    for (const std::string& item : removed) {
        drop_guard_.finish(item);
    }
    if (!removed.empty()) {
        refresh_admission();
    }
}

asio::awaitable<void> control::send_order(engine_order order) {
    log_info("agent",
             std::string(order.kind_ == order_kind::load ? "Loading " : "Unloading ") + order.item_ + ".");
    const order_outcome outcome = co_await engine_.send_order(order);
    if (outcome == order_outcome::confirmed) {
        ledger_->order_confirmed(order.id_);
    } else if (outcome == order_outcome::not_sent) {
        ledger_->order_refused(order.id_);
    } else if (outcome == order_outcome::fenced_off) {
        ledger_->order_refused(order.id_);
        ledger_->order_fenced_off();
    }
}

// Takes the item out of service and, once no request uses it, obtains any required grant and unloads it. If
// the grant or the order is refused, the item returns to service and is not dropped for `drop_retry_ms`.
asio::awaitable<void> control::drop_item(drop_step step) {
    auto earliest = earliest_drop_at_.find(step.item_);
    if (earliest != earliest_drop_at_.end() && steady_now_ms() < earliest->second) {
        co_return;
    }
    retiring_.begin(step.item_);
    refresh_admission();
    if (item_uses_[step.item_].running_ > 0) {
        co_return;
    }
    drop_guard_.begin(step.item_);
    const bool granted = !step.needs_grant_ || co_await obtain_drop_grant(step);
    const bool still_idle = item_uses_[step.item_].running_ == 0;
    std::variant<engine_order, order_refusal> order = order_refusal::not_resident;
    if (granted && still_idle) {
        order = ledger_->begin_unload(step.item_, steady_now_ms());
    }
    if (!std::holds_alternative<engine_order>(order)) {
        drop_guard_.cancel(step.item_);
        retiring_.cancel(step.item_);
        earliest_drop_at_[step.item_] = steady_now_ms() + drop_retry_ms;
        refresh_admission();
        co_return;
    }
    metrics_.count("tamarack_moves_total", "Orders to load and unload weights", {{"kind", "unload"}});
    co_await send_order(std::get<engine_order>(order));
}

asio::awaitable<bool> control::obtain_drop_grant(const drop_step& step) {
    const std::vector<listed_instance> peers = instances_;
    for (const listed_instance& peer : peers) {
        const bool other =
            peer.role_ == "agent" && peer.pool_ == settings_.pool_ && peer.id_ != settings_.id_;
        if (!other || peer.leaving_) {
            continue;
        }
        const bool granted = co_await request_drop_grant(peer, step.kept_item_);
        if (granted) {
            co_return true;
        }
    }
    co_return false;
}

asio::awaitable<bool> control::request_drop_grant(const listed_instance& peer, std::string item) {
    boost::system::error_code invalid_address;
    const auto address = asio::ip::make_address(peer.address_, invalid_address);
    if (invalid_address) {
        co_return false;
    }
    const asio::ip::tcp::endpoint remote(address, peer.port_);
    auto connected = co_await wire::connect(remote, peer_timeout);
    if (!ok(connected)) {
        co_return false;
    }
    const std::shared_ptr<wire::connection> connection = value(connected);
    const std::int64_t version = config_.state().version_;
    const std::uint64_t number = next_drop_request_++;
    wire::hello greeting{wire::protocol_version, settings_.id_, "agent", incarnation_};
    connection->send({version, std::move(greeting)});
    connection->send({version, wire::drop_request{number, std::move(item)}});
    asio::steady_timer limit(context_, peer_timeout);
    limit.async_wait([connection](boost::system::error_code cancelled) {
        if (!cancelled) {
            connection->close();
        }
    });
    bool granted = false;
    while (true) {
        const result<wire::frame> received = co_await connection->receive();
        if (!ok(received)) {
            break;
        }
        const auto* reply = std::get_if<wire::drop_reply>(&value(received).message_);
        if (reply != nullptr && reply->request_ == number) {
            granted = reply->granted_;
            break;
        }
    }
    limit.cancel();
    connection->close();
    co_return granted;
}

// Items on which requests may be started: those that are ready and not being retired. An adapter also needs
// its model among them.
std::set<std::string> control::serving_items() const {
    if (!ledger_) {
        return {};
    }
    std::set<std::string> serving = ledger_->ready_items();
    for (const std::string& item : retiring_.items()) {
        serving.erase(item);
    }
    std::set<std::string> models;
    for (const std::string& item : serving) {
        models.insert(item.substr(0, item.find_first_of(":@")));
    }
    std::erase_if(serving, [&](const std::string& item) {
        const std::string model = item.substr(0, item.find_first_of(":@"));
        const bool has_model = std::any_of(serving.begin(), serving.end(), [&](const std::string& other) {
            return other.find(':') == std::string::npos && other.substr(0, other.find('@')) == model;
        });
        return item.find(':') != std::string::npos && !has_model;
    });
    return serving;
}

// Updates the average load time of models, which is the expected wait of requests whose item is not loaded.
void control::update_mean_load_time(const std::set<std::string>& serving) {
    for (auto found = load_started_at_.begin(); found != load_started_at_.end();) {
        if (!serving.contains(found->first)) {
            ++found;
            continue;
        }
        const bool model = found->first.find(':') == std::string::npos;
        const double took_ms = double(steady_now_ms() - found->second);
        mean_load_ms_ += model ? load_smoothing * (took_ms - mean_load_ms_) : 0.0;
        found = load_started_at_.erase(found);
    }
}

void control::refresh_admission() {
    const pool_row* row = pool();
    if (row == nullptr) {
        return;
    }
    admission_limits limits;
    limits.slots_ = row->slots_;
    limits.organisation_slots_ = row->organisation_slots_;
    if (ledger_) {
        // Memory for the home models is kept free of KV caches even while they are not loaded.
        const std::int64_t homes_mb = home_memory_mb(make_plan_facts());
        limits.kv_mb_ = std::max<std::int64_t>(1, ledger_->kv_budget_mb(homes_mb));
    }
    const std::set<std::string> serving = serving_items();
    update_mean_load_time(serving);
    apply_actions(admission_.set_limits(limits, steady_now_ms()));
    apply_actions(admission_.set_resident(serving, steady_now_ms()));
    if (serving != last_serving_) {
        last_serving_ = serving;
        broadcast_status();
    }
}

// Shuts down after a later agent has taken over the engine: this one may neither send orders nor start
// requests any more.
void control::stop_after_takeover() {
    log_warning("agent", "A later agent has taken over the engine; shutting down.");
    begin_shutdown(shutdown_event::stop_requested);
}

} // namespace tamarack::agent
