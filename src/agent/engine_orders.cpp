// The control thread's care for its engine: reports, fences, orders, and the dropping of copies.
#include "agent/control.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace tamarack::agent {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds peer_limit{500};
constexpr time_ms drop_retry_ms = 1'000;
constexpr double load_smoothing = 0.3;

// Orders in flight at engines that enforce fencing, whose lost orders a fence can prove dead.
constexpr std::size_t fenced_orders_in_flight = 2;

} // namespace

void control::begin_ledger() {
    const pool_row* row = pool();
    if (ledger_ || row == nullptr || row->kind_ != endpoint_kind::engine) {
        return;
    }
    ledger_settings settings;
    settings.incarnation_ = incarnation_;
    settings.fencing_ = row->fencing_;
    settings.stale_reserve_mb_ = stale_order_reserve_mb(*row);
    settings.max_in_flight_ = row->fencing_ ? fenced_orders_in_flight : 1;
    settings.settle_ms_ = settings_.settle_ms_;
    ledger_.emplace(settings, steady_now_ms());
    asio::co_spawn(context_, tend_engine(), asio::detached);
}

asio::awaitable<void> control::tend_engine() {
    asio::steady_timer pause(context_);
    while (shutdown_.phase() != shutdown_phase::stopped) {
        const result<engine_report> report = co_await engine_.report();
        if (ok(report)) {
            ledger_->apply_report(value(report), steady_now_ms());
        }
        ledger_->expire_orders(steady_now_ms());
        if (ledger_->superseded()) {
            stand_down();
            co_return;
        }
        if (ok(report) && ledger_->needs_fence()) {
            co_await fence_engine();
        }
        refresh_admission();
        if (ok(report) && ledger_->settled(steady_now_ms())) {
            co_await take_plan_step();
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
        log_warning("agent", "The engine was not fenced: " + to_string(failure(exact)) + ".");
    }
}

plan_facts control::make_plan_facts() const {
    plan_facts facts;
    facts.pool_ = pool();
    facts.home_models_ = home_models_;
    facts.ledger_ = &*ledger_;
    facts.kv_in_use_mb_ = admission_.kv_in_use_mb();
    facts.uses_ = uses_;
    facts.demand_ = &demand_;
    facts.now_ = steady_now_ms();
    return facts;
}

asio::awaitable<void> control::take_plan_step() {
    if (pool() == nullptr || !shutdown_.accepts_work()) {
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
        measures_.count("tamarack_moves_total", "Orders to load and unload weights",
                        {{"kind", load->extra_copy_ ? "extra_load" : "home_load"}});
        load_began_[load->item_] = steady_now_ms();
        refresh_admission();
        co_await give(std::get<engine_order>(order));
        co_return;
    }
    co_await drop(std::get<drop_step>(*step));
}

// Items whose drop was given up or is done: their marks are cleared, and those still resident serve again.
void control::update_retiring(std::string_view dropping) {
    const std::vector<std::string> removed = retiring_.update(*ledger_, dropping);
    for (const std::string& item : removed) {
        drops_.finish(item);
    }
    if (!removed.empty()) {
        refresh_admission();
    }
}

asio::awaitable<void> control::give(engine_order order) {
    log_info("agent",
             std::string(order.kind_ == order_kind::load ? "Loads " : "Unloads ") + order.item_ + ".");
    const order_answer answer = co_await engine_.give(order);
    if (answer == order_answer::confirmed) {
        ledger_->order_confirmed(order.id_);
    } else if (answer == order_answer::not_sent) {
        ledger_->order_refused(order.id_);
    } else if (answer == order_answer::fenced_off) {
        ledger_->order_refused(order.id_);
        ledger_->order_fenced_off();
    }
}

// Takes the item out of service, waits until nothing uses it, obtains the grant and unloads it.
asio::awaitable<void> control::drop(drop_step step) {
    auto not_before = drop_not_before_.find(step.item_);
    if (not_before != drop_not_before_.end() && steady_now_ms() < not_before->second) {
        co_return;
    }
    retiring_.begin(step.item_);
    refresh_admission();
    if (uses_[step.item_].running_ > 0) {
        co_return;
    }
    drops_.begin(step.item_);
    const bool granted = !step.needs_grant_ || co_await obtain_grant(step);
    const bool still_idle = uses_[step.item_].running_ == 0;
    std::variant<engine_order, order_refusal> order = order_refusal::not_resident;
    if (granted && still_idle) {
        order = ledger_->begin_unload(step.item_, steady_now_ms());
    }
    if (!std::holds_alternative<engine_order>(order)) {
        drops_.cancel(step.item_);
        retiring_.cancel(step.item_);
        drop_not_before_[step.item_] = steady_now_ms() + drop_retry_ms;
        refresh_admission();
        co_return;
    }
    measures_.count("tamarack_moves_total", "Orders to load and unload weights", {{"kind", "unload"}});
    co_await give(std::get<engine_order>(order));
}

asio::awaitable<bool> control::obtain_grant(const drop_step& step) {
    const std::vector<listed_instance> peers = instances_;
    for (const listed_instance& peer : peers) {
        const bool other =
            peer.role_ == "agent" && peer.pool_ == settings_.pool_ && peer.id_ != settings_.id_;
        if (!other || peer.leaving_) {
            continue;
        }
        const bool granted = co_await ask_for_grant(peer, step.kept_item_);
        if (granted) {
            co_return true;
        }
    }
    co_return false;
}

asio::awaitable<bool> control::ask_for_grant(const listed_instance& peer, std::string item) {
    boost::system::error_code bad_address;
    const auto address = asio::ip::make_address(peer.address_, bad_address);
    if (bad_address) {
        co_return false;
    }
    const asio::ip::tcp::endpoint remote(address, peer.port_);
    auto connected = co_await wire::connect(remote, peer_limit);
    if (!ok(connected)) {
        co_return false;
    }
    const std::shared_ptr<wire::connection> connection = value(connected);
    const std::int64_t version = config_.state().version_;
    const std::uint64_t number = next_drop_++;
    wire::hello greeting{wire::protocol_version, settings_.id_, "agent", incarnation_};
    connection->send({version, std::move(greeting)});
    connection->send({version, wire::drop_request{number, std::move(item)}});
    asio::steady_timer limit(context_, peer_limit);
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

// Items that requests may be started on: ready, and for adapters with their model ready too.
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

// Learns how long loads of models take, which is what requests that wait for one are told.
void control::learn_load_times(const std::set<std::string>& serving) {
    for (auto found = load_began_.begin(); found != load_began_.end();) {
        if (!serving.contains(found->first)) {
            ++found;
            continue;
        }
        const bool model = found->first.find(':') == std::string::npos;
        const double took_ms = double(steady_now_ms() - found->second);
        load_ms_ += model ? load_smoothing * (took_ms - load_ms_) : 0.0;
        found = load_began_.erase(found);
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
        // Room for the home models stays free of KV caches even while they are not loaded.
        const std::int64_t homes_mb = home_memory_mb(make_plan_facts());
        limits.kv_mb_ = std::max<std::int64_t>(1, ledger_->kv_budget_mb(homes_mb));
    }
    const std::set<std::string> serving = serving_items();
    learn_load_times(serving);
    perform(admission_.set_limits(limits, steady_now_ms()));
    perform(admission_.set_resident(serving, steady_now_ms()));
    if (serving != last_serving_) {
        last_serving_ = serving;
        broadcast_status();
    }
}

// A later agent has taken over this engine: nothing may be ordered or started any more.
void control::stand_down() {
    log_warning("agent", "A later agent has taken over the engine; this one stands down.");
    leave(shutdown_event::stop_requested);
}

} // namespace tamarack::agent
