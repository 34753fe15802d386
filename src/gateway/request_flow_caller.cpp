// request_flow: whose request it is, and what its organisation may use.
#include "gateway/request_flow.hpp"

#include "http/path.hpp"

namespace tamarack::gateway {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;

// Expected time until a gateway that lost the platform's store reads it again, or hears from one that does.
constexpr time_ms unconfirmed_retry_after_ms = 1'000;

// Whether what the endpoint makes of the request may differ from what the gateway decides by.
bool is_ambiguous(const request_metadata& metadata, std::string_view path, const fleet::route_index& routes) {
    return metadata.ambiguous_ || http::has_dot_segments(path) ||
           routes.match(metadata.host_, http::decoded_path(path)) != routes.match(metadata.host_, path);
}

// The route that decides whether a key is needed: one that was public counts only as long as it is.
const fleet::route_rule& deciding_route(const fleet::route_rule& routed, const indexed_configuration& current,
                                        std::string_view host, std::string_view path) {
    const fleet::route_rule* in_force = routed.public_ ? current.index_.match(host, path) : nullptr;
    return in_force == nullptr ? routed : *in_force;
}

} // namespace

void request_flow::set_caller(const identity::identification& found, bool keys_required) {
    caller_ = {};
    caller_.keys_required_ = keys_required;
    if (found.organisation_ != nullptr) {
        caller_.organisation_ = found.organisation_->name_;
        caller_.rank_ = found.organisation_->rank_;
        caller_.limit_ = found.organisation_->limit_;
    }
}

// Identifies the caller by the configuration in force. Returns false if that ended the request.
bool request_flow::identify_or_refuse() {
    const indexed_configuration& current = *context_.fleet_.current();
    if (current.keys_.required() && is_ambiguous(metadata_, incoming_.path(), current.index_)) {
        if (possible_runs_ > 0) {
            fail("ambiguous_request");
        } else {
            send_own_response(status_bad_request, "ambiguous_request");
        }
        return false;
    }
    const fleet::route_rule& route = deciding_route(*route_, current, metadata_.host_, incoming_.path());
    const bool keys_confirmed = context_.fleet_.are_keys_confirmed(boot_now_ms());
    const identity::identification found =
        identity::identify(current.keys_, route, metadata_.keys_, keys_confirmed);
    if (identity::is_accepted(found.outcome_)) {
        set_caller(found, current.keys_.required());
        return true;
    }
    const std::string_view outcome = identity::to_string(found.outcome_);
    // A newer version of the configuration may accept the request, and clients do not retry after a 401.
    const bool unconfirmed = !keys_confirmed || context_.fleet_.is_view_old(boot_now_ms());
    context_.metrics_.count("tamarack_callers_refused_total",
                            "Requests refused since their caller was not identified, by reason",
                            {{"reason", unconfirmed ? "unconfirmed" : std::string(outcome)}});
    context_.events_.write({event_kind::admission,
                            "gateway",
                            unconfirmed ? "caller_unconfirmed" : "caller_not_identified",
                            metadata_.id_,
                            {{"reason", outcome},
                             {"route", route_->name_},
                             {"configuration", current.configuration_->version_},
                             {"configuration_age_ms", context_.fleet_.configuration_age_ms(boot_now_ms())},
                             {"view_age_ms", context_.fleet_.view_age_ms(boot_now_ms())}}});
    if (unconfirmed) {
        refuse("caller_unconfirmed", unconfirmed_retry_after_ms);
    } else if (possible_runs_ > 0) {
        fail(outcome);
    } else {
        send_own_response(status_unauthorized, outcome);
    }
    return false;
}

// Whether the configuration in force gives the request to the same organisation as the one that it was
// identified with, its key still counts, and the request counts in that organisation's quota, which may be
// newer than the request.
bool request_flow::is_still_identified() const {
    if (!quota_ && possible_runs_ == 0 && context_.fleet_.quotas_.limited(caller_.organisation_)) {
        return false;
    }
    const indexed_configuration& current = *context_.fleet_.current();
    const bool keys_confirmed = context_.fleet_.are_keys_confirmed(boot_now_ms());
    if (configured_.get() == &current && (keys_confirmed || caller_.organisation_.empty())) {
        return true;
    }
    const fleet::route_rule& route = deciding_route(*route_, current, metadata_.host_, incoming_.path());
    const identity::identification found =
        identity::identify(current.keys_, route, metadata_.keys_, keys_confirmed);
    const std::string_view name =
        found.organisation_ == nullptr ? std::string_view() : found.organisation_->name_;
    return identity::is_accepted(found.outcome_) && name == caller_.organisation_ &&
           current.keys_.required() == caller_.keys_required_;
}

// Counts the request in its organisation's use. Returns false if there is no room for it, which ended the
// request. One that may have run already counts where it was first sent.
bool request_flow::take_quota() {
    if (possible_runs_ > 0) {
        return true;
    }
    return_unused_quota();
    quotas::shared_quotas& quotas = context_.fleet_.quotas_;
    if (caller_.organisation_.empty() || !quotas.limited(caller_.organisation_)) {
        return true;
    }
    const double amount = identity::usage(caller_.limit_, metadata_.tokens());
    const auto wait = quotas.take(caller_.organisation_, amount, boot_now_ms());
    if (quotas.announcement_is_due()) {
        context_.notice_changed_();
    }
    if (!wait) {
        quota_ = quota_lease{caller_.organisation_, amount};
        return true;
    }
    context_.events_.write({event_kind::admission,
                            "gateway",
                            "over_quota",
                            metadata_.id_,
                            {{"organisation", caller_.organisation_},
                             {"amount", amount},
                             {"per_s", caller_.limit_.per_s_},
                             {"wait_ms", *wait}}});
    refuse("over_quota", *wait, status_too_many_requests);
    return false;
}

// What has not run does not count.
void request_flow::return_unused_quota() {
    const auto taken = std::exchange(quota_, std::nullopt);
    if (taken && possible_runs_ == 0 && !stream_begun_) {
        context_.fleet_.quotas_.give_back(taken->organisation_, taken->amount_, boot_now_ms());
    }
}

} // namespace tamarack::gateway
