// One attempt of a request at one agent: what arrives for it, and how it ended.
#pragma once

#include "tamarack/admission.hpp"
#include "tamarack/routing.hpp"
#include "tamarack/wire.hpp"

#include <boost/asio/steady_timer.hpp>

namespace tamarack::entry {

// The connection to the agent ended.
struct link_lost {};

// The caller closed its connection.
struct caller_gone {};

using attempt_event = std::variant<wire::head, wire::chunk, wire::end, wire::refused, wire::failed,
                                   wire::cancelled, wire::key_issued, link_lost, caller_gone>;

// Events of one attempt in order of arrival. One coroutine takes; all calls from one thread.
class mailbox {
public:
    explicit mailbox(const boost::asio::any_io_executor& executor) : timer_(executor) {}

    void put(attempt_event event) {
        events_.push_back(std::move(event));
        timer_.cancel();
    }

    // The next event, or nothing once `until` passes.
    boost::asio::awaitable<std::optional<attempt_event>> take(std::chrono::steady_clock::time_point until);

private:
    std::deque<attempt_event> events_;
    boost::asio::steady_timer timer_;
};

// How an attempt ended, with what the agent said about it.
struct attempt_result {
    attempt_end end_ = attempt_end::interrupted;
    refusal_reason reason_ = refusal_reason::no_endpoint;
    std::int64_t retry_after_ms_ = 0;
    std::string redirect_;
    std::string detail_;
    bool bytes_delivered_ = false;
    bool caller_gone_ = false;
};

} // namespace tamarack::entry
