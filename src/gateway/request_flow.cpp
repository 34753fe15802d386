// request_flow: choice of an endpoint and sending. The waits before that are in request_flow_waits.cpp, the
// handling of responses in request_flow_response.cpp, of their absence in request_flow_silence.cpp, what
// responses say of endpoints in request_flow_notices.cpp, quarantined prompts in request_flow_quarantine.cpp.
#include "gateway/request_flow.hpp"

#include "gateway/suspects.hpp"
#include "tamarack/links.hpp"

#include <algorithm>
#include <cmath>

namespace tamarack::gateway {

namespace {

// Time limit of requests without a deadline header. Also the longest idle time of a connection that is reused
// for a repeatable request.
constexpr time_ms default_timeout_ms = 30'000;

constexpr time_ms no_endpoint_retry_after_ms = 1'000; // expected time until an endpoint registers
constexpr time_ms safe_idle_ms = 400;            // idle time after which endpoints may close a connection
constexpr double free_slot_adapter_ms = 40;      // time for an order to the agent and the load of one adapter
constexpr double evicting_adapter_ms = 90;       // the same, including the eviction of another adapter
constexpr double busy_engine_adapter_ms = 1'500; // the same, after an order in progress of unknown length
constexpr int status_not_found = 404;
constexpr int status_bad_request = 400;

} // namespace

scoped_attempt::scoped_attempt(fleet_state& fleet, std::shared_ptr<endpoint> target, double prompt_tokens,
                               int urgency)
    : started_at_(steady_now_ms()), incarnation_(target->record().incarnation_), fleet_(fleet),
      target_(std::move(target)), pending_prompt_tokens_(prompt_tokens), urgency_(urgency) {
    fleet_.add_waiting(target_->record().service_, urgency_, 1);
    ++target_->in_flight_;
    ++target_->begun_since_report_;
    target_->prompt_tokens_since_report_ += pending_prompt_tokens_;
    target_->pending_prompt_tokens_ += pending_prompt_tokens_;
}

scoped_attempt::~scoped_attempt() {
    --target_->in_flight_;
    --target_->begun_since_report_;
    record_first_event();
}

void scoped_attempt::record_first_event() {
    if (first_event_at_ == 0) {
        fleet_.add_waiting(target_->record().service_, urgency_, -1);
    }
    first_event_at_ = first_event_at_ > 0 ? first_event_at_ : steady_now_ms();
    const double read_tokens = std::exchange(pending_prompt_tokens_, 0);
    target_->pending_prompt_tokens_ = std::max(0.0, target_->pending_prompt_tokens_ - read_tokens);
    target_->prompt_tokens_since_report_ = std::max(0.0, target_->prompt_tokens_since_report_ - read_tokens);
}

request_flow::request_flow(flow_context& context, std::shared_ptr<response_sink> sink, http::request incoming)
    : context_(context), sink_(std::move(sink)), incoming_(std::move(incoming)),
      deadline_timer_(context.fleet_.executor_), wait_timer_(context.fleet_.executor_),
      silence_timer_(context.fleet_.executor_) {}

void request_flow::start() {
    arrived_at_ = steady_now_ms();
    metadata_ = parse_request_metadata(incoming_, context_.fleet_.names_);
    if (!find_route() || !identify_or_refuse()) {
        return;
    }
    suspects_ = name_suspects(incoming_, metadata_, caller_.organisation_);
    // All attempts send the same bytes; what a request holds is charged once.
    body_ = std::make_shared<const std::string>(std::move(incoming_.body_));
    if (refuse_if_quarantined() || !take_quota()) {
        return;
    }
    const time_ms deadline = metadata_.deadline_ms_.value_or(default_timeout_ms);
    deadline_at_ = arrived_at_ + std::min(deadline, route_->timeout_ms_);
    returned_after_refusal_ =
        context_.fleet_.note_deadline(route_->name_, std::min(deadline, route_->timeout_ms_));
    counts_demand_ = context_.fleet_.lists_model(service_->name_, metadata_.model_);
    context_.fleet_.note_arrival(service_->name_, urgency(arrived_at_));
    if (metadata_.last_event_id_) {
        splitter_.set_last_id(*metadata_.last_event_id_);
    }
    context_.fleet_.retries(service_->name_).note_request(arrived_at_);
    if (!metadata_.model_.empty()) {
        context_.fleet_.note_prompt(service_->name_, metadata_.prompt_tokens_);
    }
    if (counts_demand_) {
        context_.fleet_.demand_.note_arrival(metadata_.model_, arrived_at_);
    }
    deadline_timer_.expires_after(std::chrono::milliseconds(std::max<time_ms>(0, left_ms(arrived_at_))));
    deadline_timer_.async_wait([self = shared_from_this()](boost::system::error_code cancelled) {
        if (!cancelled && !self->finished_) {
            self->on_deadline();
        }
    });
    try_next_endpoint();
}

bool request_flow::find_route() {
    configured_ = context_.fleet_.current();
    if (configured_ == nullptr) {
        refuse("no_configuration", not_ready_retry_after_ms);
        return false;
    }
    if (metadata_.id_.empty()) {
        send_own_response(status_bad_request, "no_request_id");
        return false;
    }
    route_ = configured_->index_.match(metadata_.host_, incoming_.path());
    if (route_ == nullptr) {
        send_own_response(status_not_found, "no_route");
        return false;
    }
    constexpr double hash_space = 18446744073709551616.0;
    const std::string* target = fleet::choose_target(*route_, double(hash64(metadata_.id_)) / hash_space);
    service_ = target == nullptr ? nullptr : configured_->configuration_->find_service(*target);
    if (service_ == nullptr) {
        refuse("no_service", no_endpoint_retry_after_ms);
        return false;
    }
    if (service_->engine_ && !names_model_plainly()) {
        send_own_response(status_bad_request, "invalid_model_name");
        return false;
    }
    return true;
}

// Whether the names of the model and the adapter, as far as the request has them, can be written in any order
// or frame.
bool request_flow::names_model_plainly() const {
    const auto is_plain = [](const std::string& name) {
        return name.empty() || fleet::plain_name::parse(name).has_value();
    };
    return is_plain(metadata_.model_) && is_plain(metadata_.adapter_);
}

std::vector<std::shared_ptr<endpoint>> request_flow::usable_endpoints() const {
    std::vector<std::shared_ptr<endpoint>> usable;
    const std::string model = requested_model();
    const time_ms now = steady_now_ms();
    for (const auto& target : context_.fleet_.endpoints_of(service_->name_)) {
        const bool lists_model =
            !service_->engine_ || metadata_.model_.empty() || target->find_model(metadata_.model_) != nullptr;
        const bool holds_model = lists_model && !target->has_rejected(model, now);
        if (context_.fleet_.accepts_requests(*target) && holds_model &&
            !tried_endpoints_.contains(target->record().id_)) {
            usable.push_back(target);
        }
    }
    return usable;
}

// The model with the adapter, if one is named.
std::string request_flow::requested_model() const {
    return metadata_.adapter_.empty() ? metadata_.model_ : metadata_.model_ + "/" + metadata_.adapter_;
}

// Those of the endpoints that have not asked for a back-off, and that name no limit or one that lets this
// gateway send a request now.
std::vector<std::shared_ptr<endpoint>>
request_flow::taking_requests(const std::vector<std::shared_ptr<endpoint>>& usable) const {
    std::vector<std::shared_ptr<endpoint>> open;
    const time_ms now = boot_now_ms();
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(open), [&](const auto& target) {
        notices::endpoint_notices& notices = context_.fleet_.notices_;
        return !notices.back_off_ms(key_of(*target), now) &&
               notices.limits().available(target->record().id_, now);
    });
    return open;
}

