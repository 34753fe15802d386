// Links carry FlatBuffers frames over TCP between gateways and engine agents.
//
// On the wire, a frame is a four-byte little-endian length followed by a FlatBuffers table. The table is
// verified before any field is read. The frame structs are generated from src/links/link.fbs.
#pragma once

#include "links/link_generated.h"
#include "tamarack/kernel.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
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
using endpoint_limit = fbs::EndpointLimitT;
using engine_end = fbs::EngineEndT;
using leaving_endpoint = fbs::LeavingEndpointT;
using part_state = fbs::PartStateT;
using quota_use = fbs::QuotaUse;
using store_relay = fbs::StoreRelayT;
using echo = fbs::EchoT;
using frame = fbs::FrameT;

// Time after which an agent answers that a wanted adapter did not become resident.
inline constexpr time_ms adapter_timeout_ms = 1'200;

// Protocol version sent in `hello`. An agent closes the link of a gateway that has another version.
inline constexpr std::uint32_t protocol_version = 1;

// Largest accepted frame. A configuration with thousands of routes fits.
inline constexpr std::size_t max_frame_bytes = 2 * 1024 * 1024;

// Largest frame accepted from a peer that has not said who it is.
inline constexpr std::size_t max_first_frame_bytes = 4 * 1024;

// Limit on the bytes queued for a peer that does not read; a link that exceeds it is closed.
inline constexpr std::size_t max_queued_bytes = 2 * 1024 * 1024;

// Wraps a message in a frame.
template <typename Message>
frame make_frame(Message message) {
    frame wrapped;
    wrapped.body.Set(std::move(message));
    return wrapped;
}

// Encodes a frame with its length prefix.
std::string encode(const frame& message);

// An encoded frame that several links may hold.
using shared_bytes = std::shared_ptr<const std::string>;

inline shared_bytes share(std::string bytes) {
    return std::make_shared<const std::string>(std::move(bytes));
}

// Number of models whose demand is relayed to gateways that do not plan. They use the demand of overloaded
// models only.
inline constexpr std::size_t brief_demand_models = 6;

// Returns the digest with the demand for the `brief_demand_models` with the most work.
gateway_digest make_brief(const gateway_digest& digest);

// Decodes a frame without its length prefix. Fails with `invalid` if the bytes are not a valid frame.
result<frame> decode(std::span<const std::uint8_t> bytes);

// Holds the newest stamp that came over a link, to return it to the peer.
class stamp_keeper {
public:
    // `sent_at` is the peer's stamp, negative if it sent none; `now` is this process's time.
    void note(time_ms sent_at, time_ms now);

    // Returns an echo to be sent at once; nothing before the first stamp.
    std::optional<echo> make_echo(time_ms now) const;

private:
    struct received_stamp {
        time_ms sent_at_ = 0;
        time_ms received_at_ = 0;
    };

    std::optional<received_stamp> newest_;
};

// Upper bound of the time that a frame was on its way, if it was sent with this echo of an own stamp and
// arrived at `now`. It includes the way of the stamp. The clocks of the two processes are not compared.
time_ms max_transit_ms(const echo& returned, time_ms now);

// Tells how much longer than usual the frames of one sender were on their way. The clocks of the two
// processes need not agree, and may drift slowly.
class delay_meter {
public:
    // `sent_at` is the sender's stamp; `now` is this process's time. Returns the extra delay of this frame.
    time_ms note(time_ms sent_at, time_ms now);

private:
    time_ms least_ = 0;        // difference of the clocks and least delay in this period,
    time_ms least_before_ = 0; // and in the one before
    std::optional<time_ms> period_began_at_;
};

// A connection that carries frames in both directions. Call its functions only from the executor of its
// socket.
class link : public std::enable_shared_from_this<link> {
public:
    struct events {
        std::function<void(const frame&)> frame_; // called for each received frame
        std::function<void()> closed_;            // called once, when the link has closed
    };

    // A link whose peer sends a frame of more than `max_received_bytes` is closed.
    link(boost::asio::ip::tcp::socket socket, events handlers,
         std::size_t max_received_bytes = max_frame_bytes);

    void set_max_received_bytes(std::size_t bytes) { max_received_bytes_ = bytes; }

    // Starts reading frames.
    void start();

    // Queues a frame. Does nothing on a closed link.
    void send(const frame& message);

    // Queues a frame that `encode` returned. A frame that is relayed over many links exists once for all.
    void send_encoded(shared_bytes bytes);

    void close();
    bool closed() const { return closed_; }

private:
    void read();
    void process_received();
    void write();

    boost::asio::ip::tcp::socket socket_;
    events handlers_;
    std::string received_;
    std::vector<shared_bytes> queued_;
    std::vector<shared_bytes> writing_;
    std::size_t queued_bytes_ = 0;
    std::size_t max_received_bytes_;
    bool closed_ = false;
};

} // namespace tamarack::links
