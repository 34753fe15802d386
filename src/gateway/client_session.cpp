#include "gateway/client_session.hpp"

#include "net/socket_options.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>

namespace tamarack::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::size_t max_pipelined_bytes = 16 * 1024; // bytes read ahead while a request is in service
constexpr std::size_t joined_bytes = 16 * 1024; // pieces up to this size are joined before they are written
constexpr int silence_limit_ms = 8'000;     // time without acknowledgements before the connection is dropped
constexpr time_ms body_timeout_ms = 10'000; // time from the end of a header to the end of its body
constexpr time_ms linger_ms = 150;          // time for a client to read the last response before the close

constexpr int status_continue = 100;
constexpr int status_timeout = 408;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
constexpr int status_unavailable = 503;

// Time in which other requests that are being received end, in seconds.
constexpr const char* memory_retry_after_s = "1";

// Time in which a client connects to another process, in seconds.
constexpr const char* shutdown_retry_after_s = "0.3";

} // namespace

client_session::client_session(asio::ip::tcp::socket socket, const session_context& context)
    : socket_(std::move(socket)), context_(context), timer_(socket_.get_executor()),
      receiving_charge_(context.memory_, memory::pool::receiving),
      service_charge_(context.memory_, memory::pool::in_service),
      response_charge_(context.memory_, memory::pool::responses) {}

void client_session::start() {
    net::detect_dead_peer(socket_, silence_limit_ms);
    boost::system::error_code failed;
    socket_.non_blocking(true, failed);
    read_next_request();
}

void client_session::read_next_request() {
    const fleet::client_limits limits = context_.limits_();
    phase_ = phase::receiving;
    parser_ = std::make_unique<http::request_parser>(limits.header_bytes_, limits.body_bytes_);
    waiting_since_ = steady_now_ms();
    arm_timer(limits.idle_ms_);
    if (received_.size() > 0) {
        parse_received();
        return;
    }
    wait_for_bytes();
}

void client_session::arm_timer(time_ms timeout_ms) {
    cancel_timer();
    timer_.expires_after(std::chrono::milliseconds(timeout_ms));
    timer_.async_wait(
        [self = shared_from_this(), number = timer_number_](boost::system::error_code cancelled) {
            if (!cancelled && number == self->timer_number_ && self->phase_ != phase::closed) {
                self->on_timeout();
            }
        });
}

// Also reaches a handler that is about to run, since the time has passed.
void client_session::cancel_timer() {
    timer_.cancel();
    ++timer_number_;
}

void client_session::on_timeout() {
    if (phase_ == phase::responding) {
        return;
    }
    if (phase_ == phase::closing || !parser_->begun()) {
        close();
        return;
    }
    reject_request(status_timeout);
}

// While a request is served, reading continues to detect that the client disconnects.
bool client_session::may_read() const {
    return phase_ != phase::closed && (phase_ != phase::responding || received_.size() < max_pipelined_bytes);
}

void client_session::wait_for_bytes() {
    if (waiting_for_bytes_ || !may_read()) {
        return;
    }
    waiting_for_bytes_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](boost::system::error_code failed) {
                           self->waiting_for_bytes_ = false;
                           if (self->phase_ == phase::closed) {
                               return;
                           }
                           if (failed) {
                               self->close();
                               return;
                           }
                           self->on_readable();
                       });
}

void client_session::on_readable() {
    if (!may_read()) {
        return;
    }
    boost::system::error_code failed;
    const std::size_t count =
        socket_.read_some(asio::buffer(context_.read_buffer_.data(), context_.read_buffer_.size()), failed);
    if (failed == asio::error::would_block || failed == asio::error::try_again) {
        wait_for_bytes();
        return;
    }
    if (failed) {
        close();
        return;
    }
    if (phase_ != phase::closing) {
        received_.commit(
            asio::buffer_copy(received_.prepare(count), asio::buffer(context_.read_buffer_.data(), count)));
    }
    if (phase_ == phase::receiving) {
        parse_received();
        return;
    }
    update_charge();
    wait_for_bytes();
}

void client_session::parse_received() {
    const bool had_begun = parser_->begun();
    const bool had_full_header = parser_->is_header_done();
    const bool complete = parser_->take(received_);
    if (received_.size() == 0) {
        received_.shrink_to_fit();
    }
    if (!had_begun && parser_->begun()) {
        waiting_since_ = steady_now_ms();
    }
    if (complete) {
        begin_request();
        return;
    }
    if (parser_->fault() != http::parse_fault::none) {
        reject_request(int(parser_->fault()));
        return;
    }
    if (!had_begun && parser_->begun()) {
        arm_timer(context_.limits_().header_ms_);
    }
    if (!had_full_header && parser_->is_header_done()) {
        arm_timer(body_timeout_ms);
        if (parser_->expects_continue()) {
            queue("HTTP/1.1 " + std::to_string(status_continue) + " Continue\r\n\r\n");
            write();
        }
    }
    update_charge();
    wait_for_bytes();
}