// Those of the endpoints whose reports are not overdue. At an engine on a suspended instance, a request
// cannot be cancelled when its client leaves. For a request that may have run already, all endpoints count:
// its client cannot be told to retry.
std::vector<std::shared_ptr<endpoint>>
request_flow::responsive_endpoints(const std::vector<std::shared_ptr<endpoint>>& usable, time_ms now) const {
    if (possible_runs_ > 0) {
        return usable;
    }
    std::vector<std::shared_ptr<endpoint>> responsive;
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(responsive), [&](const auto& target) {
        return !target->report_overdue(now, context_.fleet_.gateway_count());
    });
    return responsive;
}

// Counts this request once at each endpoint that it may go to and that names a limit.
void request_flow::note_wants(const std::vector<std::shared_ptr<endpoint>>& usable) {
    if (std::exchange(wants_noted_, true)) {
        return;
    }
    for (const auto& target : usable) {
        context_.fleet_.notices_.limits().want(target->record().id_, boot_now_ms());
    }
}

dispatch::endpoint_candidate request_flow::make_candidate(const endpoint& target, time_ms now) const {
    dispatch::endpoint_candidate candidate;
    candidate.id_ = target.record().id_;
    candidate.slots_ = target.record().slots_;
    candidate.running_ = std::max(target.in_flight_, target.engine_.running_ + target.begun_since_report_);
    candidate.queued_ =
        target.engine_.queued_ * context_.fleet_.queue_share_ahead(service_->name_, urgency(now));
    candidate.pending_prompt_tokens_ = context_.fleet_.prompt_tokens_ahead(target, urgency(now));
    candidate.memory_use_ =
        target.engine_.kv_total_ > 0 ? target.engine_.kv_used_ / target.engine_.kv_total_ : 0;
    candidate.slowness_ = std::max(1.0, target.slowness_);
    candidate.failure_rate_ = target.health_.failure_rate(now);
    const bool silent = target.report_overdue(now, context_.fleet_.gateway_count());
    candidate.suspected_ =
        target.health_.suspected(now) || silent || (target.engine_.known_ && !target.engine_.reachable_);
    if (!metadata_.adapter_.empty()) {
        const fleet::held_model* model = target.find_model(metadata_.model_);
        if (model == nullptr || !model->adapters_.contains(metadata_.adapter_)) {
            candidate.adapter_wait_ms_ = adapter_wait_ms(target);
        }
    }
    return candidate;
}

