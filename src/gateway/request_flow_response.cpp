// What comes back from an endpoint: judged, passed on, or tried again elsewhere.
#include "gateway/request_flow.hpp"

#include <algorithm>
#include <cstdio>

namespace tamarack::gateway {

namespace {

constexpr std::size_t most_unwritten_bytes = 256 * 1024; // to a client that reads slowly
constexpr time_ms least_useful_ms = 30;                  // left, for another sending to make sense
constexpr time_ms silence_ms = 700;      // of an engine; a third of the time in which clients leave a stream
constexpr time_ms silence_look_ms = 200; // between looks after it
constexpr time_ms busy_return_ms = 300;  // until a full endpoint has room
constexpr int status_ok = 200;
constexpr int first_failure_status = 300;
constexpr int first_server_error = 500;
constexpr int status_misdirected = 421;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

} // namespace

// Whether the answer is a stream of events that an endpoint made.
bool request_flow::streams(const http::response_parser& answer) const {
    const bool stamped =
        http::find_header(answer.headers_, context_.fleet_.names_.response_stamp_) != nullptr;
    return is_stream() && answer.status_ == status_ok && stamped;
}

namespace {

// Whether nothing tells that the engine still runs.
bool endpoint_lost(const endpoint& one, time_ms now, int gateways) {
    return !one.engine_.known_ || !one.engine_.reachable_ || one.report_overdue(now, gateways);
}

} // namespace

void request_flow::take_progress(http::response_parser& answer) {
    if (!finished_ && streams(answer)) {
        take_events(answer);
    }
}

void request_flow::take_events(http::response_parser& answer) {
    std::string whole;
    const bool in_order = splitter_.take(answer.body_, whole);
    answer.body_.clear();
    if (!whole.empty()) {
        if (!stream_begun_) {
            stream_begun_ = true;
            sink_->begin_stream(status_ok, forwarded_headers(answer.headers_));
        }
        first_event();
        sink_->send_part(whole);
        if (sink_ != nullptr && sink_->unwritten() > most_unwritten_bytes) {
            exchange_->pause();
        }
    }
    if (!in_order && exchange_) {
        // An event is missing; what follows must not be passed on.
        const auto broken = std::exchange(exchange_, nullptr);
        go_on(dispatch::send_end::broken, answer);
        broken->abandon();
    }
}

void request_flow::first_event() {
    const time_ms now = steady_now_ms();
    if (last_event_at_ == 0) {
        context_.measures_.observe_ms("tamarack_first_event_ms", "From arrival to the first event",
                                      {{"kind", "stream"}}, double(now - arrived_at_));
    }
    if (sending_) {
        if (!sending_->first_event_seen()) {
            context_.fleet_.note_first_event(sending_->at(), now - sending_->began_at_);
        }
        sending_->first_event();
    }
    last_event_at_ = now;
    if (route_->repeatable()) {
        arm_pause_watch();
    }
}

// A request whose engine falls silent goes on elsewhere if the engine's agent is not heard of either, before
// its client leaves: a machine that stands still cannot be told that nobody waits any more. Where it cannot,
// or where the engine is only slow, silence is no reason to end it.
void request_flow::arm_pause_watch() {
    watch_for_silence(silence_ms);
}

void request_flow::watch_for_silence(time_ms limit) {
    pause_.expires_after(std::chrono::milliseconds(limit));
    pause_.async_wait([self = shared_from_this()](boost::system::error_code cancelled) {
        if (cancelled || self->finished_ || !self->exchange_) {
            return;
        }
        if (self->sink_->unwritten() > 0 || !self->can_go_on_elsewhere()) {
            self->watch_for_silence(silence_look_ms);
            return;
        }
        const auto silent = std::exchange(self->exchange_, nullptr);
        self->go_on(dispatch::send_end::broken, silent->answer());
        silent->abandon();
    });
}

bool request_flow::can_go_on_elsewhere() const {
    const time_ms now = steady_now_ms();
    return endpoint_lost(sending_->at(), now, context_.fleet_.gateway_count()) &&
           maybe_runs_ + 1 < route_->max_attempts_ && left_ms(now) > least_useful_ms &&
           context_.fleet_.retries(service_->name_).available(now, context_.fleet_.gateway_count()) &&
           !usable_endpoints().empty();
}

void request_flow::drained() {
    if (exchange_) {
        exchange_->resume();
    }
}

dispatch::send_end request_flow::judge_end(exchange_end end, const http::response_parser& answer) const {
    if (end == exchange_end::not_connected) {
        return dispatch::send_end::not_connected;
    }
    if (end == exchange_end::broken) {
        return dispatch::send_end::broken;
    }
    const header_names& names = context_.fleet_.names_;
    if (answer.status_ == status_misdirected ||
        http::find_header(answer.headers_, names.not_run_) != nullptr) {
        return dispatch::send_end::rejected;
    }
    const bool stamped = http::find_header(answer.headers_, names.response_stamp_) != nullptr;
    return stamped ? dispatch::send_end::answered : dispatch::send_end::broken;
}

void request_flow::take_end(exchange_end end) {
    if (finished_ || !exchange_) {
        return;
    }
    const auto ended = std::exchange(exchange_, nullptr);
    http::response_parser& answer = ended->answer();
    if (streams(answer) && end == exchange_end::complete) {
        take_events(answer);
        if (!finished_ && stream_complete()) {
            return;
        }
        go_on(dispatch::send_end::broken, answer);
        return;
    }
    go_on(judge_end(end, answer), answer);
}

// Ends the client's stream if all of it was passed on.
bool request_flow::stream_complete() {
    if (splitter_.unfinished() || !stream_begun_) {
        return false;
    }
    note_health(dispatch::send_end::answered, status_ok);
    const time_ms now = steady_now_ms();
    context_.fleet_.demand_.note_service(facts_.model_, double(now - sending_->began_at_));
    context_.fleet_.note_slot_time(service_->name_, now - sending_->first_event_at());
    sink_->end_stream();
    finish(status_ok, "served");
    return true;
}

void request_flow::note_health(dispatch::send_end end, int status) {
    const time_ms now = steady_now_ms();
    dispatch::endpoint_health& health = sending_->at().health_;
    switch (end) {
    case dispatch::send_end::answered:
        if (status >= first_server_error) {
            health.note_failure(now);
        } else {
            health.note_success(now);
        }
        return;
    case dispatch::send_end::broken:
        health.note_failure(now);
        return;
    case dispatch::send_end::not_connected:
        health.note_unreachable(now);
        return;
    case dispatch::send_end::rejected:
        return;
    }
}

void request_flow::go_on(dispatch::send_end end, http::response_parser& answer) {
    const time_ms now = steady_now_ms();
    pause_.cancel();
    note_health(end, answer.status_);
    const bool arrived = end != dispatch::send_end::not_connected;
    const bool maybe_ran_before = maybe_runs_ > 0;
    arrivals_ += arrived ? 1 : 0;
    maybe_runs_ += arrived && end != dispatch::send_end::rejected ? 1 : 0;
    if (end == dispatch::send_end::rejected && answer.status_ == status_misdirected) {
        const http::header* other = http::find_header(answer.headers_, context_.fleet_.names_.endpoint_id_);
        if (other != nullptr && other->value_ != sending_->at().record().id_) {
            sending_->at().set_gone();
        }
    }
    dispatch::retry_window& retries = context_.fleet_.retries(service_->name_);
    dispatch::send_facts facts;
    facts.end_ = end;
    facts.repeatable_ = route_->repeatable();
    facts.may_have_run_before_ = maybe_ran_before;
    facts.failure_status_ = answer.status_ >= first_server_error;
    facts.sends_that_may_have_run_ = maybe_runs_;
    facts.max_attempts_ = route_->max_attempts_;
    facts.budget_left_ = arrivals_ == 0 || retries.available(now, context_.fleet_.gateway_count());
    facts.time_left_ = left_ms(now) > least_useful_ms;
    facts.other_endpoint_ = !usable_endpoints().empty();
    const dispatch::next_step step = dispatch::after_send(facts);
    context_.events_.write({event_kind::sending,
                            "gateway",
                            "send_ended",
                            facts_.id_,
                            {{"endpoint", sending_->at().record().id_},
                             {"end", dispatch::to_string(end)},
                             {"status", answer.status_},
                             {"took_ms", now - sending_->began_at_},
                             {"may_run_again", facts.repeatable_},
                             {"other_endpoint", facts.other_endpoint_},
                             {"budget_left", facts.budget_left_},
                             {"left_ms", left_ms(now)},
                             {"outcome", dispatch::to_string(step)}}});
    context_.measures_.count("tamarack_sends_total", "Sendings to endpoints by how they ended",
                             {{"end", std::string(dispatch::to_string(end))}});
    switch (step) {
    case dispatch::next_step::deliver:
        deliver(answer);
        return;
    case dispatch::next_step::try_again:
        if (arrivals_ > 0) {
            retries.note_retry(now);
        }
        sending_ = nullptr;
        try_next();
        return;
    case dispatch::next_step::refuse:
        refuse(dispatch::to_string(end), busy_return_ms);
        return;
    case dispatch::next_step::fail:
        fail(dispatch::to_string(end));
        return;
    }
}

void request_flow::deliver(http::response_parser& answer) {
    if (stream_begun_) {
        // The endpoint that was to go on with the stream answered something else.
        fail("stream_not_resumed");
        return;
    }
    if (answer.status_ < first_failure_status && !facts_.model_.empty()) {
        context_.fleet_.demand_.note_service(facts_.model_, double(steady_now_ms() - sending_->began_at_));
    }
    sink_->send_whole(answer.status_, forwarded_headers(answer.headers_), answer.body_);
    finish(answer.status_, answer.status_ < first_failure_status ? "served" : "endpoint_failed");
}

// Tells the client that the request has not run and when to return; only if that is certain.
void request_flow::refuse(std::string_view reason, time_ms wait_ms) {
    if (maybe_runs_ > 0) {
        fail(reason);
        return;
    }
    const time_ms left = until_ > 0 ? left_ms(steady_now_ms()) : facts_.deadline_ms_.value_or(wait_ms * 3);
    const time_ms after = dispatch::retry_after_ms(wait_ms, left, context_.fleet_.random());
    constexpr double ms_per_s = 1'000;
    char seconds[32];
    std::snprintf(seconds, sizeof(seconds), "%.3f", double(after) / ms_per_s);
    answer_own(status_unavailable, reason, {{"Retry-After", seconds}});
}

// The outcome is unknown, so nothing is promised.
void request_flow::fail(std::string_view reason) {
    if (stream_begun_) {
        sink_->abort();
        finish(0, reason);
        return;
    }
    answer_own(status_bad_gateway, reason);
}

void request_flow::answer_own(int status, std::string_view reason, std::vector<http::header> headers) {
    if (finished_) {
        return;
    }
    const auto sink = sink_;
    sink->send_whole(status, headers, "");
    finish(status, reason);
}

void request_flow::time_out() {
    if (exchange_) {
        const bool sent = exchange_->sent();
        arrivals_ += sent ? 1 : 0;
        maybe_runs_ += sent ? 1 : 0;
        std::exchange(exchange_, nullptr)->abandon();
    }
    if (stream_begun_) {
        fail("timeout");
    } else if (maybe_runs_ > 0) {
        answer_own(status_gateway_timeout, "timeout");
    } else {
        refuse("timeout", busy_return_ms);
    }
}

void request_flow::client_gone() {
    if (finished_) {
        return;
    }
    if (exchange_) {
        std::exchange(exchange_, nullptr)->abandon();
    }
    finish(0, "client_gone");
}

void request_flow::refuse_if_unsent() {
    const bool unsent = !exchange_ || !exchange_->sent();
    if (!finished_ && unsent) {
        refuse("process_ends", busy_return_ms);
    }
}

void request_flow::finish(int status, std::string_view outcome) {
    if (finished_) {
        return;
    }
    finished_ = true;
    stop_holding();
    limit_.cancel();
    pause_.cancel();
    const time_ms now = steady_now_ms();
    const std::int64_t version = configured_ ? configured_->configuration_->version_ : -1;
    context_.events_.write({event_kind::ending,
                            "gateway",
                            "request_ended",
                            facts_.id_,
                            {{"route", route_ == nullptr ? std::string() : route_->name_},
                             {"configuration", version},
                             {"model", facts_.model_},
                             {"endpoint", sending_ ? sending_->at().record().id_ : std::string()},
                             {"arrivals", arrivals_},
                             {"events", splitter_.events()},
                             {"took_ms", now - arrived_at_},
                             {"status", status},
                             {"outcome", outcome}}});
    const std::string rank = route_ == nullptr ? "none" : std::to_string(route_->rank_);
    context_.measures_.count("tamarack_requests_total",
                             "Requests by the rank of their route and their outcome",
                             {{"rank", rank}, {"outcome", std::string(outcome)}});
    context_.measures_.observe_ms("tamarack_request_ms", "From arrival to the end of the answer",
                                  {{"rank", rank}}, double(now - arrived_at_));
    sending_ = nullptr;
    release_adapter();
    if (exchange_) {
        std::exchange(exchange_, nullptr)->abandon();
    }
    sink_ = nullptr;
    on_finished_();
}

} // namespace tamarack::gateway
