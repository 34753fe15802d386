// The connection of one traffic thread to one agent: it is kept up, and carries many attempts at once.
#pragma once

#include "entry/attempt.hpp"
#include "tamarack/membership.hpp"

#include <unordered_map>

namespace tamarack::entry {

// What a link tells its owner. All on the link's thread.
struct link_events {
    std::function<void(const std::string& id, const wire::status&)> status_;
    std::function<void(const std::string& id)> lost_;
    std::function<std::int64_t()> config_version_;         // of this entry, for outgoing frames
    std::function<std::string()> config_state_;            // of this entry, encoded
    std::function<void(std::string encoded)> peer_config_; // the agent sent a state
};

class agent_link : public std::enable_shared_from_this<agent_link> {
public:
    agent_link(boost::asio::any_io_executor executor, listed_instance instance, wire::hello greeting,
               link_events events);

    // Connects, and connects again after each loss, until `stop` or `retire`.
    void start();
    void stop();

    // Another link takes over this endpoint: attempts under way go on here, nothing is reported any more, and
    // the connection closes with its last attempt.
    void retire();

    // Sends a request; events of its attempt go to `box` until `release`. Returns false if nothing was sent.
    bool submit(const wire::submit& request, std::shared_ptr<mailbox> box);
    bool request_key(std::uint64_t attempt, std::shared_ptr<mailbox> box);
    void release(std::uint64_t attempt);

    // Sends any frame; returns false if the link is down.
    bool send(wire::message message);

    bool connected() const { return connection_ != nullptr; }
    std::uint64_t incarnation() const { return incarnation_; }
    const std::string& id() const { return instance_.id_; }
    std::uint16_t port() const { return instance_.port_; }

    // The agent's own clock now, as far as its last heartbeat tells.
    std::int64_t agent_clock_ms() const;

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> serve_connection(std::shared_ptr<wire::connection> connection);
    void take(const wire::frame& received);
    void compare_config(std::int64_t agent_version);
    void lose();
    void close_if_done();

    template <typename Message>
    void deliver(Message message);

    boost::asio::any_io_executor executor_;
    listed_instance instance_;
    wire::hello greeting_;
    link_events events_;
    std::shared_ptr<wire::connection> connection_;
    std::uint64_t incarnation_ = 0;
    std::int64_t clock_offset_ms_ = 0;
    std::int64_t asked_for_version_ = -1;
    std::unordered_map<std::uint64_t, std::shared_ptr<mailbox>> boxes_;
    bool stopped_ = false;
    bool retired_ = false;
};

} // namespace tamarack::entry
