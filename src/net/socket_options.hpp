// TCP socket options and listening, shared by the programs.
#pragma once

#include "tamarack/kernel.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace tamarack::net {

// Enables keep-alive probes and limits the time that data stays unacknowledged, so that the connection fails
// after a dead peer has been silent for about `limit_ms`. Also disables Nagle's algorithm.
void detect_dead_peer(boost::asio::ip::tcp::socket& socket, int limit_ms);

// Binds the acceptor and listens. Fails with `unavailable`. `clients` names the connecting processes in the
// error message. `receive_buffer_bytes` limits the kernel's buffer of each accepted connection; 0 leaves it
// to the system.
result<done> listen_on(boost::asio::ip::tcp::acceptor& acceptor, const boost::asio::ip::tcp::endpoint& local,
                       std::string_view clients, int receive_buffer_bytes = 0);

} // namespace tamarack::net
