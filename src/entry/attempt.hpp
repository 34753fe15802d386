// One attempt to run a request on one agent: the events that it receives and its result.
#pragma once

#include "tamarack/admission.hpp"
#include "tamarack/routing.hpp"
#include "tamarack/wire.hpp"

#include <boost/asio/steady_timer.hpp>

namespace tamarack::entry {

// The connection to the agent was lost.
struct link_lost {};

// The caller closed its connection.
struct caller_gone {};

using attempt_event = std::variant<wire::head, wire::chunk, wire::end, wire::refused, wire::failed,
                                   wire::cancelled, wire::key_issued, link_lost, caller_gone>;

// Queue of the events of one attempt, in order of arrival. It has a single consumer, and all calls are made
// from one thread.
class mailbox {
public:
    explicit mailbox(const boost::asio::any_io_executor& executor) : timer_(executor) {}

    void push(attempt_event event) {
        events_.push_back(std::move(event));
        timer_.cancel();
    }

    // Returns the next event, or nothing once `until` has passed.
    boost::asio::awaitable<std::optional<attempt_event>> receive(std::chrono::steady_clock::time_point until);

private:
    std::deque<attempt_event> events_;
    boost::asio::steady_timer timer_;
};

// How an attempt ended, with the details of the agent's reply.
struct attempt_result {
    attempt_end end_ = attempt_end::interrupted;
    refusal_reason reason_ = refusal_reason::no_endpoint;
    std::int64_t retry_after_ms_ = 0;
    std::string redirect_;         // endpoint that holds the key, as named by a refusing agent
    std::string detail_;           // why the attempt was interrupted
    bool bytes_delivered_ = false; // part of the response has been sent to the caller
    bool caller_gone_ = false;
};

} // namespace tamarack::entry
