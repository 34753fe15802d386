// The connection of one traffic thread to one agent. It reconnects after a loss and multiplexes attempts.
#pragma once

#include "entry/attempt.hpp"
#include "tamarack/membership.hpp"

#include <unordered_map>

namespace tamarack::entry {

// Functions that the owner of a link provides. All are called on the link's thread.
struct link_callbacks {
    std::function<void(const std::string& id, const wire::status&)> on_status_;
    std::function<void(const std::string& id)> on_disconnected_;
    std::function<std::int64_t()> config_version_; // this entry's configuration version, for outgoing frames
    std::function<std::string()> config_state_;    // this entry's encoded configuration
    std::function<void(std::string encoded)> on_peer_config_; // receives an agent's configuration
};

class agent_link : public std::enable_shared_from_this<agent_link> {
public:
    agent_link(boost::asio::any_io_executor executor, listed_instance instance, wire::hello hello,
               link_callbacks callbacks);

    // Connects, and reconnects after each loss, until `stop` or `retire`.
    void start();
    void stop();

    // Stops reporting the agent's status and disconnections to the owner, and closes the connection once no
    // attempt is pending. Called when the endpoint has moved to another port or is no longer known; pending
    // attempts finish on this link.
    void retire();

    // Sends a request. Events of its attempt go to `box` until `release`. Returns false if the request was
    // not sent.
    bool submit(const wire::submit& request, std::shared_ptr<mailbox> box);
    // Asks the agent for an idempotency key; the reply goes to `box` until `release`. Returns false if the
    // request was not sent.
    bool request_key(std::uint64_t attempt, std::shared_ptr<mailbox> box);

    // Stops the delivery of an attempt's events.
    void release(std::uint64_t attempt);

    // Sends a message. Returns false and sends nothing if the link is down or the message is too large.
    bool send(wire::message message);

    bool connected() const { return connection_ != nullptr; }
    std::uint64_t incarnation() const { return incarnation_; }
    const std::string& id() const { return instance_.id_; }
    std::uint16_t port() const { return instance_.port_; }

    // The agent's clock in ms, extrapolated from its last heartbeat.
    std::int64_t agent_clock_ms() const;

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> serve_connection(std::shared_ptr<wire::connection> connection);
    void handle_frame(const wire::frame& received);
    void request_newer_config(std::int64_t agent_version);
    void handle_disconnect();
    void close_if_done();

    template <typename Message>
    void deliver(Message message);

    boost::asio::any_io_executor executor_;
    listed_instance instance_;
    wire::hello hello_;
    link_callbacks callbacks_;
    std::shared_ptr<wire::connection> connection_;
    std::uint64_t incarnation_ = 0;
    std::int64_t clock_offset_ms_ = 0;
    std::int64_t requested_version_ = -1;
    std::unordered_map<std::uint64_t, std::shared_ptr<mailbox>> mailboxes_;
    bool stopped_ = false;
    bool retired_ = false;
};

} // namespace tamarack::entry
