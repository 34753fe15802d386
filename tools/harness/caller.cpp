#include "harness/cluster.hpp"

#include "http/message_parser.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace tamarack::harness {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace {

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t read_bytes = 64 * 1024;
constexpr std::uint64_t max_body_bytes = 64 * 1024 * 1024;

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

} // namespace

asio::awaitable<void> exchange(std::uint16_t port, const caller_request& request, std::int64_t limit_ms,
                               caller_answer& answer) {
    const std::int64_t began = now_ms();
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(std::chrono::milliseconds(limit_ms));
    const asio::ip::tcp::endpoint remote(asio::ip::make_address("127.0.0.1"), port);
    auto [connect_error] = co_await stream.async_connect(remote, no_throw);
    if (connect_error) {
        answer.elapsed_ms_ = now_ms() - began;
        co_return;
    }
    bhttp::request<bhttp::string_body> message;
    message.version(11);
    message.method_string(request.method_);
    message.target(request.path_);
    message.set(bhttp::field::host, "127.0.0.1");
    for (const http::header& one : request.headers_) {
        message.set(one.name_, one.value_);
    }
    message.body() = request.body_;
    message.prepare_payload();
    auto [write_error, written] = co_await bhttp::async_write(stream, message, no_throw);
    beast::flat_buffer received;
    http::response_parser parser(max_body_bytes);
    auto progress = http::response_parser::progress::more;
    while (progress == http::response_parser::progress::more) {
        auto [read_error, count] = co_await stream.async_read_some(received.prepare(read_bytes), no_throw);
        received.commit(count);
        if (!read_error) {
            progress = parser.take(received);
        } else if (read_error == asio::error::eof && !write_error) {
            progress = parser.take_end();
        } else {
            progress = http::response_parser::progress::broken;
        }
    }
    answer.elapsed_ms_ = now_ms() - began;
    if (!parser.head_done_) {
        co_return;
    }
    answer.status_ = parser.status_;
    answer.whole_ = progress == http::response_parser::progress::done;
    for (const http::header& one : parser.headers_) {
        answer.headers_[lower(one.name_)] = one.value_;
    }
    answer.body_ = std::move(parser.body_);
}

std::string caller_answer::header(const std::string& name) const {
    auto found = headers_.find(lower(name));
    return found == headers_.end() ? std::string() : found->second;
}

std::string caller_answer::outcome() const {
    return whole_ ? header("Tamarack-Outcome") : "cut";
}

std::vector<caller_answer> call_all(const std::vector<std::pair<std::uint16_t, caller_request>>& requests,
                                    std::int64_t limit_ms) {
    asio::io_context context(1);
    std::vector<caller_answer> answers(requests.size());
    for (std::size_t index = 0; index < requests.size(); ++index) {
        asio::co_spawn(context,
                       exchange(requests[index].first, requests[index].second, limit_ms, answers[index]),
                       asio::detached);
    }
    context.run();
    return answers;
}

caller_answer call(std::uint16_t port, const caller_request& request, std::int64_t limit_ms) {
    return call_all({{port, request}}, limit_ms).front();
}

caller_request completion(const std::string& model, const std::string& prompt, std::int64_t tokens,
                          bool stream) {
    const json message = {{"role", "user"}, {"content", prompt}};
    const json body = {
        {"model", model}, {"messages", json::array({message})}, {"max_tokens", tokens}, {"stream", stream}};
    return {"POST", "/v1/chat/completions", {{"Content-Type", "application/json"}}, body.dump()};
}

std::string expected_text(const caller_request& request) {
    const json body = json::parse(request.body_);
    const std::string mark = to_hex(hash64(body["messages"].dump())).substr(0, 8);
    std::string text;
    for (std::int64_t index = 0; index < body["max_tokens"].get<std::int64_t>(); ++index) {
        text += mark + "-" + std::to_string(index) + " ";
    }
    return text;
}

std::string answer_text(const caller_answer& answer) {
    if (!answer.whole_ || answer.status_ != 200) {
        return {};
    }
    if (!answer.header("Content-Type").starts_with("text/event-stream")) {
        const json body = json::parse(answer.body_, nullptr, false);
        return body.is_object() && body.contains("choices")
                   ? body["choices"][0]["message"]["content"].get<std::string>()
                   : std::string();
    }
    std::string text;
    std::size_t at = 0;
    bool complete = false;
    while ((at = answer.body_.find("data: ", at)) != std::string::npos) {
        const std::size_t end = answer.body_.find("\n\n", at);
        const std::string data = answer.body_.substr(at + 6, end - at - 6);
        at = end;
        if (data == "[DONE]") {
            complete = true;
            break;
        }
        text += json::parse(data)["choices"][0]["delta"]["content"].get<std::string>();
    }
    return complete ? text : std::string();
}

} // namespace tamarack::harness
