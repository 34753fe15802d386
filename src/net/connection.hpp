// An outgoing TCP connection that outlives the operations on it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tamarack::net {

using shared_bytes = std::shared_ptr<const std::string>;

// Every operation keeps the connection, and a write also its bytes, until its handler has run. The owner may
// therefore close and release a connection at any time, also between two parts of a long write. Operations
// that have not ended then fail; their handlers run in a later task.
//
// A closed connection is never opened again. A new one is another object, so that no operation can continue
// on a connection other than its own.
//
// Owned by a `shared_ptr`; not thread-safe.
class connection : public std::enable_shared_from_this<connection> {
public:
    using handler = std::function<void(boost::system::error_code)>;

    explicit connection(const boost::asio::any_io_executor& executor) : socket_(executor) {}

    // To be called once, before any other operation.
    void connect(const boost::asio::ip::tcp::endpoint& remote, handler done);

    // Makes the connection fail after a dead peer has been silent for about `limit_ms`.
    void detect_dead_peer(int limit_ms);

    // Writes all parts, in order. Only one write may be under way.
    void write(std::vector<shared_bytes> parts, handler done);

    // Reads up to `max_bytes` and appends them to `received()`. Only one read may be under way.
    void read(std::size_t max_bytes, handler done);

    // Waits until bytes have arrived or the connection has ended or failed.
    void wait_readable(handler done);

    // Bytes that have been read and not consumed.
    boost::beast::flat_buffer& received() { return received_; }

    // Whether bytes have arrived that were not read, or the connection has failed.
    bool has_unread_bytes() const;

    void close();

    // Closes the connection and discards what the peer has not received yet.
    void reset();

private:
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer received_;
};

} // namespace tamarack::net