// Expected time, in ms, for an engine to load an adapter that it does not hold.
double request_flow::adapter_wait_ms(const endpoint& target) const {
    if (target.engine_.busy_) {
        // The engine takes the order for the adapter once its load of a model has ended.
        const auto left = context_.fleet_.load_left_ms(service_->name_, target.engine_, steady_now_ms());
        return left ? double(*left) + evicting_adapter_ms : busy_engine_adapter_ms;
    }
    std::size_t resident = 0;
    for (const fleet::held_model& model : target.models()) {
        resident += model.adapters_.size();
    }
    return int(resident) < service_->engine_->adapter_slots_ ? free_slot_adapter_ms : evicting_adapter_ms;
}

void request_flow::try_next_endpoint() {
    if (!is_still_identified() && !(identify_or_refuse() && take_quota())) {
        return;
    }
    if (!may_begin(steady_now_ms())) {
        refuse_at_shutdown();
        return;
    }
    if (is_quarantined()) {
        refuse("quarantined", quarantine_retry_after_ms);
        return;
    }
    if (quarantine_is_due()) {
        wait_for_quarantine();
        return;
    }
    if (context_.fleet_.newer_view_is_due(boot_now_ms())) {
        wait_for_newer_view();
        return;
    }
    release_place();
    stop_waiting_for_place();
    const time_ms now = steady_now_ms();
    view_age_ms_ = context_.fleet_.view_age_ms(boot_now_ms());
    const auto listed = usable_endpoints();
    if (listed.empty()) {
        const bool may_be_loaded = service_->engine_ && !metadata_.model_.empty() && tried_endpoints_.empty();
        if (may_be_loaded) {
            wait_for_model();
        } else {
            refuse("no_endpoint", no_endpoint_retry_after_ms);
        }
        return;
    }
    stop_waiting_for_model();
    note_wants(listed);
    const auto usable = taking_requests(listed);
    if (usable.empty()) {
        if (!refuse_if_all_back_off(listed)) {
            wait_for_place(listed);
        }
        return;
    }
    const auto responsive = responsive_endpoints(usable, now);
    if (responsive.empty()) {
        wait_for_report(*usable.front(), now);
        return;
    }
    reports_overdue_since_ = std::nullopt;
    std::vector<dispatch::endpoint_candidate> candidates;
    for (const auto& target : responsive) {
        candidates.push_back(make_candidate(*target, now));
    }
    const dispatch::engine_timing& timing = context_.fleet_.pace(service_->name_);
    // A hash of the adapter's name lets all gateways prefer the same engines, so that few engines load it.
    const std::uint64_t tie_break =
        metadata_.adapter_.empty() ? context_.fleet_.random() : hash64(requested_model());
    const auto chosen = dispatch::choose_endpoint(candidates, metadata_.prompt_tokens_, timing, tie_break);
    double wait = dispatch::expected_first_event_ms(candidates[*chosen], metadata_.prompt_tokens_, timing);
    if (service_->engine_ && is_late(now)) {
        const int slots = service_->engine_->slots_;
        wait = dispatch::late_request_wait_ms(
            wait, context_.fleet_.demand_per_slot(metadata_.model_, int(usable.size()), slots));
    }
    const auto expected = time_ms(wait);
    const bool admitted_before = possible_runs_ > 0;
    if (!admitted_before && !dispatch::should_admit(admission_facts(candidates[*chosen], expected, now))) {
        log_refusal(*responsive[*chosen], candidates[*chosen], expected, now);
        // Copies of the model that are being loaded add capacity once they are ready.
        const auto next_copy = context_.fleet_.next_copy_wait_ms(service_->name_, metadata_.model_, now);
        refuse("too_busy", std::max(expected, next_copy.value_or(0)));
        return;
    }
    context_.metrics_.observe_ms("tamarack_choice_view_age_ms",
                                 "Age of the view of the endpoints from which one was chosen", {},
                                 double(view_age_ms_));
    dispatch::endpoint_candidate usual = candidates[*chosen];
    usual.slowness_ = 1;
    usual.adapter_wait_ms_ = 0;
    expected_first_event_ms_ = dispatch::expected_first_event_ms(usual, metadata_.prompt_tokens_, timing);
    choice_ = {int(responsive.size()), candidates[*chosen].running_, candidates[*chosen].failure_rate_,
               expected};
    reserve_place(*responsive[*chosen]);
    acquire_adapter_and_send(responsive[*chosen]);
}

