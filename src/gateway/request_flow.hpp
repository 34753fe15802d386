// Handles one client request: finds its route, chooses an endpoint, sends the request, forwards the response.
#pragma once

#include "gateway/event_splitter.hpp"
#include "gateway/exchange.hpp"
#include "gateway/fleet_state.hpp"
#include "gateway/head_rewrite.hpp"
#include "gateway/response_sink.hpp"
#include "tamarack/events.hpp"
#include "tamarack/observe.hpp"

namespace tamarack::gateway {

// State that all requests share.
struct flow_context {
    fleet_state& fleet_;
    metrics& metrics_;
    event_log& events_;

    // Asks the engine's agent to load an adapter and to keep it resident until `release_adapter_`. Returns
    // the id to release it with; the callback may be empty.
    std::function<std::uint64_t(endpoint&, const std::string& model, const std::string& adapter,
                                std::function<void(bool ready)>)>
        acquire_adapter_;
    std::function<void(std::string_view endpoint, std::uint64_t lease)> release_adapter_;

    // Called when a response says something of its endpoint that the other gateways should know at once.
    std::function<void()> notice_changed_;

    // Whether this gateway may send single requests that are quarantined to see if they still end engines.
    std::function<bool()> tries_quarantined_;

    // Finds out whether an endpoint has ended that no agent watches.
    std::function<void(const std::shared_ptr<endpoint>&)> probe_;

    memory::account& memory_;

    // Set once the process has been told to end.
    std::optional<dispatch::shutdown_schedule> shutdown_ = std::nullopt;
};

inline constexpr time_ms not_ready_retry_after_ms =
    400; // expected time until a gateway has learned the fleet's state

inline constexpr time_ms min_retry_time_ms = 30; // least time left for another attempt

inline constexpr int status_unavailable = 503;
inline constexpr int status_too_many_requests = 429;

// Time after which a request that is quarantined may be sent again, unless an operator releases it.
inline constexpr time_ms quarantine_retry_after_ms = quarantine::usual_trial_ms;

// Counts one attempt in the load of its endpoint for as long as the object lives.
class scoped_attempt {
public:
    scoped_attempt(fleet_state& fleet, std::shared_ptr<endpoint> target, double prompt_tokens, int urgency);
    ~scoped_attempt();

    // Notes the first event, after which the prompt counts as processed. Later calls have no effect.
    void record_first_event();
    bool has_first_event() const { return first_event_at_ > 0; }
    time_ms first_event_at() const { return first_event_at_; }

    endpoint& target() { return *target_; }
    const time_ms started_at_;
    const std::int64_t incarnation_; // the endpoint's incarnation at that time

private:
    fleet_state& fleet_;
    std::shared_ptr<endpoint> target_;
    double pending_prompt_tokens_;
    int urgency_;
    time_ms first_event_at_ = 0;
};

// A place within an endpoint's limit that a request has taken and not used yet.
struct reserved_place {
    std::string endpoint_;
    time_ms taken_at_ = 0;
};

// Whose request it is, by the configuration that it was identified with.
struct caller {
    std::string organisation_; // empty if the request belongs to none
    std::optional<int> rank_;  // replaces the rank of the route
    fleet::usage_limit limit_;
    bool keys_required_ = false; // whether the configuration lists organisations
};

// What a request has taken of an organisation's quota.
struct quota_lease {
    std::string organisation_;
    double amount_ = 0;
};

// An attempt that was given up because its endpoint was silent. It cannot be cancelled there while the
// endpoint's instance is suspended.
struct silent_attempt {
    std::shared_ptr<endpoint> target_;
    time_ms ended_at_ = 0;
};

// What the last choice of an endpoint rested on.
struct endpoint_choice {
    int candidates_ = 0;
    double running_ = 0; // requests in service at the chosen endpoint
    double failure_rate_ = 0;
    time_ms expected_ms_ = 0; // expected time until its first event
};

// One client request, from its arrival to the end of its response.
class request_flow : public running_request, public std::enable_shared_from_this<request_flow> {
public:
    request_flow(flow_context& context, std::shared_ptr<response_sink> sink, http::request incoming);

