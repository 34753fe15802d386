// The control thread of an agent. It owns every decision: admission, keys and claims, the memory ledger,
// orders, homes, configuration and shutdown. The traffic thread does as it says.
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

    // Runs until the process is told to stop. Returns the exit code.
    int run();

private:
    // A submitted request that has not ended.
    struct pending_request {
        std::shared_ptr<const wire::submit> request_;
        time_ms deadline_ = 0;
        std::string item_;      // empty for plain services
        std::string base_item_; // the model beneath an adapter
        std::int64_t kv_mb_ = 0;
        std::int64_t load_wait_ms_ = 0;
        std::optional<key_digest> key_;
        std::uint64_t body_hash_ = 0;
        bool running_ = false;
    };

    // Requests.
    traffic_events make_traffic_events();
    void take_request(std::uint64_t id, std::shared_ptr<const wire::submit> request);
    bool find_item(std::uint64_t id, pending_request& pending);
    std::optional<refusal_reason> reason_not_to_take() const;
    void decide_key(std::uint64_t id, pending_request& pending);
    void decide_bound_key(std::uint64_t id, pending_request& pending, const bound_key& key);
    void act(std::uint64_t id, const run_decision& decision);
    void admit(std::uint64_t id);
    void perform(const admission_actions& actions);
    void refuse(std::uint64_t id, refusal_reason reason, std::int64_t retry_after_ms,
                std::string redirect = {});
    void fail(std::uint64_t id, std::string detail);
    void withdraw(std::uint64_t id);
    void end_request(std::uint64_t id, run_end how, std::int64_t service_ms,
                     std::optional<stored_response> answer);
    admission_request make_admission_request(std::uint64_t id, const pending_request& pending) const;
    void note_use(const pending_request& pending, std::int64_t change);
    std::string base_item(const std::string& item) const;
    void issue_key(std::uint64_t session, std::uint64_t attempt);

    // Claims of callers' keys.
    void queue_claim(std::uint64_t id);
    boost::asio::awaitable<void> settle_claims();
    boost::asio::awaitable<bool> read_claims(std::int64_t through);
    boost::asio::awaitable<void> settle_batch(std::vector<std::uint64_t> batch);
    std::vector<claim> begin_claims(std::vector<std::uint64_t>& batch);
    void resolve_claims(const std::vector<std::uint64_t>& batch);

    // The engine.
    boost::asio::awaitable<void> tend_engine();
    boost::asio::awaitable<void> fence_engine();
    boost::asio::awaitable<void> take_plan_step();
    void update_retiring(std::string_view dropping);
    boost::asio::awaitable<void> give(engine_order order);
    boost::asio::awaitable<void> drop(drop_step step);
    boost::asio::awaitable<bool> obtain_grant(const drop_step& step);
    boost::asio::awaitable<bool> ask_for_grant(const listed_instance& peer, std::string item);
    plan_facts make_plan_facts() const;
    void begin_ledger();
    void refresh_admission();
    void learn_load_times(const std::set<std::string>& serving);
    std::set<std::string> serving_items() const;
    void stand_down();

    // Configuration, membership, shutdown.
    void take_config(const config_state& state);
    void update_homes();
    const pool_row* pool() const;
    boost::asio::awaitable<void> follow_list();
    boost::asio::awaitable<void> tick();
    boost::asio::awaitable<void> shut_down();
    boost::asio::awaitable<void> handle_admin(http::exchange& current);
    wire::status current_status() const;
    void broadcast_status();
    void send_heartbeat();
    void report_metrics();
    bool endpoint_known() const;
    bool ready() const;
    void leave(shutdown_event event);

    agent_settings settings_;
    std::uint64_t incarnation_;
    boost::asio::io_context context_;
    metrics measures_;
    log_client log_;
    instance_list_client list_;
    config_follower config_;
    http::server admin_;
    traffic traffic_;
    engine_client engine_;
    std::mt19937_64 random_;

    shutdown_machine shutdown_;
    admission admission_;
    run_table runs_;
    claim_index claims_;
    std::optional<ledger> ledger_;
    drop_guard drops_;
    demand_meter demand_;
    std::map<std::uint64_t, pending_request> pending_;
    std::map<std::string, item_use> uses_;
    retiring_items retiring_;
    std::set<std::string> home_models_;
    home_map homes_;
    std::vector<listed_instance> instances_;
    bool listed_ = false; // the list has named this endpoint
    std::vector<std::uint64_t> claims_waiting_;
    bool settling_claims_ = false;
    double load_ms_; // mean time of a model's load
    std::map<std::string, time_ms> load_began_;
    std::map<std::string, time_ms> drop_not_before_;
    std::uint64_t next_drop_ = 1;
    std::set<std::string> last_serving_;
    std::int64_t asked_for_version_ = -1;
};

} // namespace tamarack::agent
