// One traffic thread of an entry, with its own callers, links to the agents and view of the endpoints.
#pragma once

#include "entry/agent_link.hpp"
#include "entry/caller_request.hpp"
#include "tamarack/configuration.hpp"
#include "tamarack/http.hpp"
#include "tamarack/observe.hpp"
#include "tamarack/placement.hpp"
#include "tamarack/settings.hpp"

#include <atomic>
#include <random>

namespace tamarack::entry {

// Snapshot of the configuration and the instance list that the control thread publishes to the traffic
// threads. Immutable once published.
struct entry_view {
    config_state config_;
    std::string encoded_config_;
    std::vector<listed_instance> instances_;
};

// Functions that the control thread provides. Called on the shard's thread.
struct shard_callbacks {
    std::function<void(std::string encoded)> on_peer_config_; // receives an agent's configuration
};

class shard {
public:
    // `index` is unique within the process. Shard 0 also announces new configurations to the agents.
    shard(const entry_settings& settings, std::uint64_t incarnation, std::size_t index,
          metrics& process_metrics, shard_callbacks callbacks);

    result<done> listen();

    // Serves callers on the calling thread until `stop`.
    void run();

    // Replaces the view. Callable from any thread.
    void update(std::shared_ptr<const entry_view> view);

    // Stops accepting connections; requests in flight continue. Callable from any thread.
    void drain();

    // Closes the links, which ends the requests in flight with an unknown outcome. Callable from any thread.
    void close_links();

    // Closes the links and makes `run` return. Callable from any thread.
    void stop();

    // Numbers of requests in flight and of connected agents. Callable from any thread.
    std::int64_t requests_in_flight() const { return in_flight_.load(); }
    std::int64_t connected_agents() const { return connected_agents_.load(); }

private:
    struct routed_request;

    void apply_view(std::shared_ptr<const entry_view> view);
    void update_links();
    wire::hello make_hello() const;
    std::shared_ptr<agent_link> make_link(const listed_instance& instance);
    void apply_status(const std::string& id, const wire::status& status);
    void update_connected_agents();

    boost::asio::awaitable<void> handle(http::exchange& current);
    boost::asio::awaitable<void> list_models(http::exchange& current);
    boost::asio::awaitable<void> issue_key(http::exchange& current);
    boost::asio::awaitable<void> serve(http::exchange& current);
    boost::asio::awaitable<void> run_attempts(http::exchange& current, routed_request& request);
    boost::asio::awaitable<attempt_result> attempt(http::exchange& current, routed_request& request,
                                                   const std::string& endpoint);
    boost::asio::awaitable<attempt_result> relay(http::exchange& current, routed_request& request,
                                                 agent_link& link, mailbox& box, std::uint64_t attempt_id);
    boost::asio::awaitable<attempt_result> cancel_overdue(agent_link& link, mailbox& box,
                                                          std::uint64_t attempt_id);
    boost::asio::awaitable<void> reply_with_outcome(http::exchange& current, const routed_request& request,
                                                    const attempt_result& last, outcome reported);

    std::optional<std::string> pick_endpoint(routed_request& request);
    std::vector<candidate> candidates(const routed_request& request);
    const home_map& homes(const std::string& pool);
    wire::submit make_submit(const http::request& incoming, const routed_request& request);
    bool healthy(const std::string& endpoint) const;
    void record_metrics(const routed_request& request, std::string_view outcome_label, bool with_first_byte);

    entry_settings settings_;
    std::uint64_t incarnation_;
    std::size_t index_;
    metrics& metrics_;
    shard_callbacks callbacks_;
    boost::asio::io_context context_;
    http::server server_;
    std::shared_ptr<const entry_view> view_;
    membership members_;
    std::map<std::string, std::shared_ptr<agent_link>> links_;
    std::map<std::string, std::int64_t> sent_since_status_; // attempts since the last status, by endpoint
    std::map<std::string, home_map> homes_;
    std::map<std::string, retry_budget> retry_budgets_;
    std::mt19937_64 random_;
    std::uint64_t next_attempt_ = 1;
    std::atomic<std::int64_t> in_flight_ = 0;
    std::atomic<std::int64_t> connected_agents_ = 0;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
};

} // namespace tamarack::entry
