#include "harness/port_pool.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <filesystem>
#include <stdexcept>

namespace tamarack::harness {

namespace {

// Below the range from which outgoing connections take their ports: a port there could be taken while the
// process that listens on it is being replaced.
constexpr int first_port = 10'000;
constexpr int block_ports = 200;
constexpr int block_count = 110;

bool is_free(std::uint16_t port) {
    boost::asio::io_context context;
    boost::system::error_code taken;
    boost::asio::ip::tcp::acceptor acceptor(context);
    acceptor.open(boost::asio::ip::tcp::v4());
    acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), port}, taken);
    return !taken;
}

} // namespace

port_pool::port_pool(std::string folder)
    : folder_(std::move(folder)), block_(int(::getpid() % block_count)), used_in_block_(block_ports) {
    std::filesystem::create_directories(folder_);
}

port_pool::~port_pool() {
    for (const int lock : locks_) {
        ::close(lock);
    }
}

std::uint16_t port_pool::take() {
    while (true) {
        if (used_in_block_ == block_ports) {
            lock_next_block();
        }
        const auto port = std::uint16_t(first_port + block_ * block_ports + used_in_block_++);
        if (is_free(port)) {
            return port;
        }
    }
}

// A lock is released by the kernel when its process ends, however it ends. A process started by this one does
// not inherit it.
void port_pool::lock_next_block() {
    for (int tried = 0; tried < block_count; ++tried) {
        block_ = (block_ + 1) % block_count;
        const std::string path = folder_ + "/" + std::to_string(block_);
        const int lock = ::open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0666);
        if (lock >= 0 && ::flock(lock, LOCK_EX | LOCK_NB) == 0) {
            locks_.push_back(lock);
            used_in_block_ = 0;
            return;
        }
        if (lock >= 0) {
            ::close(lock);
        }
    }
    throw std::runtime_error("all blocks of ports are held by other runs");
}

} // namespace tamarack::harness
