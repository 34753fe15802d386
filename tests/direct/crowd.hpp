// Connections of clients that misbehave: they send what they are told, read little or nothing, and stay open.
#pragma once

#include "harness/process.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

namespace tamarack::direct {

using shared_text = std::shared_ptr<const std::string>;

inline shared_text share(std::string text) {
    return std::make_shared<const std::string>(std::move(text));
}

// All but the last byte of the largest frame between processes.
inline std::string unfinished_frame() {
    constexpr std::size_t frame_bytes = 2 * 1024 * 1024;
    return std::string("\x00\x00\x20\x00", 4) + std::string(frame_bytes - 1, 'x');
}

// One client: what it sends, in what pieces, and whether it reads.
struct client_plan {
    std::uint16_t port_ = 0;
    shared_text bytes_;
    std::size_t piece_ = 256 * 1024; // bytes of one write
    std::size_t read_per_round_ = 0; // bytes read after each write; 0 for a client that does not read
};

// Connections that stay open until the object is destroyed.
class crowd {
public:
    // Opens the connections and sends their bytes in turns, until all is sent, the gateway has closed the
    // connection, or it takes nothing more. `each_round_` is called after each turn.
    void play(const std::vector<client_plan>& plans, const std::function<void()>& each_round) {
        std::vector<member> joined;
        for (const client_plan& plan : plans) {
            joined.push_back({plan, open(plan.port_), 0, false});
        }
        constexpr int max_idle_rounds = 60;
        constexpr unsigned idle_us = 5'000;
        for (int idle_rounds = 0; idle_rounds < max_idle_rounds;) {
            bool progress = false;
            bool pending = false;
            for (member& one : joined) {
                progress = send_piece(one) || progress;
                pending = pending || !one.done_;
            }
            each_round();
            if (!pending) {
                break;
            }
            idle_rounds = progress ? 0 : idle_rounds + 1;
            if (!progress) {
                ::usleep(idle_us);
            }
        }
        for (member& one : joined) {
            members_.push_back(std::move(one));
        }
    }

private:
    struct member {
        client_plan plan_;
        boost::asio::ip::tcp::socket socket_;
        std::size_t sent_ = 0;
        bool done_ = false;
    };

    boost::asio::ip::tcp::socket open(std::uint16_t port) {
        boost::asio::ip::tcp::socket socket(context_);
        boost::system::error_code failed;
        socket.open(boost::asio::ip::tcp::v4(), failed);
        // A small window, so that what a client does not read stays at the gateway.
        socket.set_option(boost::asio::socket_base::receive_buffer_size(4 * 1024), failed);
        socket.connect({boost::asio::ip::address_v4::loopback(), port}, failed);
        socket.non_blocking(true, failed);
        return socket;
    }

    // Returns whether bytes were taken or the connection has ended.
    static bool send_piece(member& one) {
        if (one.done_) {
            return false;
        }
        boost::system::error_code failed;
        if (one.plan_.read_per_round_ > 0) {
            std::string ignored(one.plan_.read_per_round_, '\0');
            one.socket_.read_some(boost::asio::buffer(ignored), failed);
        }
        const std::string_view rest = std::string_view(*one.plan_.bytes_).substr(one.sent_);
        const std::size_t count =
            one.socket_.write_some(boost::asio::buffer(rest.substr(0, one.plan_.piece_)), failed);
        one.sent_ += count;
        one.done_ =
            one.sent_ == one.plan_.bytes_->size() || (failed && failed != boost::asio::error::would_block);
        return count > 0 || one.done_;
    }

    boost::asio::io_context context_;
    std::vector<member> members_;
};

// Waits until a process uses no more processor time than for its periodic work, for at most 10 s, so that it
// has read all that it will read. `each_poll` is called now and then.
inline void wait_until_idle(pid_t pid, const std::function<void()>& each_poll) {
    constexpr std::size_t max_polls = 200;
    constexpr std::size_t idle_polls = 4;
    constexpr std::int64_t idle_cpu_ms = 20; // processor time of periodic work during these polls
    constexpr unsigned poll_us = 50'000;
    std::vector<std::int64_t> used = {harness::cpu_ms(pid)};
    while (used.size() < max_polls &&
           (used.size() <= idle_polls || used.back() - used[used.size() - 1 - idle_polls] > idle_cpu_ms)) {
        ::usleep(poll_us);
        each_poll();
        used.push_back(harness::cpu_ms(pid));
    }
}

} // namespace tamarack::direct
