// request_flow: whose request it is.
#include "gateway/request_flow.hpp"

namespace tamarack::gateway {

namespace {

constexpr int status_unauthorized = 401;

// Expected time until a gateway that lost the platform's store reads it again, or hears from one that does.
constexpr time_ms unconfirmed_retry_after_ms = 1'000;

} // namespace

// Identifies the caller by the configuration in force. Returns false if that ended the request.
bool request_flow::identify() {
    const indexed_configuration& current = *context_.fleet_.current();
    const identity::identification found = identity::identify(current.keys_, *route_, metadata_.keys_);
    if (identity::is_accepted(found.outcome_)) {
        caller_ = {};
        caller_.keyed_ = current.keys_.required();
        if (found.organisation_ != nullptr) {
            caller_.organisation_ = found.organisation_->name_;
            caller_.rank_ = found.organisation_->rank_;
            caller_.limit_ = found.organisation_->limit_;
        }
        return true;
    }
    const std::string_view outcome = identity::to_string(found.outcome_);
    // A newer version of the configuration may hold the key, and clients do not retry after a 401.
    const bool unconfirmed =
        found.outcome_ == identity::outcome::unknown_key && context_.fleet_.is_view_old(boot_now_ms());
    context_.metrics_.count("tamarack_callers_refused_total",
                            "Requests refused since their caller was not identified, by reason",
                            {{"reason", unconfirmed ? "unconfirmed_key" : std::string(outcome)}});
    context_.events_.write({event_kind::admission,
                            "gateway",
                            unconfirmed ? "key_unconfirmed" : "caller_not_identified",
                            metadata_.id_,
                            {{"reason", outcome},
                             {"route", route_->name_},
                             {"configuration", current.configuration_->version_},
                             {"view_age_ms", context_.fleet_.view_age_ms(boot_now_ms())}}});
    if (unconfirmed) {
        refuse("key_unconfirmed", unconfirmed_retry_after_ms);
    } else if (possible_runs_ > 0) {
        fail(outcome);
    } else {
        send_own_response(status_unauthorized, outcome);
    }
    return false;
}

// Whether the configuration in force gives the request to the same organisation as the one that it was
// identified with.
bool request_flow::is_still_identified() const {
    const indexed_configuration& current = *context_.fleet_.current();
    if (configured_.get() == &current) {
        return true;
    }
    const identity::identification found = identity::identify(current.keys_, *route_, metadata_.keys_);
    const std::string_view name =
        found.organisation_ == nullptr ? std::string_view() : found.organisation_->name_;
    return identity::is_accepted(found.outcome_) && name == caller_.organisation_ &&
           current.keys_.required() == caller_.keyed_;
}

} // namespace tamarack::gateway
