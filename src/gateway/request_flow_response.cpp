// request_flow: handling of responses, and the end of a request.
#include "gateway/request_flow.hpp"

#include <algorithm>
#include <cstdio>

namespace tamarack::gateway {

namespace {

constexpr std::size_t max_unsent_bytes = 256 * 1024; // limit above which reading from the endpoint pauses
constexpr std::size_t max_unsent_bytes_if_scarce = 16 * 1024; // the same while memory is scarce

constexpr time_ms busy_retry_after_ms = 300; // expected time until a full endpoint has room
constexpr int max_misdirected = 3;           // rejections after which the view, not an endpoint, is wrong
constexpr int status_ok = 200;
constexpr int first_unsuccessful_status = 300;
constexpr int first_server_error_status = 500;
constexpr int status_misdirected = 421;
constexpr int status_bad_gateway = 502;
constexpr int status_gateway_timeout = 504;

} // namespace

// Whether the response is an event stream that the endpoint itself produced, as its stamp shows. A response
// that is to continue a stream must also say that it is one: the text of an error would otherwise become a
// part of it, and an empty response its end.
bool request_flow::is_event_stream(const http::response_parser& response) const {
    const bool stamped =
        http::find_header(response.headers_, context_.fleet_.names_.response_stamp_) != nullptr;
    const http::header* type = http::find_header(response.headers_, "Content-Type");
    const bool typed = type != nullptr && type->value_.starts_with("text/event-stream");
    return is_stream_route() && response.status_ == status_ok && stamped && (typed || !stream_begun_);
}

void request_flow::on_response_progress(http::response_parser& response) {
    if (!finished_) {
        note_response_head(response);
    }
    if (!finished_ && is_event_stream(response)) {
        forward_events(response);
    }
}

void request_flow::forward_events(http::response_parser& response) {
    std::string complete_events;
    const bool in_order = splitter_.append(response.body_, complete_events);
    response.body_.clear();
    if (!complete_events.empty()) {
        if (!stream_begun_) {
            stream_begun_ = true;
            sink_->begin_stream(status_ok, forwarded_headers(response.headers_));
        }
        on_events_received();
        sink_->send_data(complete_events);
        pause_if_client_is_behind();
    }
    if (!in_order && exchange_) {
        // An event is missing or has no end; what follows must not be passed on.
        const auto broken = std::exchange(exchange_, nullptr);
        on_attempt_ended(dispatch::send_end::broken, response);
        broken->abandon();
    }
}

// Stops reading from the endpoint until the client has read what it was sent. The exchange may have ended
// with the last events; what is unsent then belongs to the client's connection alone.
void request_flow::pause_if_client_is_behind() {
    if (!exchange_ || !sink_) {
        return;
    }
    const std::size_t limit = sink_->is_memory_scarce() ? max_unsent_bytes_if_scarce : max_unsent_bytes;
    if (sink_->unsent_bytes() > limit) {
        exchange_->pause();
    }
}

void request_flow::on_events_received() {
    const time_ms now = steady_now_ms();
    if (last_event_at_ == 0) {
        context_.metrics_.observe_ms("tamarack_first_event_ms", "From arrival to the first event",
                                     {{"kind", "stream"}}, double(now - arrived_at_));
    }
    if (attempt_) {
        if (!attempt_->has_first_event()) {
            context_.fleet_.note_first_event(attempt_->target(), now - attempt_->started_at_,
                                             expected_first_event_ms_);
        }
        attempt_->record_first_event();
        note_writing();
    }
    last_event_at_ = now;
    start_silence_watch();
}

void request_flow::on_write_completed() {
    if (exchange_) {
        exchange_->resume();
    }
}

dispatch::send_end request_flow::classify_end(exchange_outcome outcome,
                                              const http::response_parser& response) const {
    if (outcome == exchange_outcome::not_connected) {
        return dispatch::send_end::not_connected;
    }
    if (outcome == exchange_outcome::withheld) {
        return dispatch::send_end::withheld;
    }
    if (outcome == exchange_outcome::broken) {
        return dispatch::send_end::broken;
    }
    const header_names& names = context_.fleet_.names_;
    if (response.status_ == status_misdirected ||
        http::find_header(response.headers_, names.not_run_) != nullptr) {
        return dispatch::send_end::rejected;
    }
    const bool stamped = http::find_header(response.headers_, names.response_stamp_) != nullptr;
    return stamped ? dispatch::send_end::answered : dispatch::send_end::broken;
}

void request_flow::on_exchange_ended(exchange_outcome outcome) {
    if (finished_ || !exchange_) {
        return;
    }
    const auto ended = std::exchange(exchange_, nullptr);
    http::response_parser& response = ended->response();
    if (outcome == exchange_outcome::broken) {
        note_lost_request();
    }
    if (ended->response_begun()) {
        note_response_head(response); // which also counts if the rest never came
    }
    if (is_event_stream(response) && outcome == exchange_outcome::complete) {
        forward_events(response);
        if (!finished_ && finish_if_stream_complete()) {
            return;
        }
        on_attempt_ended(dispatch::send_end::broken, response);
        return;
    }
    on_attempt_ended(classify_end(outcome, response), response);
}

// Ends the client's stream if all of it was forwarded. Returns whether it did.
bool request_flow::finish_if_stream_complete() {
    if (splitter_.has_partial_event() || !stream_begun_) {
        return false;
    }
    update_health(dispatch::send_end::answered, status_ok);
    context_.fleet_.quarantine_.note_sound(suspects_, boot_now_ms());
    const time_ms now = steady_now_ms();
    if (counts_demand_) {
        context_.fleet_.demand_.note_service(metadata_.model_, double(now - attempt_->started_at_));
    }
    context_.fleet_.note_slot_time(service_->name_, now - attempt_->first_event_at());
    sink_->end_stream();
    finish(status_ok, "served");
    return true;
}

void request_flow::update_health(dispatch::send_end end, int status) {
    const time_ms now = steady_now_ms();
    dispatch::endpoint_health& health = attempt_->target().health_;
    switch (end) {
    case dispatch::send_end::answered:
        if (status >= first_server_error_status) {
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
    case dispatch::send_end::withheld:
    case dispatch::send_end::rejected:
        return;
    }
}

void request_flow::on_attempt_ended(dispatch::send_end end, http::response_parser& response) {
    const time_ms now = steady_now_ms();
    end_counted(false);
    wait_timer_.cancel();
    if (!may_be_held()) {
        silence_timer_.cancel();
    }
    update_health(end, response.status_);
    const bool arrived = end != dispatch::send_end::not_connected && end != dispatch::send_end::withheld;
    if (end == dispatch::send_end::withheld) {
        // The request may wait for a place there.
        tried_endpoints_.erase(attempt_->target().record().id_);
    }
    if (arrived) {
        end_trial();
    }
    const bool may_have_run_before = possible_runs_ > 0;
    arrived_attempts_ += arrived ? 1 : 0;
    possible_runs_ += arrived && end != dispatch::send_end::rejected ? 1 : 0;
    if (end == dispatch::send_end::rejected && response.status_ == status_misdirected) {
        note_misdirected(response);
    }
    dispatch::retry_window& retries = context_.fleet_.retries(service_->name_);
    dispatch::send_facts facts;
    facts.end_ = end;
    facts.repeatable_ = route_->repeatable();
    facts.may_have_run_before_ = may_have_run_before;
    facts.failure_status_ = response.status_ >= first_server_error_status;
    facts.sends_that_may_have_run_ = possible_runs_;
    facts.max_attempts_ = max_attempts();
    facts.budget_left_ = arrived_attempts_ == 0 || retries.available(now, context_.fleet_.budget_sharers());
    facts.time_left_ = left_ms(now) > min_retry_time_ms && may_begin(now) && !must_end_before_client(now);
    facts.other_endpoint_ =
        (has_other_endpoint() || end == dispatch::send_end::withheld) && misdirected_ < max_misdirected;
    const dispatch::next_step step = dispatch::after_send(facts);
    context_.events_.write({event_kind::sending,
                            "gateway",
                            "send_ended",
                            metadata_.id_,
                            {{"endpoint", attempt_->target().record().id_},
                             {"incarnation", attempt_->target().record().incarnation_},
                             {"end", dispatch::to_string(end)},
                             {"status", response.status_},
                             {"events", splitter_.event_count()},
                             {"suspects", suspects_text()},
                             {"took_ms", now - attempt_->started_at_},
                             {"view_age_ms", view_age_ms_},
                             {"may_run_again", facts.repeatable_},
                             {"other_endpoint", facts.other_endpoint_},
                             {"budget_left", facts.budget_left_},
                             {"left_ms", left_ms(now)},
                             {"outcome", dispatch::to_string(step)}}});
    context_.metrics_.count("tamarack_sends_total", "Sendings to endpoints by how they ended",
                            {{"end", std::string(dispatch::to_string(end))}});
    switch (step) {
    case dispatch::next_step::deliver:
        deliver(response);
        return;
    case dispatch::next_step::try_again:
        attempt_ = nullptr;
        try_next_endpoint();
        return;
    case dispatch::next_step::refuse:
        if (!may_begin(now)) {
            refuse_at_shutdown();
            return;
        }
        refuse(dispatch::to_string(end), busy_retry_after_ms);
        return;
    case dispatch::next_step::fail:
        fail(dispatch::to_string(end));
        return;
    }
}

void request_flow::deliver(http::response_parser& response) {
    if (stream_begun_) {
        // The endpoint that should have resumed the stream sent a response of another kind.
        fail("stream_not_resumed");
        return;
    }
    // A model engine that fails a request may not have begun it.
    const int first_unproved = service_->engine_ ? first_unsuccessful_status : first_server_error_status;
    if (response.status_ < first_unproved) {
        context_.fleet_.quarantine_.note_sound(suspects_, boot_now_ms());
    }
    if (response.status_ < first_unsuccessful_status && counts_demand_) {
        context_.fleet_.demand_.note_service(metadata_.model_,
                                             double(steady_now_ms() - attempt_->started_at_));
    }
    sink_->send_response(response.status_, forwarded_headers(response.headers_), std::move(response.body_));
    finish(response.status_, response.status_ < first_unsuccessful_status ? "served" : "endpoint_failed");
}

// Tells the client that the request has not run and when to retry. Fails the request if it may have run.
void request_flow::refuse(std::string_view reason, time_ms wait_ms, int status) {
    if (possible_runs_ > 0) {
        fail(reason);
        return;
    }
    const time_ms left =
        deadline_at_ > 0 ? left_ms(steady_now_ms()) : metadata_.deadline_ms_.value_or(wait_ms * 3);
    const time_ms after = dispatch::retry_after_ms(wait_ms, left, context_.fleet_.random());
    constexpr double ms_per_s = 1'000;
    char seconds[32];
    std::snprintf(seconds, sizeof(seconds), "%.3f", double(after) / ms_per_s);
    send_own_response(status, reason, {{"Retry-After", seconds}});
}

// Ends the request with an unknown outcome, without telling the client to retry.
void request_flow::fail(std::string_view reason) {
    if (stream_begun_) {
        // The end of the connection would otherwise be taken for the client's.
        const auto sink = sink_;
        finish(0, reason);
        sink->abort();
        return;
    }
    send_own_response(status_bad_gateway, reason);
}

void request_flow::send_own_response(int status, std::string_view reason, std::vector<http::header> headers) {
    if (finished_) {
        return;
    }
    const auto sink = sink_;
    sink->send_response(status, headers, "");
    finish(status, reason);
}

// What the request is waiting for.
std::string_view request_flow::pending_step() const {
    if (exchange_) {
        if (!exchange_->sent()) {
            return "connection";
        }
        return stream_begun_ ? "next_event" : exchange_->response_begun() ? "rest_of_response" : "response";
    }
    if (waiting_for_model_) {
        return "model";
    }
    if (awaited_endpoint_) {
        return "place_in_limit";
    }
    return adapter_endpoint_.empty() ? "endpoint" : "adapter";
}

// Logs what a request was waiting for when its time ran out, and what its endpoint was chosen by.
void request_flow::log_deadline() {
    const time_ms now = steady_now_ms();
    context_.events_.write({event_kind::sending,
                            "gateway",
                            "out_of_time",
                            metadata_.id_,
                            {{"endpoint", attempt_ ? attempt_->target().record().id_ : std::string()},
                             {"waits_for", pending_step()},
                             {"sent_ms_ago", attempt_ ? now - attempt_->started_at_ : -1},
                             {"timeout_ms", route_->timeout_ms_},
                             {"candidates", choice_.candidates_},
                             {"running", choice_.running_},
                             {"failure_rate", choice_.failure_rate_},
                             {"expected_ms", choice_.expected_ms_},
                             {"view_age_ms", view_age_ms_},
                             {"arrivals", arrived_attempts_}}});
}

void request_flow::on_deadline() {
    log_deadline();
    // A response that began and did not end, or a stream that stopped within an event.
    if (exchange_ && (stream_begun_ ? splitter_.has_partial_event() : exchange_->response_begun())) {
        update_health(dispatch::send_end::broken, 0);
    }
    end_unfinished("timeout");
}

// Ends the request, for which there is no more time. Its outcome is unknown if it may have run.
void request_flow::end_unfinished(std::string_view reason) {
    if (exchange_) {
        const bool sent = exchange_->sent();
        arrived_attempts_ += sent ? 1 : 0;
        possible_runs_ += sent ? 1 : 0;
        std::exchange(exchange_, nullptr)->abandon();
    }
    if (stream_begun_) {
        fail(reason);
    } else if (possible_runs_ > 0) {
        send_own_response(status_gateway_timeout, reason);
    } else {
        refuse(reason, busy_retry_after_ms);
    }
}

void request_flow::on_client_disconnected() {
    if (finished_) {
        return;
    }
    if (exchange_) {
        possible_runs_ += exchange_->sent() ? 1 : 0;
        std::exchange(exchange_, nullptr)->abandon();
    }
    finish(0, "client_gone");
}

void request_flow::refuse_if_unsent() {
    const bool unsent = !exchange_ || !exchange_->sent();
    if (!finished_ && unsent && !may_begin(steady_now_ms())) {
        refuse_at_shutdown();
    }
}

void request_flow::refuse_at_shutdown() {
    refuse("process_ends", busy_retry_after_ms);
}

void request_flow::end_before_exit() {
    if (!finished_) {
        end_unfinished("process_ends");
    }
}

// The limit that the present endpoint names on its requests per second; -1 without one.
double request_flow::limit_of_endpoint() const {
    return attempt_ ? context_.fleet_.notices_.limits().limit(attempt_->target().record().id_).value_or(-1)
                    : -1;
}

void request_flow::finish(int status, std::string_view outcome) {
    if (finished_) {
        return;
    }
    finished_ = true;
    stop_waiting_for_model();
    stop_waiting_for_place();
    release_place();
    end_counted(false);
    end_trial();
    return_unused_quota();
    deadline_timer_.cancel();
    wait_timer_.cancel();
    silence_timer_.cancel();
    const time_ms now = steady_now_ms();
    const std::int64_t version = configured_ ? configured_->configuration_->version_ : -1;
    context_.events_.write({event_kind::ending,
                            "gateway",
                            "request_ended",
                            metadata_.id_,
                            {{"route", route_ == nullptr ? std::string() : route_->name_},
                             {"configuration", version},
                             {"keys", int(metadata_.keys_.size())},
                             {"organisation", caller_.organisation_},
                             {"model", metadata_.model_},
                             {"endpoint", attempt_ ? attempt_->target().record().id_ : std::string()},
                             {"limit_per_s", limit_of_endpoint()},
                             {"arrivals", arrived_attempts_},
                             {"events", splitter_.event_count()},
                             {"took_ms", now - arrived_at_},
                             {"view_age_ms", view_age_ms_},
                             {"status", status},
                             {"outcome", outcome}}});
    const std::string rank = route_ == nullptr ? "none" : std::to_string(this->rank());
    context_.metrics_.count("tamarack_requests_total",
                            "Requests by the rank of their route and their outcome",
                            {{"rank", rank}, {"outcome", std::string(outcome)}});
    context_.metrics_.observe_ms("tamarack_request_ms", "From arrival to the end of the answer",
                                 {{"rank", rank}}, double(now - arrived_at_));
    attempt_ = nullptr;
    release_adapter();
    if (exchange_) {
        std::exchange(exchange_, nullptr)->abandon();
    }
    sink_ = nullptr;
    on_finished_();
}

} // namespace tamarack::gateway
