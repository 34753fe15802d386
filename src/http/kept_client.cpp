#include "http/kept_client.hpp"

#include <boost/asio/post.hpp>

namespace tamarack::http {

namespace asio = boost::asio;

namespace {

constexpr std::size_t max_response_bytes = 8 * 1024 * 1024;
constexpr std::size_t read_bytes = 32 * 1024;
constexpr int first_final_status = 200;
constexpr int dead_peer_limit_ms = 3'000; // time without acknowledgement after which a peer counts as dead

error call_error(error_kind kind, std::string what) {
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
    : executor_(executor), remote_(std::move(remote)), connect_limit_(connect_limit), timer_(executor) {}

void kept_client::call(request outgoing, std::chrono::milliseconds limit, response_handler done) {
    if (!is_valid(outgoing)) {
        fail({error_kind::invalid, "the request cannot be written as HTTP", "encode what comes from outside"},
             std::move(done));
        return;
    }
    if (!outgoing.find("Host")) {
        outgoing.headers_.push_back(
            {"Host", remote_.address().to_string() + ":" + std::to_string(remote_.port())});
    }
    calls_.push_back({std::make_shared<const std::string>(encode(outgoing)), limit, std::move(done)});
    if (!busy_) {
        start_next_call();
    }
}

void kept_client::fail(error why, response_handler done) {
    asio::post(executor_,
               [self = shared_from_this(), closes = closes_, why = std::move(why), done = std::move(done)] {
                   if (closes == self->closes_) {
                       done(why);
                   }
               });
}

void kept_client::close() {
    ++closes_;
    calls_.clear();
    ++generation_;
    busy_ = false;
    timer_.cancel();
    drop_connection();
}

void kept_client::start_next_call() {
    if (calls_.empty()) {
        return;
    }
    busy_ = true;
    ++generation_;
    parser_ = std::make_unique<response_parser>(max_response_bytes);
    interim_responses_ = 0;
    // Bytes that arrived while no call was under way would be taken for the response to this one, since
    // responses do not name their call.
    if (connection_ && connection_->has_unread_bytes()) {
        drop_connection();
    }
    if (connection_) {
        send();
    } else {
        connect();
    }
}

void kept_client::connect() {
    connection_ = std::make_shared<net::connection>(executor_);
    const std::uint64_t generation = generation_;
    const auto self = shared_from_this();
    timer_.expires_after(connect_limit_);
    timer_.async_wait([self, generation](boost::system::error_code cancelled) {
        if (!cancelled && generation == self->generation_) {
            self->finish(
                call_error(error_kind::unreachable, "the connection was not accepted within the time limit"),
                false);
        }
    });
    connection_->connect(remote_, [self, generation](boost::system::error_code failed) {
        if (generation != self->generation_) {
            return;
        }
        if (failed) {
            self->finish(call_error(error_kind::unreachable, "cannot connect: " + failed.message()), false);
            return;
        }
        // The time limit of the connection may have passed too, with its handler about to run.
        ++self->generation_;
        self->connection_->detect_dead_peer(dead_peer_limit_ms);
        self->send();
    });
}

void kept_client::send() {
    const std::uint64_t generation = generation_;
    const auto self = shared_from_this();
    timer_.expires_after(calls_.front().limit_);
    timer_.async_wait([self, generation](boost::system::error_code cancelled) {
        if (!cancelled && generation == self->generation_) {
            self->finish(call_error(error_kind::timeout, "no response within the time limit"), false);
        }
    });
    request_written_ = false;
    connection_->write({calls_.front().bytes_}, [self, generation](boost::system::error_code failed) {
        if (generation != self->generation_) {
            return;
        }
        self->request_written_ = !failed;
        if (failed) {
            self->finish(call_error(error_kind::interrupted, "the connection broke"), false);
        }
    });
    read();
}

void kept_client::read() {
    const std::uint64_t generation = generation_;
    const auto self = shared_from_this();
    connection_->read(read_bytes, [self, generation](boost::system::error_code failed) {
        if (generation != self->generation_) {
            return;
        }
        if (failed) {
            self->finish(call_error(error_kind::interrupted, "the connection ended"), false);
            return;
        }
        self->parse_received();
    });
}

void kept_client::parse_received() {
    switch (parser_->take(connection_->received())) {
    case response_parser::progress::more:
        read();
        return;
    case response_parser::progress::broken:
        finish(call_error(error_kind::interrupted, "the response is not valid HTTP"), false);
        return;
    case response_parser::progress::done:
        break;
    }
    if (parser_->status_ < first_final_status) {
        if (++interim_responses_ > max_interim_responses) {
            finish(call_error(error_kind::interrupted, "there is no final response"), false);
            return;
        }
        parser_ = std::make_unique<response_parser>(max_response_bytes);
        connection_->received().size() > 0 ? parse_received() : read();
        return;
    }
    response received_response{parser_->status_, std::move(parser_->headers_), std::move(parser_->body_)};
    const header* connection_header = find_header(received_response.headers_, "Connection");
    // The rest of a request that is not written would come before the next one.
    const bool keep = request_written_ && connection_->received().size() == 0 &&
                      (connection_header == nullptr || !same_name(connection_header->value_, "close"));
    finish(std::move(received_response), keep);
}

void kept_client::finish(result<response> outcome, bool keep) {
    ++generation_;
    timer_.cancel();
    if (!keep) {
        drop_connection();
    }
    response_handler done = std::move(calls_.front().done_);
    calls_.pop_front();
    busy_ = false;
    const auto self = shared_from_this();
    done(std::move(outcome));
    if (!busy_) {
        start_next_call();
    }
}

void kept_client::drop_connection() {
    if (const auto connection = std::exchange(connection_, nullptr)) {
        connection->close();
    }
}

} // namespace tamarack::http
