// Stands in for an engine agent that relays between gateways, so that a test decides what one gateway hears
// of the others.
#pragma once

#include "tamarack/links.hpp"

#include <boost/asio/io_context.hpp>

#include <mutex>
#include <thread>

namespace tamarack::direct {

class agent_stand_in {
public:
    agent_stand_in();
    ~agent_stand_in();

    std::uint16_t port() const { return port_; }

    // Sends a frame on each open link.
    void send(links::frame message);

    // Returns the frames of this type that gateways sent.
    std::vector<links::frame> received(links::fbs::Body type) const;

private:
    void accept();

    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_;
    std::vector<std::shared_ptr<links::link>> links_;
    mutable std::mutex mutex_;
    std::vector<std::string> received_; // encoded, without their length
    std::thread thread_;
};

} // namespace tamarack::direct
