// request_flow: parts of the prompt that may end engines.
#include "gateway/request_flow.hpp"

namespace tamarack::gateway {

// Refuses the request if a part of its prompt is quarantined, or if it is not known yet which ones are. It
// then counts neither in the demand nor in the retry budget.
bool request_flow::refuse_if_quarantined() {
    if (!service_->engine_ || shared_parts().empty()) {
        return false;
    }
    quarantine::part_quarantine& parts = context_.fleet_.quarantine_;
    if (!parts.informed()) {
        refuse("quarantine_unknown", not_ready_retry_after_ms);
        return true;
    }
    const auto part = parts.find_quarantined(shared_parts());
    if (!part) {
        return false;
    }
    on_trial_ = on_trial_ || (context_.tries_quarantined_() && parts.begin_trial(*part, boot_now_ms()));
    context_.events_.write({event_kind::admission,
                            "gateway",
                            on_trial_ ? "tries_quarantined_part" : "has_quarantined_part",
                            metadata_.id_,
                            {{"part", *part}, {"reason", parts.reason(*part)}}});
    if (on_trial_) {
        return false;
    }
    refuse("part_quarantined", quarantine_retry_after_ms);
    return true;
}

bool request_flow::is_quarantined() const {
    return !on_trial_ && service_ != nullptr && service_->engine_ &&
           context_.fleet_.quarantine_.find_quarantined(shared_parts()).has_value();
}

// Whether the engine has been writing the answer for so long that it cannot end under a part of the prompt.
bool request_flow::has_proved_parts() const {
    return attempt_ && attempt_->has_first_event() &&
           steady_now_ms() - attempt_->first_event_at() >= quarantine::writing_proof_ms;
}

// The connection broke before the engine had written for that long. If the engine turns out to have ended, a
// part of the prompt may be the cause.
void request_flow::note_lost_request() {
    if (service_->engine_ && !shared_parts().empty() && !has_proved_parts()) {
        context_.fleet_.quarantine_.note_lost(attempt_->target().record().id_, attempt_->incarnation_,
                                              shared_parts(), boot_now_ms());
    }
}

// What may end the engine that runs the request, for logs.
std::string request_flow::suspects_text() const {
    constexpr std::size_t max_bytes = 200;
    std::string text;
    for (const std::string& suspect : suspects_) {
        text += (text.empty() ? "" : ",") + suspect;
    }
    return text.substr(0, max_bytes);
}

void request_flow::end_if_quarantined() {
    if (finished_ || stream_begun_ || !is_quarantined()) {
        return;
    }
    if (exchange_) {
        possible_runs_ += exchange_->sent() ? 1 : 0;
        std::exchange(exchange_, nullptr)->abandon();
    }
    refuse("part_quarantined", quarantine_retry_after_ms);
}

} // namespace tamarack::gateway
