// Links: FlatBuffers frames over TCP between gateways and engine agents.
//
// A frame on the wire is its length as four bytes, lowest first, and a FlatBuffers table, which is verified
// before any field is read. The structs of the frames are generated from src/links/link.fbs.
#pragma once

#include "links/link_generated.h"
#include "tamarack/kernel.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <span>

namespace tamarack::links {

using hello = fbs::HelloT;
using held_model = fbs::HeldModelT;
using engine_status = fbs::EngineStatusT;
using adapter_wanted = fbs::AdapterWantedT;
using adapter_state = fbs::AdapterStateT;
using adapter_released = fbs::AdapterReleasedT;
using placement_order = fbs::PlacementOrderT;
using model_demand = fbs::ModelDemandT;
using gateway_digest = fbs::GatewayDigestT;
using configuration_relay = fbs::ConfigurationRelayT;
using store_relay = fbs::StoreRelayT;
using frame = fbs::FrameT;

// Version of the frames; processes of different versions do not talk.
inline constexpr std::uint32_t protocol_version = 1;

// Largest frame that is accepted; a configuration with thousands of routes fits.
inline constexpr std::size_t max_frame_bytes = 2 * 1024 * 1024;

// Bytes queued to a peer that does not read, beyond which the link is closed. A few dozen links fit the
// memory of a small instance.
inline constexpr std::size_t max_queued_bytes = 2 * 1024 * 1024;

// Wraps a message in a frame.
template <typename Message>
frame make_frame(Message message) {
    frame one;
    one.body.Set(std::move(message));
    return one;
}

// Bytes of the frame with its length in front.
std::string encode(const frame& one);

// Decodes a frame without its length. Fails with `invalid` unless the bytes verify.
result<frame> decode(std::span<const std::uint8_t> bytes);

// One connection that carries frames both ways. All calls from the executor of its socket.
class link : public std::enable_shared_from_this<link> {
public:
    struct events {
        std::function<void(const frame&)> frame_;
        std::function<void()> closed_; // once
    };

    link(boost::asio::ip::tcp::socket socket, events handlers);

    void start();

    // Queues a frame; nothing happens on a closed link.
    void send(const frame& one);
    void send_encoded(std::string_view bytes);

    void close();
    bool closed() const { return closed_; }

private:
    void read();
    void take_received();
    void write();

    boost::asio::ip::tcp::socket socket_;
    events handlers_;
    std::string received_;
    std::string queued_;
    std::string writing_;
    bool closed_ = false;
};

} // namespace tamarack::links
