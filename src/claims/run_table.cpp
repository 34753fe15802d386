#include "tamarack/claims.hpp"

namespace tamarack {

run_decision run_table::decide_by_run(const run& earlier, std::uint64_t body_hash) const {
    if (earlier.body_hash_ != body_hash) {
        return key_conflict{};
    }
    if (in_progress(earlier)) {
        return still_running{};
    }
    if (earlier.phase_ == phase::finished && earlier.response_) {
        return replay_response{*earlier.response_};
    }
    return already_run{};
}

run_decision run_table::begin_bound(const key_digest& key, std::uint64_t body_hash, time_ms now) {
    auto found = runs_.find(key);
    if (found != runs_.end()) {
        const bool may_run =
            found->second.phase_ == phase::abandoned && found->second.body_hash_ == body_hash;
        if (!may_run) {
            return decide_by_run(found->second, body_hash);
        }
        found->second.phase_ = phase::running;
        return run_now{};
    }
    if (!make_room(now)) {
        return table_full{};
    }
    runs_.emplace(key, run{phase::running, body_hash, std::nullopt});
    return run_now{};
}

std::optional<run_decision> run_table::decide_repeat(const key_digest& key, std::uint64_t body_hash) const {
    auto found = runs_.find(key);
    if (found == runs_.end() || found->second.phase_ == phase::abandoned) {
        return std::nullopt;
    }
    return decide_by_run(found->second, body_hash);
}

run_decision run_table::begin_claimed(const key_digest& key, std::uint64_t body_hash,
                                      const claim_index& index, time_ms now) {
    if (auto repeat = decide_repeat(key, body_hash)) {
        return *repeat;
    }
    auto found = runs_.find(key);
    if (found != runs_.end() && found->second.body_hash_ != body_hash) {
        return key_conflict{};
    }
    if (const claim* holder = index.find(key)) {
        if (holder->incarnation_ == incarnation_ && found == runs_.end()) {
            return already_run{};
        }
        return decide_by_claim(*holder, key, body_hash);
    }
    if (found != runs_.end()) {
        found->second.phase_ = phase::claiming;
        return claim_first{};
    }
    if (!make_room(now)) {
        return table_full{};
    }
    runs_.emplace(key, run{phase::claiming, body_hash, std::nullopt});
    return claim_first{};
}

run_decision run_table::decide_by_claim(const claim& holder, const key_digest& key, std::uint64_t body_hash) {
    if (holder.body_hash_ != body_hash) {
        return key_conflict{};
    }
    if (holder.incarnation_ != incarnation_) {
        return held_elsewhere{holder.endpoint_, holder.incarnation_};
    }
    runs_[key].phase_ = phase::running;
    return run_now{};
}

run_decision run_table::resolve_claim(const key_digest& key, std::uint64_t body_hash,
                                      const claim_index& index) {
    auto found = runs_.find(key);
    const claim* holder = index.find(key);
    if (found == runs_.end() || found->second.phase_ != phase::claiming || holder == nullptr) {
        return already_run{};
    }
    run_decision decision = decide_by_claim(*holder, key, body_hash);
    if (!std::holds_alternative<run_now>(decision)) {
        runs_.erase(found);
    }
    return decision;
}

void run_table::abandon(const key_digest& key, time_ms now) {
    auto found = runs_.find(key);
    if (found != runs_.end() && in_progress(found->second)) {
        end_run(key, phase::abandoned, now);
    }
}

bool run_table::in_progress(const run& one) {
    return one.phase_ == phase::claiming || one.phase_ == phase::running;
}

void run_table::finish(const key_digest& key, stored_response answer, time_ms now) {
    auto found = runs_.find(key);
    if (found == runs_.end()) {
        return;
    }
    stored_bytes_ += answer.body_.size();
    found->second.response_ = std::move(answer);
    end_run(key, phase::finished, now);
    drop_oldest_bodies();
}

void run_table::finish_unknown(const key_digest& key, time_ms now) {
    end_run(key, phase::unknown, now);
}

void run_table::end_run(const key_digest& key, phase final_phase, time_ms now) {
    auto found = runs_.find(key);
    if (found == runs_.end()) {
        return;
    }
    found->second.phase_ = final_phase;
    ended_.emplace(now, key);
}

// Drops the oldest bodies until the rest is within the limit. The runs stay, so their keys are never run
// again.
void run_table::drop_oldest_bodies() {
    for (auto oldest = ended_.begin(); oldest != ended_.end() && stored_bytes_ > limits_.response_bytes_;
         ++oldest) {
        auto found = runs_.find(oldest->second);
        if (found == runs_.end() || !found->second.response_) {
            continue;
        }
        stored_bytes_ -= found->second.response_->body_.size();
        found->second.response_.reset();
    }
}

bool run_table::make_room(time_ms now) {
    while (!ended_.empty() && ended_.begin()->first < now - limits_.keep_ms_) {
        auto found = runs_.find(ended_.begin()->second);
        if (found != runs_.end() && !in_progress(found->second)) {
            stored_bytes_ -= found->second.response_ ? found->second.response_->body_.size() : 0;
            runs_.erase(found);
        }
        ended_.erase(ended_.begin());
    }
    return runs_.size() < limits_.keys_;
}

} // namespace tamarack
