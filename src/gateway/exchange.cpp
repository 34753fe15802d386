#include "gateway/exchange.hpp"

#include "net/socket_options.hpp"

#include <boost/asio/write.hpp>

#include <charconv>

namespace tamarack::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds connect_limit{
    450}; // a round trip, and one lost packet within a data centre
constexpr std::size_t read_bytes = 16 * 1024;
constexpr std::size_t max_answer_bytes = 64 * 1024 * 1024;
constexpr int silence_limit_ms = 3'000;    // of an endpoint that acknowledges nothing
constexpr int most_foreign_answers = 3;    // skipped before the connection is given up
constexpr time_ms default_keep_ms = 4'000; // where the endpoint names no idle time
constexpr time_ms keep_margin_ms = 700;    // before the endpoint's idle time ends
constexpr int status_first_final = 200;

} // namespace

exchange::exchange(asio::any_io_executor executor, std::shared_ptr<endpoint> target, exchange_request request,
                   events handlers)
    : executor_(executor), target_(std::move(target)), request_(std::move(request)),
      handlers_(std::make_shared<const events>(std::move(handlers))), timer_(executor),
      parser_(std::make_unique<http::response_parser>(max_answer_bytes)) {}

exchange::~exchange() {
    abandon();
}

void exchange::start() {
    connection_ = target_->take_idle_connection(steady_now_ms(), request_.longest_idle_ms_);
    if (connection_) {
        reused_ = true;
        send();
        return;
    }
    if (!target_->may_connect(request_.max_connections_, request_.gateways_)) {
        asio::post(executor_, [self = shared_from_this()] { self->finish(exchange_end::not_connected); });
        return;
    }
    connect();
}

void exchange::connect() {
    connection_ = std::make_shared<endpoint_connection>(executor_);
    ++target_->connections_;
    const auto self = shared_from_this();
    timer_.expires_after(connect_limit);
    timer_.async_wait([self](boost::system::error_code cancelled) {
        if (!cancelled && !self->sent_) {
            self->finish(exchange_end::not_connected);
        }
    });
    connection_->socket_.async_connect(target_->record().address_, [self](boost::system::error_code failed) {
        if (self->ended_) {
            return;
        }
        if (failed) {
            self->finish(exchange_end::not_connected);
            return;
        }
        self->timer_.cancel();
        net::watch_for_silence(self->connection_->socket_, silence_limit_ms);
        self->send();
    });
}

void exchange::send() {
    sent_ = true;
    const auto self = shared_from_this();
    asio::async_write(connection_->socket_, asio::buffer(request_.bytes_),
                      [self](boost::system::error_code failed, std::size_t) {
                          self->written_ = !failed;
                          // A failed write is not the end: the answer may have arrived before.
                      });
    read();
}

void exchange::read() {
    if (reading_ || ended_) {
        return;
    }
    reading_ = true;
    const auto self = shared_from_this();
    connection_->socket_.async_read_some(
        connection_->received_.prepare(read_bytes),
        [self](boost::system::error_code failed, std::size_t count) {
            self->reading_ = false;
            if (self->ended_) {
                return;
            }
            self->connection_->received_.commit(count);
            if (!failed) {
                self->take_received();
                return;
            }
            const bool ends_answer = failed == asio::error::eof && self->parser_->head_done_ &&
                                     self->parser_->take_end() == http::response_parser::progress::done &&
                                     self->belongs();
            self->finish(ends_answer ? exchange_end::complete : exchange_end::broken);
        });
}

// Whether the answer names this request. One that names another arrived late and belongs to nobody.
bool exchange::belongs() const {
    const http::header* id = http::find_header(parser_->headers_, request_.id_header_);
    return id != nullptr && id->value_ == request_.id_ && parser_->status_ >= status_first_final;
}

// Makes way for the next answer on the connection. Returns false if there were too many.
bool exchange::skip_foreign_answer() {
    if (++foreign_answers_ > most_foreign_answers) {
        return false;
    }
    parser_ = std::make_unique<http::response_parser>(max_answer_bytes);
    return true;
}

void exchange::take_received() {
    while (true) {
        const auto progress = parser_->take(connection_->received_);
        if (progress == http::response_parser::progress::broken) {
            finish(exchange_end::broken);
            return;
        }
        const bool done = progress == http::response_parser::progress::done;
        if (parser_->head_done_ && !belongs()) {
            if (done && skip_foreign_answer()) {
                if (connection_->received_.size() > 0) {
                    continue;
                }
                break;
            }
            if (done) {
                finish(exchange_end::broken);
                return;
            }
            parser_->body_.clear();
            break;
        }
        if (done) {
            finish(exchange_end::complete);
            return;
        }
        if (parser_->head_done_) {
            const auto self = shared_from_this();
            const auto handlers = handlers_;
            handlers->progress_(*parser_);
        }
        break;
    }
    if (!paused_ && !ended_) {
        read();
    }
}

void exchange::resume() {
    if (paused_) {
        paused_ = false;
        read();
    }
}

time_ms exchange::usable_ms() const {
    const http::header* kept = http::find_header(parser_->headers_, "Keep-Alive");
    if (kept == nullptr) {
        return default_keep_ms;
    }
    constexpr std::string_view field = "timeout=";
    const std::size_t at = kept->value_.find(field);
    int seconds = 0;
    if (at != std::string::npos) {
        const char* begin = kept->value_.data() + at + field.size();
        std::from_chars(begin, kept->value_.data() + kept->value_.size(), seconds);
    }
    return std::max<time_ms>(0, time_ms(seconds) * 1'000 - keep_margin_ms);
}

void exchange::release(bool keep) {
    if (!connection_) {
        return;
    }
    const time_ms usable = keep ? usable_ms() : 0;
    const auto connection = std::exchange(connection_, nullptr);
    if (usable > 0) {
        target_->keep_idle_connection(connection, steady_now_ms(), usable);
        return;
    }
    --target_->connections_;
    boost::system::error_code ignored;
    // A reset also takes back what an endpoint that stands still has not read yet.
    connection->socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    connection->socket_.close(ignored);
}

void exchange::finish(exchange_end end) {
    if (ended_) {
        return;
    }
    ended_ = true;
    timer_.cancel();
    const http::header* closing = http::find_header(parser_->headers_, "Connection");
    const bool keep = end == exchange_end::complete && written_ && parser_->keep_alive() &&
                      connection_->received_.size() == 0 &&
                      (closing == nullptr || !http::same_name(closing->value_, "close"));
    release(keep);
    const auto handlers = std::exchange(handlers_, nullptr);
    handlers->ended_(end);
}

void exchange::abandon() {
    if (ended_) {
        return;
    }
    ended_ = true;
    timer_.cancel();
    handlers_ = nullptr;
    release(false);
}

} // namespace tamarack::gateway
