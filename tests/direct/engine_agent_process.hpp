// Runs the agent of an engine as a process.
#pragma once

#include "direct/gateway_process.hpp"
#include "tamarack/links.hpp"

#include <boost/asio/write.hpp>

namespace tamarack::direct {

struct engine_agent_process {
    std::string folder_ =
        (std::filesystem::temp_directory_path() / ("tamarack-agent-" + std::to_string(::getpid()))).string();
    std::uint16_t port_ = free_port();
    harness::process agent_;
    boost::asio::io_context context_;

    engine_agent_process() : engine_agent_process(nlohmann::json::object()) {}

    explicit engine_agent_process(const nlohmann::json& further_settings) {
        std::filesystem::create_directories(folder_);
        const std::string local = "127.0.0.1:";
        nlohmann::json settings = {{"id", "agent-1"},
                                   {"listen", local + std::to_string(port_)},
                                   {"metrics", local + std::to_string(free_port())},
                                   {"engine", local + std::to_string(free_port())}};
        settings.update(further_settings);
        const std::string path = folder_ + "/settings.json";
        std::ofstream(path) << settings.dump();
        agent_ =
            harness::process("build/release/tamarack-engine-agent", {"--settings=" + path}, folder_ + "/log");
        REQUIRE(agent_.read_line().find("started") != std::string::npos);
    }

    ~engine_agent_process() { std::filesystem::remove_all(folder_); }

    // Connects and says hello as a gateway.
    boost::asio::ip::tcp::socket connect(const std::string& id) {
        boost::asio::ip::tcp::socket socket(context_);
        socket.connect({boost::asio::ip::address_v4::loopback(), port_});
        links::hello greeting;
        greeting.protocol = links::protocol_version;
        greeting.id = id;
        boost::asio::write(socket, boost::asio::buffer(links::encode(links::make_frame(greeting))));
        return socket;
    }
};

} // namespace tamarack::direct
