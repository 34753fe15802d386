// TCP socket options and listening, shared by the programs.
#pragma once

#include "tamarack/kernel.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace tamarack::net {

// Enables keep-alive probes and a limit on the time that data stays unacknowledged, and disables Nagle's
// algorithm, so that a dead peer is detected. The connection fails after about `limit_ms` of silence.
void detect_dead_peer(boost::asio::ip::tcp::socket& socket, int limit_ms);

// Binds the acceptor and listens. Fails with `unavailable`. `clients` names the connecting processes in the
// error message.
result<done> listen_on(boost::asio::ip::tcp::acceptor& acceptor, const boost::asio::ip::tcp::endpoint& local,
                       std::string_view clients);

} // namespace tamarack::net