// Logs the reasons for a refusal: the best endpoint's expected delay and the age of its last report.
void request_flow::log_refusal(const endpoint& best, const dispatch::endpoint_candidate& candidate,
                               time_ms expected, time_ms now) {
    context_.events_.write({event_kind::admission,
                            "gateway",
                            "would_be_late",
                            metadata_.id_,
                            {{"model", metadata_.model_},
                             {"best_endpoint", best.record().id_},
                             {"expected_ms", expected},
                             {"objective_ms", route_->objective_ms_},
                             {"left_ms", left_ms(now)},
                             {"returned", returned_after_refusal_},
                             {"running", candidate.running_},
                             {"queued_ahead", candidate.queued_},
                             {"unread_tokens", candidate.pending_prompt_tokens_},
                             {"adapter_wait_ms", candidate.adapter_wait_ms_},
                             {"memory_use", candidate.memory_use_},
                             {"slowness", candidate.slowness_},
                             {"report_age_ms", best.engine_.known_ ? now - best.engine_.reported_at_ : -1}}});
}

dispatch::admission_facts request_flow::admission_facts(time_ms wait_ms, time_ms now) const {
    dispatch::admission_facts facts;
    facts.wait_ms_ = wait_ms;
    facts.objective_ms_ = route_->objective_ms_;
    facts.patience_ms_ = route_->patience_ms_;
    facts.left_ms_ = left_ms(now);
    facts.returned_ = returned_after_refusal_;
    return facts;
}

dispatch::admission_facts request_flow::admission_facts(const dispatch::endpoint_candidate& candidate,
                                                        time_ms wait_ms, time_ms now) const {
    // With half of the slots free, one is most likely left when the adapter is resident.
    constexpr double max_used_share = 0.5;
    dispatch::admission_facts facts = admission_facts(wait_ms, now);
    facts.adapter_wait_ms_ = std::min(wait_ms, time_ms(candidate.adapter_wait_ms_));
    facts.slots_are_free_ = candidate.queued_ < 1 &&
                            candidate.running_ <= max_used_share * candidate.slots_ &&
                            facts.adapter_wait_ms_ < links::adapter_timeout_ms;
    return facts;
}

