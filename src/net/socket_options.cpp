#include "net/socket_options.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace tamarack::net {

void detect_dead_peer(boost::asio::ip::tcp::socket& socket, int limit_ms) {
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    const int handle = socket.native_handle();
    const int on = 1;
    const int probe_s = 1;
    const int probes = std::max(1, limit_ms / 1'000 - 1);
    ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &probe_s, sizeof(probe_s));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &probe_s, sizeof(probe_s));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, sizeof(limit_ms));
}

result<done> listen_on(boost::asio::ip::tcp::acceptor& acceptor, const boost::asio::ip::tcp::endpoint& local,
                       std::string_view clients, int receive_buffer_bytes) {
    constexpr int backlog = 1'024;
    boost::system::error_code failed;
    acceptor.open(local.protocol(), failed);
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), failed);
    if (receive_buffer_bytes > 0) {
        // Set before listening, since the window that connections offer is scaled by it.
        acceptor.set_option(boost::asio::socket_base::receive_buffer_size(receive_buffer_bytes), failed);
    }
    acceptor.bind(local, failed);
    if (!failed) {
        acceptor.listen(backlog, failed);
    }
    if (failed) {
        return error{error_kind::unavailable,
                     "cannot listen for connections from " + std::string(clients) + ": " + failed.message(),
                     "check the address \"listen\" in the settings"};
    }
    return done{};
}

} // namespace tamarack::net
