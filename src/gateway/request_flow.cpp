// Choice of an endpoint and sending. What comes back is handled in request_flow_response.cpp.
#include "gateway/request_flow.hpp"

#include <algorithm>
#include <cmath>

namespace tamarack::gateway {

namespace {

constexpr time_ms default_timeout_ms = 30'000;   // for requests that name no deadline
constexpr time_ms hold_interval_ms = 80;         // between looks for an engine that holds the model
constexpr time_ms not_ready_return_ms = 400;     // until a gateway without configuration has one
constexpr time_ms no_endpoint_return_ms = 1'000; // until an endpoint registers
constexpr time_ms fresh_connection_ms = 400;     // idle time after which an endpoint may have dropped it
constexpr double free_adapter_ms = 40;           // an order and the load of one adapter
constexpr double full_adapter_ms = 90;           // the same, and an adapter that makes way
constexpr double busy_adapter_ms = 1'500;        // an engine that carries out another order comes first
constexpr int status_not_found = 404;
constexpr int status_bad_request = 400;

} // namespace

open_sending::open_sending(fleet_state& fleet, std::shared_ptr<endpoint> at, double prompt_tokens,
                           int urgency)
    : began_at_(steady_now_ms()), fleet_(fleet), at_(std::move(at)), pending_prompt_tokens_(prompt_tokens),
      urgency_(urgency) {
    fleet_.add_waiting(at_->record().service_, urgency_, 1);
    ++at_->in_flight_;
    ++at_->begun_since_report_;
    at_->pending_prompt_tokens_ += pending_prompt_tokens_;
}

open_sending::~open_sending() {
    --at_->in_flight_;
    --at_->begun_since_report_;
    first_event();
}

void open_sending::first_event() {
    if (first_event_at_ == 0) {
        fleet_.add_waiting(at_->record().service_, urgency_, -1);
    }
    first_event_at_ = first_event_at_ > 0 ? first_event_at_ : steady_now_ms();
    at_->pending_prompt_tokens_ =
        std::max(0.0, at_->pending_prompt_tokens_ - std::exchange(pending_prompt_tokens_, 0));
}

request_flow::request_flow(flow_context& context, std::shared_ptr<response_sink> sink, http::request incoming)
    : context_(context), sink_(std::move(sink)), incoming_(std::move(incoming)),
      limit_(context.fleet_.executor_), pause_(context.fleet_.executor_) {}

void request_flow::start() {
    arrived_at_ = steady_now_ms();
    facts_ = read_facts(incoming_, context_.fleet_.names_);
    if (!find_route()) {
        return;
    }
    const time_ms deadline = facts_.deadline_ms_.value_or(default_timeout_ms);
    until_ = arrived_at_ + std::min(deadline, route_->timeout_ms_);
    returned_ = context_.fleet_.note_deadline(route_->name_, deadline);
    context_.fleet_.note_arrival(service_->name_, urgency(arrived_at_));
    if (facts_.last_event_id_) {
        splitter_.set_last_id(*facts_.last_event_id_);
    }
    context_.fleet_.retries(service_->name_).note_request(arrived_at_);
    if (!facts_.model_.empty()) {
        context_.fleet_.demand_.note_arrival(facts_.model_, arrived_at_);
    }
    limit_.expires_after(std::chrono::milliseconds(std::max<time_ms>(0, left_ms(arrived_at_))));
    limit_.async_wait([self = shared_from_this()](boost::system::error_code cancelled) {
        if (!cancelled && !self->finished_) {
            self->time_out();
        }
    });
    try_next();
}

bool request_flow::find_route() {
    configured_ = context_.fleet_.current();
    if (configured_ == nullptr) {
        refuse("no_configuration", not_ready_return_ms);
        return false;
    }
    if (facts_.id_.empty()) {
        answer_own(status_bad_request, "no_request_id");
        return false;
    }
    route_ = configured_->index_.match(facts_.host_, incoming_.path());
    if (route_ == nullptr) {
        answer_own(status_not_found, "no_route");
        return false;
    }
    constexpr double hash_space = 18446744073709551616.0;
    const std::string* target = fleet::choose_target(*route_, double(hash64(facts_.id_)) / hash_space);
    service_ = target == nullptr ? nullptr : configured_->configuration_->find_service(*target);
    if (service_ == nullptr) {
        refuse("no_service", no_endpoint_return_ms);
        return false;
    }
    return true;
}

std::vector<std::shared_ptr<endpoint>> request_flow::usable_endpoints() const {
    std::vector<std::shared_ptr<endpoint>> usable;
    for (const auto& one : context_.fleet_.endpoints_of(service_->name_)) {
        const bool holds =
            !service_->engine_ || facts_.model_.empty() || one->find_model(facts_.model_) != nullptr;
        if (one->accepts_requests() && holds && !tried_.contains(one->record().id_)) {
            usable.push_back(one);
        }
    }
    return usable;
}

dispatch::endpoint_candidate request_flow::make_option(const endpoint& one, time_ms now) const {
    dispatch::endpoint_candidate option;
    option.id_ = one.record().id_;
    option.slots_ = one.record().slots_;
    option.running_ = std::max(one.in_flight_, one.engine_.running_ + one.begun_since_report_);
    option.queued_ = one.engine_.queued_ * context_.fleet_.queue_share_ahead(service_->name_, urgency(now));
    option.pending_prompt_tokens_ = one.pending_prompt_tokens_;
    option.memory_use_ = one.engine_.kv_total_ > 0 ? one.engine_.kv_used_ / one.engine_.kv_total_ : 0;
    option.slowness_ = std::max(1.0, one.slowness_);
    option.failure_rate_ = one.health_.failure_rate(now);
    const bool silent = one.report_overdue(now, context_.fleet_.gateway_count());
    option.suspected_ =
        one.health_.suspected(now) || silent || (one.engine_.known_ && !one.engine_.reachable_);
    if (!facts_.adapter_.empty()) {
        const fleet::held_model* model = one.find_model(facts_.model_);
        if (model == nullptr || !model->adapters_.contains(facts_.adapter_)) {
            option.adapter_wait_ms_ = adapter_wait_ms(one);
        }
    }
    return option;
}

// Time until an engine that lacks the adapter has it.
double request_flow::adapter_wait_ms(const endpoint& one) const {
    if (one.engine_.busy_) {
        return busy_adapter_ms;
    }
    std::size_t resident = 0;
    for (const fleet::held_model& model : one.models()) {
        resident += model.adapters_.size();
    }
    return int(resident) < service_->engine_->adapter_slots_ ? free_adapter_ms : full_adapter_ms;
}

void request_flow::try_next() {
    const time_ms now = steady_now_ms();
    const auto usable = usable_endpoints();
    if (usable.empty()) {
        const bool may_appear = service_->engine_ && !facts_.model_.empty() && tried_.empty();
        if (may_appear) {
            hold_for_model();
        } else {
            refuse("no_endpoint", no_endpoint_return_ms);
        }
        return;
    }
    stop_holding();
    std::vector<dispatch::endpoint_candidate> options;
    for (const auto& one : usable) {
        options.push_back(make_option(*one, now));
    }
    const dispatch::engine_timing& pace = context_.fleet_.pace(service_->name_);
    // Gateways that choose by the adapter's name bring it to few engines.
    const std::uint64_t tie_break =
        facts_.adapter_.empty() ? context_.fleet_.random() : hash64(facts_.model_ + "/" + facts_.adapter_);
    const auto chosen = dispatch::choose_endpoint(options, facts_.prompt_tokens_, pace, tie_break);
    double wait = dispatch::expected_first_event_ms(options[*chosen], facts_.prompt_tokens_, pace);
    if (service_->engine_ && is_late(now)) {
        const int slots = service_->engine_->slots_;
        wait = dispatch::late_request_wait_ms(
            wait, context_.fleet_.demand_per_slot(facts_.model_, int(usable.size()), slots));
    }
    const auto expected = time_ms(wait);
    const bool in_service = maybe_runs_ > 0; // has been admitted before
    if (!in_service && !dispatch::should_admit(admission_facts(expected, now))) {
        note_refusal(*usable[*chosen], options[*chosen], expected, now);
        // More copies under way make room when they are there.
        const auto next_copy = context_.fleet_.next_copy_wait_ms(service_->name_, facts_.model_, now);
        refuse("too_busy", std::max(expected, next_copy.value_or(0)));
        return;
    }
    prepare(usable[*chosen]);
}

// What the refusal rests on: the best endpoint and the age of what is known of it.
void request_flow::note_refusal(const endpoint& best, const dispatch::endpoint_candidate& option,
                                time_ms expected, time_ms now) {
    context_.events_.write({event_kind::admission,
                            "gateway",
                            "would_be_late",
                            facts_.id_,
                            {{"model", facts_.model_},
                             {"best_endpoint", best.record().id_},
                             {"expected_ms", expected},
                             {"objective_ms", route_->objective_ms_},
                             {"left_ms", left_ms(now)},
                             {"returned", returned_},
                             {"running", option.running_},
                             {"queued_ahead", option.queued_},
                             {"unread_tokens", option.pending_prompt_tokens_},
                             {"report_age_ms", best.engine_.known_ ? now - best.engine_.reported_at_ : -1}}});
}

dispatch::admission_facts request_flow::admission_facts(time_ms wait_ms, time_ms now) const {
    dispatch::admission_facts facts;
    facts.wait_ms_ = wait_ms;
    facts.objective_ms_ = route_->objective_ms_;
    facts.patience_ms_ = route_->patience_ms_;
    facts.left_ms_ = left_ms(now);
    facts.returned_ = returned_;
    return facts;
}

// No engine holds the model: waits for one if that can still be in time, and refuses otherwise.
void request_flow::hold_for_model() {
    const time_ms now = steady_now_ms();
    const time_ms wait = context_.fleet_.model_wait_ms(service_->name_, facts_.model_, now);
    if (!holding_) {
        holding_ = true;
        context_.fleet_.demand_.add_waiting(facts_.model_, 1);
        context_.events_.write({event_kind::admission,
                                "gateway",
                                "held_for_model",
                                facts_.id_,
                                {{"model", facts_.model_}, {"wait_ms", wait}, {"left_ms", left_ms(now)}}});
    }
    // There is no place to wait in an engine yet, and waiting here takes none from others.
    dispatch::admission_facts facts = admission_facts(wait, now);
    facts.returned_ = true;
    if (!dispatch::should_admit(facts)) {
        refuse("model_not_held", wait);
        return;
    }
    pause_.expires_after(std::chrono::milliseconds(hold_interval_ms));
    pause_.async_wait([self = shared_from_this()](boost::system::error_code cancelled) {
        if (!cancelled && !self->finished_) {
            self->try_next();
        }
    });
}

void request_flow::stop_holding() {
    if (std::exchange(holding_, false)) {
        context_.fleet_.demand_.add_waiting(facts_.model_, -1);
    }
}

// Makes sure that the adapter is resident, and stays, before the request is sent.
void request_flow::prepare(std::shared_ptr<endpoint> target) {
    const fleet::held_model* model = target->find_model(facts_.model_);
    if (facts_.adapter_.empty() || model == nullptr) {
        send(target);
        return;
    }
    release_adapter();
    adapter_endpoint_ = target->record().id_;
    if (model->adapters_.contains(facts_.adapter_)) {
        adapter_want_ = context_.want_adapter_(*target, facts_.model_, facts_.adapter_, nullptr);
        send(target);
        return;
    }
    const auto self = shared_from_this();
    adapter_want_ =
        context_.want_adapter_(*target, facts_.model_, facts_.adapter_, [self, target](bool ready) {
            if (self->finished_) {
                return;
            }
            if (ready) {
                self->send(target);
                return;
            }
            self->tried_.insert(target->record().id_);
            self->try_next();
        });
}

void request_flow::release_adapter() {
    if (!adapter_endpoint_.empty()) {
        context_.release_adapter_(std::exchange(adapter_endpoint_, {}), adapter_want_);
    }
}

void request_flow::send(const std::shared_ptr<endpoint>& target) {
    const time_ms now = steady_now_ms();
    tried_.insert(target->record().id_);
    forward_facts forward;
    forward.left_ms_ = left_ms(now);
    forward.endpoint_ = target->record().id_;
    forward.urgency_ = service_->engine_ ? urgency(now) : -1;
    if (stream_begun_) {
        forward.last_event_id_ = splitter_.last_id();
    }
    exchange_request request;
    request.bytes_ = forwarded_request(incoming_, context_.fleet_.names_, forward);
    request.id_header_ = context_.fleet_.names_.request_id_;
    request.id_ = facts_.id_;
    // A request that must not run twice cannot be sent again when a kept connection turns out to be dead.
    request.longest_idle_ms_ = route_->repeatable() ? default_timeout_ms : fresh_connection_ms;
    request.max_connections_ = service_->max_connections_;
    request.gateways_ = context_.fleet_.gateway_count();
    splitter_.restart();
    sending_ = std::make_unique<open_sending>(context_.fleet_, target, facts_.prompt_tokens_, urgency(now));
    const auto self = shared_from_this();
    exchange_ = std::make_shared<exchange>(
        context_.fleet_.executor_, target, std::move(request),
        exchange::events{[self](http::response_parser& answer) { self->take_progress(answer); },
                         [self](exchange_end end) { self->take_end(end); }});
    exchange_->start();
    if (route_->repeatable()) {
        arm_pause_watch();
    }
}

} // namespace tamarack::gateway
