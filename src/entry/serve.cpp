// Request handling of an entry: routing, choice of an endpoint, attempts and the response to the caller.
#include "entry/answers.hpp"
#include "entry/routed_request.hpp"
#include "tamarack/claims.hpp"

#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace tamarack::entry {

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;

namespace {

// How often a waiting attempt checks that its agent still sends heartbeats.
constexpr std::chrono::milliseconds health_check_interval{200};

// How long an overdue attempt waits for its agent to confirm the cancellation.
constexpr std::chrono::milliseconds cancel_timeout{150};

constexpr std::int64_t default_retry_after_ms = 1'000;
constexpr double retries_per_request = 0.2;
constexpr double retry_reserve = 20.0;

// Responses that are not event streams are buffered up to this size, so that the caller receives a complete
// response or none; larger ones are streamed.
constexpr std::size_t max_buffered_response_bytes = 8 * 1024 * 1024;

attempt_result refused_result(const wire::refused& refusal) {
    attempt_result ended;
    ended.end_ = attempt_end::refused;
    ended.reason_ = refusal_reason(refusal.reason_);
    ended.retry_after_ms_ = refusal.retry_after_ms_;
    ended.redirect_ = refusal.redirect_;
    return ended;
}

attempt_result interrupted_result(std::string detail) {
    attempt_result ended;
    ended.end_ = attempt_end::interrupted;
    ended.detail_ = std::move(detail);
    return ended;
}

attempt_result not_sent_result(refusal_reason reason) {
    attempt_result ended;
    ended.end_ = attempt_end::not_sent;
    ended.reason_ = reason;
    ended.retry_after_ms_ = default_retry_after_ms;
    return ended;
}

// Relays the parts of one response from an agent to the caller.
struct response_relay {
    http::exchange& current_;
    wire::response_assembly assembly_;
    std::string endpoint_;
    wire::head head_{};
    std::string buffered_body_;
    bool streaming_ = false;
    bool delivered_ = false; // bytes have been sent to the caller

    std::vector<http::header> headers() const {
        std::vector<http::header> result_headers{{"Content-Type", head_.content_type_},
                                                 {"Tamarack-Outcome", "answered"},
                                                 {"Tamarack-Endpoint", endpoint_}};
        if (!head_.item_.empty()) {
            result_headers.push_back({"Tamarack-Item", head_.item_});
        }
        return result_headers;
    }
};

bool is_event_stream(const wire::head& head) {
    return head.content_type_.starts_with("text/event-stream");
}

asio::awaitable<bool> begin_streaming(response_relay& relay) {
    relay.streaming_ = true;
    relay.delivered_ = true;
    co_return co_await relay.current_.begin(relay.head_.status_, relay.headers());
}

asio::awaitable<bool> append_body(response_relay& relay, const std::string& part) {
    if (!relay.streaming_ && relay.buffered_body_.size() + part.size() > max_buffered_response_bytes) {
        const bool begun = co_await begin_streaming(relay);
        if (!begun || !co_await relay.current_.write(relay.buffered_body_)) {
            co_return false;
        }
        relay.buffered_body_.clear();
    }
    if (!relay.streaming_) {
        relay.buffered_body_ += part;
        co_return true;
    }
    co_return co_await relay.current_.write(part);
}

enum class part_result { relayed, invalid, caller_gone };

part_result to_part_result(wire::response_assembly::part_check check) {
    return check == wire::response_assembly::part_check::broken ? part_result::invalid : part_result::relayed;
}

// Relays a head, a chunk or an end; other events are ignored.
asio::awaitable<part_result> relay_part(response_relay& relay, const attempt_event& event) {
    using part_check = wire::response_assembly::part_check;
    if (const auto* last = std::get_if<wire::end>(&event)) {
        co_return to_part_result(relay.assembly_.add_end(*last));
    }
    bool caller_connected = true;
    part_check part_verdict = part_check::drop;
    if (const auto* head = std::get_if<wire::head>(&event)) {
        part_verdict = relay.assembly_.add_head(*head);
        if (part_verdict == part_check::accept) {
            relay.head_ = *head;
        }
        if (part_verdict == part_check::accept && is_event_stream(*head)) {
            caller_connected = co_await begin_streaming(relay);
        }
    } else if (const auto* part = std::get_if<wire::chunk>(&event)) {
        part_verdict = relay.assembly_.add_chunk(*part);
        if (part_verdict == part_check::accept) {
            caller_connected = co_await append_body(relay, part->data_);
        }
    }
    co_return caller_connected ? to_part_result(part_verdict) : part_result::caller_gone;
}

asio::awaitable<bool> finish_response(response_relay& relay) {
    if (relay.streaming_) {
        co_return co_await relay.current_.finish();
    }
    http::response response{relay.head_.status_, relay.headers(), std::move(relay.buffered_body_)};
    co_return co_await relay.current_.reply(std::move(response));
}

} // namespace

