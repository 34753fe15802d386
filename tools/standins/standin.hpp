// What all stand-ins share: flags, a JSON fault table that POST /faults merges into, and the server loop.
#pragma once

#include "tamarack/http.hpp"
#include "tamarack/observe.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>

DEFINE_int32(port, 0, "TCP port on the loopback address");

namespace tamarack::standin {

using boost::asio::awaitable;
using json = nlohmann::json;

// The faults in force, by name.
class fault_table {
public:
    std::int64_t number(const char* name) const {
        return faults_.contains(name) && faults_[name].is_number() ? faults_[name].get<std::int64_t>() : 0;
    }

    bool on(const char* name) const { return number(name) != 0; }

    // Uses up one of a counted fault; returns whether one was left.
    bool take(const char* name) {
        const std::int64_t left = number(name);
        if (left <= 0) {
            return false;
        }
        faults_[name] = left - 1;
        return true;
    }

    void merge(const json& changes) { faults_.merge_patch(changes); }

private:
    json faults_ = json::object();
};

inline std::int64_t wall_clock_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline time_ms steady_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline awaitable<void> wait_ms(std::int64_t duration_ms) {
    if (duration_ms <= 0) {
        co_return;
    }
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                    std::chrono::milliseconds(duration_ms));
    co_await timer.async_wait(boost::asio::use_awaitable);
}

inline http::response answer(int status, const json& body) {
    return http::json_response(status, body.dump(-1, ' ', false, json::error_handler_t::replace));
}

inline json body_of(const http::exchange& current) {
    const json parsed = json::parse(current.incoming().body_, nullptr, false);
    return parsed.is_object() ? parsed : json::object();
}

inline std::int64_t query_number(const http::request& incoming, std::string_view name,
                                 std::int64_t fallback) {
    const auto text = incoming.query(name);
    return text ? std::strtoll(std::string(*text).c_str(), nullptr, 10) : fallback;
}

// Serves until SIGTERM. `handle` gets every request but POST /faults and GET /healthz.
inline int serve(boost::asio::io_context& context, fault_table& faults, http::handler handle) {
    auto with_faults = [&faults, handle](http::exchange& current) -> awaitable<void> {
        if (current.incoming().path() == "/faults") {
            faults.merge(body_of(current));
            co_await current.reply(answer(200, json::object()));
            co_return;
        }
        if (current.incoming().path() == "/healthz") {
            co_await current.reply(answer(200, json::object()));
            co_return;
        }
        co_await handle(current);
    };
    http::server server(context, http::server_limits(), with_faults);
    const auto loopback = boost::asio::ip::make_address("127.0.0.1");
    const auto listening = server.listen({loopback, std::uint16_t(FLAGS_port)});
    if (!ok(listening)) {
        std::cerr << to_string(failure(listening)) << "\n";
        return 1;
    }
    std::cout << "listening " << server.port() << std::endl;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace tamarack::standin
