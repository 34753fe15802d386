#include "http/kept_client.hpp"

#include "net/socket_options.hpp"

#include <boost/asio/write.hpp>

namespace tamarack::http {

namespace asio = boost::asio;

namespace {

constexpr std::size_t max_answer_bytes = 64 * 1024 * 1024;
constexpr std::size_t read_bytes = 32 * 1024;
constexpr int silence_limit_ms = 3'000; // of a peer that does not acknowledge

error lost(error_kind kind, std::string what) {
    return {kind, std::move(what), "check that the server runs and is reachable"};
}

} // namespace

std::string encode(const request& outgoing) {
    std::string bytes = outgoing.method_ + " " + outgoing.target_ + " HTTP/1.1\r\n";
    for (const header& one : outgoing.headers_) {
        bytes += one.name_ + ": " + one.value_ + "\r\n";
    }
    if (!outgoing.body_.empty() || outgoing.method_ == "POST") {
        bytes += "Content-Length: " + std::to_string(outgoing.body_.size()) + "\r\n";
    }
    return bytes + "\r\n" + outgoing.body_;
}

kept_client::kept_client(asio::any_io_executor executor, asio::ip::tcp::endpoint remote,
                         std::chrono::milliseconds connect_limit)
    : executor_(executor), remote_(std::move(remote)), connect_limit_(connect_limit), socket_(executor),
      timer_(executor) {}

void kept_client::call(request outgoing, std::chrono::milliseconds limit, answer_handler done) {
    if (!outgoing.find("Host")) {
        outgoing.headers_.push_back(
            {"Host", remote_.address().to_string() + ":" + std::to_string(remote_.port())});
    }
    calls_.push_back({encode(outgoing), limit, std::move(done)});
    if (!busy_) {
        begin_next();
    }
}

void kept_client::close() {
    calls_.clear();
    ++round_;
    busy_ = false;
    timer_.cancel();
    drop_connection();
}

void kept_client::begin_next() {
    if (calls_.empty()) {
        return;
    }
    busy_ = true;
    ++round_;
    parser_ = std::make_unique<response_parser>(max_answer_bytes);
    if (connected_) {
        send();
    } else {
        connect();
    }
}

void kept_client::connect() {
    socket_ = asio::ip::tcp::socket(executor_);
    const std::uint64_t round = round_;
    const auto self = shared_from_this();
    timer_.expires_after(connect_limit_);
    timer_.async_wait([self, round](boost::system::error_code cancelled) {
        if (!cancelled && round == self->round_) {
            self->finish(lost(error_kind::unreachable, "the connection was not accepted in time"), false);
        }
    });
    socket_.async_connect(remote_, [self, round](boost::system::error_code failed) {
        if (round != self->round_) {
            return;
        }
        if (failed) {
            self->finish(lost(error_kind::unreachable, "cannot connect: " + failed.message()), false);
            return;
        }
        self->connected_ = true;
        net::detect_dead_peer(self->socket_, silence_limit_ms);
        self->send();
    });
}

void kept_client::send() {
    const std::uint64_t round = round_;
    const auto self = shared_from_this();
    timer_.expires_after(calls_.front().limit_);
    timer_.async_wait([self, round](boost::system::error_code cancelled) {
        if (!cancelled && round == self->round_) {
            self->finish(lost(error_kind::timeout, "no answer in time"), false);
        }
    });
    asio::async_write(socket_, asio::buffer(calls_.front().bytes_),
                      [self, round](boost::system::error_code failed, std::size_t) {
                          if (failed && round == self->round_) {
                              self->finish(lost(error_kind::interrupted, "the connection broke"), false);
                          }
                      });
    read();
}

void kept_client::read() {
    const std::uint64_t round = round_;
    const auto self = shared_from_this();
    socket_.async_read_some(
        received_.prepare(read_bytes), [self, round](boost::system::error_code failed, std::size_t count) {
            if (round != self->round_) {
                return;
            }
            if (failed) {
                self->finish(lost(error_kind::interrupted, "the connection ended"), false);
                return;
            }
            self->received_.commit(count);
            self->take_received();
        });
}

void kept_client::take_received() {
    switch (parser_->take(received_)) {
    case response_parser::progress::more:
        read();
        return;
    case response_parser::progress::broken:
        finish(lost(error_kind::interrupted, "the answer is not HTTP"), false);
        return;
    case response_parser::progress::done:
        break;
    }
    response answer{parser_->status_, std::move(parser_->headers_), std::move(parser_->body_)};
    const header* closing = find_header(answer.headers_, "Connection");
    const bool keep = received_.size() == 0 && (closing == nullptr || !same_name(closing->value_, "close"));
    finish(std::move(answer), keep);
}

void kept_client::finish(result<response> outcome, bool keep) {
    ++round_;
    timer_.cancel();
    if (!keep) {
        drop_connection();
    }
    answer_handler done = std::move(calls_.front().done_);
    calls_.pop_front();
    busy_ = false;
    const auto self = shared_from_this();
    done(std::move(outcome));
    if (!busy_) {
        begin_next();
    }
}

void kept_client::drop_connection() {
    boost::system::error_code ignored;
    socket_.close(ignored);
    connected_ = false;
    received_.consume(received_.size());
}

} // namespace tamarack::http
