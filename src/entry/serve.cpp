// The way of one request through an entry: route, choice of endpoint, attempts, and the answer to the caller.
#include "entry/answers.hpp"
#include "entry/routed_request.hpp"
#include "tamarack/claims.hpp"

#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace tamarack::entry {

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;

namespace {

// How often an attempt that waits looks whether its agent is still heard of.
constexpr std::chrono::milliseconds health_interval{200};

// How long an agent may take to confirm a cancellation.
constexpr std::chrono::milliseconds cancel_limit{150};

constexpr std::int64_t default_retry_after_ms = 1'000;
constexpr double retries_per_request = 0.2;
constexpr double retry_reserve = 20.0;

// Answers that are not streamed are collected up to this size, so that the caller gets all or nothing.
constexpr std::size_t collected_answer_bytes = 8 * 1024 * 1024;

attempt_result refused_result(const wire::refused& said) {
    attempt_result ended;
    ended.end_ = attempt_end::refused;
    ended.reason_ = refusal_reason(said.reason_);
    ended.retry_after_ms_ = said.retry_after_ms_;
    ended.redirect_ = said.redirect_;
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

// What arrives of one answer, on its way to the caller.
struct answer_relay {
    http::exchange& current_;
    wire::answer_assembly assembly_;
    std::string endpoint_;
    wire::head head_{};
    std::string collected_;
    bool streaming_ = false;
    bool delivered_ = false;

    std::vector<http::header> headers() const {
        std::vector<http::header> all{{"Content-Type", head_.content_type_},
                                      {"Tamarack-Outcome", "answered"},
                                      {"Tamarack-Endpoint", endpoint_}};
        if (!head_.item_.empty()) {
            all.push_back({"Tamarack-Item", head_.item_});
        }
        return all;
    }
};

bool is_event_stream(const wire::head& head) {
    return head.content_type_.starts_with("text/event-stream");
}

asio::awaitable<bool> begin_streaming(answer_relay& relay) {
    relay.streaming_ = true;
    relay.delivered_ = true;
    co_return co_await relay.current_.begin(relay.head_.status_, relay.headers());
}

asio::awaitable<bool> take_part(answer_relay& relay, const std::string& part) {
    if (!relay.streaming_ && relay.collected_.size() + part.size() > collected_answer_bytes) {
        const bool begun = co_await begin_streaming(relay);
        if (!begun || !co_await relay.current_.write(relay.collected_)) {
            co_return false;
        }
        relay.collected_.clear();
    }
    if (!relay.streaming_) {
        relay.collected_ += part;
        co_return true;
    }
    co_return co_await relay.current_.write(part);
}

enum class part_result { taken, broken, caller_gone };

part_result result_of(wire::answer_assembly::verdict verdict) {
    return verdict == wire::answer_assembly::verdict::broken ? part_result::broken : part_result::taken;
}

// Takes a head, a chunk or an end; anything else is passed over.
asio::awaitable<part_result> take_part_of_answer(answer_relay& relay, const attempt_event& event) {
    using verdict = wire::answer_assembly::verdict;
    if (const auto* last = std::get_if<wire::end>(&event)) {
        co_return result_of(relay.assembly_.take_end(*last));
    }
    bool caller_there = true;
    verdict taken = verdict::drop;
    if (const auto* head = std::get_if<wire::head>(&event)) {
        taken = relay.assembly_.take_head(*head);
        if (taken == verdict::accept) {
            relay.head_ = *head;
        }
        if (taken == verdict::accept && is_event_stream(*head)) {
            caller_there = co_await begin_streaming(relay);
        }
    } else if (const auto* part = std::get_if<wire::chunk>(&event)) {
        taken = relay.assembly_.take_chunk(*part);
        if (taken == verdict::accept) {
            caller_there = co_await take_part(relay, part->data_);
        }
    }
    co_return caller_there ? result_of(taken) : part_result::caller_gone;
}

asio::awaitable<bool> finish_answer(answer_relay& relay) {
    if (relay.streaming_) {
        co_return co_await relay.current_.finish();
    }
    http::response whole{relay.head_.status_, relay.headers(), std::move(relay.collected_)};
    co_return co_await relay.current_.reply(std::move(whole));
}

} // namespace

asio::awaitable<void> shard::serve(http::exchange& current) {
    result<caller_request> read = read_caller_request(current.incoming());
    if (!ok(read)) {
        co_await current.reply(error_answer(failure(read)));
        co_return;
    }
    routed_request request;
    request.facts_ = std::move(value(read));
    request.began_ = clock::now();
    request.view_ = view_;
    const tables& in_force = request.view_->config_.tables_;
    const model_reference model = parse_model_reference(request.facts_.model_);
    const route_query query{current.incoming().method_, current.incoming().path(),
                            request.facts_.organisation_, model.model_};
    const route_row* route = match_route(in_force, query);
    if (route == nullptr) {
        const bool no_tables = request.view_->config_.version_ == no_version;
        const refusal_reason reason = no_tables ? refusal_reason::not_ready : refusal_reason::no_route;
        co_await current.reply(not_run_answer(reason, no_tables ? default_retry_after_ms : 0));
        co_return;
    }
    request.route_ = *route;
    request.pool_ = &in_force.pools_.find(route->pool_)->second;
    request.item_ = configured_item(*request.pool_, parse_model_reference(request.facts_.model_));
    if (request.pool_->kind_ == endpoint_kind::engine && request.item_.empty()) {
        co_await current.reply(not_run_answer(refusal_reason::no_route, 0));
        co_return;
    }
    request.class_ = request.facts_.class_.value_or(route->class_);
    const std::int64_t deadline_ms = request.facts_.deadline_ms_.value_or(route->deadline_ms_);
    request.deadline_ = request.began_ + std::chrono::milliseconds(deadline_ms);
    co_await run_attempts(current, request);
}

asio::awaitable<void> shard::run_attempts(http::exchange& current, routed_request& request) {
    retry_budget& budget =
        retry_budgets_.try_emplace(request.route_.pool_, retries_per_request, retry_reserve).first->second;
    budget.request_started();
    attempt_result last = not_sent_result(refusal_reason::no_endpoint);
    outcome told = decode_bound_key(request.facts_.key_) ? outcome::unknown : outcome::not_run;
    while (true) {
        const std::optional<std::string> endpoint = pick_endpoint(request);
        if (!endpoint) {
            break;
        }
        ++request.attempts_;
        last = co_await attempt(current, request, *endpoint);
        if (last.end_ == attempt_end::answered || last.caller_gone_) {
            note_end(request, last.caller_gone_ ? "caller_gone" : "answered", true);
            co_return;
        }
        attempt_facts facts;
        facts.end_ = last.end_;
        facts.idempotent_ = request.route_.idempotent_;
        facts.maybe_ran_before_ = request.maybe_ran_;
        facts.key_used_before_ = last.end_ == attempt_end::refused && key_may_have_run(last.reason_);
        facts.bytes_delivered_ = last.bytes_delivered_;
        facts.retriable_ =
            last.end_ != attempt_end::refused || retriable_elsewhere(last.reason_) || !last.redirect_.empty();
        facts.budget_ms_ = request.budget_ms();
        facts.attempts_made_ = request.attempts_;
        facts.retry_token_ = budget.available();
        const attempt_decision next = after_attempt(facts);
        told = next.outcome_;
        request.maybe_ran_ = request.maybe_ran_ || last.end_ == attempt_end::interrupted;
        request.redirect_ = last.redirect_;
        request.tried_.insert(*endpoint);
        if (next.next_ == next_step::finish) {
            break;
        }
        budget.retry_made();
    }
    co_await tell_outcome(current, request, last, told);
}

asio::awaitable<void> shard::tell_outcome(http::exchange& current, const routed_request& request,
                                          const attempt_result& last, outcome told) {
    note_end(request, to_string(told), false);
    if (last.bytes_delivered_) {
        current.abort();
        co_return;
    }
    if (told == outcome::unknown) {
        const std::string& own_key = request.facts_.key_;
        const std::string key = own_key.empty() ? request.bound_key_ : own_key;
        const std::string detail =
            last.detail_.empty() ? "the instance that holds its key cannot be asked" : last.detail_;
        http::response answer = unknown_answer(detail, request.route_.idempotent_ ? std::string() : key);
        co_await current.reply(std::move(answer));
        co_return;
    }
    co_await current.reply(not_run_answer(last.reason_, std::max(last.retry_after_ms_, std::int64_t(0))));
}

void shard::note_end(const routed_request& request, std::string_view told, bool first_byte_known) {
    const labels where{{"tenant", request.facts_.organisation_},
                       {"class", std::string(to_string(request.class_))},
                       {"outcome", std::string(told)}};
    const std::chrono::duration<double, std::milli> whole = clock::now() - request.began_;
    measures_.observe_ms("tamarack_request_ms", "Time from the request to the end of its answer", where,
                         whole.count());
    if (first_byte_known && request.first_byte_) {
        const std::chrono::duration<double, std::milli> first = *request.first_byte_ - request.began_;
        measures_.observe_ms(
            "tamarack_first_byte_ms", "Time from the request to the first byte of its answer",
            {{"tenant", request.facts_.organisation_}, {"class", std::string(to_string(request.class_))}},
            first.count());
    }
    if (request.attempts_ > 1) {
        measures_.count("tamarack_retries_total", "Attempts after the first",
                        {{"pool", request.route_.pool_}}, double(request.attempts_ - 1));
    }
}

std::vector<candidate> shard::candidates(const routed_request& request) {
    const home_map& pool_homes = homes(request.route_.pool_);
    auto model_homes = pool_homes.find(parse_model_reference(request.facts_.model_).model_);
    std::vector<candidate> usable;
    for (const endpoint_view* endpoint : members_.pool_endpoints(request.route_.pool_)) {
        const listed_instance& instance = endpoint->instance_;
        if (request.tried_.contains(instance.id_) ||
            !members_.accepts_new_requests(*endpoint, steady_now_ms())) {
            continue;
        }
        candidate one;
        one.id_ = instance.id_;
        const auto& resident = endpoint->status_.resident_;
        one.holds_ = request.item_.empty() ||
                     std::find(resident.begin(), resident.end(), request.item_) != resident.end();
        one.home_ = model_homes != pool_homes.end() &&
                    std::find(model_homes->second.begin(), model_homes->second.end(), instance.id_) !=
                        model_homes->second.end();
        one.same_data_centre_ = instance.data_centre_ == settings_.data_centre_;
        one.load_ = endpoint->status_.queued_ + endpoint->status_.running_ + sent_since_status_[instance.id_];
        usable.push_back(one);
    }
    return usable;
}

std::optional<std::string> shard::pick_endpoint(routed_request& request) {
    if (!request.redirect_.empty()) {
        return links_.contains(request.redirect_) ? std::optional(request.redirect_) : std::nullopt;
    }
    if (request.route_.idempotent_ || request.facts_.key_.empty()) {
        const std::vector<candidate> usable = candidates(request);
        const std::uint64_t affinity = request.facts_.affinity_ != 0 ? request.facts_.affinity_ : random_();
        const auto chosen = choose_endpoint(usable, affinity, random_());
        return chosen ? std::optional(std::string(usable[*chosen].id_)) : std::nullopt;
    }
    if (const auto bound = decode_bound_key(request.facts_.key_)) {
        const bool first_try = !request.tried_.contains(bound->endpoint_);
        return first_try && links_.contains(bound->endpoint_) ? std::optional(bound->endpoint_)
                                                              : std::nullopt;
    }
    const std::vector<candidate> usable = candidates(request);
    const auto chosen = choose_by_key(usable, request.facts_.key_);
    return chosen ? std::optional(std::string(usable[*chosen].id_)) : std::nullopt;
}

wire::submit shard::make_submit(const http::request& incoming, const routed_request& request) {
    wire::submit message;
    message.attempt_ = next_attempt_++;
    message.method_ = incoming.method_;
    message.path_ = incoming.target_;
    message.content_type_ = incoming.find("Content-Type").value_or("");
    message.organisation_ = request.facts_.organisation_;
    message.model_ = request.facts_.model_;
    message.class_ = std::uint8_t(request.class_);
    message.budget_ms_ = request.budget_ms();
    message.idempotent_ = request.route_.idempotent_;
    message.kv_tokens_ = request.facts_.kv_tokens_;
    message.body_ = incoming.body_;
    if (request.route_.idempotent_) {
        return message;
    }
    message.key_ = request.facts_.key_;
    message.key_issued_ms_ = request.facts_.key_issued_ms_;
    if (message.key_.empty()) {
        message.key_ = request.bound_key_;
    }
    return message;
}

asio::awaitable<attempt_result> shard::attempt(http::exchange& current, routed_request& request,
                                               const std::string& endpoint) {
    const std::shared_ptr<agent_link> link = links_[endpoint];
    if (!link->connected()) {
        const bool keyed = decode_bound_key(request.facts_.key_) || !request.redirect_.empty();
        if (keyed) {
            co_return interrupted_result("the instance that holds the key is not reachable");
        }
        co_return not_sent_result(refusal_reason::no_endpoint);
    }
    if (request.facts_.key_.empty()) {
        const bound_key own{endpoint, link->incarnation(), link->agent_clock_ms(), random_()};
        request.bound_key_ = encode_bound_key(own);
    }
    const wire::submit message = make_submit(current.incoming(), request);
    auto box = std::make_shared<mailbox>(context_.get_executor());
    if (!link->submit(message, box)) {
        co_return not_sent_result(refusal_reason::no_endpoint);
    }
    ++sent_since_status_[endpoint];
    current.on_gone([box] { box->put(caller_gone{}); });
    attempt_result ended = co_await relay(current, request, *link, *box, message.attempt_);
    link->release(message.attempt_);
    co_return ended;
}

bool shard::healthy(const std::string& endpoint) const {
    auto found = members_.endpoints().find(endpoint);
    return found != members_.endpoints().end() && found->second.connected_ &&
           steady_now_ms() - found->second.last_status_at_ <= settings_.heartbeat_limit_ms_;
}

// The deadline has passed before the answer began: asks the agent to stop and says at once what is known.
asio::awaitable<attempt_result> shard::give_up(agent_link& link, mailbox& box, std::uint64_t attempt_id) {
    link.send(wire::cancel{attempt_id});
    const auto until = clock::now() + cancel_limit;
    while (true) {
        const std::optional<attempt_event> event = co_await box.take(until);
        if (!event) {
            break;
        }
        if (const auto* said = std::get_if<wire::refused>(&*event)) {
            co_return refused_result(*said);
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
    answer_relay answer{current, wire::answer_assembly(attempt_id), link.id()};
    auto stopped = [&](std::string detail) {
        attempt_result ended = interrupted_result(std::move(detail));
        ended.bytes_delivered_ = answer.delivered_;
        return ended;
    };
    auto abandoned = [&] {
        link.send(wire::cancel{attempt_id});
        attempt_result ended = stopped("the caller closed its connection");
        ended.caller_gone_ = true;
        return ended;
    };
    while (!answer.assembly_.complete()) {
        const auto now = clock::now();
        const bool overdue = !answer.streaming_ && now >= request.deadline_;
        if (overdue) {
            co_return co_await give_up(link, box, attempt_id);
        }
        const auto look_again = now + health_interval;
        std::optional<attempt_event> event =
            co_await box.take(answer.streaming_ ? look_again : std::min(look_again, request.deadline_));
        if (!event) {
            const bool may_leave = request.route_.idempotent_ || answer.streaming_;
            if (may_leave && !healthy(link.id())) {
                link.send(wire::cancel{attempt_id});
                co_return stopped("the endpoint is not heard of");
            }
            continue;
        }
        if (std::holds_alternative<caller_gone>(*event)) {
            co_return abandoned();
        }
        if (std::holds_alternative<link_lost>(*event)) {
            co_return stopped("the connection to the endpoint ended");
        }
        if (const auto* said = std::get_if<wire::refused>(&*event)) {
            co_return refused_result(*said);
        }
        if (const auto* said = std::get_if<wire::failed>(&*event)) {
            co_return stopped(said->detail_);
        }
        const part_result taken = co_await take_part_of_answer(answer, *event);
        if (taken == part_result::caller_gone) {
            co_return abandoned();
        }
        if (const auto* part = std::get_if<wire::chunk>(&*event)) {
            link.send(wire::credit{attempt_id, part->data_.size()});
        }
        if (std::holds_alternative<wire::head>(*event)) {
            request.first_byte_ = clock::now();
        }
        if (taken == part_result::broken) {
            link.send(wire::cancel{attempt_id});
            co_return stopped("the parts of the answer did not fit together");
        }
    }
    attempt_result ended;
    ended.end_ = attempt_end::answered;
    ended.caller_gone_ = !co_await finish_answer(answer);
    co_return ended;
}

} // namespace tamarack::entry