// Whether a further request has been read whole, or as far as it will be rejected.
bool client_session::has_whole_request() const {
    if (received_.size() == 0) {
        return false;
    }
    const fleet::client_limits limits = context_.limits_();
    http::request_parser next(limits.header_bytes_, limits.body_bytes_);
    boost::beast::flat_buffer copy;
    copy.commit(asio::buffer_copy(copy.prepare(received_.size()), received_.data()));
    return next.take(copy) || next.fault() != http::parse_fault::none;
}

bool client_session::closes_after_response() const {
    return !keep_alive_ || (context_.is_shutting_down_() && !has_whole_request());
}

void client_session::begin_request() {
    cancel_timer();
    phase_ = phase::responding;
    keep_alive_ = parser_->keep_alive();
    chunked_ = parser_->is_http_1_1();
    keep_alive_ = keep_alive_ && chunked_;
    response_complete_ = false;
    update_charge();
    if (!std::exchange(in_service_, true)) {
        context_.on_in_service_(1);
    }
    const std::size_t bytes = parser_->held_bytes();
    const memory::account& memory = context_.memory_;
    if (!memory::admits(memory.allowed().of(memory::pool::in_service), memory.held(memory::pool::in_service),
                        bytes)) {
        parser_->request_ = {};
        send_response(status_unavailable, {{"Retry-After", memory_retry_after_s}}, "");
        wait_for_bytes();
        return;
    }
    service_charge_.set(bytes);
    const auto self = shared_from_this();
    request_ = context_.start_request_(self, std::move(parser_->request_));
    if (phase_ == phase::closed) {
        std::exchange(request_, nullptr)->on_client_disconnected();
        return;
    }
    wait_for_bytes();
}

// Responds to a request that is malformed, incomplete or too large, or that there is no memory for, and
// closes the connection, since the bytes that follow cannot be parsed reliably.
void client_session::reject_request(int status, const std::vector<http::header>& headers) {
    cancel_timer();
    keep_alive_ = false;
    phase_ = phase::closing;
    parser_->request_ = {};
    received_.clear();
    received_.shrink_to_fit();
    update_charge();
    send_response(status, headers, "");
    wait_for_bytes();
}

void client_session::queue(std::string bytes) {
    if (unsent_bytes() == 0) {
        unsent_since_ = steady_now_ms();
    }
    queued_bytes_ += bytes.size();
    if (!queued_.empty() && queued_.back().size() + bytes.size() <= joined_bytes) {
        queued_.back() += bytes;
    } else {
        queued_.push_back(std::move(bytes));
    }
    response_charge_.set(queued_bytes_ + writing_bytes_);
}

void client_session::queue_head(int status, const std::vector<http::header>& headers,
                                std::string_view framing) {
    keep_alive_ = !closes_after_response();
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head += boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(unsigned(status)));
    head += "\r\n";
    for (const http::header& header : headers) {
        head += header.name_ + ": " + header.value_ + "\r\n";
    }
    if (!keep_alive_) {
        head += "Connection: close\r\n";
    }
    head += framing;
    head += "\r\n";
    queue(std::move(head));
}

void client_session::send_response(int status, const std::vector<http::header>& headers, std::string body) {
    if (phase_ == phase::closed) {
        return;
    }
    const bool has_no_body = status == status_no_content || status == status_not_modified;
    queue_head(status, headers, has_no_body ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n");
    queue(std::move(body));
    finish_response();
}

void client_session::begin_stream(int status, const std::vector<http::header>& headers) {
    if (phase_ == phase::closed) {
        return;
    }
    queue_head(status, headers, chunked_ ? "Transfer-Encoding: chunked\r\n" : "");
    if (!chunked_) {
        // An end in order would complete the response.
        set_reset_on_close(true);
    }
}

void client_session::send_data(std::string_view bytes) {
    if (phase_ == phase::closed || bytes.empty()) {
        return;
    }
    if (chunked_) {
        char length[24];
        std::snprintf(length, sizeof(length), "%zx\r\n", bytes.size());
        std::string chunk = length;
        chunk += bytes;
        chunk += "\r\n";
        queue(std::move(chunk));
    } else {
        queue(std::string(bytes));
    }
    write();
}

void client_session::end_stream() {
    if (phase_ == phase::closed) {
        return;
    }
    if (chunked_) {
        queue("0\r\n\r\n");
    }
    finish_response();
}

void client_session::set_reset_on_close(bool enabled) {
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(enabled, 0), ignored);
}

void client_session::finish_response() {
    // Shutdown may have begun after the head of a long stream was sent.
    keep_alive_ = !closes_after_response();
    response_complete_ = true;
    write();
    // Posted, since the request that calls this is still on the stack.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->request_ = nullptr;
        self->service_charge_.set(0);
        self->end_written_response();
    });
}

