// Handles submitted requests on the control thread.
#include "agent/control.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace tamarack::agent {

namespace asio = boost::asio;

namespace {

constexpr std::int64_t default_retry_after_ms = 1'000;
constexpr std::int64_t kb_per_mb = 1'024;

std::string select_item(const pool_row& pool, const model_reference& wanted,
                        const std::set<std::string>& serving) {
    const std::string current = configured_item(pool, wanted);
    if (current.empty()) {
        return {};
    }
    const std::string& version = wanted.adapter_.empty() ? wanted.model_version_ : wanted.adapter_version_;
    const std::string name = current.substr(0, current.find('@'));
    if (!version.empty()) {
        const std::string exact = name + "@" + version;
        return exact == current || serving.contains(exact) ? exact : std::string();
    }
    if (serving.contains(current)) {
        return current;
    }
    // The old version keeps serving while a new one loads.
    auto older = std::find_if(serving.begin(), serving.end(), [&](const std::string& item) {
        return item.substr(0, item.find('@')) == name;
    });
    return older == serving.end() ? current : *older;
}

} // namespace

traffic_events control::make_traffic_events() {
    const auto post = [this](auto action) { asio::post(context_, std::move(action)); };
    traffic_events events;
    events.submitted_ = [this, post](std::uint64_t id, std::shared_ptr<const wire::submit> request) {
        post([this, id, request = std::move(request)] { handle_request(id, request); });
    };
    events.withdrawn_ = [this, post](std::uint64_t id) { post([this, id] { withdraw(id); }); };
    events.ended_ = [this, post](std::uint64_t id, run_outcome outcome, std::int64_t service_ms,
                                 std::optional<stored_response> response) {
        post([this, id, outcome, service_ms, response = std::move(response)] {
            end_request(id, outcome, service_ms, response);
        });
    };
    events.key_requested_ = [this, post](std::uint64_t session_id, std::uint64_t attempt) {
        post([this, session_id, attempt] { issue_key(session_id, attempt); });
    };
    events.drop_requested_ = [this, post](std::uint64_t session_id, std::uint64_t request, std::string item) {
        post([this, session_id, request, item = std::move(item)] {
            const bool granted =
                drop_guard_.grant(item, serving_items().contains(item)) && shutdown_.accepts_new_requests();
            traffic_.send(session_id, wire::drop_reply{request, granted});
        });
    };
    events.newer_config_seen_ = [this, post](std::uint64_t session_id, std::int64_t version) {
        post([this, session_id, version] {
            if (version > config_.state().version_ && version > requested_config_version_) {
                requested_config_version_ = version;
                traffic_.send(session_id, wire::config_fetch{});
            }
        });
    };
    events.config_requested_ = [this, post](std::uint64_t session_id) {
        post([this, session_id] {
            traffic_.send(session_id, wire::config_state{encode_state(config_.state())});
        });
    };
    events.config_received_ = [this, post](std::string state) {
        post([this, state = std::move(state)] { config_.apply_peer_state(state); });
    };
    return events;
}

std::optional<refusal_reason> control::reason_to_refuse() const {
    if (!shutdown_.accepts_new_requests()) {
        return refusal_reason::leaving;
    }
    return endpoint_state_known() ? std::nullopt : std::optional(refusal_reason::not_ready);
}

void control::handle_request(std::uint64_t id, std::shared_ptr<const wire::submit> request) {
    pending_request pending;
    pending.request_ = std::move(request);
    pending.deadline_ = steady_now_ms() + pending.request_->budget_ms_;
    if (auto reason = reason_to_refuse()) {
        traffic_.refuse(id, *reason, default_retry_after_ms, {});
        return;
    }
    if (pool()->kind_ == endpoint_kind::engine && !resolve_item(id, pending)) {
        return;
    }
    pending_request& kept = pending_.emplace(id, std::move(pending)).first->second;
    if (kept.request_->idempotent_) {
        admit(id);
        return;
    }
    kept.body_hash_ = hash64(kept.request_->body_, hash64(kept.request_->path_));
    check_key(id, kept);
}

