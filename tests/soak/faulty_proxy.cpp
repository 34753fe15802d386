#include "soak/faulty_proxy.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace tamarack::soak {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t part_bytes = 16 * 1'024;
constexpr std::chrono::milliseconds silence_look{50}; // between looks whether a silence has ended

void reset(tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

struct faulty_proxy::connection {
    explicit connection(asio::io_context& context, tcp::socket accepted)
        : sides_{std::move(accepted), tcp::socket(context)} {}

    std::array<tcp::socket, 2> sides_; // the client's and the server's
    std::array<std::array<char, part_bytes>, 2> parts_{};
    int ended_ = 0; // directions
};

faulty_proxy::faulty_proxy(asio::io_context& context, const tcp::endpoint& local, const tcp::endpoint& remote)
    : context_(context), acceptor_(context, local), remote_(remote) {
    accept();
}

void faulty_proxy::accept() {
    acceptor_.async_accept([this](boost::system::error_code failed, tcp::socket socket) {
        if (failed == asio::error::operation_aborted) {
            return;
        }
        if (!failed && harm_ == harm::refuse) {
            reset(socket);
        } else if (!failed) {
            const auto one = std::make_shared<connection>(context_, std::move(socket));
            open_.insert(one);
            one->sides_[1].async_connect(remote_, [this, one](boost::system::error_code refused) {
                if (refused) {
                    drop(one);
                    return;
                }
                boost::system::error_code ignored;
                one->sides_[0].set_option(tcp::no_delay(true), ignored);
                one->sides_[1].set_option(tcp::no_delay(true), ignored);
                pump(one, true);
                pump(one, false);
            });
        }
        accept();
    });
}

void faulty_proxy::pump(const std::shared_ptr<connection>& one, bool forward) {
    tcp::socket& from = one->sides_[forward ? 0 : 1];
    from.async_read_some(asio::buffer(one->parts_[forward ? 0 : 1]),
                         [this, one, forward](boost::system::error_code failed, std::size_t count) {
                             if (failed == asio::error::eof) {
                                 end_direction(one, forward);
                             } else if (failed) {
                                 drop(one);
                             } else {
                                 pass_on(one, forward, count);
                             }
                         });
}

// The other direction may still carry an answer.
void faulty_proxy::end_direction(const std::shared_ptr<connection>& one, bool forward) {
    boost::system::error_code ignored;
    one->sides_[forward ? 1 : 0].shutdown(tcp::socket::shutdown_send, ignored);
    if (++one->ended_ == int(one->sides_.size())) {
        open_.erase(one);
    }
}

void faulty_proxy::pass_on(const std::shared_ptr<connection>& one, bool forward, std::size_t count) {
    const bool held = harm_ == harm::silence || (harm_ == harm::silent_back && !forward);
    if (!held && harm_ != harm::delay) {
        write(one, forward, count);
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(context_, held ? silence_look : delay_);
    timer->async_wait([this, one, forward, count, held, timer](boost::system::error_code) {
        if (!one->sides_[0].is_open()) {
            return;
        }
        held ? pass_on(one, forward, count) : write(one, forward, count);
    });
}

void faulty_proxy::write(const std::shared_ptr<connection>& one, bool forward, std::size_t count) {
    asio::async_write(one->sides_[forward ? 1 : 0], asio::buffer(one->parts_[forward ? 0 : 1].data(), count),
                      [this, one, forward](boost::system::error_code failed, std::size_t) {
                          failed ? drop(one) : pump(one, forward);
                      });
}

void faulty_proxy::drop(const std::shared_ptr<connection>& one) {
    reset(one->sides_[0]);
    reset(one->sides_[1]);
    open_.erase(one);
}

void faulty_proxy::reset_all() {
    const auto open = open_;
    for (const auto& one : open) {
        drop(one);
    }
}

} // namespace tamarack::soak
