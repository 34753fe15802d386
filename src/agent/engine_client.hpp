// Calls to the agent's own engine: reports, fences and orders, over HTTP and JSON.
#pragma once

#include "tamarack/http.hpp"
#include "tamarack/ledger.hpp"

namespace tamarack::agent {

// What became of an order as far as its answer tells.
enum class order_outcome {
    confirmed,  // the engine has it
    fenced_off, // refused: a higher fencing number was seen
    not_sent,   // no byte went out; it cannot take effect
    unknown,    // it may take effect, now or late
};

class engine_client {
public:
    explicit engine_client(boost::asio::ip::tcp::endpoint engine) : engine_(engine) {}

    boost::asio::awaitable<result<engine_report>> report() const;

    // Fails with `conflict` if the number is not above the highest that the engine has seen.
    boost::asio::awaitable<result<engine_report>> fence(std::uint64_t number,
                                                        std::uint64_t incarnation) const;

    boost::asio::awaitable<order_outcome> send_order(engine_order order) const;

private:
    boost::asio::ip::tcp::endpoint engine_;
};

// Parses a report. Fails with `invalid` for anything else.
result<engine_report> parse_report(std::string_view text);

} // namespace tamarack::agent
