// A link to a stand-in, as a gateway has one to a seed, a peer or an agent.
#pragma once

#include "direct/platform_stand_ins.hpp"
#include "tamarack/links.hpp"

#include <boost/asio/write.hpp>

namespace tamarack::direct {

// Connects and has the stand-in reply. Counts what comes over the link until it closes.
struct watched_link {
    boost::asio::io_context context_;
    int frames_ = 0;
    bool closed_ = false;

    explicit watched_link(const fake_endpoint& server) {
        boost::asio::ip::tcp::socket socket(context_);
        socket.connect(server.address());
        boost::asio::write(socket, boost::asio::buffer(std::string_view("GET / HTTP/1.1\r\n\r\n")));
        links::link::events handlers;
        handlers.frame_ = [this](const links::frame&) { ++frames_; };
        handlers.closed_ = [this] { closed_ = true; };
        std::make_shared<links::link>(std::move(socket), std::move(handlers))->start();
    }

    void run() { context_.run_for(std::chrono::seconds(2)); }
};

} // namespace tamarack::direct
