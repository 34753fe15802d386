#include "gateway/exchange.hpp"

#include <boost/asio/post.hpp>

#include <charconv>

namespace tamarack::gateway {

namespace asio = boost::asio;

namespace {

// Allows for a round trip and one lost packet within a data centre.
constexpr std::chrono::milliseconds connect_timeout{450};
constexpr std::size_t read_bytes = 16 * 1024;
constexpr std::size_t max_response_bytes = 16 * 1024 * 1024; // of one response that is no stream
constexpr std::size_t max_unmatched_bytes = 1024 * 1024;     // of responses to other requests
constexpr std::uint64_t max_stream_bytes = 1024ULL * 1024 * 1024;
constexpr int silence_limit_ms = 3'000;    // time without acknowledgements before the connection is dropped
constexpr int max_unmatched_responses = 3; // responses skipped before the connection is dropped
constexpr time_ms default_keep_alive_ms = 4'000; // idle time if the endpoint sends no Keep-Alive header
constexpr time_ms keep_alive_margin_ms = 700;    // margin before the end of the endpoint's idle time
constexpr int first_final_status = 200;
constexpr int first_failed_status = 400;
constexpr std::size_t max_refused_ids = 16; // a connection with more refused requests is closed

} // namespace

exchange::exchange(asio::any_io_executor executor, memory::account& memory, std::shared_ptr<endpoint> target,
                   exchange_request request, callbacks handlers)
    : executor_(executor), memory_(memory), held_body_(memory, memory::pool::arriving),
      target_(std::move(target)), request_(std::move(request)),
      handlers_(std::make_shared<const callbacks>(std::move(handlers))), timer_(executor),
      parser_(std::make_unique<http::response_parser>(max_stream_bytes)) {}

exchange::~exchange() {
    abandon();
}

void exchange::start() {
    connection_ = target_->take_idle_connection(steady_now_ms(), request_.max_idle_ms_, request_.id_);
    if (connection_) {
        reused_ = true;
        send();
        return;
    }
    if (!target_->may_connect(request_.max_connections_, request_.gateway_count_)) {
        asio::post(executor_, [self = shared_from_this()] { self->finish(exchange_outcome::not_connected); });
        return;
    }
    connect();
}

void exchange::connect() {
    connection_ = std::make_shared<endpoint_connection>(executor_);
    ++target_->connections_;
    const auto self = shared_from_this();
    timer_.expires_after(connect_timeout);
    timer_.async_wait([self](boost::system::error_code cancelled) {
        if (!cancelled && !self->sent_) {
            self->finish(exchange_outcome::not_connected);
        }
    });
    connection_->connect(target_->record().address_, [self](boost::system::error_code failed) {
        if (self->ended_) {
            return;
        }
        if (failed) {
            self->finish(exchange_outcome::not_connected);
            return;
        }
        self->timer_.cancel();
        self->connection_->detect_dead_peer(silence_limit_ms);
        self->send();
    });
}

void exchange::send() {
    const auto self = shared_from_this();
    if (!request_.may_send_()) {
        asio::post(executor_, [self] { self->finish(exchange_outcome::withheld); });
        return;
    }
    sent_ = true;
    auto head = std::make_shared<const std::string>(std::move(request_.head_));
    connection_->write({std::move(head), request_.body_}, [self](boost::system::error_code failed) {
        self->written_ = !failed;
        // A failed write does not end the exchange: the response may have arrived already.
    });
    read();
}

void exchange::read() {
    if (reading_ || ended_) {
        return;
    }
    reading_ = true;
    const auto self = shared_from_this();
    connection_->read(read_bytes, [self](boost::system::error_code failed) {
        self->reading_ = false;
        if (self->ended_) {
            return;
        }
        if (!failed) {
            self->parse_received();
            return;
        }
        const bool completes = failed == asio::error::eof && self->completes_response_at_end();
        self->finish(completes ? exchange_outcome::complete : exchange_outcome::broken);
    });
}

// Whether the end of the connection completes the response. It does only if the request was written whole: a
// reset is reported once, and if the write fails with it, the read sees an end in order.
bool exchange::completes_response_at_end() {
    return written_ && parser_->head_done_ && parser_->take_end() == http::response_parser::progress::done &&
           matches_request();
}

// Whether the response is a final one with this request's id. One with another id is a late response to an
// earlier request on the connection.
bool exchange::matches_request() const {
    const http::header* id = http::find_header(parser_->headers_, request_.id_header_);
    return id != nullptr && id->value_ == request_.id_ && parser_->status_ >= first_final_status;
}

// Discards a response to another request, so that the next one can be parsed. Returns false if there were too
// many.
bool exchange::skip_unmatched_response() {
    if (++unmatched_responses_ > max_unmatched_responses) {
        return false;
    }
    parser_ = std::make_unique<http::response_parser>(max_stream_bytes);
    return true;
}

void exchange::parse_received() {
    while (true) {
        const auto progress = parser_->take(connection_->received());
        if (progress == http::response_parser::progress::broken) {
            finish(exchange_outcome::broken);
            return;
        }
        const bool done = progress == http::response_parser::progress::done;
        if (parser_->head_done_ && !matches_request()) {
            if (done && skip_unmatched_response()) {
                if (connection_->received().size() > 0) {
                    continue;
                }
                break;
            }
            if (done) {
                finish(exchange_outcome::broken);
                return;
            }
            unmatched_bytes_ += std::exchange(parser_->body_, {}).size();
            if (unmatched_bytes_ > max_unmatched_bytes) {
                finish(exchange_outcome::broken);
                return;
            }
            break;
        }
        if (done) {
            finish(exchange_outcome::complete);
            return;
        }
        if (parser_->head_done_) {
            const auto self = shared_from_this();
            const auto handlers = handlers_;
            handlers->on_progress_(*parser_);
            if (!ended_ && !hold_body()) {
                finish(exchange_outcome::broken);
                return;
            }
        }
        break;
    }
    if (!paused_ && !ended_) {
        read();
    }
}

// Accounts for the part of the body that the handlers left in memory. Returns false if it is too much.
bool exchange::hold_body() {
    const std::size_t size = parser_->body_.size();
    const std::size_t others = memory_.held(memory::pool::arriving) - held_body_.bytes();
    if (size > max_response_bytes ||
        !memory::admits(memory_.allowed().of(memory::pool::arriving), others, size)) {
        return false;
    }
    held_body_.set(size);
    return true;
}

void exchange::resume() {
    if (paused_) {
        paused_ = false;
        read();
    }
}

time_ms exchange::keep_alive_ms() const {
    const http::header* keep_alive = http::find_header(parser_->headers_, "Keep-Alive");
    if (keep_alive == nullptr) {
        return default_keep_alive_ms;
    }
    constexpr std::string_view field = "timeout=";
    const std::size_t at = keep_alive->value_.find(field);
    int seconds = 0;
    if (at != std::string::npos) {
        const char* begin = keep_alive->value_.data() + at + field.size();
        std::from_chars(begin, keep_alive->value_.data() + keep_alive->value_.size(), seconds);
    }
    return std::max<time_ms>(0, time_ms(seconds) * 1'000 - keep_alive_margin_ms);
}

void exchange::release_connection(bool keep) {
    if (!connection_) {
        return;
    }
    const time_ms reusable_ms = keep ? keep_alive_ms() : 0;
    const auto connection = std::exchange(connection_, nullptr);
    if (reusable_ms > 0) {
        target_->keep_idle_connection(connection, steady_now_ms(), reusable_ms);
        return;
    }
    --target_->connections_;
    // A hung endpoint may not have read all of the request.
    connection->reset();
}

void exchange::finish(exchange_outcome outcome) {
    if (ended_) {
        return;
    }
    ended_ = true;
    timer_.cancel();
    const http::header* closing = http::find_header(parser_->headers_, "Connection");
    bool keep = outcome == exchange_outcome::complete && written_ && parser_->keep_alive() &&
                connection_->received().size() == 0 && unmatched_responses_ == 0 &&
                (closing == nullptr || !http::same_name(closing->value_, "close"));
    if (keep && parser_->status_ >= first_failed_status) {
        auto& refused = connection_->refused_ids_;
        refused.push_back(hash64(request_.id_));
        keep = refused.size() < max_refused_ids;
    }
    release_connection(keep);
    const auto handlers = std::exchange(handlers_, nullptr);
    handlers->on_ended_(outcome);
}

void exchange::abandon() {
    if (ended_) {
        return;
    }
    ended_ = true;
    timer_.cancel();
    handlers_ = nullptr;
    release_connection(false);
}

} // namespace tamarack::gateway