// Sends the request once its adapter, if it names one, is resident; the adapter stays so until it is
// released.
void request_flow::acquire_adapter_and_send(std::shared_ptr<endpoint> target) {
    const fleet::held_model* model = target->find_model(metadata_.model_);
    if (metadata_.adapter_.empty() || model == nullptr) {
        send(target);
        return;
    }
    release_adapter();
    adapter_endpoint_ = target->record().id_;
    if (model->adapters_.contains(metadata_.adapter_)) {
        adapter_lease_ = context_.acquire_adapter_(*target, metadata_.model_, metadata_.adapter_, nullptr);
        send(target);
        return;
    }
    const auto self = shared_from_this();
    adapter_lease_ =
        context_.acquire_adapter_(*target, metadata_.model_, metadata_.adapter_, [self, target](bool ready) {
            if (self->finished_) {
                return;
            }
            // The endpoint may have left since it was chosen.
            if (ready && self->context_.fleet_.accepts_requests(*target)) {
                self->send(target);
                return;
            }
            self->tried_endpoints_.insert(target->record().id_);
            self->try_next_endpoint();
        });
}

void request_flow::release_adapter() {
    if (!adapter_endpoint_.empty()) {
        context_.release_adapter_(std::exchange(adapter_endpoint_, {}), adapter_lease_);
    }
}

// Whether the process, which may have been told to end, is expected to see the end of an attempt that begins
// now.
bool request_flow::may_begin(time_ms now) const {
    const bool repeatable = route_->repeatable() && !is_stream_route();
    return !context_.shutdown_ ||
           dispatch::may_begin(*context_.shutdown_,
                               {arrived_at_, deadline_at_, route_->objective_ms_, repeatable}, now);
}

// Whether the request may be sent now. All that is known of the endpoint may have changed since it was
// chosen, so this is asked immediately before the first byte of each attempt.
bool request_flow::may_send(const endpoint& target) {
    const time_ms now = steady_now_ms();
    const dispatch::budget_sharers& sharers = context_.fleet_.budget_sharers();
    dispatch::retry_window& retries = context_.fleet_.retries(service_->name_);
    const bool repeats = arrived_attempts_ > 0;
    if (!is_still_identified() || !may_begin(now) || is_quarantined() ||
        !context_.fleet_.accepts_requests(target) ||
        context_.fleet_.notices_.back_off_ms(key_of(target), boot_now_ms()) ||
        (repeats && !retries.available(now, sharers)) || !confirm_place(target.record().id_)) {
        return false;
    }
    if (repeats) {
        // Taken here and nowhere else: an arrival that is planned may come much later, or never.
        retries.take(now, sharers);
    }
    counted_ = context_.fleet_.notices_.begin(key_of(target), boot_now_ms());
    trial_sent_ = on_trial_.has_value();
    return true;
}

void request_flow::send(const std::shared_ptr<endpoint>& target) {
    const time_ms now = steady_now_ms();
    tried_endpoints_.insert(target->record().id_);
    forward_parameters forward;
    forward.left_ms_ = left_ms(now);
    forward.endpoint_ = target->record().id_;
    forward.urgency_ = service_->engine_ ? urgency(now) : -1;
    forward.organisation_ = caller_.organisation_;
    forward.drops_keys_ = caller_.keys_required_;
    if (stream_begun_) {
        forward.last_event_id_ = splitter_.last_id();
    }
    exchange_request request;
    request.head_ = forwarded_head(incoming_, body_->size(), context_.fleet_.names_, forward);
    request.body_ = body_;
    request.id_header_ = context_.fleet_.names_.request_id_;
    request.id_ = metadata_.id_;
    // A request that must not run twice cannot be resent if a reused connection turns out to be closed.
    request.max_idle_ms_ = route_->repeatable() ? default_timeout_ms : safe_idle_ms;
    request.max_connections_ = service_->max_connections_;
    request.gateway_count_ = context_.fleet_.gateway_count();
    request.may_send_ = [weak = weak_from_this(), target] {
        const auto alive = weak.lock();
        return alive != nullptr && alive->may_send(*target);
    };
    splitter_.restart();
    response_head_noted_ = false;
    proved_suspects_ = 0;
    attempt_ =
        std::make_unique<scoped_attempt>(context_.fleet_, target, metadata_.prompt_tokens_, urgency(now));
    const auto self = shared_from_this();
    exchange_ = std::make_shared<exchange>(
        context_.fleet_.executor_, context_.memory_, target, std::move(request),
        exchange::callbacks{[self](http::response_parser& response) { self->on_response_progress(response); },
                            [self](exchange_outcome outcome) { self->on_exchange_ended(outcome); }});
    exchange_->start();
    if (route_->repeatable() || is_stream_route()) {
        start_silence_watch();
    }
}

} // namespace tamarack::gateway
