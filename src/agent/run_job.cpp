// Running one request at the endpoint and relaying its answer.
#include "agent/job.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace tamarack::agent {

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds endpoint_connect_limit{500};

// A streamed answer may outlast the deadline, which is met by its beginning.
constexpr std::chrono::milliseconds stream_limit{600'000};

constexpr std::chrono::milliseconds credit_check_interval{1'000};

// Bodies above this size are not kept for repeats of a key.
constexpr std::size_t stored_body_bytes = 256 * 1024;

constexpr int status_not_found = 404;

http::request outgoing_request(const wire::submit& from) {
    http::request outgoing{from.method_, from.path_, {}, from.body_};
    if (!from.content_type_.empty()) {
        outgoing.headers_.push_back({"Content-Type", from.content_type_});
    }
    if (!from.key_.empty()) {
        outgoing.headers_.push_back({"Idempotency-Key", from.key_});
    }
    return outgoing;
}

std::int64_t elapsed_ms(clock::time_point since) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - since).count();
}

} // namespace

asio::awaitable<void> traffic::run_job(std::shared_ptr<job> one) {
    const clock::time_point began = clock::now();
    const wire::submit& request = *one->request_;
    const http::call_limits limits{endpoint_connect_limit, stream_limit};
    http::request outgoing = outgoing_request(request);
    std::function<void(std::function<void()>)> started = [one](std::function<void()> cancel) {
        one->cancel_call_ = std::move(cancel);
    };
    auto opened = co_await http::open(settings_.endpoint_, std::move(outgoing), limits, std::move(started));
    if (!ok(opened)) {
        const bool sent = failure(opened).kind_ != error_kind::unreachable;
        const run_end how = sent ? run_end::unknown : run_end::not_run;
        if (sent) {
            answer(one, wire::failed{request.attempt_, failure(opened).message_});
        } else {
            answer(one, wire::refused{request.attempt_, std::uint8_t(refusal_reason::endpoint_down), 0, {}});
        }
        finish_job(one, how, elapsed_ms(began), {});
        co_return;
    }
    http::response_stream& stream = *value(opened);
    if (!one->item_.empty() && stream.status() == status_not_found) {
        answer(one, wire::refused{request.attempt_, std::uint8_t(refusal_reason::not_held), 0, {}});
        finish_job(one, run_end::not_held, elapsed_ms(began), {});
        co_return;
    }
    std::optional<stored_response> stored;
    if (!request.idempotent_) {
        stored = stored_response{stream.status(), std::string(stream.content_type()), {}};
    }
    const run_end how = co_await relay(one, stream, stored);
    finish_job(one, how, elapsed_ms(began), std::move(stored));
}

asio::awaitable<run_end> traffic::relay(std::shared_ptr<job> one, http::response_stream& stream,
                                        std::optional<stored_response>& stored) {
    const wire::submit& request = *one->request_;
    answer(one,
           wire::head{request.attempt_, stream.status(), std::string(stream.content_type()), one->item_});
    std::uint32_t sequence = 0;
    while (true) {
        co_await wait_for_credit(one);
        result<std::string> part = co_await stream.read();
        if (!ok(part)) {
            answer(one, wire::failed{request.attempt_, failure(part).message_});
            co_return run_end::unknown;
        }
        if (value(part).empty()) {
            break;
        }
        if (stored && stored->body_.size() + value(part).size() > stored_body_bytes) {
            stored.reset();
        }
        if (stored) {
            stored->body_ += value(part);
        }
        one->credit_ -= std::min<std::uint64_t>(one->credit_, value(part).size());
        answer(one, wire::chunk{request.attempt_, sequence++, std::move(value(part))});
    }
    answer(one, wire::end{request.attempt_, sequence});
    co_return run_end::complete;
}

// Waits until the entry granted more bytes. An answer whose entry is gone needs no credit.
asio::awaitable<void> traffic::wait_for_credit(std::shared_ptr<job> one) {
    while (one->credit_ == 0 && !one->from_.expired() && !one->withdrawn_) {
        one->wake_.expires_after(credit_check_interval);
        boost::system::error_code woken;
        co_await one->wake_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
    }
}

void traffic::finish_job(const std::shared_ptr<job>& one, run_end how, std::int64_t service_ms,
                         std::optional<stored_response> stored) {
    take_job(one->id_);
    events_.ended_(one->id_, how, service_ms, std::move(stored));
}

} // namespace tamarack::agent
