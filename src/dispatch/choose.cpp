#include "tamarack/dispatch.hpp"

#include <algorithm>
#include <cmath>

namespace tamarack::dispatch {

namespace {

constexpr double ms_per_running = 0.35;           // added wait for each request in the batch
constexpr double full_memory_ms = 400.0;          // added wait at a full KV cache, where preemption is likely
constexpr double high_memory_use = 0.85;          // share of the KV cache above which waits grow
constexpr double failure_penalty_ms = 3'000.0;    // added wait for an endpoint that fails every request
constexpr double suspicion_penalty_ms = 60'000.0; // ranks suspected endpoints last
constexpr double near_tie_ms = 4.0;               // differences below this are noise

constexpr double min_sample_weight = 0.05; // least weight of a first event; the first ones weigh more
constexpr double max_sample_ratio = 4;     // bounds what one first event changes
constexpr double min_ms_per_token = 0.005; // bounds of the time for a prompt token
constexpr double max_ms_per_token = 0.5;

// Clients honour Retry-After within this share of the remaining time.
constexpr double honoured_share = 1.0 / 3.0;
constexpr time_ms min_retry_after_ms = 50;

// Requests that start after this share of the remaining time rarely finish in time.
constexpr double max_wait_share = 0.6;

} // namespace

void learn_prompt_time(engine_timing& timing, double took_ms, double expected_ms) {
    if (took_ms <= 0 || expected_ms <= 0) {
        return;
    }
    // A power of the ratio: as many samples above as below the expected time leave the value where it is.
    const double ratio = std::clamp(took_ms / expected_ms, 1 / max_sample_ratio, max_sample_ratio);
    const double weight = std::max(min_sample_weight, 1.0 / ++timing.prompt_samples_);
    timing.ms_per_prompt_token_ =
        std::clamp(timing.ms_per_prompt_token_ * std::pow(ratio, weight), min_ms_per_token, max_ms_per_token);
}

double expected_first_event_ms(const endpoint_candidate& candidate, double prompt_tokens,
                               const engine_timing& timing) {
    const double pending_tokens = candidate.pending_prompt_tokens_ + prompt_tokens;
    double expected = pending_tokens * timing.ms_per_prompt_token_ * candidate.slowness_;
    expected += std::min(candidate.running_, double(candidate.slots_)) * ms_per_running * candidate.slowness_;
    // A slot of a full batch becomes free each time one of its requests ends.
    const double ahead = candidate.queued_ + std::max(0.0, candidate.running_ - candidate.slots_);
    expected += ahead * timing.slot_ms_ / candidate.slots_ * candidate.slowness_;
    if (candidate.memory_use_ > high_memory_use) {
        expected += full_memory_ms * (candidate.memory_use_ - high_memory_use) / (1 - high_memory_use);
    }
    return expected + candidate.adapter_wait_ms_;
}

std::optional<std::size_t> choose_endpoint(std::span<const endpoint_candidate> candidates,
                                           double prompt_tokens, const engine_timing& timing,
                                           std::uint64_t random) {
    std::optional<std::size_t> best;
    double best_ms = 0;
    for (std::size_t step = 0; step < candidates.size(); ++step) {
        const std::size_t index = (step + random) % candidates.size();
        const endpoint_candidate& candidate = candidates[index];
        double expected = expected_first_event_ms(candidate, prompt_tokens, timing);
        expected += candidate.failure_rate_ * failure_penalty_ms;
        expected += candidate.suspected_ ? suspicion_penalty_ms : 0.0;
        if (!best || expected < best_ms - near_tie_ms) {
            best = index;
            best_ms = expected;
        }
    }
    return best;
}

time_ms retry_after_ms(time_ms wait_ms, time_ms left_ms, std::uint64_t random) {
    const double spread = double(random % 1'000) / 1'000.0;
    const double latest = double(left_ms) * honoured_share;
    // The retried request is late in any case, so the delay lasts until a slot is most likely free.
    const double earliest = std::min(double(wait_ms), latest);
    return std::max(min_retry_after_ms, time_ms(earliest + spread * (latest - earliest)));
}

bool should_admit(const admission_facts& facts) {
    if (facts.wait_ms_ <= facts.objective_ms_) {
        return true;
    }
    const bool waits_for_adapter_only =
        facts.slots_are_free_ && facts.wait_ms_ - facts.adapter_wait_ms_ <= facts.objective_ms_;
    if (!facts.returned_ && !waits_for_adapter_only) {
        return false;
    }
    const double longest =
        facts.patience_ms_ > 0 ? std::min(facts.patience_ms_, facts.left_ms_) : facts.left_ms_;
    return double(facts.wait_ms_) <= max_wait_share * longest;
}

bool is_client_about_to_leave(time_ms silent_ms, time_ms patience_ms, time_ms left_ms) {
    const bool out_of_patience = patience_ms > 0 && silent_ms >= patience_ms - leaving_margin_ms;
    return out_of_patience || left_ms <= leaving_margin_ms;
}

} // namespace tamarack::dispatch
