// Stands in for an engine agent that relays between gateways, so that a test decides what one gateway hears
// of the others.
#pragma once

#include "tamarack/links.hpp"

#include <boost/asio/io_context.hpp>

#include <thread>

namespace tamarack::direct {

class agent_stand_in {
public:
    agent_stand_in();
    ~agent_stand_in();

    std::uint16_t port() const { return port_; }

    // Sends a frame on each open link, with an echo of the gateway's newest stamp before it.
    void send(links::frame message);

private:
    void accept();

    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_;
    struct gateway {
        std::shared_ptr<links::link> link_;
        links::stamp_keeper stamps_;
    };

    std::vector<std::shared_ptr<gateway>> gateways_;
    std::thread thread_;
};

} // namespace tamarack::direct
