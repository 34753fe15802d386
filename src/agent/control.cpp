#include "agent/control.hpp"

#include "platform/admin.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>

namespace tamarack::agent {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds platform_timeout{1'500};
constexpr std::chrono::milliseconds tick_interval{20};
constexpr double first_load_estimate_ms = 1'000.0;

} // namespace

control::control(const agent_settings& settings)
    : settings_(settings), incarnation_(new_incarnation()), context_(1),
      log_((*registry<log_client_factory>::instance().find("http"))(
          settings.log_, std::chrono::milliseconds(settings.claims_limit_ms_))),
      list_((*registry<instance_list_client_factory>::instance().find("http"))(settings.list_,
                                                                               platform_timeout)),
      config_(
          context_.get_executor(), log_, [this](const config_state& state) { apply_config(state); }, false,
          0.0),
      admin_(context_, http::server_limits(),
             [this](http::exchange& current) -> asio::awaitable<void> { co_await handle_admin(current); }),
      traffic_(settings, incarnation_, make_traffic_events()), engine_(settings.endpoint_),
      random_(incarnation_), admission_(admission_limits()), run_table_(incarnation_, run_table_limits()),
      claim_index_(settings.claims_window_ms_), mean_load_ms_(first_load_estimate_ms) {}

int control::run() {
    const auto listening = traffic_.listen();
    const auto admin_listening = admin_.listen(settings_.admin_);
    for (const auto* outcome : {&listening, &admin_listening}) {
        if (!ok(*outcome)) {
            log_warning("agent", to_string(failure(*outcome)) + ".");
            return 1;
        }
    }
    std::thread traffic_thread([this] { traffic_.run(); });
    config_.start();
    asio::co_spawn(context_, poll_list(), asio::detached);
    asio::co_spawn(context_, run_periodic_tasks(), asio::detached);
    asio::signal_set signals(context_, SIGTERM, SIGINT);
    signals.async_wait([this](boost::system::error_code failed, int) {
        if (!failed) {
            begin_shutdown(shutdown_event::stop_requested);
        }
    });
    log_info("agent", "Listening on port " + std::to_string(settings_.listen_.port()) + " for pool " +
                          settings_.pool_ + ".");
    context_.run();
    traffic_.stop();
    traffic_thread.join();
    log_info("agent", "Stopped.");
    return 0;
}

const pool_row* control::pool() const {
    const auto& pools = config_.state().tables_.pools_;
    auto found = pools.find(settings_.pool_);
    return found == pools.end() ? nullptr : &found->second;
}

void control::apply_config(const config_state& state) {
    log_info("agent", "Applied configuration version " + std::to_string(state.version_) + ".");
    traffic_.set_config_version(state.version_);
    create_ledger();
    update_homes();
    refresh_admission();
    broadcast_status();
}

// Computes the home endpoints of each model from the tables and the list alone. Endpoints that are listed
// as leaving, including this one, are not homes.
void control::update_homes() {
    home_models_.clear();
    const auto* policy = registry<placement_policy>::instance().find(settings_.placement_);
    if (pool() == nullptr || policy == nullptr) {
        return;
    }
    std::vector<std::string> endpoints;
    for (const listed_instance& instance : instances_) {
        if (instance.role_ == "agent" && instance.pool_ == settings_.pool_ && !instance.leaving_) {
            endpoints.push_back(instance.id_);
        }
    }
    homes_ = (*policy)(*pool(), endpoints);
    for (const auto& [model, homes] : homes_) {
        if (std::find(homes.begin(), homes.end(), settings_.id_) != homes.end()) {
            home_models_.insert(model);
        }
    }
}

asio::awaitable<void> control::poll_list() {
    asio::steady_timer pause(context_);
    while (shutdown_.phase() != shutdown_phase::stopped) {
        result<std::vector<listed_instance>> fetched = co_await list_.fetch_();
        if (ok(fetched) && value(fetched) != instances_) {
            instances_ = std::move(value(fetched));
            update_homes();
            refresh_admission();
        }
        const auto own =
            std::find_if(instances_.begin(), instances_.end(),
                         [this](const listed_instance& instance) { return instance.id_ == settings_.id_; });
        seen_in_list_ = seen_in_list_ || own != instances_.end();
        if (own != instances_.end() && own->leaving_) {
            begin_shutdown(shutdown_event::listed_as_leaving);
        }
        pause.expires_after(std::chrono::milliseconds(settings_.list_interval_ms_));
        co_await pause.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> control::run_periodic_tasks() {
    asio::steady_timer pause(context_);
    time_ms next_heartbeat = 0;
    while (shutdown_.phase() != shutdown_phase::stopped) {
        const time_ms now = steady_now_ms();
        apply_actions(admission_.expire(now));
        if (now >= next_heartbeat) {
            next_heartbeat = now + settings_.heartbeat_ms_;
            send_heartbeat();
            report_metrics();
        }
        pause.expires_after(tick_interval);
        co_await pause.async_wait(asio::use_awaitable);
    }
}

wire::status control::current_status() const {
    wire::status message;
    message.incarnation_ = incarnation_;
    message.leaving_ = !shutdown_.accepts_new_requests();
    message.queued_ = admission_.queued();
    message.running_ = admission_.running();
    message.wait_ms_ = admission_.expected_wait_ms(traffic_class::interactive);
    message.clock_ms_ = steady_now_ms();
    return message;
}

// Sends the full status to all connected peers after a change.
void control::broadcast_status() {
    wire::status message = current_status();
    const std::set<std::string> serving = serving_items();
    message.resident_.assign(serving.begin(), serving.end());
    traffic_.broadcast(std::move(message));
}

// Sends a heartbeat with the current load to all connected peers.
void control::send_heartbeat() {
    wire::status message = current_status();
    message.same_items_ = true;
    traffic_.heartbeat(std::move(message));
}

void control::report_metrics() {
    metrics_.set("tamarack_agent_running", "Requests that run", {}, double(admission_.running()));
    metrics_.set("tamarack_agent_queued", "Requests that wait", {}, double(admission_.queued()));
    metrics_.set("tamarack_config_version", "Version of the tables in force", {},
                 double(config_.state().version_));
    if (ledger_) {
        const std::string help = "Memory of the engine in MB";
        metrics_.set("tamarack_engine_memory_mb", help, {{"kind", "capacity"}},
                     double(ledger_->capacity_mb()));
        metrics_.set("tamarack_engine_memory_mb", help, {{"kind", "weights"}}, double(ledger_->weights_mb()));
        metrics_.set("tamarack_engine_memory_mb", help, {{"kind", "kv"}}, double(admission_.kv_in_use_mb()));
        metrics_.set("tamarack_engine_memory_mb", help, {{"kind", "reserve"}}, double(ledger_->reserve_mb()));
    }
}

// Whether enough is known to accept requests: the tables and, for an engine, its state and the list, which
// determines its home models.
bool control::endpoint_state_known() const {
    const pool_row* row = pool();
    if (row == nullptr) {
        return false;
    }
    const bool engine_known = ledger_ && ledger_->settled(steady_now_ms()) && seen_in_list_;
    return row->kind_ == endpoint_kind::service || engine_known;
}

bool control::ready() const {
    return endpoint_state_known() && shutdown_.accepts_new_requests();
}

asio::awaitable<void> control::handle_admin(http::exchange& current) {
    nlohmann::json body = {{"ready", ready()}, {"version", config_.state().version_}};
    body["phase"] = to_string(shutdown_.phase());
    body["resident"] = serving_items();
    body["homes"] = home_models_;
    http::response response = admin_response(current.incoming().path(), metrics_, ready(), body.dump());
    co_await current.reply(std::move(response));
}

// Refuses queued requests and announces at once that the endpoint is leaving. Running requests continue.
void control::begin_shutdown(shutdown_event event) {
    const shutdown_phase before = shutdown_.phase();
    shutdown_.process(event);
    if (shutdown_.phase() == before) {
        return;
    }
    log_info("agent",
             "No longer accepting requests; " + std::to_string(admission_.running()) + " are running.");
    apply_actions(admission_.drain(steady_now_ms()));
    broadcast_status();
    if (shutdown_.phase() == shutdown_phase::draining) {
        asio::co_spawn(context_, wait_until_drained(), asio::detached);
    }
}

asio::awaitable<void> control::wait_until_drained() {
    asio::steady_timer pause(context_);
    const time_ms until = steady_now_ms() + settings_.shutdown_ms_;
    while (shutdown_.phase() == shutdown_phase::draining) {
        if (pending_.empty()) {
            shutdown_.process(shutdown_event::drained);
        } else if (steady_now_ms() >= until) {
            log_warning("agent", std::to_string(pending_.size()) +
                                     " requests were interrupted by the shutdown time limit.");
            shutdown_.process(shutdown_event::time_limit_reached);
        }
        pause.expires_after(tick_interval);
        co_await pause.async_wait(asio::use_awaitable);
    }
    context_.stop();
}

} // namespace tamarack::agent
