// Lets a gateway that starts while it cannot reach the store learn the fleet from another gateway.
#pragma once

#include "tamarack/events.hpp"
#include "tamarack/fleet.hpp"
#include "tamarack/links.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace tamarack::gateway {

class seed_exchange {
public:
    // `listen` may be unset; then others learn nothing here.
    seed_exchange(boost::asio::io_context& context, fleet::fleet_source& source,
                  boost::asio::ip::tcp::endpoint listen, std::vector<boost::asio::ip::tcp::endpoint> seeds,
                  event_log& events);

    // Serves others, and asks the seeds in turn while `knows` says that this gateway knows no fleet.
    void start(std::function<bool()> knows);

private:
    void accept();
    void ask_next();
    void ask(const boost::asio::ip::tcp::endpoint& seed);

    boost::asio::io_context& context_;
    fleet::fleet_source& source_;
    boost::asio::ip::tcp::endpoint listen_;
    std::vector<boost::asio::ip::tcp::endpoint> seeds_;
    event_log& events_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    std::function<bool()> knows_;
    std::shared_ptr<links::link> asked_;
    std::size_t next_ = 0;
};

} // namespace tamarack::gateway
