#include "tamarack/quarantine.hpp"

#include <algorithm>
#include <limits>

namespace tamarack::quarantine {

std::string join_names(std::span<const std::string> names) {
    constexpr std::size_t max_bytes = 400;
    std::string text;
    for (const std::string& name : names) {
        text += (text.empty() ? "" : ",") + name;
        if (text.size() > max_bytes) {
            return text.substr(0, max_bytes);
        }
    }
    return text;
}

namespace {

bool has_parts(std::span<const std::string> suspects) {
    return std::any_of(suspects.begin(), suspects.end(),
                       [](const std::string& suspect) { return !names_request(suspect); });
}

} // namespace

void recent_answers::note(time_ms now) {
    times_.push_back(now);
    if (times_.size() > least_answers) {
        times_.pop_front();
    }
}

bool recent_answers::has_enough_since(time_ms from) const {
    return times_.size() >= least_answers && times_.front() >= from;
}

std::string_view to_string(change_kind kind) {
    switch (kind) {
    case change_kind::engine_ended:
        return "engine_ended";
    case change_kind::quarantined:
        return "suspect_quarantined";
    case change_kind::released:
        return "suspect_released";
    }
    return "unknown";
}

void suspect_quarantine::note_lost(std::string_view engine, std::int64_t incarnation,
                                   std::span<const std::string> suspects, time_ms now) {
    const engine_key key(engine, incarnation);
    if (has_parts(suspects)) {
        count_lost(suspects);
    }
    const auto known = ends_.find(key);
    if (known == ends_.end()) {
        auto& lost = lost_[key];
        if (lost.size() < max_suspects) {
            lost.push_back({now, {suspects.begin(), suspects.end()}});
        }
        return;
    }
    // The end was noticed before the connection broke.
    for (const std::string& suspect : suspects) {
        if (add_suspect(known->second, suspect, now)) {
            known->second.own_suspects_.push_back(suspect);
            known->second.announced_until_ = now + announced_for_ms;
            due_ = true;
        }
    }
}

void suspect_quarantine::note_ended(std::string_view engine, std::int64_t incarnation, time_ms now) {
    const auto found = lost_.find(engine_key(engine, incarnation));
    if (found == lost_.end()) {
        return;
    }
    const auto lost = std::move(found->second);
    lost_.erase(found);
    const time_ms last = lost.back().at_;
    if (now - last > end_notice_ms) {
        return;
    }
    end_record& record = record_of(engine_key(engine, incarnation), last);
    for (const lost_request& request : lost) {
        if (last - request.at_ > lost_together_ms) {
            continue;
        }
        for (const std::string& suspect : request.suspects_) {
            if (add_suspect(record, suspect, now)) {
                record.own_suspects_.push_back(suspect);
            }
        }
    }
    record.announced_until_ = now + announced_for_ms;
    due_ = true;
    changes_.push_back(
        {change_kind::engine_ended, "", {std::string(engine)}, join_names(record.own_suspects_), "own"});
}

void suspect_quarantine::count_lost(std::span<const std::string> suspects) {
    if (lost_with_suspect_.size() >= max_proofs) {
        lost_with_suspect_.clear();
        lost_unanswered_ = 0;
    }
    ++lost_unanswered_;
    for (const std::string& suspect : suspects) {
        ++lost_with_suspect_[suspect];
    }
}

void suspect_quarantine::note_sound(std::span<const std::string> suspects, time_ms now) {
    if (suspects.empty()) {
        return;
    }
    for (const std::string& suspect : suspects) {
        note_proof(suspect, now, true);
    }
    if (!has_parts(suspects)) {
        answers_without_parts_.note(now);
        return;
    }
    lost_with_suspect_.clear();
    lost_unanswered_ = 0;
    answers_with_parts_.note(now);
}

void suspect_quarantine::note_proof(const std::string& suspect, time_ms at, bool own) {
    const auto found = proofs_.find(suspect);
    if (found != proofs_.end()) {
        if (at >= found->second.at_) {
            found->second.at_ = at;
            found->second.own_ = own;
            proofs_by_use_.splice(proofs_by_use_.begin(), proofs_by_use_, found->second.use_);
        }
        return;
    }
    if (proofs_.size() >= max_proofs) {
        proofs_.erase(proofs_by_use_.back());
        proofs_by_use_.pop_back();
    }
    proofs_by_use_.push_front(suspect);
    proofs_[suspect] = {at, own, proofs_by_use_.begin()};
}

time_ms suspect_quarantine::proved_at(const std::string& suspect) const {
    const auto found = proofs_.find(suspect);
    return found == proofs_.end() ? long_ago : found->second.at_;
}

suspect_quarantine::end_record& suspect_quarantine::record_of(const engine_key& key, time_ms at) {
    const auto [entry, added] = ends_.try_emplace(key);
    if (added) {
        entry->second.at_ = at;
        entry->second.changed_at_ = at;
        memory_changed_ = true;
        if (ends_.size() > max_ends) {
            const auto oldest =
                std::min_element(ends_.begin(), ends_.end(), [&](const auto& left, const auto& right) {
                    return std::pair(left.first == key, left.second.at_) <
                           std::pair(right.first == key, right.second.at_);
                });
            ends_.erase(oldest);
        }
    }
    return ends_.at(key);
}

bool suspect_quarantine::add_suspect(end_record& record, const std::string& suspect, time_ms now) {
    if (record.suspects_.size() >= max_suspects || !record.suspects_.insert(suspect).second) {
        return false;
    }
    record.changed_at_ = now;
    record.settled_ = false;
    return true;
}

std::optional<std::string> suspect_quarantine::find_quarantined(std::span<const std::string> suspects) const {
    const auto found = std::find_if(suspects.begin(), suspects.end(),
                                    [&](const std::string& suspect) { return is_quarantined(suspect); });
    return found == suspects.end() ? std::nullopt : std::optional(*found);
}

bool suspect_quarantine::begin_trial(std::string_view suspect, time_ms now) {
    const auto found = quarantined_.find(suspect);
    if (found == quarantined_.end()) {
        return false;
    }
    quarantine_entry& entry = found->second;
    if (entry.trial_ms_ == no_trial || now < entry.trial_at_ ||
        (!answers_with_parts_.has_enough_since(entry.since_ + 1) &&
         (!names_request(suspect) || !answers_without_parts_.has_enough_since(entry.since_ + 1)))) {
        return false;
    }
    constexpr time_ms growth = 4;
    const bool last = names_request(suspect) && entry.trial_ms_ >= usual_trial_ms;
    const time_ms next =
        names_request(suspect) ? usual_trial_ms : std::min(growth * entry.trial_ms_, usual_trial_ms);
    entry.trial_ms_ = last ? no_trial : next;
    entry.trial_at_ = now + next;
    memory_changed_ = true;
    return true;
}

void suspect_quarantine::cancel_trial(std::string_view suspect, time_ms now) {
    const auto found = quarantined_.find(suspect);
    if (found != quarantined_.end()) {
        quarantine_entry& entry = found->second;
        entry.trial_ms_ = entry.trial_ms_ == no_trial ? usual_trial_ms : entry.trial_ms_;
        entry.trial_at_ = now;
    }
}

std::vector<std::string> suspect_quarantine::quarantined() const {
    std::vector<std::string> suspects;
    for (const auto& [suspect, entry] : quarantined_) {
        suspects.push_back(suspect);
    }
    return suspects;
}

std::string_view suspect_quarantine::reason(std::string_view suspect) const {
    const auto found = quarantined_.find(suspect);
    return found == quarantined_.end() ? std::string_view() : found->second.reason_;
}

void suspect_quarantine::quarantine(const std::string& suspect, time_ms since, time_ms trial_ms,
                                    std::string reason, time_ms now) {
    if (quarantined_.size() >= max_quarantined) {
        quarantined_.erase(std::min_element(
            quarantined_.begin(), quarantined_.end(),
            [](const auto& left, const auto& right) { return left.second.since_ < right.second.since_; }));
    }
    quarantined_[suspect] = {since, now + trial_ms, trial_ms, 0, std::move(reason)};
    memory_changed_ = true;
}

// Puts off the next trial if another gateway knows of a later one than this.
void suspect_quarantine::delay_trial(quarantine_entry& entry, time_ms trial_ms, time_ms now) {
    const bool later = trial_ms == no_trial || trial_ms > entry.trial_ms_;
    if (entry.trial_ms_ != no_trial && later) {
        entry.trial_ms_ = trial_ms;
        entry.trial_at_ = now + trial_ms;
        memory_changed_ = true;
    }
}

announcement suspect_quarantine::memory(time_ms now) const {
    announcement known;
    for (const auto& [key, record] : ends_) {
        engine_end end{key.first, key.second, now - record.at_, {}, record.answered_};
        std::copy_if(record.suspects_.begin(), record.suspects_.end(), std::back_inserter(end.suspects_),
                     [&](const std::string& suspect) { return speaks_against(record, suspect); });
        if (!end.suspects_.empty()) {
            known.ends_.push_back(std::move(end));
        }
    }
    for (const auto& [suspect, entry] : quarantined_) {
        known.states_.push_back({suspect, true, now - entry.since_, entry.trial_ms_});
    }
    known.complete_ = informed_;
    return known;
}

void suspect_quarantine::restore(const announcement& stored, time_ms now) {
    informed_ = true;
    for (const engine_end& end : stored.ends_) {
        const engine_key key(end.engine_, end.incarnation_);
        if (end.age_ms_ > evidence_ms || ends_.contains(key)) {
            continue;
        }
        end_record& record = record_of(key, now - end.age_ms_);
        record.answered_ = end.answered_;
        for (const std::string& suspect : end.suspects_) {
            add_suspect(record, suspect, now);
        }
    }
    for (const suspect_state& one : stored.states_) {
        if (!is_quarantined(one.suspect_)) {
            quarantine(one.suspect_, now - one.age_ms_, one.trial_ms_, "store", now);
            changes_.push_back({change_kind::quarantined, one.suspect_, {}, "", "store"});
        }
    }
}

void suspect_quarantine::release(const std::string& suspect, time_ms now) {
    note_proof(suspect, now, true);
    contested_[suspect] = now;
    due_ = true;
}

announcement suspect_quarantine::announce(time_ms now, bool whole) {
    due_ = false;
    announcement all;
    std::set<std::string> questioned;
    for (const auto& [key, record] : ends_) {
        if (now < record.announced_until_ || now < record.answers_announced_until_) {
            all.ends_.push_back(
                {key.first, key.second, now - record.at_, record.own_suspects_, record.answered_});
        }
        if (now - record.changed_at_ < announced_for_ms) {
            questioned.insert(record.suspects_.begin(), record.suspects_.end());
        }
    }
    for (const auto& [suspect, since] : contested_) {
        questioned.insert(suspect);
    }
    for (const std::string& suspect : questioned) {
        const auto found = proofs_.find(suspect);
        if (found != proofs_.end() && found->second.own_ && now - found->second.at_ < proof_validity_ms) {
            all.states_.push_back({suspect, false, now - found->second.at_, 0});
        }
    }
    for (const auto& [suspect, entry] : quarantined_) {
        if (whole || now < entry.announced_until_) {
            all.states_.push_back({suspect, true, now - entry.since_, entry.trial_ms_});
        }
    }
    all.complete_ = whole && informed_;
    return all;
}

void suspect_quarantine::apply(const announcement& announced, time_ms late_ms, time_ms now) {
    informed_ = informed_ || announced.complete_;
    for (const engine_end& end : announced.ends_) {
        const engine_key key(end.engine_, end.incarnation_);
        const time_ms at = now - end.age_ms_ - late_ms;
        if (!ends_.contains(key)) {
            changes_.push_back(
                {change_kind::engine_ended, "", {end.engine_}, join_names(end.suspects_), "announced"});
        }
        end_record& record = record_of(key, at);
        record.at_ = std::min(record.at_, at);
        note_answered(record, end.answered_);
        for (const std::string& suspect : end.suspects_) {
            add_suspect(record, suspect, now);
        }
        note_ended(end.engine_, end.incarnation_, now);
    }
    for (const suspect_state& one : announced.states_) {
        const time_ms at = now - one.age_ms_ - late_ms;
        if (!one.quarantined_) {
            note_proof(one.suspect_, at, false);
        } else if (is_quarantined(one.suspect_)) {
            quarantine_entry& entry = quarantined_.find(one.suspect_)->second;
            entry.announced_until_ = 0; // the others know it
            delay_trial(entry, one.trial_ms_, now);
        } else if (proved_at(one.suspect_) >= at - proof_validity_ms) {
            contested_[one.suspect_] = now;
        } else {
            quarantine(one.suspect_, at, one.trial_ms_, "announced", now);
            changes_.push_back({change_kind::quarantined, one.suspect_, {}, "", "announced"});
        }
    }
}

void suspect_quarantine::release_proved(time_ms now) {
    std::erase_if(quarantined_, [&](const auto& entry) {
        const auto& [suspect, one] = entry;
        const time_ms longest = names_request(suspect) ? max_request_quarantine_ms : max_quarantine_ms;
        const bool proved = proved_at(suspect) >= one.since_ - proof_validity_ms;
        const bool expired = now - one.since_ >= longest;
        if (proved) {
            contested_[suspect] = now;
        }
        if (proved || expired) {
            memory_changed_ = true;
            judge_ = true; // it no longer accounts for any end
            changes_.push_back({change_kind::released, suspect, {}, "", proved ? "answered" : "expired"});
        }
        return proved || expired;
    });
}

void suspect_quarantine::forget_old(time_ms now) {
    std::erase_if(lost_, [&](const auto& entry) { return now - entry.second.back().at_ > end_notice_ms; });
    const std::size_t forgotten =
        std::erase_if(ends_, [&](const auto& entry) { return now - entry.second.at_ > evidence_ms; });
    memory_changed_ = memory_changed_ || forgotten > 0;
    std::erase_if(contested_, [&](const auto& entry) { return now - entry.second > announced_for_ms; });
    forget_old_proofs(now);
}

// A proof matters for later ends while it is valid, and for the known ones that it speaks for.
void suspect_quarantine::forget_old_proofs(time_ms now) {
    const auto is_suspected = [&](const std::string& name) {
        return std::any_of(ends_.begin(), ends_.end(),
                           [&](const end_entry& end) { return end.second.suspects_.contains(name); });
    };
    while (!proofs_by_use_.empty()) {
        const std::string& oldest = proofs_by_use_.back();
        const auto found = proofs_.find(oldest);
        if (now - found->second.at_ <= proof_validity_ms || is_suspected(oldest)) {
            return;
        }
        proofs_.erase(found);
        proofs_by_use_.pop_back();
    }
}

// Engines answered enough around the end, as this gateway or another one saw. What they answered elsewhere is
// announced as proved, so an answer counts wherever it was seen.
void suspect_quarantine::note_answered(end_record& record, bool answered) {
    judge_ = judge_ || (answered && !record.answered_);
    record.answered_ = record.answered_ || answered;
}

// Finds out which ends can be judged: those to which nothing was added for a while, and around which engines
// answered so much that something sound would have been proved so.
void suspect_quarantine::settle(time_ms now) {
    for (auto& [key, record] : ends_) {
        const time_ms from = record.at_ - proof_validity_ms;
        const recent_answers& answers = has_part(record) ? answers_with_parts_ : answers_without_parts_;
        const bool settled = now - record.changed_at_ >= settling_ms;
        judge_ = judge_ || (settled && !record.settled_);
        record.settled_ = record.settled_ || settled;
        if (!record.answered_ && answers.has_enough_since(from)) {
            // Gateways that get few requests see too few answers themselves.
            record.answers_announced_until_ = now + announced_for_ms;
            due_ = true;
        }
        note_answered(record, answers.has_enough_since(from));
    }
    memory_changed_ = memory_changed_ || judge_;
}

std::vector<change> suspect_quarantine::update(time_ms now) {
    forget_old(now);
    settle(now);
    release_proved(now);
    if (std::exchange(judge_, false)) {
        while (quarantine_requests(now) || quarantine_parts(now) || quarantine_unanswered(now)) {
        }
    }
    return std::exchange(changes_, {});
}

} // namespace tamarack::quarantine