    void start();

    // Sets the callback that is called once when the request has ended.
    void on_finished(std::function<void()> done) { on_finished_ = std::move(done); }

    void on_client_disconnected() override;
    void on_write_completed() override;
    void refuse_if_unsent() override;
    void end_before_exit() override;
    void end_if_quarantined() override;

private:
    bool find_route();
    bool names_model_plainly() const;
    bool identify_or_refuse();
    void set_caller(const identity::identification& found, bool keys_required);
    bool is_still_identified() const;
    bool take_quota();
    void return_unused_quota();
    bool refuse_if_quarantined();
    bool is_quarantined() const;
    void end_trial();
    bool quarantine_is_due() const;
    void wait_for_quarantine();
    int max_attempts() const;
    void note_writing();
    std::span<const std::string> unproved_suspects() const;
    void note_lost_request();
    void try_next_endpoint();
    std::vector<std::shared_ptr<endpoint>> usable_endpoints() const;
    std::vector<std::shared_ptr<endpoint>>
    taking_requests(const std::vector<std::shared_ptr<endpoint>>& usable) const;
    std::vector<std::shared_ptr<endpoint>>
    responsive_endpoints(const std::vector<std::shared_ptr<endpoint>>& usable, time_ms now) const;
    bool has_other_endpoint() const { return !taking_requests(usable_endpoints()).empty(); }
    void note_wants(const std::vector<std::shared_ptr<endpoint>>& usable);
    dispatch::endpoint_candidate make_candidate(const endpoint& target, time_ms now) const;
    dispatch::admission_facts admission_facts(time_ms wait_ms, time_ms now) const;
    dispatch::admission_facts admission_facts(const dispatch::endpoint_candidate& candidate, time_ms wait_ms,
                                              time_ms now) const;
    double adapter_wait_ms(const endpoint& target) const;
    void log_refusal(const endpoint& best, const dispatch::endpoint_candidate& candidate, time_ms expected,
                     time_ms now);
    void wait_for_newer_view();
    void wait_for_report(const endpoint& unresponsive, time_ms now);
    void wait_for_model();
    void stop_waiting_for_model();
    void wait_for_place(const std::vector<std::shared_ptr<endpoint>>& limited);
    void stop_waiting_for_place();
    void reserve_place(const endpoint& target);
    void release_place();
    bool may_begin(time_ms now) const;
    bool may_send(const endpoint& target);
    bool confirm_place(std::string_view endpoint);
    bool refuse_if_all_back_off(const std::vector<std::shared_ptr<endpoint>>& usable);
    void acquire_adapter_and_send(std::shared_ptr<endpoint> target);
    void release_adapter();
    void send(const std::shared_ptr<endpoint>& target);

    void note_response_head(const http::response_parser& response);
    void note_limit(const http::response_parser& response);
    void note_leaving(const http::response_parser& response);
    void note_back_off(const http::response_parser& response);
    void end_counted(bool answered);
    bool is_event_stream(const http::response_parser& response) const;
    void on_response_progress(http::response_parser& response);
    void forward_events(http::response_parser& response);
    void pause_if_client_is_behind();
    void on_events_received();
    void on_exchange_ended(exchange_outcome outcome);
    bool finish_if_stream_complete();
    dispatch::send_end classify_end(exchange_outcome outcome, const http::response_parser& response) const;
    void update_health(dispatch::send_end end, int status);
    std::string suspects_text() const;
    void on_attempt_ended(dispatch::send_end end, http::response_parser& response);
    void deliver(http::response_parser& response);

