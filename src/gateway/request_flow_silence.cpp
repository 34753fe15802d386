// request_flow: requests at endpoints that send nothing.
#include "gateway/request_flow.hpp"

#include <algorithm>

namespace tamarack::gateway {

namespace {

// Time without events after which a request may be moved to another endpoint: about a third of the shortest
// pause after which clients leave a stream, so that the move comes before they leave.
constexpr time_ms silence_limit_ms = 700;

constexpr time_ms silence_check_interval_ms = 200; // interval between further checks
constexpr time_ms leaving_check_interval_ms = 50;  // interval while the client is about to leave

// Whether there is no recent report of a reachable engine at the endpoint.
bool is_endpoint_lost(const endpoint& target, time_ms now, int gateways) {
    return !target.engine_.known_ || !target.engine_.reachable_ || target.report_overdue(now, gateways);
}

} // namespace

// If the engine sends nothing and its agent has stopped reporting as well or cannot reach it, moves the
// request to another endpoint before the client leaves. Once the client has left, the gateway cannot cancel
// the request at a hung instance. If the request cannot be moved, the attempt continues until the client is
// about to leave, and is then ended with an unknown outcome, so that the client can go on elsewhere. So is a
// request that was moved and still has no event. An engine that is only slow keeps its request.
void request_flow::start_silence_watch() {
    check_silence_after(silence_limit_ms);
}

// Checks after this time, or as soon as the client of a stream is about to leave.
void request_flow::check_silence_after(time_ms delay) {
    if (is_stream_route()) {
        const time_ms now = steady_now_ms();
        time_ms until_leaving = left_ms(now) - dispatch::leaving_margin_ms;
        if (route_->patience_ms_ > 0) {
            const time_ms silent = now - std::max(arrived_at_, last_event_at_);
            until_leaving =
                std::min(until_leaving, route_->patience_ms_ - silent - dispatch::leaving_margin_ms);
        }
        delay = std::min(delay, std::max(leaving_check_interval_ms, until_leaving));
    }
    silence_timer_.expires_after(std::chrono::milliseconds(delay));
    silence_timer_.async_wait([self = shared_from_this()](boost::system::error_code cancelled) {
        if (!cancelled && !self->finished_) {
            self->check_silence();
        }
    });
}

void request_flow::check_silence() {
    const time_ms now = steady_now_ms();
    if (!exchange_) {
        // It waits for another endpoint.
        if (must_end_before_client(now)) {
            fail(dispatch::to_string(dispatch::send_end::broken));
        } else {
            check_silence_after(silence_check_interval_ms);
        }
        return;
    }
    const bool ends = can_fail_over() || should_end_silent_stream();
    if (sink_->unsent_bytes() > 0 || !ends) {
        check_silence_after(silence_check_interval_ms);
        return;
    }
    silent_attempts_.push_back({attempt_->target().shared_from_this(), now});
    const auto silent = std::exchange(exchange_, nullptr);
    on_attempt_ended(dispatch::send_end::broken, silent->response());
    silent->abandon();
    if (!finished_ && !exchange_) {
        check_silence_after(silence_check_interval_ms);
    }
}

// Whether an endpoint that was given up may still hold the request: it has not reported since.
bool request_flow::may_be_held() const {
    return std::any_of(silent_attempts_.begin(), silent_attempts_.end(), [](const silent_attempt& one) {
        return one.target_->engine_.reported_at_ <= one.ended_at_;
    });
}

bool request_flow::is_client_about_to_leave(time_ms now) const {
    return dispatch::is_client_about_to_leave(now - std::max(arrived_at_, last_event_at_),
                                              route_->patience_ms_, left_ms(now));
}

// Whether the stream has to end now, since it could not be cancelled everywhere once its client has left.
bool request_flow::must_end_before_client(time_ms now) const {
    return is_stream_route() && service_->engine_ && may_be_held() && is_client_about_to_leave(now);
}

bool request_flow::should_end_silent_stream() const {
    const time_ms now = steady_now_ms();
    if (must_end_before_client(now)) {
        return true;
    }
    const endpoint& target = attempt_->target();
    const int gateways = context_.fleet_.gateway_count();
    // One missing report is enough here: the client would leave the stream now in any case.
    const bool doubted = is_endpoint_lost(target, now, gateways) || target.report_missed(now, gateways);
    const bool silent = now - std::max(arrived_at_, last_event_at_) >= silence_limit_ms;
    return is_stream_route() && service_->engine_ && doubted && silent && is_client_about_to_leave(now);
}

bool request_flow::can_fail_over() const {
    const time_ms now = steady_now_ms();
    const bool silent = now - std::max(attempt_->started_at_, last_event_at_) >= silence_limit_ms;
    return route_->repeatable() && silent &&
           is_endpoint_lost(attempt_->target(), now, context_.fleet_.gateway_count()) &&
           possible_runs_ + 1 < max_attempts() && left_ms(now) > min_retry_time_ms && may_begin(now) &&
           context_.fleet_.retries(service_->name_).available(now, context_.fleet_.budget_sharers()) &&
           has_other_endpoint();
}

} // namespace tamarack::gateway
