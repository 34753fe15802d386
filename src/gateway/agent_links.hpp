// Links to the engine agents. Agents send reports; the gateway sends adapter requests and placement orders.
// Agents also relay frames between gateways, so that gateways need no registry of their own.
#pragma once

#include "gateway/fleet_state.hpp"
#include "tamarack/events.hpp"

#include <boost/asio/steady_timer.hpp>

namespace tamarack::gateway {

// Handlers for frames that agents relay from other gateways.
struct agent_link_events {
    std::function<void(const links::gateway_digest&)> digest_;
    std::function<void(const links::configuration_relay&)> configuration_;
    std::function<void(fleet::relayed_data)> store_;
};

class agent_links {
public:
    agent_links(fleet_state& fleet, std::string id, std::uint64_t incarnation, std::uint16_t agent_port,
                event_log& events, agent_link_events handlers);

    // Opens links to the agents of new engines, closes links of engines that are gone, and fails adapter
    // requests that have timed out. To be called every `tick_ms`.
    void tick(time_ms now);
    static constexpr time_ms tick_ms = 250;

    // Asks the engine's agent to load an adapter and to keep it resident until its release. Calls `done`,
    // unless it is empty, with the result. Returns the request's number, for `release_adapter`.
    std::uint64_t request_adapter(endpoint& at, const std::string& model, const std::string& adapter,
                                  std::function<void(bool ready)> done);
    void release_adapter(std::string_view endpoint, std::uint64_t number);

    // Sends an order of the planner to the engine's agent. Returns whether there is a link to it.
    bool send_order(std::string_view engine, const links::placement_order& one);

    // Sends a frame to one agent, which relays it to the other gateways. Gateways with links to the same
    // engines choose the same agent.
    void relay(const links::frame& one);

    // Sends data that this gateway read from the store to the same agent, with its age.
    void relay_store_reading(const fleet::relayed_data& data);

private:
    struct agent;

    void connect(const std::shared_ptr<agent>& one);
    void on_connected(const std::shared_ptr<agent>& one, boost::asio::ip::tcp::socket socket);
    void send_hello(agent& one);
    void on_link_closed(agent& one);
    void handle_frame(agent& one, const links::frame& received);
    agent* relaying_agent();
    void handle_store_relay(agent& one, const links::store_relay& relay);
    void handle_status(agent& one, const links::engine_status& status);
    void handle_adapter_state(const links::adapter_state& state);
    int most_adapters(const endpoint& at) const;
    void expire_adapter_requests(time_ms now);

    struct adapter_request {
        std::string endpoint_;
        time_ms expires_at_ = 0;
        std::function<void(bool)> on_done_;
    };

    fleet_state& fleet_;
    std::string id_;
    std::uint64_t incarnation_;
    std::uint16_t agent_port_;
    event_log& events_;
    agent_link_events handlers_;
    std::map<std::string, std::shared_ptr<agent>, std::less<>> agents_; // keyed by endpoint id
    std::map<std::uint64_t, adapter_request> adapter_requests_;
    std::uint64_t next_adapter_request_ = 1;
};

} // namespace tamarack::gateway
