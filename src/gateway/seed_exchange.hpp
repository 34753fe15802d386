// Lets a gateway that cannot reach the store when it starts obtain the state of the fleet from another
// gateway.
#pragma once

#include "tamarack/events.hpp"
#include "tamarack/fleet.hpp"
#include "tamarack/links.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>

namespace tamarack::gateway {

class seed_exchange {
public:
    // If `listen` has no port, other gateways are not served.
    seed_exchange(boost::asio::io_context& context, fleet::fleet_source& source,
                  boost::asio::ip::tcp::endpoint listen, std::vector<boost::asio::ip::tcp::endpoint> seeds,
                  event_log& events);

    // Serves other gateways. Asks the seeds in turn until `fleet_known` returns true.
    void start(std::function<bool()> fleet_known);

private:
    void accept();
    void transfer(boost::asio::ip::tcp::socket socket);
    void ask_next_seed();
    void ask_seed(const boost::asio::ip::tcp::endpoint& seed);
    void end_current_ask();

    boost::asio::io_context& context_;
    fleet::fleet_source& source_;
    boost::asio::ip::tcp::endpoint listen_;
    std::vector<boost::asio::ip::tcp::endpoint> seeds_;
    event_log& events_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    std::function<bool()> fleet_known_;
    // To the seed that is asked; one of them at most.
    std::shared_ptr<boost::asio::ip::tcp::socket> connecting_;
    std::shared_ptr<links::link> current_link_;
    std::deque<std::weak_ptr<links::link>> transfers_; // gateways being sent the state, oldest first
    std::size_t next_seed_ = 0;
};

} // namespace tamarack::gateway
