// Links to the agents of the engines: their reports come in, wanted adapters and orders go out. Agents also
// relay what gateways tell each other, so that gateways need no registry of their own.
#pragma once

#include "gateway/fleet_state.hpp"
#include "tamarack/events.hpp"

#include <boost/asio/steady_timer.hpp>

namespace tamarack::gateway {

struct agent_link_events {
    std::function<void(const links::gateway_digest&)> digest_;
    std::function<void(const links::configuration_relay&)> configuration_;
    std::function<void(const links::store_relay&)> store_;
};

class agent_links {
public:
    agent_links(fleet_state& fleet, std::string id, std::uint64_t incarnation, std::uint16_t agent_port,
                event_log& events, agent_link_events handlers);

    // Opens links to new engines and closes those to engines that are gone. To be called every `tick_ms`.
    void tick(time_ms now);
    static constexpr time_ms tick_ms = 250;

    // Asks for an adapter and keeps it resident until its release. `done` may be empty. Returns the number.
    std::uint64_t want_adapter(endpoint& at, const std::string& model, const std::string& adapter,
                               std::function<void(bool ready)> done);
    void release_adapter(std::string_view endpoint, std::uint64_t number);

    // Sends an order of the planner. Returns whether the agent is linked.
    bool order(std::string_view engine, const links::placement_order& one);

    // Sends a frame to one agent, the same for all gateways that see the same engines, which relays it.
    void relay(const links::frame& one);

private:
    struct agent;

    void connect(const std::shared_ptr<agent>& one);
    void opened(const std::shared_ptr<agent>& one, boost::asio::ip::tcp::socket socket);
    void greet(agent& one);
    void lost(agent& one);
    void take_frame(agent& one, const links::frame& received);
    void take_status(agent& one, const links::engine_status& status);
    void take_adapter_state(const links::adapter_state& state);
    int most_adapters(const endpoint& at) const;
    void expire_wants(time_ms now);

    struct want {
        std::string endpoint_;
        time_ms until_ = 0;
        std::function<void(bool)> done_;
    };

    fleet_state& fleet_;
    std::string id_;
    std::uint64_t incarnation_;
    std::uint16_t agent_port_;
    event_log& events_;
    agent_link_events handlers_;
    std::map<std::string, std::shared_ptr<agent>, std::less<>> agents_; // by endpoint
    std::map<std::uint64_t, want> wants_;
    std::uint64_t next_want_ = 1;
};

} // namespace tamarack::gateway
