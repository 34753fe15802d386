#include "net/connection.hpp"

#include "net/socket_options.hpp"

#include <boost/asio/write.hpp>

namespace tamarack::net {

namespace asio = boost::asio;

void connection::connect(const asio::ip::tcp::endpoint& remote, handler done) {
    socket_.async_connect(remote, [self = shared_from_this(), done = std::move(done)](
                                      boost::system::error_code failed) { done(failed); });
}

void connection::detect_dead_peer(int limit_ms) {
    net::detect_dead_peer(socket_, limit_ms);
}

void connection::write(std::vector<shared_bytes> parts, handler done) {
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(parts.size());
    for (const shared_bytes& part : parts) {
        buffers.emplace_back(asio::buffer(*part));
    }
    asio::async_write(socket_, buffers,
                      [self = shared_from_this(), parts = std::move(parts), done = std::move(done)](
                          boost::system::error_code failed, std::size_t) { done(failed); });
}

void connection::read(std::size_t max_bytes, handler done) {
    socket_.async_read_some(received_.prepare(max_bytes),
                            [self = shared_from_this(),
                             done = std::move(done)](boost::system::error_code failed, std::size_t count) {
                                self->received_.commit(count);
                                done(failed);
                            });
}

void connection::wait_readable(handler done) {
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this(), done = std::move(done)](boost::system::error_code failed) {
                           done(failed);
                       });
}

bool connection::has_unread_bytes() const {
    boost::system::error_code failed;
    return socket_.available(failed) > 0 || failed;
}

void connection::close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void connection::reset() {
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

} // namespace tamarack::net
