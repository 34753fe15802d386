// The traffic thread of an agent. It accepts connections from entries and other agents and calls the
// endpoint.
#pragma once

#include "tamarack/admission.hpp"
#include "tamarack/claims.hpp"
#include "tamarack/http.hpp"
#include "tamarack/settings.hpp"
#include "tamarack/wire.hpp"

#include <boost/asio/steady_timer.hpp>

#include <unordered_map>

namespace tamarack::agent {

// How a started request ended at the endpoint.
enum class run_outcome {
    complete, // the whole response arrived
    not_run,  // no byte reached the endpoint
    not_held, // the engine responded that it does not have the model
    unknown,  // it may have run
};

// Callbacks from the traffic thread to the control thread. They are called on the traffic thread and must
// only post work to the control thread.
struct traffic_events {
    std::function<void(std::uint64_t id, std::shared_ptr<const wire::submit> request)> submitted_;
    std::function<void(std::uint64_t id)> withdrawn_;
    std::function<void(std::uint64_t id, run_outcome outcome, std::int64_t service_ms,
                       std::optional<stored_response> response)>
        ended_;
    std::function<void(std::uint64_t session_id, std::uint64_t attempt)> key_requested_;
    std::function<void(std::uint64_t session_id, std::uint64_t request, std::string item)> drop_requested_;
    std::function<void(std::uint64_t session_id, std::int64_t version)> newer_config_seen_;
    std::function<void(std::uint64_t session_id)> config_requested_;
    std::function<void(std::string state)> config_received_;
};

class traffic {
public:
    traffic(const agent_settings& settings, std::uint64_t incarnation, traffic_events events);

    result<done> listen();

    // Runs the event loop on the calling thread until `stop` is called.
    void run();
    void stop();

    // The functions below may be called from any thread.

    // Runs a submitted request at the endpoint. `item` names the weights that serve it; empty for plain
    // services.
    void start(std::uint64_t id, std::string item);

    // End a submitted request without sending it to the endpoint.
    void refuse(std::uint64_t id, refusal_reason reason, std::int64_t retry_after_ms, std::string redirect);
    void fail(std::uint64_t id, std::string detail);
    void replay(std::uint64_t id, stored_response stored);

    // Confirms to the entry that a request was withdrawn before it started.
    void confirm_withdrawal(std::uint64_t id);

    void send(std::uint64_t session_id, wire::message message);

    // Sends a message to all connected peers. A peer that connects later receives the last broadcast right
    // after the hello.
    void broadcast(wire::message message);

    // Sends a message only to the peers that are connected now.
    void heartbeat(wire::message message);

    // Sets the configuration version that outgoing frames carry.
    void set_config_version(std::int64_t version);

private:
    struct session;
    struct job;

    boost::asio::awaitable<void> flush_and_stop();
    void finish_sending();
    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> serve(std::shared_ptr<session> peer);
    void handle_message(const std::shared_ptr<session>& peer, wire::message message);
    void handle_submit(const std::shared_ptr<session>& peer, wire::submit request);
    void handle_cancel(const std::shared_ptr<session>& peer, std::uint64_t attempt);
    void close_session(const std::shared_ptr<session>& closed);
    void withdraw(const std::shared_ptr<job>& current);
    boost::asio::awaitable<void> run_job(std::shared_ptr<job> current);
    boost::asio::awaitable<run_outcome> relay_response(std::shared_ptr<job> current,
                                                       http::response_stream& stream,
                                                       std::optional<stored_response>& stored);
    boost::asio::awaitable<void> wait_for_credit(std::shared_ptr<job> current);
    void reply(const std::shared_ptr<job>& current, wire::message message);
    void finish_job(const std::shared_ptr<job>& current, run_outcome outcome, std::int64_t service_ms,
                    std::optional<stored_response> stored);
    std::shared_ptr<job> remove_job(std::uint64_t id);
    void send_to(session& to, wire::message message);

    agent_settings settings_;
    std::uint64_t incarnation_;
    traffic_events events_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::unordered_map<std::uint64_t, std::shared_ptr<session>> sessions_;
    std::unordered_map<std::uint64_t, std::shared_ptr<job>> jobs_;
    std::optional<wire::message> last_broadcast_;
    std::uint64_t next_session_ = 1;
    std::uint64_t next_job_ = 1;
    std::int64_t config_version_ = -1;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard_;
};

} // namespace tamarack::agent