asio::awaitable<void> shard::serve(http::exchange& current) {
    result<caller_request> parsed = read_caller_request(current.incoming());
    if (!ok(parsed)) {
        co_await current.reply(error_response(failure(parsed)));
        co_return;
    }
    routed_request request;
    request.caller_request_ = std::move(value(parsed));
    request.started_at_ = clock::now();
    request.view_ = view_;
    const tables& current_tables = request.view_->config_.tables_;
    const model_reference model = parse_model_reference(request.caller_request_.model_);
    const route_query query{current.incoming().method_, current.incoming().path(),
                            request.caller_request_.organisation_, model.model_};
    const route_row* route = match_route(current_tables, query);
    if (route == nullptr) {
        const bool no_tables = request.view_->config_.version_ == no_version;
        const refusal_reason reason = no_tables ? refusal_reason::not_ready : refusal_reason::no_route;
        co_await current.reply(not_run_response(reason, no_tables ? default_retry_after_ms : 0));
        co_return;
    }
    request.route_ = *route;
    request.pool_ = &current_tables.pools_.find(route->pool_)->second;
    request.item_ = configured_item(*request.pool_, parse_model_reference(request.caller_request_.model_));
    if (request.pool_->kind_ == endpoint_kind::engine && request.item_.empty()) {
        co_await current.reply(not_run_response(refusal_reason::no_route, 0));
        co_return;
    }
    request.class_ = request.caller_request_.class_.value_or(route->class_);
    const std::int64_t deadline_ms = request.caller_request_.deadline_ms_.value_or(route->deadline_ms_);
    request.deadline_ = request.started_at_ + std::chrono::milliseconds(deadline_ms);
    co_await run_attempts(current, request);
}

asio::awaitable<void> shard::run_attempts(http::exchange& current, routed_request& request) {
    retry_budget& budget =
        retry_budgets_.try_emplace(request.route_.pool_, retries_per_request, retry_reserve).first->second;
    budget.request_started();
    attempt_result last = not_sent_result(refusal_reason::no_endpoint);
    outcome reported = decode_bound_key(request.caller_request_.key_) ? outcome::unknown : outcome::not_run;
    while (true) {
        const std::optional<std::string> endpoint = pick_endpoint(request);
        if (!endpoint) {
            break;
        }
        ++request.attempts_;
        last = co_await attempt(current, request, *endpoint);
        if (last.end_ == attempt_end::answered || last.caller_gone_) {
            record_metrics(request, last.caller_gone_ ? "caller_gone" : "answered", true);
            co_return;
        }
        attempt_facts facts;
        facts.end_ = last.end_;
        facts.idempotent_ = request.route_.idempotent_;
        facts.maybe_ran_before_ = request.may_have_run_;
        facts.key_used_before_ = last.end_ == attempt_end::refused && key_may_have_run(last.reason_);
        facts.bytes_delivered_ = last.bytes_delivered_;
        facts.retriable_ =
            last.end_ != attempt_end::refused || retriable_elsewhere(last.reason_) || !last.redirect_.empty();
        facts.budget_ms_ = request.time_left_ms();
        facts.attempts_made_ = request.attempts_;
        facts.retry_token_ = budget.available();
        const attempt_decision next = after_attempt(facts);
        reported = next.outcome_;
        request.may_have_run_ = request.may_have_run_ || last.end_ == attempt_end::interrupted;
        request.redirect_ = last.redirect_;
        request.tried_endpoints_.insert(*endpoint);
        if (next.next_ == next_step::finish) {
            break;
        }
        budget.retry_made();
    }
    co_await reply_with_outcome(current, request, last, reported);
}

asio::awaitable<void> shard::reply_with_outcome(http::exchange& current, const routed_request& request,
                                                const attempt_result& last, outcome reported) {
    record_metrics(request, to_string(reported), false);
    if (last.bytes_delivered_) {
        current.abort();
        co_return;
    }
    if (reported == outcome::unknown) {
        const std::string& caller_key = request.caller_request_.key_;
        const std::string key = caller_key.empty() ? request.bound_key_ : caller_key;
        const std::string detail =
            last.detail_.empty() ? "the instance that holds its key cannot be asked" : last.detail_;
        http::response response =
            unknown_outcome_response(detail, request.route_.idempotent_ ? std::string() : key);
        co_await current.reply(std::move(response));
        co_return;
    }
    co_await current.reply(not_run_response(last.reason_, std::max(last.retry_after_ms_, std::int64_t(0))));
}

