#include "tamarack/routing.hpp"

#include <algorithm>

namespace tamarack {

namespace {

outcome outcome_of(const attempt_facts& facts) {
    switch (facts.end_) {
    case attempt_end::answered:
        return outcome::answered;
    case attempt_end::refused:
    case attempt_end::not_sent:
        return facts.maybe_ran_before_ || facts.key_used_before_ ? outcome::unknown : outcome::not_run;
    case attempt_end::interrupted:
        return outcome::unknown;
    }
    return outcome::unknown;
}

bool safe_to_repeat(const attempt_facts& facts) {
    if (facts.bytes_delivered_ || facts.end_ == attempt_end::answered) {
        return false;
    }
    return facts.idempotent_ || facts.end_ != attempt_end::interrupted;
}

} // namespace

std::string_view to_string(outcome kind) {
    switch (kind) {
    case outcome::answered:
        return "answered";
    case outcome::not_run:
        return "not_run";
    case outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

attempt_decision after_attempt(const attempt_facts& facts) {
    const bool retry_useful = facts.retriable_ && facts.budget_ms_ > 0 && facts.attempts_made_ < max_attempts;
    const bool retry = safe_to_repeat(facts) && retry_useful && facts.retry_token_;
    return {retry ? next_step::try_again : next_step::finish, outcome_of(facts)};
}

void retry_budget::request_started() {
    tokens_ = std::min(reserve_, tokens_ + ratio_);
}

} // namespace tamarack
