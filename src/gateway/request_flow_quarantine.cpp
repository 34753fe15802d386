// request_flow: requests that may end the engines that run them.
#include "gateway/request_flow.hpp"

#include <algorithm>

namespace tamarack::gateway {

namespace {

// Time for which a request waits for what is quarantined, which a process that starts reads from the store or
// hears from another gateway.
constexpr time_ms quarantine_wait_ms = 200;
constexpr time_ms quarantine_check_interval_ms = 20;

// Time for which an engine must have written an answer to prove the request itself sound, and not only what
// its prompt shares with others.
constexpr time_ms request_proof_ms = 1'000;

} // namespace

// Refuses the request if it or a part of its prompt is quarantined. It then counts neither in the demand nor
// in the retry budget.
bool request_flow::refuse_if_quarantined() {
    quarantine::suspect_quarantine& suspects = context_.fleet_.quarantine_;
    const auto suspect = suspects.find_quarantined(suspects_);
    if (!suspect) {
        return false;
    }
    const auto quarantined = std::count_if(suspects_.begin(), suspects_.end(), [&](const std::string& one) {
        return suspects.is_quarantined(one);
    });
    // A trial for one suspect says nothing if another one ends the engine.
    if (quarantined == 1 && !on_trial_ && context_.tries_quarantined_() &&
        suspects.begin_trial(*suspect, boot_now_ms())) {
        on_trial_ = suspect;
    }
    context_.events_.write({event_kind::admission,
                            "gateway",
                            on_trial_ ? "tries_quarantined" : "is_quarantined",
                            metadata_.id_,
                            {{"suspect", *suspect}, {"reason", suspects.reason(*suspect)}}});
    if (on_trial_) {
        return false;
    }
    refuse("quarantined", quarantine_retry_after_ms);
    return true;
}

bool request_flow::is_quarantined() const {
    return !on_trial_ && context_.fleet_.quarantine_.find_quarantined(suspects_).has_value();
}

// If the trial was not sent, another request may take its place.
void request_flow::end_trial() {
    if (on_trial_ && !trial_sent_) {
        context_.fleet_.quarantine_.cancel_trial(*on_trial_, boot_now_ms());
    }
    on_trial_ = std::nullopt;
}

// Whether this process has just started and will learn in a moment what is quarantined.
bool request_flow::quarantine_is_due() const {
    return !context_.fleet_.quarantine_.informed() && steady_now_ms() - arrived_at_ < quarantine_wait_ms;
}

void request_flow::wait_for_quarantine() {
    wait_timer_.expires_after(std::chrono::milliseconds(quarantine_check_interval_ms));
    wait_timer_.async_wait([self = shared_from_this()](boost::system::error_code cancelled) {
        if (!cancelled && !self->finished_) {
            self->try_next_endpoint();
        }
    });
}

// Sends that may run the request. While it is not known what is quarantined, as when the store is away, one
// that ends its engine must not take a second one with it.
int request_flow::max_attempts() const {
    return context_.fleet_.quarantine_.informed() ? route_->max_attempts_ : 1;
}

// Suspects that the engine has not written an answer for long enough to prove sound.
std::span<const std::string> request_flow::unproved_suspects() const {
    const bool writes = attempt_ && attempt_->has_first_event();
    const time_ms writing = writes ? steady_now_ms() - attempt_->first_event_at() : 0;
    const std::span<const std::string> all(suspects_);
    if (writing >= request_proof_ms) {
        return {};
    }
    return writing >= quarantine::writing_proof_ms ? all.first(1) : all;
}

void request_flow::note_writing() {
    const std::span<const std::string> all(suspects_);
    const std::size_t proved = all.size() - unproved_suspects().size();
    if (proved > std::exchange(proved_suspects_, proved)) {
        context_.fleet_.quarantine_.note_sound(all.last(proved), boot_now_ms());
    }
}

// The connection broke before the answer proved everything sound. If the engine turns out to have ended, one
// of the suspects may be the cause.
void request_flow::note_lost_request() {
    const auto suspects = unproved_suspects();
    if (suspects.empty()) {
        return;
    }
    context_.fleet_.quarantine_.note_lost(attempt_->target().record().id_, attempt_->incarnation_, suspects,
                                          boot_now_ms());
    if (!attempt_->target().engine_.known_) {
        context_.probe_(attempt_->target().shared_from_this());
    }
}

// What may end the engine that runs the request, for logs.
std::string request_flow::suspects_text() const {
    constexpr std::size_t max_bytes = 200;
    return quarantine::join_names(suspects_).substr(0, max_bytes);
}

void request_flow::end_if_quarantined() {
    if (finished_ || stream_begun_ || !is_quarantined()) {
        return;
    }
    if (exchange_) {
        possible_runs_ += exchange_->sent() ? 1 : 0;
        std::exchange(exchange_, nullptr)->abandon();
    }
    refuse("quarantined", quarantine_retry_after_ms);
}

} // namespace tamarack::gateway