void shard::record_metrics(const routed_request& request, std::string_view outcome_label,
                           bool with_first_byte) {
    const labels request_labels{{"tenant", request.caller_request_.organisation_},
                                {"class", std::string(to_string(request.class_))},
                                {"outcome", std::string(outcome_label)}};
    const std::chrono::duration<double, std::milli> total = clock::now() - request.started_at_;
    metrics_.observe_ms("tamarack_request_ms", "Time from the request to the end of its answer",
                        request_labels, total.count());
    if (with_first_byte && request.first_byte_at_) {
        const std::chrono::duration<double, std::milli> first = *request.first_byte_at_ - request.started_at_;
        metrics_.observe_ms("tamarack_first_byte_ms", "Time from the request to the first byte of its answer",
                            {{"tenant", request.caller_request_.organisation_},
                             {"class", std::string(to_string(request.class_))}},
                            first.count());
    }
    if (request.attempts_ > 1) {
        metrics_.count("tamarack_retries_total", "Attempts after the first", {{"pool", request.route_.pool_}},
                       double(request.attempts_ - 1));
    }
}

std::vector<candidate> shard::candidates(const routed_request& request) {
    const home_map& pool_homes = homes(request.route_.pool_);
    auto model_homes = pool_homes.find(parse_model_reference(request.caller_request_.model_).model_);
    std::vector<candidate> usable;
    for (const endpoint_view* endpoint : members_.pool_endpoints(request.route_.pool_)) {
        const listed_instance& instance = endpoint->instance_;
        if (request.tried_endpoints_.contains(instance.id_) ||
            !members_.accepts_new_requests(*endpoint, steady_now_ms())) {
            continue;
        }
        candidate option;
        option.id_ = instance.id_;
        const auto& resident = endpoint->status_.resident_;
        option.holds_ = request.item_.empty() ||
                        std::find(resident.begin(), resident.end(), request.item_) != resident.end();
        option.home_ = model_homes != pool_homes.end() &&
                       std::find(model_homes->second.begin(), model_homes->second.end(), instance.id_) !=
                           model_homes->second.end();
        option.same_data_centre_ = instance.data_centre_ == settings_.data_centre_;
        option.load_ =
            endpoint->status_.queued_ + endpoint->status_.running_ + sent_since_status_[instance.id_];
        usable.push_back(option);
    }
    return usable;
}

std::optional<std::string> shard::pick_endpoint(routed_request& request) {
    if (!request.redirect_.empty()) {
        return links_.contains(request.redirect_) ? std::optional(request.redirect_) : std::nullopt;
    }
    if (request.route_.idempotent_ || request.caller_request_.key_.empty()) {
        const std::vector<candidate> usable = candidates(request);
        const std::uint64_t affinity =
            request.caller_request_.affinity_ != 0 ? request.caller_request_.affinity_ : random_();
        const auto chosen = choose_endpoint(usable, affinity, random_());
        return chosen ? std::optional(std::string(usable[*chosen].id_)) : std::nullopt;
    }
    if (const auto bound = decode_bound_key(request.caller_request_.key_)) {
        const bool first_try = !request.tried_endpoints_.contains(bound->endpoint_);
        return first_try && links_.contains(bound->endpoint_) ? std::optional(bound->endpoint_)
                                                              : std::nullopt;
    }
    const std::vector<candidate> usable = candidates(request);
    const auto chosen = choose_by_key(usable, request.caller_request_.key_);
    return chosen ? std::optional(std::string(usable[*chosen].id_)) : std::nullopt;
}

wire::submit shard::make_submit(const http::request& incoming, const routed_request& request) {
    wire::submit message;
    message.attempt_ = next_attempt_++;
    message.method_ = incoming.method_;
    message.path_ = incoming.target_;
    message.content_type_ = incoming.find("Content-Type").value_or("");
    message.organisation_ = request.caller_request_.organisation_;
    message.model_ = request.caller_request_.model_;
    message.class_ = std::uint8_t(request.class_);
    message.budget_ms_ = request.time_left_ms();
    message.idempotent_ = request.route_.idempotent_;
    message.kv_tokens_ = request.caller_request_.kv_tokens_;
    message.body_ = incoming.body_;
    if (request.route_.idempotent_) {
        return message;
    }
    message.key_ = request.caller_request_.key_;
    message.key_issued_ms_ = request.caller_request_.key_issued_ms_;
    if (message.key_.empty()) {
        message.key_ = request.bound_key_;
    }
    return message;
}

