#include "tamarack/dispatch.hpp"

#include <algorithm>

namespace tamarack::dispatch {

namespace {

constexpr double running_ms = 0.35;       // growth of the wait with each request in the batch
constexpr double full_memory_ms = 400.0;  // preemption is likely in a full KV cache
constexpr double memory_limit = 0.85;     // share of the KV cache above which it counts as full
constexpr double failure_ms = 3'000.0;    // for an endpoint that fails every request
constexpr double suspicion_ms = 60'000.0; // an endpoint that does not answer comes last
constexpr double near_tie_ms = 4.0;       // differences below this are noise

constexpr double honoured_share = 1.0 / 3.0; // clients honour a return within this share of what is left
constexpr time_ms earliest_return_ms = 50;
constexpr double start_share = 0.6; // of what is left; a request that starts later rarely ends in time

} // namespace

double expected_first_event_ms(const endpoint_candidate& choice, double prompt_tokens,
                               const engine_timing& pace) {
    const double unread = choice.pending_prompt_tokens_ + prompt_tokens;
    double expected = unread * pace.ms_per_prompt_token_ * choice.slowness_;
    expected += std::min(choice.running_, double(choice.slots_)) * running_ms * choice.slowness_;
    // A place in a full batch becomes free each time one of its requests ends.
    const double ahead = choice.queued_ + std::max(0.0, choice.running_ - choice.slots_);
    expected += ahead * pace.slot_ms_ / choice.slots_ * choice.slowness_;
    if (choice.memory_use_ > memory_limit) {
        expected += full_memory_ms * (choice.memory_use_ - memory_limit) / (1 - memory_limit);
    }
    return expected + choice.adapter_wait_ms_;
}

std::optional<std::size_t> choose_endpoint(std::span<const endpoint_candidate> options, double prompt_tokens,
                                           const engine_timing& pace, std::uint64_t random) {
    std::optional<std::size_t> best;
    double best_ms = 0;
    for (std::size_t step = 0; step < options.size(); ++step) {
        const std::size_t index = (step + random) % options.size();
        const endpoint_candidate& choice = options[index];
        double expected = expected_first_event_ms(choice, prompt_tokens, pace);
        expected += choice.failure_rate_ * failure_ms;
        expected += choice.suspected_ ? suspicion_ms : 0.0;
        if (!best || expected < best_ms - near_tie_ms) {
            best = index;
            best_ms = expected;
        }
    }
    return best;
}

time_ms retry_after_ms(time_ms wait_ms, time_ms left_ms, std::uint64_t random) {
    const double spread = double(random % 1'000) / 1'000.0;
    const double most = double(left_ms) * honoured_share;
    // A returning request is late in any case, so it comes when there is most likely room.
    const double earliest = std::min(double(wait_ms), most);
    return std::max(earliest_return_ms, time_ms(earliest + spread * (most - earliest)));
}

bool should_admit(const admission_facts& facts) {
    if (facts.wait_ms_ <= facts.objective_ms_) {
        return true;
    }
    if (!facts.returned_) {
        return false;
    }
    const double longest =
        facts.patience_ms_ > 0 ? std::min(facts.patience_ms_, facts.left_ms_) : facts.left_ms_;
    return double(facts.wait_ms_) <= start_share * longest;
}

} // namespace tamarack::dispatch
