// One traffic thread of an entry: its callers, its links to the agents and its view of the endpoints.
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

// What the control thread gives to the traffic threads; never changed once given.
struct entry_view {
    config_state config_;
    std::string encoded_config_;
    std::vector<listed_instance> instances_;
};

// What a shard reports to the control thread. Called on the shard's thread.
struct shard_events {
    std::function<void(std::string encoded)> peer_config_;
};

class shard {
public:
    // `index` is unique within the process; shard 0 also tells the agents of new configurations.
    shard(const entry_settings& settings, std::uint64_t incarnation, std::size_t index, metrics& measures,
          shard_events events);

    // Listens and serves until `stop`. Runs on the calling thread.
    result<done> listen();
    void run();

    // From any thread: takes a new view.
    void update(std::shared_ptr<const entry_view> view);

    // From any thread: stops accepting; exchanges in service go on.
    void drain();

    // From any thread: closes the links and lets `run` return.
    void stop();

    // From any thread: number of exchanges in service, and of agents connected.
    std::int64_t in_service() const { return in_service_.load(); }
    std::int64_t connected_agents() const { return connected_agents_.load(); }

private:
    struct routed_request;

    void take_view(std::shared_ptr<const entry_view> view);
    void update_links();
    wire::hello greeting() const;
    std::shared_ptr<agent_link> make_link(const listed_instance& instance);
    void take_status(const std::string& id, const wire::status& said);
    void note_connections();

    boost::asio::awaitable<void> handle(http::exchange& current);
    boost::asio::awaitable<void> list_models(http::exchange& current);
    boost::asio::awaitable<void> issue_key(http::exchange& current);
    boost::asio::awaitable<void> serve(http::exchange& current);
    boost::asio::awaitable<void> run_attempts(http::exchange& current, routed_request& request);
    boost::asio::awaitable<attempt_result> attempt(http::exchange& current, routed_request& request,
                                                   const std::string& endpoint);
    boost::asio::awaitable<attempt_result> relay(http::exchange& current, routed_request& request,
                                                 agent_link& link, mailbox& box, std::uint64_t attempt_id);
    boost::asio::awaitable<attempt_result> give_up(agent_link& link, mailbox& box, std::uint64_t attempt_id);
    boost::asio::awaitable<void> tell_outcome(http::exchange& current, const routed_request& request,
                                              const attempt_result& last, outcome told);

    std::optional<std::string> pick_endpoint(routed_request& request);
    std::vector<candidate> candidates(const routed_request& request);
    const home_map& homes(const std::string& pool);
    wire::submit make_submit(const http::request& incoming, const routed_request& request);
    bool healthy(const std::string& endpoint) const;
    void note_end(const routed_request& request, std::string_view told, bool first_byte_known);

    entry_settings settings_;
    std::uint64_t incarnation_;
    std::size_t index_;
    metrics& measures_;
    shard_events events_;
    boost::asio::io_context context_;
    http::server server_;
    std::shared_ptr<const entry_view> view_;
    membership members_;
    std::map<std::string, std::shared_ptr<agent_link>> links_;
    std::map<std::string, std::int64_t> sent_since_status_;
    std::map<std::string, home_map> homes_;
    std::map<std::string, retry_budget> retry_budgets_;
    std::mt19937_64 random_;
    std::uint64_t next_attempt_ = 1;
    std::atomic<std::int64_t> in_service_ = 0;
    std::atomic<std::int64_t> connected_agents_ = 0;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
};

} // namespace tamarack::entry