asio::awaitable<attempt_result> shard::attempt(http::exchange& current, routed_request& request,
                                               const std::string& endpoint) {
    const std::shared_ptr<agent_link> link = links_[endpoint];
    if (!link->connected()) {
        const bool key_holder_only =
            decode_bound_key(request.caller_request_.key_) || !request.redirect_.empty();
        if (key_holder_only) {
            co_return interrupted_result("the instance that holds the key is not reachable");
        }
        co_return not_sent_result(refusal_reason::no_endpoint);
    }
    if (request.caller_request_.key_.empty()) {
        const bound_key generated{endpoint, link->incarnation(), link->agent_clock_ms(), random_()};
        request.bound_key_ = encode_bound_key(generated);
    }
    const wire::submit message = make_submit(current.incoming(), request);
    auto box = std::make_shared<mailbox>(context_.get_executor());
    if (!link->submit(message, box)) {
        co_return not_sent_result(refusal_reason::no_endpoint);
    }
    ++sent_since_status_[endpoint];
    current.on_disconnect([box] { box->push(caller_gone{}); });
    attempt_result ended = co_await relay(current, request, *link, *box, message.attempt_);
    link->release(message.attempt_);
    co_return ended;
}

bool shard::healthy(const std::string& endpoint) const {
    auto found = members_.endpoints().find(endpoint);
    return found != members_.endpoints().end() && found->second.connected_ &&
           steady_now_ms() - found->second.last_status_at_ <= settings_.heartbeat_limit_ms_;
}

// Cancels an attempt whose deadline passed before it was relayed as a stream. Waits up to `cancel_timeout`
// for the agent to report whether the request ran.
asio::awaitable<attempt_result> shard::cancel_overdue(agent_link& link, mailbox& box,
                                                      std::uint64_t attempt_id) {
    link.send(wire::cancel{attempt_id});
    const auto until = clock::now() + cancel_timeout;
    while (true) {
        const std::optional<attempt_event> event = co_await box.receive(until);
        if (!event) {
            break;
        }
        if (const auto* refusal = std::get_if<wire::refused>(&*event)) {
            co_return refused_result(*refusal);
        }
        const auto* confirmed = std::get_if<wire::cancelled>(&*event);
        if (confirmed != nullptr && confirmed->not_run_) {
            attempt_result ended = not_sent_result(refusal_reason::expired);
            ended.end_ = attempt_end::refused;
            co_return ended;
        }
        if (confirmed != nullptr || std::holds_alternative<link_lost>(*event)) {
            break;
        }
    }
    co_return interrupted_result("the deadline passed before the answer");
}

asio::awaitable<attempt_result> shard::relay(http::exchange& current, routed_request& request,
                                             agent_link& link, mailbox& box, std::uint64_t attempt_id) {
    response_relay response{current, wire::response_assembly(attempt_id), link.id()};
    auto interrupted = [&](std::string detail) {
        attempt_result ended = interrupted_result(std::move(detail));
        ended.bytes_delivered_ = response.delivered_;
        return ended;
    };
    auto caller_disconnected = [&] {
        link.send(wire::cancel{attempt_id});
        attempt_result ended = interrupted("the caller closed its connection");
        ended.caller_gone_ = true;
        return ended;
    };
    while (!response.assembly_.complete()) {
        const auto now = clock::now();
        const bool overdue = !response.streaming_ && now >= request.deadline_;
        if (overdue) {
            co_return co_await cancel_overdue(link, box, attempt_id);
        }
        const auto next_health_check = now + health_check_interval;
        std::optional<attempt_event> event = co_await box.receive(
            response.streaming_ ? next_health_check : std::min(next_health_check, request.deadline_));
        if (!event) {
            const bool may_abandon = request.route_.idempotent_ || response.streaming_;
            if (may_abandon && !healthy(link.id())) {
                link.send(wire::cancel{attempt_id});
                co_return interrupted("the endpoint is not heard of");
            }
            continue;
        }
        if (std::holds_alternative<caller_gone>(*event)) {
            co_return caller_disconnected();
        }
        if (std::holds_alternative<link_lost>(*event)) {
            co_return interrupted("the connection to the endpoint ended");
        }
        if (const auto* refusal = std::get_if<wire::refused>(&*event)) {
            co_return refused_result(*refusal);
        }
        if (const auto* failed = std::get_if<wire::failed>(&*event)) {
            co_return interrupted(failed->detail_);
        }
        const part_result part_status = co_await relay_part(response, *event);
        if (part_status == part_result::caller_gone) {
            co_return caller_disconnected();
        }
        if (const auto* part = std::get_if<wire::chunk>(&*event)) {
            link.send(wire::credit{attempt_id, part->data_.size()});
        }
        if (std::holds_alternative<wire::head>(*event)) {
            request.first_byte_at_ = clock::now();
        }
        if (part_status == part_result::invalid) {
            link.send(wire::cancel{attempt_id});
            co_return interrupted("the parts of the answer did not fit together");
        }
    }
    attempt_result ended;
    ended.end_ = attempt_end::answered;
    ended.caller_gone_ = !co_await finish_response(response);
    co_return ended;
}

} // namespace tamarack::entry
