// The way of one request: route, endpoint, sendings, answer.
#pragma once

#include "gateway/event_splitter.hpp"
#include "gateway/exchange.hpp"
#include "gateway/fleet_state.hpp"
#include "gateway/head_rewrite.hpp"
#include "gateway/response_sink.hpp"
#include "tamarack/events.hpp"
#include "tamarack/observe.hpp"

namespace tamarack::gateway {

// What flows share beside the fleet's state.
struct flow_context {
    fleet_state& fleet_;
    metrics& measures_;
    event_log& events_;

    // Asks the agent of an engine to make an adapter resident and to keep it; returns the number of the want.
    std::function<std::uint64_t(endpoint&, const std::string& model, const std::string& adapter,
                                std::function<void(bool ready)>)>
        want_adapter_;
    std::function<void(std::string_view endpoint, std::uint64_t number)> release_adapter_;
};

// Counts a sending at its endpoint for as long as it lives.
class open_sending {
public:
    open_sending(fleet_state& fleet, std::shared_ptr<endpoint> at, double prompt_tokens, int urgency);
    ~open_sending();

    // The prompt has been read.
    void first_event();
    bool first_event_seen() const { return first_event_at_ > 0; }
    time_ms first_event_at() const { return first_event_at_; }

    endpoint& at() { return *at_; }
    const time_ms began_at_;

private:
    fleet_state& fleet_;
    std::shared_ptr<endpoint> at_;
    double pending_prompt_tokens_;
    int urgency_;
    time_ms first_event_at_ = 0;
};

class request_flow : public running_request, public std::enable_shared_from_this<request_flow> {
public:
    request_flow(flow_context& context, std::shared_ptr<response_sink> sink, http::request incoming);

    void start();

    // Calls `done` once, when the request has ended.
    void on_finished(std::function<void()> done) { on_finished_ = std::move(done); }

    void client_gone() override;
    void drained() override;
    void refuse_if_unsent() override;

private:
    bool find_route();
    void try_next();
    std::vector<std::shared_ptr<endpoint>> usable_endpoints() const;
    dispatch::endpoint_candidate make_option(const endpoint& one, time_ms now) const;
    dispatch::admission_facts admission_facts(time_ms wait_ms, time_ms now) const;
    double adapter_wait_ms(const endpoint& one) const;
    void note_refusal(const endpoint& best, const dispatch::endpoint_candidate& option, time_ms expected,
                      time_ms now);
    void hold_for_model();
    void stop_holding();
    void prepare(std::shared_ptr<endpoint> target);
    void release_adapter();
    void send(const std::shared_ptr<endpoint>& target);

    bool streams(const http::response_parser& answer) const;
    void take_progress(http::response_parser& answer);
    void take_events(http::response_parser& answer);
    void first_event();
    void take_end(exchange_end end);
    bool stream_complete();
    dispatch::send_end judge_end(exchange_end end, const http::response_parser& answer) const;
    void note_health(dispatch::send_end end, int status);
    void go_on(dispatch::send_end end, http::response_parser& answer);
    void deliver(http::response_parser& answer);

    void refuse(std::string_view reason, time_ms wait_ms);
    void fail(std::string_view reason);
    void answer_own(int status, std::string_view reason, std::vector<http::header> headers = {});
    void time_out();
    void finish(int status, std::string_view outcome);
    void arm_pause_watch();
    void watch_for_silence(time_ms limit);
    bool can_go_on_elsewhere() const;

    // Whether the first event cannot come in time any more. One that left a silent engine does not yield as
    // late ones do: its client has waited there and leaves soon.
    bool is_late(time_ms now) const {
        return maybe_runs_ == 0 && (returned_ || now - arrived_at_ > route_->objective_ms_);
    }
    int urgency(time_ms now) const { return dispatch::urgency(route_->rank_, is_late(now)); }

    bool is_stream() const { return route_->repeat_ == fleet::repeat_rule::stream; }
    time_ms left_ms(time_ms now) const { return until_ - now; }
    bool may_run_again() const;

    flow_context& context_;
    std::shared_ptr<response_sink> sink_;
    http::request incoming_;
    request_facts facts_;
    std::shared_ptr<const indexed_configuration> configured_; // keeps the route alive
    const fleet::route_rule* route_ = nullptr;
    const fleet::service_spec* service_ = nullptr;
    time_ms arrived_at_ = 0;
    time_ms until_ = 0;
    boost::asio::steady_timer limit_;
    boost::asio::steady_timer pause_;
    std::set<std::string, std::less<>> tried_;
    std::shared_ptr<exchange> exchange_;
    std::unique_ptr<open_sending> sending_;
    event_splitter splitter_;
    std::string adapter_endpoint_; // that keeps the adapter for this request
    std::uint64_t adapter_want_ = 0;
    std::function<void()> on_finished_;
    int arrivals_ = 0;   // sendings that reached an endpoint
    int maybe_runs_ = 0; // of these, not confirmed as not run
    bool stream_begun_ = false;
    bool holding_ = false;
    bool returned_ = false; // after a refusal, as its shorter deadline shows
    bool finished_ = false;
    time_ms last_event_at_ = 0;
};

} // namespace tamarack::gateway
