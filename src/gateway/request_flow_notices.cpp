// request_flow: what responses say of the endpoint that sent them.
#include "gateway/request_flow.hpp"

namespace tamarack::gateway {

namespace {

constexpr int status_misdirected = 421;

} // namespace

// Takes what the head of a response says of its endpoint. Called as soon as the head is there, and once for
// each attempt.
void request_flow::note_response_head(const http::response_parser& response) {
    const header_names& names = context_.fleet_.names_;
    const endpoint& target = attempt_->target();
    const http::header* responder = http::find_header(response.headers_, names.endpoint_id_);
    const bool from_endpoint = http::find_header(response.headers_, names.response_stamp_) != nullptr ||
                               http::find_header(response.headers_, names.not_run_) != nullptr;
    const bool from_another = responder != nullptr && responder->value_ != target.record().id_;
    const bool from_earlier_start = target.record().incarnation_ != attempt_->incarnation_;
    // Any other endpoint rejects the request as misdirected, since it names the one that it is for.
    const bool may_be_another = from_another || (!from_endpoint && response.status_ == status_misdirected);
    if (may_be_another || from_earlier_start || std::exchange(response_head_noted_, true)) {
        return;
    }
    note_leaving(response);
    note_back_off(response);
    if (from_endpoint) {
        note_limit(response);
    }
}

void request_flow::note_leaving(const http::response_parser& response) {
    const endpoint& target = attempt_->target();
    const auto leaving = says_leaving(response.headers_, context_.fleet_.names_);
    if (!ok(leaving)) {
        context_.events_.write({event_kind::fleet_view,
                                "gateway",
                                "endpoint_leaving_unreadable",
                                metadata_.id_,
                                {{"endpoint", target.record().id_}, {"why", to_string(failure(leaving))}}});
        return;
    }
    if (value(leaving) && context_.fleet_.notices_.note_leaving(
                              key_of(target), notices::leaving_source::response, boot_now_ms())) {
        context_.events_.write({event_kind::fleet_view,
                                "gateway",
                                "endpoint_says_leaving",
                                metadata_.id_,
                                {{"endpoint", target.record().id_},
                                 {"incarnation", target.record().incarnation_},
                                 {"source", notices::to_string(notices::leaving_source::response)},
                                 {"status", response.status_}}});
        context_.notice_changed_();
    }
}

void request_flow::note_back_off(const http::response_parser& response) {
    const endpoint& target = attempt_->target();
    const back_off_request requested =
        requested_back_off(response.status_, response.headers_, context_.fleet_.names_);
    if (!requested.for_ms_) {
        end_counted(true);
    }
    const bool begins = requested.for_ms_ && context_.fleet_.notices_.start_back_off(
                                                 key_of(target), *requested.for_ms_, boot_now_ms());
    if (begins || !requested.readable_) {
        context_.events_.write({event_kind::fleet_view,
                                "gateway",
                                "endpoint_backs_off",
                                metadata_.id_,
                                {{"endpoint", target.record().id_},
                                 {"incarnation", target.record().incarnation_},
                                 {"status", response.status_},
                                 {"for_ms", requested.for_ms_.value_or(0)},
                                 {"readable", requested.readable_}}});
    }
}

// Ends the count of the current attempt among the few that may be under way after a back-off.
void request_flow::end_counted(bool answered) {
    const auto counted = std::exchange(counted_, std::nullopt);
    if (counted && context_.fleet_.notices_.end(*counted, answered)) {
        context_.events_.write({event_kind::fleet_view,
                                "gateway",
                                "endpoint_recovered",
                                metadata_.id_,
                                {{"endpoint", counted->endpoint_}}});
    }
}

void request_flow::note_limit(const http::response_parser& response) {
    const endpoint& target = attempt_->target();
    const auto named = request_limit(response.headers_, context_.fleet_.names_);
    if (!ok(named)) {
        context_.events_.write({event_kind::fleet_view,
                                "gateway",
                                "endpoint_limit_unreadable",
                                metadata_.id_,
                                {{"endpoint", target.record().id_}, {"why", to_string(failure(named))}}});
        return;
    }
    const limits::limit_change change = context_.fleet_.notices_.limits().observe(
        target.record().id_, target.record().incarnation_, value(named), boot_now_ms());
    if (change != limits::limit_change::none) {
        context_.notice_changed_();
        context_.events_.write({event_kind::fleet_view,
                                "gateway",
                                limits::to_string(change),
                                metadata_.id_,
                                {{"endpoint", target.record().id_}, {"per_s", value(named).value_or(-1)}}});
    }
}

// Takes what a rejection tells of the view: another endpoint has the address, or this one does not hold the
// model.
void request_flow::note_misdirected(const http::response_parser& response) {
    endpoint& target = attempt_->target();
    ++misdirected_;
    const http::header* responder = http::find_header(response.headers_, context_.fleet_.names_.endpoint_id_);
    const bool another = responder != nullptr && responder->value_ != target.record().id_;
    if (another) {
        target.set_gone();
    } else {
        target.note_rejection(requested_model(), steady_now_ms());
    }
    context_.events_.write({event_kind::fleet_view,
                            "gateway",
                            "endpoint_misdirected",
                            metadata_.id_,
                            {{"endpoint", target.record().id_},
                             {"incarnation", target.record().incarnation_},
                             {"model", requested_model()},
                             {"responder", responder == nullptr ? std::string() : responder->value_},
                             {"view_age_ms", view_age_ms_},
                             {"reported", target.engine_.known_}}});
}

} // namespace tamarack::gateway
