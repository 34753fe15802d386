// Options of TCP sockets that the programs share.
#pragma once

#include "tamarack/kernel.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace tamarack::net {

// Probes that find a dead peer, a bound on unacknowledged data, and no delay for small writes, so that a
// silent path is noticed. `limit_ms` is the time after which the connection is given up.
void detect_dead_peer(boost::asio::ip::tcp::socket& socket, int limit_ms);

// Binds the acceptor and listens. Fails with `unavailable`; `whom` names who connects there, for the message.
result<done> listen_on(boost::asio::ip::tcp::acceptor& acceptor, const boost::asio::ip::tcp::endpoint& local,
                       std::string_view whom);

} // namespace tamarack::net
