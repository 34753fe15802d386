// Runs one request at the endpoint and relays the response.
#include "agent/job.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace tamarack::agent {

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds endpoint_connect_timeout{500};

// Time limit for every call, streamed or not, after connecting. It is independent of the request's deadline,
// which applies only to the start of a streamed response.
constexpr std::chrono::milliseconds stream_timeout{600'000};

constexpr std::chrono::milliseconds credit_check_interval{1'000};

// Larger response bodies are not stored for replay to repeats of a key.
constexpr std::size_t max_stored_body_bytes = 256 * 1024;

constexpr int status_not_found = 404;

http::request outgoing_request(const wire::submit& request) {
    http::request outgoing{request.method_, request.path_, {}, request.body_};
    if (!request.content_type_.empty()) {
        outgoing.headers_.push_back({"Content-Type", request.content_type_});
    }
    if (!request.key_.empty()) {
        outgoing.headers_.push_back({"Idempotency-Key", request.key_});
    }
    return outgoing;
}

std::int64_t elapsed_ms(clock::time_point since) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - since).count();
}

} // namespace

asio::awaitable<void> traffic::run_job(std::shared_ptr<job> current) {
    const clock::time_point began = clock::now();
    const wire::submit& request = *current->request_;
    const http::call_limits limits{endpoint_connect_timeout, stream_timeout};
    http::request outgoing = outgoing_request(request);
    std::function<void(std::function<void()>)> started = [current](std::function<void()> cancel) {
        current->cancel_call_ = std::move(cancel);
    };
    auto opened = co_await http::open(settings_.endpoint_, std::move(outgoing), limits, std::move(started));
    if (!ok(opened)) {
        const bool sent = failure(opened).kind_ != error_kind::unreachable;
        const run_outcome outcome = sent ? run_outcome::unknown : run_outcome::not_run;
        if (sent) {
            reply(current, wire::failed{request.attempt_, failure(opened).message_});
        } else {
            reply(current,
                  wire::refused{request.attempt_, std::uint8_t(refusal_reason::endpoint_down), 0, {}});
        }
        finish_job(current, outcome, elapsed_ms(began), {});
        co_return;
    }
    http::response_stream& stream = *value(opened);
    if (!current->item_.empty() && stream.status() == status_not_found) {
        reply(current, wire::refused{request.attempt_, std::uint8_t(refusal_reason::not_held), 0, {}});
        finish_job(current, run_outcome::not_held, elapsed_ms(began), {});
        co_return;
    }
    std::optional<stored_response> stored;
    if (!request.idempotent_) {
        stored = stored_response{stream.status(), std::string(stream.content_type()), {}};
    }
    const run_outcome outcome = co_await relay_response(current, stream, stored);
    finish_job(current, outcome, elapsed_ms(began), std::move(stored));
}

asio::awaitable<run_outcome> traffic::relay_response(std::shared_ptr<job> current,
                                                     http::response_stream& stream,
                                                     std::optional<stored_response>& stored) {
    const wire::submit& request = *current->request_;
    reply(current,
          wire::head{request.attempt_, stream.status(), std::string(stream.content_type()), current->item_});
    std::uint32_t sequence = 0;
    while (true) {
        co_await wait_for_credit(current);
        result<std::string> part = co_await stream.read();
        if (!ok(part)) {
            reply(current, wire::failed{request.attempt_, failure(part).message_});
            co_return run_outcome::unknown;
        }
        if (value(part).empty()) {
            break;
        }
        if (stored && stored->body_.size() + value(part).size() > max_stored_body_bytes) {
            stored.reset();
        }
        if (stored) {
            stored->body_ += value(part);
        }
        current->credit_ -= std::min<std::uint64_t>(current->credit_, value(part).size());
        reply(current, wire::chunk{request.attempt_, sequence++, std::move(value(part))});
    }
    reply(current, wire::end{request.attempt_, sequence});
    co_return run_outcome::complete;
}

// Waits until the entry grants credit for more bytes. No credit is needed once the entry has disconnected
// or the request was withdrawn.
asio::awaitable<void> traffic::wait_for_credit(std::shared_ptr<job> current) {
    while (current->credit_ == 0 && !current->session_.expired() && !current->withdrawn_) {
        current->credit_timer_.expires_after(credit_check_interval);
        boost::system::error_code woken;
        co_await current->credit_timer_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
    }
}

void traffic::finish_job(const std::shared_ptr<job>& current, run_outcome outcome, std::int64_t service_ms,
                         std::optional<stored_response> stored) {
    remove_job(current->id_);
    events_.ended_(current->id_, outcome, service_ms, std::move(stored));
}

} // namespace tamarack::agent
