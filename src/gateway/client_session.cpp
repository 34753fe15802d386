#include "gateway/client_session.hpp"

#include "net/socket_options.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>

namespace tamarack::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::size_t read_bytes = 8 * 1024;
constexpr std::size_t max_pipelined_bytes = 64 * 1024; // bytes read ahead while a request is in service
constexpr int silence_limit_ms = 8'000;     // time without acknowledgements before the connection is dropped
constexpr time_ms body_timeout_ms = 10'000; // time from the end of a header to the end of its body
constexpr time_ms linger_ms = 150;          // time for a client to read the last response before the close

constexpr int status_continue = 100;
constexpr int status_timeout = 408;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

} // namespace

client_session::client_session(asio::ip::tcp::socket socket, const session_callbacks& callbacks)
    : socket_(std::move(socket)), callbacks_(callbacks), timer_(socket_.get_executor()) {}

void client_session::start() {
    net::detect_dead_peer(socket_, silence_limit_ms);
    read_next_request();
}

void client_session::read_next_request() {
    const fleet::client_limits limits = callbacks_.limits_();
    parser_ = std::make_unique<http::request_parser>(limits.header_bytes_, limits.body_bytes_);
    request_began_at_ = 0;
    arm_timer(limits.idle_ms_);
    if (received_.size() > 0) {
        parse_received();
        return;
    }
    read();
}

void client_session::arm_timer(time_ms timeout_ms) {
    timer_.expires_after(std::chrono::milliseconds(timeout_ms));
    timer_.async_wait([self = shared_from_this()](boost::system::error_code cancelled) {
        if (!cancelled && !self->closed_) {
            self->on_timeout();
        }
    });
}

void client_session::on_timeout() {
    if (request_ != nullptr) {
        return;
    }
    if (discard_input_ || !parser_->begun()) {
        close();
        return;
    }
    reject_request(status_timeout);
}

void client_session::read() {
    if (reading_ || closed_) {
        return;
    }
    reading_ = true;
    socket_.async_read_some(received_.prepare(read_bytes),
                            [self = shared_from_this()](boost::system::error_code failed, std::size_t count) {
                                self->reading_ = false;
                                if (self->closed_) {
                                    return;
                                }
                                if (failed) {
                                    self->close();
                                    return;
                                }
                                self->received_.commit(count);
                                if (self->discard_input_) {
                                    self->received_.consume(self->received_.size());
                                    self->read();
                                } else if (self->request_ != nullptr) {
                                    // The next request waits; reading continues only to detect that the
                                    // client disconnects.
                                    if (self->received_.size() < max_pipelined_bytes) {
                                        self->read();
                                    }
                                } else {
                                    self->parse_received();
                                }
                            });
}

void client_session::parse_received() {
    const bool had_begun = parser_->begun();
    const bool had_full_header = parser_->is_header_done();
    if (parser_->take(received_)) {
        begin_request();
        return;
    }
    if (parser_->fault() != http::parse_fault::none) {
        reject_request(int(parser_->fault()));
        return;
    }
    if (!had_begun && parser_->begun()) {
        request_began_at_ = steady_now_ms();
        arm_timer(callbacks_.limits_().header_ms_);
    }
    if (!had_full_header && parser_->is_header_done()) {
        arm_timer(body_timeout_ms);
        if (parser_->expects_continue()) {
            queued_ += "HTTP/1.1 " + std::to_string(status_continue) + " Continue\r\n\r\n";
            write();
        }
    }
    read();
}

void client_session::begin_request() {
    timer_.cancel();
    keep_alive_ = parser_->keep_alive();
    chunked_ = parser_->is_http_1_1();
    keep_alive_ = keep_alive_ && chunked_;
    http::request incoming = std::move(parser_->request_);
    const auto self = shared_from_this();
    request_ = callbacks_.start_request_(self, std::move(incoming));
    if (closed_) {
        std::exchange(request_, nullptr)->on_client_disconnected();
        return;
    }
    read();
}

