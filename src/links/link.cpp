#include "tamarack/links.hpp"

#include "net/socket_options.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace tamarack::links {

namespace asio = boost::asio;

namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t read_bytes = 16 * 1024;

std::size_t read_length(std::string_view bytes) {
    std::size_t length = 0;
    for (std::size_t index = 0; index < length_bytes; ++index) {
        length |= std::size_t(std::uint8_t(bytes[index])) << (8 * index);
    }
    return length;
}

} // namespace

std::string encode(const frame& message) {
    flatbuffers::FlatBufferBuilder builder(512);
    builder.Finish(fbs::Frame::Pack(builder, &message));
    const std::size_t length = builder.GetSize();
    std::string bytes;
    bytes.reserve(length_bytes + length);
    for (std::size_t index = 0; index < length_bytes; ++index) {
        bytes.push_back(char(length >> (8 * index)));
    }
    bytes.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), length);
    return bytes;
}

result<frame> decode(std::span<const std::uint8_t> bytes) {
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!verifier.VerifyBuffer<fbs::Frame>(nullptr)) {
        return error{error_kind::invalid, "the bytes are not a valid frame",
                     "run the same version everywhere"};
    }
    frame decoded;
    flatbuffers::GetRoot<fbs::Frame>(bytes.data())->UnPackTo(&decoded);
    return decoded;
}

link::link(asio::ip::tcp::socket socket, events handlers, std::size_t max_received_bytes)
    : socket_(std::move(socket)), handlers_(std::move(handlers)), max_received_bytes_(max_received_bytes) {}

void link::start() {
    constexpr int silence_limit_ms = 2'000;
    net::detect_dead_peer(socket_, silence_limit_ms);
    read();
}

void link::read() {
    const std::size_t old_size = received_.size();
    received_.resize(old_size + read_bytes);
    socket_.async_read_some(
        asio::buffer(received_.data() + old_size, read_bytes),
        [self = shared_from_this(), old_size](boost::system::error_code failed, std::size_t count) {
            if (failed || self->closed_) {
                self->close();
                return;
            }
            self->received_.resize(old_size + count);
            self->process_received();
            if (!self->closed_) {
                self->read();
            }
        });
}

void link::process_received() {
    std::size_t consumed = 0;
    while (received_.size() - consumed >= length_bytes) {
        const std::string_view rest = std::string_view(received_).substr(consumed);
        const std::size_t length = read_length(rest);
        if (length > max_received_bytes_) {
            close();
            return;
        }
        if (rest.size() < length_bytes + length) {
            break;
        }
        // FlatBuffers reads tables in place, so the bytes are copied to aligned memory first.
        const std::vector<std::uint8_t> aligned(rest.begin() + length_bytes,
                                                rest.begin() + length_bytes + std::ptrdiff_t(length));
        const result<frame> decoded = decode(aligned);
        if (!ok(decoded)) {
            close();
            return;
        }
        consumed += length_bytes + length;
        const auto handle = handlers_.frame_;
        handle(value(decoded));
        if (closed_) {
            return;
        }
    }
    received_.erase(0, consumed);
}

void link::send(const frame& message) {
    send_encoded(share(encode(message)));
}

void link::send_encoded(shared_bytes bytes) {
    if (closed_) {
        return;
    }
    if (queued_bytes_ + bytes->size() > max_queued_bytes) {
        close();
        return;
    }
    queued_bytes_ += bytes->size();
    queued_.push_back(std::move(bytes));
    if (writing_.empty()) {
        write();
    }
}

void link::write() {
    std::swap(writing_, queued_);
    queued_bytes_ = 0;
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(writing_.size());
    for (const shared_bytes& bytes : writing_) {
        buffers.emplace_back(asio::buffer(*bytes));
    }
    asio::async_write(socket_, buffers,
                      [self = shared_from_this()](boost::system::error_code failed, std::size_t) {
                          self->writing_.clear();
                          if (failed || self->closed_) {
                              self->close();
                              return;
                          }
                          if (!self->queued_.empty()) {
                              self->write();
                          }
                      });
}

void link::close() {
    if (closed_) {
        return;
    }
    closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    // The handlers may own this link and may be running now, so they are destroyed in a later task.
    const auto handlers = std::make_shared<events>(std::move(handlers_));
    asio::post(socket_.get_executor(), [handlers, self = shared_from_this()] { handlers->closed_(); });
}

} // namespace tamarack::links
