// The traffic thread of an agent: connections of entries and other agents, and the calls to the endpoint.
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
enum class run_end {
    complete, // the whole answer arrived
    not_run,  // no byte reached the endpoint
    not_held, // the engine said that it does not have the model
    unknown,  // it may have run
};

// What the traffic thread tells the control thread. Called on the traffic thread; must only post.
struct traffic_events {
    std::function<void(std::uint64_t id, std::shared_ptr<const wire::submit> request)> submitted_;
    std::function<void(std::uint64_t id)> withdrawn_;
    std::function<void(std::uint64_t id, run_end how, std::int64_t service_ms,
                       std::optional<stored_response> answer)>
        ended_;
    std::function<void(std::uint64_t session, std::uint64_t attempt)> key_requested_;
    std::function<void(std::uint64_t session, std::uint64_t request, std::string item)> drop_requested_;
    std::function<void(std::uint64_t session, std::int64_t version)> peer_version_;
    std::function<void(std::uint64_t session)> config_requested_;
    std::function<void(std::string state)> config_received_;
};

class traffic {
public:
    traffic(const agent_settings& settings, std::uint64_t incarnation, traffic_events events);

    result<done> listen();

    // Runs until `stop`, on the calling thread.
    void run();
    void stop();

    // All of the following may be called from any thread.

    // Runs a submitted request at the endpoint. `item` names the weights that serve it.
    void start(std::uint64_t id, std::string item);

    // Answers a submitted request without running it.
    void refuse(std::uint64_t id, refusal_reason reason, std::int64_t retry_after_ms, std::string redirect);
    void fail(std::uint64_t id, std::string detail);
    void replay(std::uint64_t id, stored_response answer);

    // The request was withdrawn before it started.
    void confirm_withdrawal(std::uint64_t id);

    void send(std::uint64_t session, wire::message message);

    // Sends to all entries, and to each new one first.
    void broadcast(wire::message message);

    // Sends to all entries that are connected now.
    void heartbeat(wire::message message);
    void set_config_version(std::int64_t version);

private:
    struct session;
    struct job;

    boost::asio::awaitable<void> flush_and_stop();
    void finish_sending();
    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> serve(std::shared_ptr<session> from);
    void take(const std::shared_ptr<session>& from, wire::message message);
    void take_submit(const std::shared_ptr<session>& from, wire::submit request);
    void take_cancel(const std::shared_ptr<session>& from, std::uint64_t attempt);
    void lose(const std::shared_ptr<session>& lost);
    void withdraw(const std::shared_ptr<job>& one);
    boost::asio::awaitable<void> run_job(std::shared_ptr<job> one);
    boost::asio::awaitable<run_end> relay(std::shared_ptr<job> one, http::response_stream& stream,
                                          std::optional<stored_response>& stored);
    boost::asio::awaitable<void> wait_for_credit(std::shared_ptr<job> one);
    void answer(const std::shared_ptr<job>& one, wire::message message);
    void finish_job(const std::shared_ptr<job>& one, run_end how, std::int64_t service_ms,
                    std::optional<stored_response> stored);
    std::shared_ptr<job> take_job(std::uint64_t id);
    void send_on(session& to, wire::message message);

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
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
};

} // namespace tamarack::agent
