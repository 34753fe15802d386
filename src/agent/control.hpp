// The control thread of an agent. It makes all decisions: admission, keys and claims, the memory ledger,
// orders to the engine, home models, configuration and shutdown. It calls the engine, the log and the
// instance list itself. The traffic thread exchanges frames with entries and other agents and sends requests
// to the endpoint.
#pragma once

#include "agent/engine_client.hpp"
#include "agent/shutdown_machine.hpp"
#include "agent/traffic.hpp"
#include "tamarack/observe.hpp"
#include "tamarack/placement.hpp"
#include "tamarack/planning.hpp"
#include "tamarack/platform.hpp"

#include <random>
#include <thread>

namespace tamarack::agent {

class control {
public:
    explicit control(const agent_settings& settings);

    // Runs until the agent has shut down. Returns the exit code of the process.
    int run();

private:
    // A submitted request that has not ended.
    struct pending_request {
        std::shared_ptr<const wire::submit> request_;
        time_ms deadline_ = 0;
        std::string item_;      // empty for plain services
        std::string base_item_; // resident model that an adapter builds on
        std::int64_t kv_mb_ = 0;
        std::int64_t load_wait_ms_ = 0;
        std::optional<key_digest> key_;
        std::uint64_t body_hash_ = 0;
        bool running_ = false;
    };

    // Requests.
    traffic_events make_traffic_events();
    void handle_request(std::uint64_t id, std::shared_ptr<const wire::submit> request);
    bool resolve_item(std::uint64_t id, pending_request& pending);
    std::optional<refusal_reason> reason_to_refuse() const;
    void check_key(std::uint64_t id, pending_request& pending);
    void check_bound_key(std::uint64_t id, pending_request& pending, const bound_key& key);
    void apply_decision(std::uint64_t id, const run_decision& decision);
    void admit(std::uint64_t id);
    void apply_actions(const admission_actions& actions);
    void refuse(std::uint64_t id, refusal_reason reason, std::int64_t retry_after_ms,
                std::string redirect = {});
    void fail(std::uint64_t id, std::string detail);
    void withdraw(std::uint64_t id);
    void end_request(std::uint64_t id, run_outcome outcome, std::int64_t service_ms,
                     std::optional<stored_response> response);
    admission_request make_admission_request(std::uint64_t id, const pending_request& pending) const;
    void update_use(const pending_request& pending, std::int64_t change);
    std::string base_item(const std::string& item) const;
    void issue_key(std::uint64_t session_id, std::uint64_t attempt);

    // Claims of keys that callers chose.
    void queue_claim(std::uint64_t id);
    boost::asio::awaitable<void> process_claims();
    boost::asio::awaitable<bool> read_claims(std::int64_t required_offset);
    boost::asio::awaitable<void> process_claim_batch(std::vector<std::uint64_t> batch);
    std::vector<claim> prepare_claims(std::vector<std::uint64_t>& batch);
    void resolve_claims(const std::vector<std::uint64_t>& batch);

    // The engine.
    boost::asio::awaitable<void> run_engine_loop();
    boost::asio::awaitable<void> fence_engine();
    boost::asio::awaitable<void> execute_plan_step();
    void update_retiring(std::string_view dropping);
    boost::asio::awaitable<void> send_order(engine_order order);
    boost::asio::awaitable<void> drop_item(drop_step step);
    boost::asio::awaitable<bool> obtain_drop_grant(const drop_step& step);
    boost::asio::awaitable<bool> request_drop_grant(const listed_instance& peer, std::string item);
    plan_facts make_plan_facts() const;
    void create_ledger();
    void refresh_admission();
    void update_mean_load_time(const std::set<std::string>& serving);
    std::set<std::string> serving_items() const;
    void stop_after_takeover();

    // Configuration, membership, shutdown.
    void apply_config(const config_state& state);
    void update_homes();
    const pool_row* pool() const;
    boost::asio::awaitable<void> poll_list();
    boost::asio::awaitable<void> run_periodic_tasks();
    boost::asio::awaitable<void> wait_until_drained();
    boost::asio::awaitable<void> handle_admin(http::exchange& current);
    wire::status current_status() const;
    void broadcast_status();
    void send_heartbeat();
    void report_metrics();
    bool endpoint_state_known() const;
    bool ready() const;
    void begin_shutdown(shutdown_event event);

    agent_settings settings_;
    std::uint64_t incarnation_;
    boost::asio::io_context context_;
    metrics metrics_;
    log_client log_;
    instance_list_client list_;
    config_follower config_;
    http::server admin_;
    traffic traffic_;
    engine_client engine_;
    std::mt19937_64 random_;

    shutdown_machine shutdown_;
    admission admission_;
    run_table run_table_;
    claim_index claim_index_;
    std::optional<ledger> ledger_;
    drop_guard drop_guard_;
    demand_meter demand_;
    std::map<std::uint64_t, pending_request> pending_;
    std::map<std::string, item_use> item_uses_;
    retiring_items retiring_;
    std::set<std::string> home_models_;
    home_map homes_;
    std::vector<listed_instance> instances_;
    bool seen_in_list_ = false; // whether the list has ever contained this endpoint
    std::vector<std::uint64_t> queued_claims_;
    bool processing_claims_ = false;
    double mean_load_ms_; // moving average of model load times
    std::map<std::string, time_ms> load_started_at_;
    std::map<std::string, time_ms> earliest_drop_at_;
    std::uint64_t next_drop_request_ = 1;
    std::set<std::string> last_serving_;
    std::int64_t requested_config_version_ = -1;
};

} // namespace tamarack::agent
