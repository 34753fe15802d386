// Engine: reports and orders of one model engine, behind which platforms plug in.
#pragma once

#include "tamarack/fleet.hpp"

#include <memory>

namespace tamarack::engine {

// What an engine says of itself.
struct report {
    std::string engine_;           // id of the engine; reports do not name it, the registry does
    std::int64_t incarnation_ = 0; // rises with each start
    bool leaving_ = false;
    std::optional<time_ms> remaining_ms_; // until it is gone, if it leaves at short notice
    int running_ = 0;
    int queued_ = 0;
    double kv_used_ = 0; // tokens that cannot yield
    double kv_total_ = 0;
    bool busy_ = false;         // an order is being carried out
    std::int64_t accepted_ = 0; // orders accepted since the start
    std::vector<fleet::held_model> models_;
    std::set<std::string> cached_models_;       // models whose weights it has on disk or in main memory
    std::set<std::string> adapters_in_transit_; // as "model/adapter"
};

// One order. It is carried out only if the engine is still the one named and has accepted as many orders.
struct order {
    bool load_ = true; // else unload
    std::string model_;
    std::string adapter_; // empty for the model itself
    std::string engine_;
    std::int64_t expected_accepted_ = 0;
    std::string holder_;
    std::int64_t fencing_token_ = 0;
};

enum class order_answer {
    accepted,     // is being carried out
    done,         // held already, or was carried out at once
    conflict,     // another order is under way, or the count differs
    fenced,       // an order with a higher fencing token came before
    wrong_engine, // another engine has the address now
    invalid,      // the engine does not know such an order
    unknown,      // no answer; it may be carried out at any later time
};

std::string_view to_string(order_answer answer);

// Calls to one engine. Handlers run on the executor that the client was made with.
class client {
public:
    virtual ~client() = default;
    virtual void read_report(std::function<void(result<report>)> done) = 0;
    virtual void send_order(const order& one, std::function<void(order_answer)> done) = 0;
};

// Makes a client; registered by the name of the platform.
using client_factory =
    std::function<std::unique_ptr<client>(boost::asio::io_context&, boost::asio::ip::tcp::endpoint engine)>;

} // namespace tamarack::engine
