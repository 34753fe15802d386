#include "http/message_parser.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace tamarack::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t read_buffer_bytes = 64 * 1024;
constexpr int first_final_status = 200;
constexpr std::size_t max_fetched_bytes = 16 * 1024 * 1024; // of a body that is kept in memory
constexpr std::uint64_t max_response_bytes = 256ULL * 1024 * 1024;
constexpr int http_1_1 = 11;

error call_error(const beast::error_code& failed, const char* phase) {
    if (failed == beast::error::timeout) {
        return {error_kind::timeout, std::string("the time limit passed while ") + phase,
                "allow more time or look at the endpoint"};
    }
    return {error_kind::interrupted,
            std::string("the connection broke while ") + phase + ": " + failed.message(),
            "look at the endpoint"};
}

struct call {
    explicit call(const asio::any_io_executor& executor)
        : stream_(executor), parser_(std::make_unique<response_parser>(max_response_bytes)) {}

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::unique_ptr<response_parser> parser_;
    time_ms ends_at_ = 0;
};

// Reads and parses once. Fails if the response cannot become whole any more.
awaitable<beast::error_code> read_some(call& current) {
    auto [failed, count] =
        co_await current.stream_.async_read_some(current.buffer_.prepare(read_buffer_bytes), no_throw);
    current.buffer_.commit(count);
    if (failed && failed != asio::error::eof) {
        co_return failed;
    }
    const auto progress = failed ? current.parser_->take_end() : current.parser_->take(current.buffer_);
    if (progress == response_parser::progress::broken) {
        co_return failed ? beast::error_code(bhttp::error::partial_message)
                         : beast::error_code(bhttp::error::bad_value);
    }
    co_return beast::error_code();
}

// Reads the head of the final response. Interim responses are skipped.
awaitable<beast::error_code> read_head(call& current) {
    int interim_responses = 0;
    while (true) {
        while (!current.parser_->head_done_) {
            const beast::error_code failed = co_await read_some(current);
            if (failed) {
                co_return failed;
            }
        }
        if (current.parser_->status_ >= first_final_status) {
            co_return beast::error_code();
        }
        if (++interim_responses > max_interim_responses) {
            co_return beast::error_code(bhttp::error::bad_status);
        }
        current.parser_ = std::make_unique<response_parser>(max_response_bytes);
        if (current.parser_->take(current.buffer_) == response_parser::progress::broken) {
            co_return beast::error_code(bhttp::error::bad_value);
        }
    }
}

class beast_response_stream : public response_stream {
public:
    explicit beast_response_stream(std::shared_ptr<call> open_call) : call_(std::move(open_call)) {
        const header* type = find_header(call_->parser_->headers_, "Content-Type");
        status_ = call_->parser_->status_;
        content_type_ = type == nullptr ? std::string() : type->value_;
    }

    ~beast_response_stream() override { cancel(); }

    int status() const override { return status_; }
    std::string_view content_type() const override { return content_type_; }

    awaitable<result<std::string>> read() override {
        const std::shared_ptr<call> current = call_;
        while (current->parser_->body_.empty() && !current->parser_->is_done()) {
            // The stream's own time limit does not stop reads that find bytes without waiting.
            if (steady_now_ms() >= current->ends_at_) {
                cancel();
                co_return call_error(beast::error::timeout, "reading the answer");
            }
            const beast::error_code failed = co_await read_some(*current);
            if (failed) {
                co_return call_error(failed, "reading the answer");
            }
        }
        co_return std::exchange(current->parser_->body_, {});
    }

    void cancel() override { call_->stream_.close(); }

private:
    std::shared_ptr<call> call_;
    int status_ = 0;
    std::string content_type_;
};

bhttp::request<bhttp::string_body> convert(request outgoing, const tcp::endpoint& remote) {
    bhttp::request<bhttp::string_body> message;
    message.version(http_1_1);
    message.method_string(outgoing.method_);
    message.target(outgoing.target_);
    message.set(bhttp::field::host, remote.address().to_string() + ":" + std::to_string(remote.port()));
    for (const header& one : outgoing.headers_) {
        message.set(one.name_, one.value_);
    }
    message.keep_alive(false);
    message.body() = std::move(outgoing.body_);
    message.prepare_payload();
    return message;
}

} // namespace

awaitable<result<std::unique_ptr<response_stream>>>
open(tcp::endpoint remote, request outgoing, call_limits limits,
     std::function<void(std::function<void()>)> set_cancel) {
    if (!is_valid(outgoing)) {
        co_return error{error_kind::invalid, "the request cannot be written as HTTP",
                        "encode what comes from outside"};
    }
    auto current = std::make_shared<call>(co_await asio::this_coro::executor);
    if (set_cancel) {
        set_cancel([weak = std::weak_ptr<call>(current)] {
            if (auto alive = weak.lock()) {
                alive->stream_.close();
            }
        });
    }
    current->stream_.expires_after(limits.connect_);
    auto [connect_error] = co_await current->stream_.async_connect(remote, no_throw);
    if (connect_error) {
        co_return error{error_kind::unreachable, "cannot connect: " + connect_error.message(),
                        "check that the endpoint runs and its address is right"};
    }
    boost::system::error_code ignored;
    current->stream_.socket().set_option(tcp::no_delay(true), ignored);
    current->stream_.expires_after(limits.total_);
    current->ends_at_ = steady_now_ms() + limits.total_.count();
    const auto message = convert(std::move(outgoing), remote);
    auto [write_error, written] = co_await bhttp::async_write(current->stream_, message, no_throw);
    if (write_error) {
        co_return call_error(write_error, "sending the request");
    }
    const beast::error_code read_error = co_await read_head(*current);
    if (read_error) {
        co_return call_error(read_error, "waiting for the answer");
    }
    co_return std::make_unique<beast_response_stream>(current);
}

awaitable<result<response>> fetch(tcp::endpoint remote, request outgoing, call_limits limits) {
    auto opened = co_await open(remote, std::move(outgoing), limits);
    if (!ok(opened)) {
        co_return failure(opened);
    }
    response_stream& stream = *value(opened);
    response collected;
    collected.status_ = stream.status();
    collected.headers_.push_back({"Content-Type", std::string(stream.content_type())});
    while (true) {
        result<std::string> part = co_await stream.read();
        if (!ok(part)) {
            co_return failure(part);
        }
        if (value(part).empty()) {
            co_return collected;
        }
        if (collected.body_.size() + value(part).size() > max_fetched_bytes) {
            co_return error{error_kind::interrupted, "the answer is too long", "look at the endpoint"};
        }
        collected.body_ += value(part);
    }
}

} // namespace tamarack::http