    void refuse(std::string_view reason, time_ms wait_ms, int status = status_unavailable);
    void fail(std::string_view reason);
    void send_own_response(int status, std::string_view reason, std::vector<http::header> headers = {});
    void on_deadline();
    void end_unfinished(std::string_view reason);
    void refuse_at_shutdown();
    void note_misdirected(const http::response_parser& response);
    std::string requested_model() const;
    std::string_view pending_step() const;
    void log_deadline();
    double limit_of_endpoint() const;
    void finish(int status, std::string_view outcome);
    void start_silence_watch();
    void check_silence_after(time_ms delay);
    bool can_fail_over() const;
    void check_silence();
    bool may_be_held() const;
    bool is_client_about_to_leave(time_ms now) const;
    bool must_end_before_client(time_ms now) const;
    bool should_end_silent_stream() const;

    // Whether the first event can no longer meet the route's objective. A request that returned after a
    // refusal is late from the start, since the time before the refusal counts. A request that may have run
    // already, for example on an engine that stopped responding, is never late: its client has waited and is
    // about to give up, so it keeps its priority.
    bool is_late(time_ms now) const {
        return possible_runs_ == 0 && (returned_after_refusal_ || now - arrived_at_ > route_->objective_ms_);
    }
    int rank() const { return caller_.rank_.value_or(route_->rank_); }
    int urgency(time_ms now) const { return dispatch::urgency(rank(), is_late(now)); }

    bool is_stream_route() const { return route_->repeat_ == fleet::repeat_rule::stream; }
    time_ms left_ms(time_ms now) const { return deadline_at_ - now; }
    bool may_run_again() const;

    flow_context& context_;
    std::shared_ptr<response_sink> sink_;
    http::request incoming_; // the body is in `body_`
    std::shared_ptr<const std::string> body_;
    request_metadata metadata_;
    caller caller_;
    std::optional<quota_lease> quota_;
    std::vector<std::string> suspects_; // the request and the shared parts of its prompt
    std::shared_ptr<const indexed_configuration> configured_; // owner of `route_` and `service_`
    const fleet::route_rule* route_ = nullptr;
    const fleet::service_spec* service_ = nullptr;
    time_ms arrived_at_ = 0;
    time_ms deadline_at_ = 0;
    boost::asio::steady_timer deadline_timer_;
    boost::asio::steady_timer wait_timer_;
    boost::asio::steady_timer silence_timer_;
    std::set<std::string, std::less<>> tried_endpoints_;
    std::shared_ptr<exchange> exchange_;
    std::unique_ptr<scoped_attempt> attempt_;
    std::vector<silent_attempt> silent_attempts_;
    event_splitter splitter_;
    std::string adapter_endpoint_; // endpoint that holds the adapter for `adapter_lease_`
    std::uint64_t adapter_lease_ = 0;
    std::function<void()> on_finished_;
    int arrived_attempts_ = 0;         // attempts that reached an endpoint
    int possible_runs_ = 0;            // those of them that the endpoint did not confirm as not run
    int misdirected_ = 0;              // rejections by endpoints that the view was wrong about
    bool response_head_noted_ = false; // of the current attempt
    bool stream_begun_ = false;
    bool counts_demand_ = false; // whether the configuration lists the model
    bool waiting_for_model_ = false;
    bool wants_noted_ = false;
    std::shared_ptr<endpoint> awaited_endpoint_; // of which the request waits for a place
    std::optional<reserved_place> place_;
    std::optional<notices::sent_request> counted_; // the current attempt, until its response begins
    bool waited_for_view_ = false;
    std::optional<time_ms> reports_overdue_since_; // when all usable engines were first found unresponsive
    bool returned_after_refusal_ = false; // assumed if the deadline is shorter than usual for the route
    bool finished_ = false;
    std::size_t proved_suspects_ = 0; // number of suspects that the current attempt has proved sound
    bool trial_sent_ = false;
    std::optional<std::string> on_trial_; // the quarantined suspect for which it is sent once nevertheless
    time_ms last_event_at_ = 0;
    endpoint_choice choice_;
    double expected_first_event_ms_ = 0; // expected at the chosen endpoint if it has the usual speed
    time_ms view_age_ms_ = 0;            // age of the view of the endpoints when the last one was chosen
};

} // namespace tamarack::gateway
