// Engine: reports of one model engine, and orders to load and unload. Platforms implement `client`.
#pragma once

#include "tamarack/fleet.hpp"

#include <memory>

namespace tamarack::engine {

// State that an engine reports.
struct report {
    std::string engine_;           // engine id, taken from the registry, since reports do not contain it
    std::int64_t incarnation_ = 0; // increases with each start of the engine
    bool leaving_ = false;
    std::optional<time_ms> remaining_ms_; // time until the engine stops, if it stops at short notice
    int running_ = 0;
    int queued_ = 0;
    int unread_ = 0;            // running requests without an event: their prompts are still being read
    double kv_used_ = 0;        // tokens in the KV cache that cannot be freed
    double kv_total_ = 0;       // size of the KV cache, in tokens
    bool busy_ = false;         // the engine is executing an order
    std::int64_t accepted_ = 0; // orders accepted since the engine started
    std::vector<fleet::held_model> models_;
    std::set<std::string> cached_models_;       // models with weights on the engine's disk or in main memory
    std::set<std::string> adapters_in_transit_; // as "model/adapter"
};

// An order to load or unload. The engine executes it only if it is the engine `engine_` and the number of
// orders that it has accepted is `expected_accepted_`.
struct order {
    bool load_ = true; // false to unload
    fleet::plain_name model_;

    // The adapter to load or unload. Without a name, the order is for the model itself.
    fleet::plain_name adapter_;

    std::string engine_;
    std::int64_t expected_accepted_ = 0;
    std::string holder_;             // id of the agent that sends the order
    std::int64_t fencing_token_ = 0; // orders with a lower token than an earlier order are refused
};

// Response of an engine to an order.
enum class order_answer {
    accepted,     // the engine is executing the order
    done,         // the requested state existed already, or the order was executed at once
    conflict,     // another order is in progress, or the number of accepted orders differs
    fenced,       // the engine has seen a higher fencing token
    wrong_engine, // another engine now has this address
    invalid,      // the engine does not support the order
    unknown,      // no response; the engine may still execute the order at any time
};

std::string_view to_string(order_answer answer);

// Sends calls to one engine. Handlers run on the executor that the client was created with.
class client {
public:
    virtual ~client() = default;
    virtual void read_report(std::function<void(result<report>)> done) = 0;
    virtual void send_order(const order& one, std::function<void(order_answer)> done) = 0;
};

// Creates a client. Registered under the name of the platform.
using client_factory =
    std::function<std::unique_ptr<client>(boost::asio::io_context&, boost::asio::ip::tcp::endpoint engine)>;

} // namespace tamarack::engine