void client_session::abort() {
    close();
}

void client_session::write() {
    if (!writing_.empty() || queued_.empty() || phase_ == phase::closed) {
        return;
    }
    std::swap(writing_, queued_);
    writing_bytes_ = std::exchange(queued_bytes_, 0);
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(writing_.size());
    for (const std::string& bytes : writing_) {
        buffers.emplace_back(asio::buffer(bytes));
    }
    asio::async_write(socket_, buffers,
                      [self = shared_from_this()](boost::system::error_code failed, std::size_t) {
                          self->writing_.clear();
                          self->writing_bytes_ = 0;
                          self->response_charge_.set(self->queued_bytes_);
                          if (failed) {
                              self->close();
                              return;
                          }
                          self->on_written();
                      });
}

void client_session::on_written() {
    if (phase_ == phase::closed) {
        return;
    }
    if (!queued_.empty()) {
        unsent_since_ = steady_now_ms();
        write();
    } else {
        end_written_response();
    }
    if (request_ != nullptr) {
        request_->on_write_completed();
    }
}

// Goes on when a response is complete, written, and the request that sent it is gone.
void client_session::end_written_response() {
    const bool ended = response_complete_ && request_ == nullptr && unsent_bytes() == 0;
    if (!ended || phase_ == phase::closed) {
        return;
    }
    response_complete_ = false;
    if (keep_alive_) {
        // A process that is about to end must not take the connection for idle before the next request.
        const bool is_next_owed = context_.is_shutting_down_() && has_whole_request();
        if (!is_next_owed && std::exchange(in_service_, false)) {
            context_.on_in_service_(-1);
        }
        read_next_request();
        return;
    }
    if (!chunked_) {
        set_reset_on_close(false);
    }
    // Lets the client close first: closing with unread bytes would reset the connection, and the client could
    // lose the response.
    phase_ = phase::closing;
    boost::system::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    received_.clear();
    received_.shrink_to_fit();
    update_charge();
    arm_timer(linger_ms);
    wait_for_bytes();
}

void client_session::update_charge() {
    const std::size_t parsed = phase_ == phase::receiving ? parser_->held_bytes() : 0;
    receiving_charge_.set(parsed + received_.size());
}

std::optional<time_ms> client_session::waiting_since() const {
    return phase_ == phase::receiving ? std::optional(waiting_since_) : std::nullopt;
}

std::optional<memory::holder> client_session::evictable(memory::pool which) const {
    if (which == memory::pool::responses) {
        const bool unread = phase_ != phase::closed && unsent_bytes() > 0;
        return unread ? std::optional(memory::holder{unsent_bytes(), unsent_since_}) : std::nullopt;
    }
    const bool receiving = which == memory::pool::receiving && phase_ == phase::receiving;
    return receiving && receiving_charge_.bytes() > 0
               ? std::optional(memory::holder{receiving_charge_.bytes(), waiting_since_})
               : std::nullopt;
}

void client_session::evict(memory::pool which) {
    if (!evictable(which)) {
        return;
    }
    if (which == memory::pool::responses) {
        close();
    } else {
        reject_request(status_unavailable, {{"Retry-After", memory_retry_after_s}});
    }
}

void client_session::close_if_idle() {
    if (phase_ == phase::receiving && !parser_->begun() && received_.size() == 0) {
        close();
    }
}

void client_session::refuse_if_unsent() {
    if (const auto request = request_) {
        request->refuse_if_unsent();
    }
}

void client_session::refuse_incomplete() {
    if (phase_ != phase::receiving || !parser_->begun()) {
        return;
    }
    // The process stays until the client has had time to read it.
    in_service_ = true;
    context_.on_in_service_(1);
    reject_request(status_unavailable, {{"Retry-After", shutdown_retry_after_s}});
}

void client_session::end_before_exit() {
    if (const auto request = request_) {
        request->end_before_exit();
        return;
    }
    refuse_incomplete();
}

void client_session::end_if_quarantined() {
    if (const auto request = request_) {
        request->end_if_quarantined();
    }
}

void client_session::close() {
    if (phase_ == phase::closed) {
        return;
    }
    phase_ = phase::closed;
    cancel_timer();
    boost::system::error_code ignored;
    socket_.close(ignored);
    if (const auto request = std::exchange(request_, nullptr)) {
        request->on_client_disconnected();
    }
    // A write that was cancelled still refers to its bytes until its handler has run.
    queued_.clear();
    queued_bytes_ = 0;
    received_.clear();
    parser_ = nullptr;
    receiving_charge_.set(0);
    service_charge_.set(0);
    response_charge_.set(writing_bytes_);
    if (std::exchange(in_service_, false)) {
        context_.on_in_service_(-1);
    }
    context_.on_closed_(shared_from_this());
}

} // namespace tamarack::gateway
