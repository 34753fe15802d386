// Calls to the agent's own engine: reports, fences and orders, over HTTP and JSON.
#pragma once

#include "tamarack/http.hpp"
#include "tamarack/ledger.hpp"

namespace tamarack::agent {

// Outcome of sending an order, as far as the engine's response shows.
enum class order_outcome {
    confirmed,  // the engine accepted the order
    fenced_off, // refused, because the engine has seen a higher fencing number
    not_sent,   // nothing was sent; the order cannot take effect
    unknown,    // the order may take effect, possibly late
};

class engine_client {
public:
    explicit engine_client(boost::asio::ip::tcp::endpoint engine) : engine_(engine) {}

    // Fails with `unavailable` if the engine does not return a report.
    boost::asio::awaitable<result<engine_report>> report() const;

    // Fails with `conflict` if the number is not above the highest that the engine has seen.
    boost::asio::awaitable<result<engine_report>> fence(std::uint64_t number,
                                                        std::uint64_t incarnation) const;

    boost::asio::awaitable<order_outcome> send_order(engine_order order) const;

private:
    boost::asio::ip::tcp::endpoint engine_;
};

// Parses an engine's report. Fails with `invalid` if the text is malformed.
result<engine_report> parse_report(std::string_view text);

} // namespace tamarack::agent