// Responds to a malformed, oversized or incomplete request and closes the connection, since the bytes that
// follow cannot be parsed reliably.
void client_session::reject_request(int status) {
    timer_.cancel();
    keep_alive_ = false;
    discard_input_ = true;
    send_response(status, {}, "");
    read();
}

void client_session::queue_head(int status, const std::vector<http::header>& headers,
                                std::string_view framing) {
    keep_alive_ = keep_alive_ && !callbacks_.is_shutting_down_();
    queued_ += "HTTP/1.1 " + std::to_string(status) + " ";
    queued_ += boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(unsigned(status)));
    queued_ += "\r\n";
    for (const http::header& header : headers) {
        queued_ += header.name_ + ": " + header.value_ + "\r\n";
    }
    if (!keep_alive_) {
        queued_ += "Connection: close\r\n";
    }
    queued_ += framing;
    queued_ += "\r\n";
}

void client_session::send_response(int status, const std::vector<http::header>& headers,
                                   std::string_view body) {
    if (closed_) {
        return;
    }
    const bool has_no_body = status == status_no_content || status == status_not_modified;
    queue_head(status, headers, has_no_body ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n");
    queued_ += body;
    finish_response();
}

void client_session::begin_stream(int status, const std::vector<http::header>& headers) {
    if (closed_) {
        return;
    }
    queue_head(status, headers, chunked_ ? "Transfer-Encoding: chunked\r\n" : "");
}

void client_session::send_data(std::string_view bytes) {
    if (closed_ || bytes.empty()) {
        return;
    }
    if (chunked_) {
        char length[24];
        std::snprintf(length, sizeof(length), "%zx\r\n", bytes.size());
        queued_ += length;
        queued_ += bytes;
        queued_ += "\r\n";
    } else {
        queued_ += bytes;
    }
    write();
}

void client_session::end_stream() {
    if (closed_) {
        return;
    }
    if (chunked_) {
        queued_ += "0\r\n\r\n";
    }
    finish_response();
}

void client_session::finish_response() {
    // Shutdown may have begun after the head of a long stream was sent.
    keep_alive_ = keep_alive_ && !callbacks_.is_shutting_down_();
    close_when_written_ = !keep_alive_;
    write();
    // Posted, since the request that calls this is still on the stack.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->request_ = nullptr;
        if (!self->closed_ && !self->close_when_written_) {
            self->read_next_request();
        }
    });
}

void client_session::abort() {
    close();
}

void client_session::write() {
    if (!writing_.empty() || queued_.empty() || closed_) {
        return;
    }
    std::swap(writing_, queued_);
    asio::async_write(socket_, asio::buffer(writing_),
                      [self = shared_from_this()](boost::system::error_code failed, std::size_t) {
                          self->writing_.clear();
                          if (failed) {
                              self->close();
                              return;
                          }
                          self->on_written();
                      });
}

void client_session::on_written() {
    if (closed_) {
        return;
    }
    if (!queued_.empty()) {
        write();
    } else if (close_when_written_) {
        // Lets the client close first: closing with unread bytes would reset the connection, and the client
        // could lose the response.
        boost::system::error_code ignored;
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        discard_input_ = true;
        arm_timer(linger_ms);
        read();
    }
    if (request_ != nullptr) {
        request_->on_write_completed();
    }
}

void client_session::close_if_idle() {
    if (request_ == nullptr && !parser_->begun() && received_.size() == 0 && unsent_bytes() == 0) {
        close();
    }
}

void client_session::refuse_if_unsent() {
    if (const auto request = request_) {
        request->refuse_if_unsent();
    }
}

void client_session::end_if_quarantined() {
    if (const auto request = request_) {
        request->end_if_quarantined();
    }
}

void client_session::close() {
    if (closed_) {
        return;
    }
    closed_ = true;
    timer_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
    if (const auto request = std::exchange(request_, nullptr)) {
        request->on_client_disconnected();
    }
    callbacks_.on_closed_(shared_from_this());
}

} // namespace tamarack::gateway