// Determines the weights that serve the request and the expected time until they are loaded. Refuses the
// request and returns false if it cannot be served here.
bool control::resolve_item(std::uint64_t id, pending_request& pending) {
    const model_reference wanted = parse_model_reference(pending.request_->model_);
    const std::set<std::string> serving = serving_items();
    pending.item_ = select_item(*pool(), wanted, serving);
    const model_row* model = find_model(*pool(), wanted.model_);
    const bool arriving = home_models_.contains(wanted.model_) || ledger_->in_flight(pending.item_);
    if (pending.item_.empty() || (!serving.contains(pending.item_) && !arriving)) {
        demand_.note_miss(wanted.model_, steady_now_ms());
        traffic_.refuse(id, refusal_reason::not_held, default_retry_after_ms, {});
        return false;
    }
    pending.load_wait_ms_ = serving.contains(pending.item_) ? 0 : std::int64_t(mean_load_ms_);
    const std::int64_t kv_kb = pending.request_->kv_tokens_ * model->kv_kb_per_token_;
    pending.kv_mb_ = (kv_kb + kb_per_mb - 1) / kb_per_mb;
    return true;
}

void control::check_key(std::uint64_t id, pending_request& pending) {
    const wire::submit& request = *pending.request_;
    pending.key_ = digest_key(request.organisation_, request.key_);
    if (const auto bound = decode_bound_key(request.key_)) {
        check_bound_key(id, pending, *bound);
        return;
    }
    if (auto repeat = run_table_.decide_repeat(*pending.key_, pending.body_hash_)) {
        apply_decision(id, *repeat);
        return;
    }
    if (auto refusal = admission_.preview(make_admission_request(id, pending), steady_now_ms())) {
        pending.key_.reset();
        refuse(id, refusal->reason_, refusal->retry_after_ms_);
        return;
    }
    queue_claim(id);
}

void control::check_bound_key(std::uint64_t id, pending_request& pending, const bound_key& key) {
    const run_table_limits limits;
    const time_ms now = steady_now_ms();
    if (key.incarnation_ != incarnation_) {
        pending.key_.reset();
        refuse(id, refusal_reason::unknown_key, 0);
        return;
    }
    if (key.issued_ms_ < now - limits.keep_ms_ || key.issued_ms_ > now + max_clock_skew_ms) {
        pending.key_.reset();
        refuse(id, refusal_reason::key_too_old, 0);
        return;
    }
    apply_decision(id, run_table_.begin_bound(*pending.key_, pending.body_hash_, now));
}

void control::apply_decision(std::uint64_t id, const run_decision& decision) {
    pending_request& pending = pending_.at(id);
    if (std::holds_alternative<run_now>(decision)) {
        admit(id);
        return;
    }
    // This request must not change the record of the key, which belongs to another request or does not exist.
    pending.key_.reset();
    if (const auto* replay = std::get_if<replay_response>(&decision)) {
        pending_.erase(id);
        traffic_.replay(id, replay->response_);
    } else if (std::holds_alternative<still_running>(decision)) {
        fail(id, "the request with this key is still running");
    } else if (std::holds_alternative<key_conflict>(decision)) {
        refuse(id, refusal_reason::key_conflict, 0);
    } else if (const auto* held = std::get_if<held_elsewhere>(&decision)) {
        const bool same_endpoint = held->endpoint_ == settings_.id_;
        refuse(id, same_endpoint ? refusal_reason::unknown_key : refusal_reason::key_held, 0,
               same_endpoint ? std::string() : held->endpoint_);
    } else if (std::holds_alternative<table_full>(decision)) {
        refuse(id, refusal_reason::overloaded, default_retry_after_ms);
    } else {
        fail(id, "the request with this key ran or may have run, and its answer is not held");
    }
}

admission_request control::make_admission_request(std::uint64_t id, const pending_request& pending) const {
    admission_request request;
    request.id_ = id;
    request.class_ = traffic_class(std::min<std::uint8_t>(pending.request_->class_, 1));
    request.organisation_ = pending.request_->organisation_;
    request.item_ = pending.item_;
    request.deadline_ = pending.deadline_;
    request.kv_mb_ = pending.kv_mb_;
    request.load_wait_ms_ = pending.load_wait_ms_;
    request.work_ = std::max<std::int64_t>(1, pending.request_->kv_tokens_);
    return request;
}

