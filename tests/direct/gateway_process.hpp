// Runs the gateway as a process with a fake store and two fake endpoints, for tests of the direct path.
#pragma once

#include "direct/platform_stand_ins.hpp"
#include "harness/cluster.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace tamarack::direct {

using behaviour = fake_endpoint::behaviour;
using harness::free_port;

inline std::string configuration_text(int version, std::size_t max_header_bytes = 4'096,
                                      std::size_t max_body_bytes = 1'000) {
    nlohmann::json routes = nlohmann::json::array();
    const auto add = [&](const char* name, const char* kind, int attempts, bool resume) {
        routes.push_back({{"name", name},
                          {"host", "shop.example"},
                          {"path_prefix", std::string("/") + name + "/"},
                          {"kind", kind},
                          {"timeout_ms", 1'500},
                          {"target_latency_ms", 100},
                          {"priority", 1},
                          {"service", "svc"},
                          {"max_attempts", attempts},
                          {"can_resume", resume},
                          {"unknown_field", 1}});
    };
    add("lookup", "safe", 2, false);
    add("booking", "unsafe", 2, false);
    add("chat", "stream", 2, true);
    add("quote", "stream", 2, false);
    const nlohmann::json body = {
        {"version", version},
        {"routes", routes},
        {"services", {{{"name", "svc"}, {"health_path", "/h"}, {"max_connections", 100}}}},
        {"limits", {{"max_header_bytes", max_header_bytes}, {"max_body_bytes", max_body_bytes}}}};
    return body.dump();
}

inline std::string endpoint_text(const fake_endpoint& endpoint, const char* state = "ready", int slots = 4) {
    const nlohmann::json body = {
        {"service", "svc"}, {"address", "127.0.0.1:" + std::to_string(endpoint.address().port())},
        {"zone", "z1"},     {"slots", slots},
        {"state", state},   {"born", 10},
        {"sequence", 1}};
    return body.dump();
}

// A gateway process with its fake store and two fake endpoints.
struct gateway_process {
    fake_store store_;
    fake_endpoint first_{"i-1"};
    fake_endpoint second_{"i-2"};
    std::uint16_t port_ = free_port();
    std::uint16_t admin_port_ = free_port();
    std::uint16_t metrics_port_ = free_port();
    std::uint16_t agent_port_ = 1;
    nlohmann::json further_settings_ = nlohmann::json::object(); // added to those of `start`
    std::string folder_;
    harness::process process_;

    gateway_process() {
        folder_ = (std::filesystem::temp_directory_path() / ("tamarack-direct-" + std::to_string(::getpid())))
                      .string();
        std::filesystem::create_directories(folder_);
        store_.put("keyed.op", "config", configuration_text(3));
        store_.put("keyed.servers", "bytes", "\xff\xfe no json");
        store_.put("keyed.servers", "fields", R"({"service": "svc", "address": 5})");
        store_.put("keyed.servers", "state",
                   R"({"service":"svc","address":"127.0.0.1:1","slots":1,"state":"odd"})");
        store_.put("keyed.servers", "i-1", endpoint_text(first_));
        store_.put("keyed.servers", "i-2", endpoint_text(second_));
    }

    ~gateway_process() {
        process_.kill();
        std::filesystem::remove_all(folder_);
    }

    void start() {
        const std::string local = "127.0.0.1:";
        nlohmann::json settings = {{"id", "gateway-1"},
                                   {"data_centre", "z1"},
                                   {"listen", local + std::to_string(port_)},
                                   {"admin", local + std::to_string(admin_port_)},
                                   {"metrics", local + std::to_string(metrics_port_)},
                                   {"store", local + std::to_string(store_.address().port())},
                                   {"agent_port", agent_port_}};
        settings.update(further_settings_);
        const std::string path = folder_ + "/settings.json";
        std::ofstream(path) << settings.dump();
        process_ = harness::process("build/release/tamarack-gateway", {"--settings=" + path},
                                    folder_ + "/log", true);
    }

    // Sends one request and waits for its response, with a time limit.
    static result<http::response> call(std::uint16_t port, http::request request) {
        boost::asio::io_context context;
        result<http::response> outcome = error{error_kind::timeout, "not called", ""};
        boost::asio::co_spawn(
            context,
            [&]() -> boost::asio::awaitable<void> {
                outcome = co_await http::fetch(
                    {boost::asio::ip::address_v4::loopback(), port}, request,
                    {std::chrono::milliseconds(2'000), std::chrono::milliseconds(8'000)});
            },
            boost::asio::detached);
        context.run();
        return outcome;
    }

    bool ready() const {
        const auto response = call(admin_port_, {"GET", "/readyz", {{"Host", "a"}}, ""});
        return ok(response) && value(response).status_ == 200;
    }

    // Polls the condition until it holds. Returns false if it does not hold after 400 polls, about 10 s.
    template <typename Condition>
    static bool eventually(Condition condition) {
        constexpr int max_polls = 400;
        for (int poll = 0; poll < max_polls; ++poll) {
            if (condition()) {
                return true;
            }
            ::usleep(25'000);
        }
        return false;
    }

    void start_ready() {
        start();
        REQUIRE(eventually([&] { return ready(); }));
        REQUIRE(eventually([&] { return status(request("lookup", "warm-up")) == 200; }));
        first_.set_behaviours({behaviour::complete});
        second_.set_behaviours({behaviour::complete});
    }

    static http::request request(const std::string& route, const std::string& id) {
        return {
            route == "lookup" ? "GET" : "POST",
            "/" + route + "/x",
            {{"Host", "shop.example"}, {"Tamarackbeam-Request-Id", id}, {"Tamarackbeam-Deadline-Ms", "1200"}},
            route == "lookup" ? "" : "body"};
    }

    int status(const http::request& outgoing) const {
        const auto response = call(port_, outgoing);
        return ok(response) ? value(response).status_ : 0;
    }

    // Number of requests that reached an endpoint since its behaviours were set.
    std::size_t received_count() const {
        return first_.received_requests().size() + second_.received_requests().size();
    }

    // Sets the same behaviours at both endpoints, since the gateway may choose either first.
    void set_behaviours_of_both(std::vector<behaviour> behaviours) {
        first_.set_behaviours(behaviours);
        second_.set_behaviours(std::move(behaviours));
    }
};

} // namespace tamarack::direct
