// A proxy on loopback that passes bytes on, and harms connections on request.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <set>

namespace tamarack::soak {

enum class harm {
    none,
    delay,       // each part is passed on late
    silence,     // nothing is passed on either way, and nothing closes
    silent_back, // what the server sends is not passed on
    refuse,      // new connections are reset
};

class faulty_proxy {
public:
    // Listens at `local` and connects to `remote` for each connection. All on the context's thread.
    faulty_proxy(boost::asio::io_context& context, const boost::asio::ip::tcp::endpoint& local,
                 const boost::asio::ip::tcp::endpoint& remote);

    void set(harm kind, std::chrono::milliseconds delay = {}) {
        harm_ = kind;
        delay_ = delay;
    }

    // Resets all open connections.
    void reset_all();

    boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

private:
    struct connection;

    void accept();
    void pump(const std::shared_ptr<connection>& one, bool forward);
    void end_direction(const std::shared_ptr<connection>& one, bool forward);
    void pass_on(const std::shared_ptr<connection>& one, bool forward, std::size_t count);
    void write(const std::shared_ptr<connection>& one, bool forward, std::size_t count);
    void drop(const std::shared_ptr<connection>& one);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint remote_;
    std::set<std::shared_ptr<connection>> open_;
    harm harm_ = harm::none;
    std::chrono::milliseconds delay_{};
};

} // namespace tamarack::soak