void control::admit(std::uint64_t id) {
    const pending_request& pending = pending_.at(id);
    apply_actions(admission_.submit(make_admission_request(id, pending), steady_now_ms()));
}

void control::apply_actions(const admission_actions& actions) {
    for (const admission_action& action : actions) {
        if (const auto* start = std::get_if<start_action>(&action)) {
            pending_request& pending = pending_.at(start->id_);
            pending.running_ = true;
            pending.base_item_ = base_item(pending.item_);
            update_use(pending, 1);
            traffic_.start(start->id_, pending.item_);
        } else if (const auto* refusal = std::get_if<refuse_action>(&action)) {
            const auto found = pending_.find(refusal->id_);
            if (found != pending_.end() && refusal->reason_ == refusal_reason::overloaded) {
                demand_.note_miss(parse_model_reference(found->second.item_).model_, steady_now_ms());
            }
            refuse(refusal->id_, refusal->reason_, refusal->retry_after_ms_);
        }
    }
}

// Refuses a request that was not run and never will be. A repeat of its key may still run here.
void control::refuse(std::uint64_t id, refusal_reason reason, std::int64_t retry_after_ms,
                     std::string redirect) {
    auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    if (found->second.key_) {
        run_table_.abandon(*found->second.key_, steady_now_ms());
    }
    metrics_.count(
        "tamarack_agent_refusals_total", "Requests that were refused without being run",
        {{"tenant", found->second.request_->organisation_}, {"reason", std::string(to_string(reason))}});
    pending_.erase(found);
    traffic_.refuse(id, reason, retry_after_ms, std::move(redirect));
}

void control::fail(std::uint64_t id, std::string detail) {
    pending_.erase(id);
    traffic_.fail(id, std::move(detail));
}

void control::withdraw(std::uint64_t id) {
    auto found = pending_.find(id);
    if (found == pending_.end() || found->second.running_) {
        return;
    }
    admission_.withdraw(id);
    if (found->second.key_) {
        run_table_.abandon(*found->second.key_, steady_now_ms());
    }
    pending_.erase(found);
    traffic_.confirm_withdrawal(id);
}

void control::end_request(std::uint64_t id, run_outcome outcome, std::int64_t service_ms,
                          std::optional<stored_response> response) {
    auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    const pending_request pending = std::move(found->second);
    pending_.erase(found);
    update_use(pending, -1);
    const time_ms now = steady_now_ms();
    const bool ran = outcome == run_outcome::complete || outcome == run_outcome::unknown;
    if (pending.key_ && !ran) {
        run_table_.abandon(*pending.key_, now);
    } else if (pending.key_ && outcome == run_outcome::complete && response) {
        run_table_.finish(*pending.key_, std::move(*response), now);
    } else if (pending.key_) {
        run_table_.finish_unknown(*pending.key_, now);
    }
    if (ran) {
        metrics_.observe_ms("tamarack_agent_service_ms", "Time of a request at the endpoint",
                            {{"tenant", pending.request_->organisation_},
                             {"class", std::string(to_string(traffic_class(pending.request_->class_ != 0)))}},
                            double(service_ms));
    }
    apply_actions(admission_.finish(id, ran ? service_ms : 0, now));
}

// Returns the resident model that an adapter builds on; empty if there is none, and for models and plain
// services.
std::string control::base_item(const std::string& item) const {
    if (item.find(':') == std::string::npos) {
        return {};
    }
    const std::string model = parse_model_reference(item).model_;
    for (const auto& [resident, memory_mb] : ledger_->resident()) {
        if (resident.substr(0, resident.find('@')) == model) {
            return resident;
        }
    }
    return {};
}

// Updates the use counts of the request's item and, for an adapter, of the model that it builds on.
void control::update_use(const pending_request& pending, std::int64_t change) {
    for (const std::string* item : {&pending.item_, &pending.base_item_}) {
        if (item->empty()) {
            continue;
        }
        item_use& use = item_uses_[*item];
        use.running_ += change;
        use.last_used_ = steady_now_ms();
    }
}

void control::issue_key(std::uint64_t session_id, std::uint64_t attempt) {
    const bound_key key{settings_.id_, incarnation_, steady_now_ms(), random_()};
    traffic_.send(session_id, wire::key_issued{attempt, encode_bound_key(key)});
}

} // namespace tamarack::agent
