#include "tamarack/quarantine.hpp"

#include <algorithm>
#include <limits>

namespace tamarack::quarantine {

namespace {

std::string joined(std::span<const std::string> parts) {
    constexpr std::size_t max_bytes = 400;
    std::string text;
    for (const std::string& part : parts) {
        text += (text.empty() ? "" : ",") + part;
        if (text.size() > max_bytes) {
            return text.substr(0, max_bytes);
        }
    }
    return text;
}

} // namespace

std::string_view to_string(change_kind kind) {
    switch (kind) {
    case change_kind::engine_ended:
        return "engine_ended";
    case change_kind::quarantined:
        return "part_quarantined";
    case change_kind::released:
        return "part_released";
    }
    return "unknown";
}

void part_quarantine::note_lost(std::string_view engine, std::int64_t incarnation,
                                std::span<const std::string> parts, time_ms now) {
    const engine_key key(engine, incarnation);
    count_lost(parts);
    const auto known = ends_.find(key);
    if (known == ends_.end()) {
        auto& lost = lost_[key];
        if (lost.size() < max_suspects) {
            lost.push_back({now, {parts.begin(), parts.end()}});
        }
        return;
    }
    // The end was noticed before the connection broke.
    for (const std::string& part : parts) {
        if (add_suspect(known->second, part, now)) {
            known->second.own_suspects_.push_back(part);
            known->second.announced_until_ = now + announced_for_ms;
            due_ = true;
        }
    }
}

void part_quarantine::note_ended(std::string_view engine, std::int64_t incarnation, time_ms now) {
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
        for (const std::string& part : request.parts_) {
            if (add_suspect(record, part, now)) {
                record.own_suspects_.push_back(part);
            }
        }
    }
    record.announced_until_ = now + announced_for_ms;
    due_ = true;
    changes_.push_back(
        {change_kind::engine_ended, "", {std::string(engine)}, joined(record.own_suspects_), "own"});
}

void part_quarantine::count_lost(std::span<const std::string> parts) {
    if (lost_with_part_.size() >= max_proofs) {
        lost_with_part_.clear();
        lost_unanswered_ = 0;
    }
    ++lost_unanswered_;
    for (const std::string& part : parts) {
        ++lost_with_part_[part];
    }
}

void part_quarantine::note_sound(std::span<const std::string> parts, time_ms now) {
    if (parts.empty()) {
        return;
    }
    for (const std::string& part : parts) {
        note_proof(part, now, true);
    }
    lost_with_part_.clear();
    lost_unanswered_ = 0;
    answers_.push_back(now);
    if (answers_.size() > least_answers) {
        answers_.pop_front();
    }
}

void part_quarantine::note_proof(const std::string& part, time_ms at, bool own) {
    const auto found = proofs_.find(part);
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
    proofs_by_use_.push_front(part);
    proofs_[part] = {at, own, proofs_by_use_.begin()};
}

time_ms part_quarantine::proved_at(const std::string& part) const {
    const auto found = proofs_.find(part);
    return found == proofs_.end() ? long_ago : found->second.at_;
}

part_quarantine::end_record& part_quarantine::record_of(const engine_key& key, time_ms at) {
    const auto [entry, added] = ends_.try_emplace(key);
    if (added) {
        entry->second.at_ = at;
        entry->second.changed_at_ = at;
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

bool part_quarantine::add_suspect(end_record& record, const std::string& part, time_ms now) {
    if (record.suspects_.size() >= max_suspects || !record.suspects_.insert(part).second) {
        return false;
    }
    record.changed_at_ = now;
    return true;
}

std::optional<std::string> part_quarantine::find_quarantined(std::span<const std::string> parts) const {
    const auto found = std::find_if(parts.begin(), parts.end(),
                                    [&](const std::string& part) { return is_quarantined(part); });
    return found == parts.end() ? std::nullopt : std::optional(*found);
}

bool part_quarantine::begin_trial(std::string_view part, time_ms now) {
    const auto found = quarantined_.find(part);
    if (found == quarantined_.end() || now < found->second.trial_at_ || answers_.size() < least_answers ||
        answers_.front() <= found->second.since_) {
        return false;
    }
    constexpr time_ms growth = 4;
    found->second.trial_ms_ = std::min(growth * found->second.trial_ms_, usual_trial_ms);
    found->second.trial_at_ = now + found->second.trial_ms_;
    return true;
}

std::vector<std::string> part_quarantine::quarantined() const {
    std::vector<std::string> parts;
    for (const auto& [part, one] : quarantined_) {
        parts.push_back(part);
    }
    return parts;
}

std::string_view part_quarantine::reason(std::string_view part) const {
    const auto found = quarantined_.find(part);
    return found == quarantined_.end() ? std::string_view() : found->second.reason_;
}

void part_quarantine::quarantine(const std::string& part, time_ms since, time_ms trial_ms, std::string reason,
                                 time_ms now) {
    if (quarantined_.size() >= max_quarantined) {
        quarantined_.erase(std::min_element(
            quarantined_.begin(), quarantined_.end(),
            [](const auto& left, const auto& right) { return left.second.since_ < right.second.since_; }));
    }
    quarantined_[part] = {since, now + trial_ms, trial_ms, 0, std::move(reason)};
}

void part_quarantine::restore(std::span<const std::string> parts, time_ms now) {
    informed_ = true;
    for (const std::string& part : parts) {
        if (!is_quarantined(part)) {
            quarantine(part, now, usual_trial_ms, "store", now);
            changes_.push_back({change_kind::quarantined, part, {}, "", "store"});
        }
    }
}

void part_quarantine::release(const std::string& part, time_ms now) {
    note_proof(part, now, true);
    contested_[part] = now;
    due_ = true;
}

announcement part_quarantine::announce(time_ms now, bool whole) {
    due_ = false;
    announcement all;
    std::set<std::string> questioned;
    for (const auto& [key, record] : ends_) {
        if (now < record.announced_until_) {
            all.ends_.push_back({key.first, key.second, now - record.at_, record.own_suspects_});
        }
        if (now - record.changed_at_ < announced_for_ms) {
            questioned.insert(record.suspects_.begin(), record.suspects_.end());
        }
    }
    for (const auto& [part, since] : contested_) {
        questioned.insert(part);
    }
    for (const std::string& part : questioned) {
        const auto found = proofs_.find(part);
        if (found != proofs_.end() && found->second.own_ && now - found->second.at_ < proof_validity_ms) {
            all.parts_.push_back({part, false, now - found->second.at_, 0});
        }
    }
    for (const auto& [part, one] : quarantined_) {
        if (whole || now < one.announced_until_) {
            all.parts_.push_back({part, true, now - one.since_, one.trial_ms_});
        }
    }
    all.complete_ = whole && informed_;
    return all;
}

void part_quarantine::apply(const announcement& announced, time_ms late_ms, time_ms now) {
    informed_ = informed_ || announced.complete_;
    for (const engine_end& end : announced.ends_) {
        const engine_key key(end.engine_, end.incarnation_);
        const time_ms at = now - end.age_ms_ - late_ms;
        if (!ends_.contains(key)) {
            changes_.push_back(
                {change_kind::engine_ended, "", {end.engine_}, joined(end.suspects_), "announced"});
        }
        end_record& record = record_of(key, at);
        record.at_ = std::min(record.at_, at);
        for (const std::string& part : end.suspects_) {
            add_suspect(record, part, now);
        }
        note_ended(end.engine_, end.incarnation_, now);
    }
    for (const part_state& one : announced.parts_) {
        const time_ms at = now - one.age_ms_ - late_ms;
        if (!one.quarantined_) {
            note_proof(one.part_, at, false);
        } else if (is_quarantined(one.part_)) {
            quarantined_.find(one.part_)->second.announced_until_ = 0; // the others know it
        } else if (proved_at(one.part_) >= at - proof_validity_ms) {
            contested_[one.part_] = now;
        } else {
            quarantine(one.part_, at, one.trial_ms_, "announced", now);
            changes_.push_back({change_kind::quarantined, one.part_, {}, "", "announced"});
        }
    }
}

// Whether the end of the engine counts against the part.
bool part_quarantine::speaks_against(const end_record& record, const std::string& part) const {
    return record.suspects_.contains(part) && proved_at(part) < record.at_ - proof_validity_ms;
}

// Whether a part that is quarantined already accounts for the end of the engine.
bool part_quarantine::is_explained(const end_record& record) const {
    return std::any_of(record.suspects_.begin(), record.suspects_.end(),
                       [&](const std::string& part) { return quarantined_.contains(part); });
}

// Whether engines have answered enough requests around an end or after it. Otherwise a sound part that many
// requests share may have had no chance to be proved so, as after a start.
bool part_quarantine::could_be_disproved(const end_record& record) const {
    return answers_.size() >= least_answers && answers_.front() >= record.at_ - proof_validity_ms;
}

// The ends that are settled, in groups of those that followed each other shortly. A group may have one common
// cause, such as a loss of power.
std::vector<part_quarantine::moment> part_quarantine::moments(time_ms now, bool unanswered) const {
    std::vector<std::pair<time_ms, const end_entry*>> settled;
    for (const end_entry& entry : ends_) {
        if (now - entry.second.changed_at_ >= settling_ms &&
            (unanswered || could_be_disproved(entry.second))) {
            settled.emplace_back(entry.second.at_, &entry);
        }
    }
    std::sort(settled.begin(), settled.end());
    std::vector<moment> all;
    for (const auto& [at, entry] : settled) {
        if (all.empty() || at - all.back().last_ > lost_together_ms) {
            all.push_back({at, at, {}});
        }
        all.back().last_ = at;
        all.back().ends_.push_back(entry);
    }
    return all;
}

// Counts the ends under each part that nothing speaks for. In a group of ends, a part must be among the
// suspects of more than a third.
std::map<std::string, part_quarantine::charge>
part_quarantine::charges(std::span<const moment> moments) const {
    std::map<std::string, charge> all;
    for (const moment& group : moments) {
        std::map<std::string, charge> in_group;
        for (const end_entry* end : group.ends_) {
            const auto& [key, record] = *end;
            const bool explained = is_explained(record);
            for (const std::string& part : record.suspects_) {
                if (speaks_against(record, part)) {
                    charge& one = in_group[part];
                    ++one.ends_;
                    one.unexplained_ends_ += explained ? 0 : 1;
                    one.engines_.push_back(key.first);
                }
            }
        }
        for (const auto& [part, here] : in_group) {
            if (3 * here.ends_ <= int(group.ends_.size())) {
                continue;
            }
            charge& one = all[part];
            one.ends_ += here.ends_;
            one.unexplained_ends_ += here.unexplained_ends_;
            one.engines_.insert(one.engines_.end(), here.engines_.begin(), here.engines_.end());
            one.first_ = std::min(one.first_, group.first_);
            one.last_ = std::max(one.last_, group.last_);
            ++one.moments_;
        }
    }
    return all;
}

// Whether more than a third of the groups of ends since the first under this part count against it.
bool part_quarantine::is_prevalent(const charge& one, std::span<const moment> moments) const {
    const auto since = std::count_if(moments.begin(), moments.end(), [&](const moment& group) {
        return group.first_ >= one.first_ &&
               !std::all_of(group.ends_.begin(), group.ends_.end(),
                            [&](const end_entry* end) { return is_explained(end->second); });
    });
    return 3 * one.moments_ > since;
}

// Quarantines the part that alone accounts for most of the unexplained ends. Two parts may be in flight at
// the same ends, so it also quarantines those that account for nearly as many ends as any other. Returns
// whether there was one.
bool part_quarantine::quarantine_next(time_ms now) {
    const std::vector<moment> groups = moments(now, false);
    const std::map<std::string, charge> all = charges(groups);
    int most = 0;
    int most_unexplained = 0;
    int tied = 0;
    for (const auto& [part, one] : all) {
        most = std::max(most, one.ends_);
        tied =
            one.unexplained_ends_ > most_unexplained ? 1 : tied + (one.unexplained_ends_ == most_unexplained);
        most_unexplained = std::max(most_unexplained, one.unexplained_ends_);
    }
    bool found = false;
    for (const auto& [part, one] : all) {
        const bool alone =
            tied == 1 && one.unexplained_ends_ == most_unexplained && most_unexplained >= least_ends;
        const bool among_most = one.ends_ >= least_ends_if_tied && 3 * one.ends_ >= 2 * most;
        if (is_quarantined(part) || (!alone && !among_most) || !is_prevalent(one, groups)) {
            continue;
        }
        const bool one_moment = one.last_ - one.first_ <= one_moment_ms;
        conclude(part, one, one_moment ? one_moment_trial_ms : usual_trial_ms, now);
        found = true;
    }
    return found;
}

// Engines may end so quickly that none answers anything. Quarantines a part then only if it alone accounts
// for most ends, of more engines and at several moments, and some of the requests that this gateway lost did
// not have it. Returns whether there was one.
bool part_quarantine::quarantine_unanswered(time_ms now) {
    constexpr std::size_t least_lost = 3;
    const std::vector<moment> groups = moments(now, true);
    const std::map<std::string, charge> all = charges(groups);
    const std::pair<const std::string, charge>* most = nullptr;
    bool alone = false;
    for (const auto& entry : all) {
        const auto lost = lost_with_part_.find(entry.first);
        const std::size_t with_part = lost == lost_with_part_.end() ? 0 : lost->second;
        if (is_quarantined(entry.first) || lost_unanswered_ < least_lost || with_part == lost_unanswered_) {
            continue;
        }
        const int ends = entry.second.unexplained_ends_;
        alone = most == nullptr || ends > most->second.unexplained_ends_ ||
                (alone && ends < most->second.unexplained_ends_);
        if (most == nullptr || ends > most->second.unexplained_ends_) {
            most = &entry;
        }
    }
    if (!alone || most->second.unexplained_ends_ < least_ends_unanswered ||
        most->second.moments_ < least_moments_unanswered || !is_prevalent(most->second, groups)) {
        return false;
    }
    conclude(most->first, most->second, unanswered_trial_ms, now);
    return true;
}

void part_quarantine::conclude(const std::string& part, const charge& against, time_ms trial_ms,
                               time_ms now) {
    quarantine(part, now, trial_ms, joined(against.engines_), now);
    quarantined_[part].announced_until_ = now + announced_for_ms;
    changes_.push_back({change_kind::quarantined, part, against.engines_, "", "own"});
    due_ = true;
}

void part_quarantine::release_proved(time_ms now) {
    std::erase_if(quarantined_, [&](const auto& entry) {
        const auto& [part, one] = entry;
        const bool proved = proved_at(part) >= one.since_ - proof_validity_ms;
        const bool expired = now - one.since_ >= max_quarantine_ms;
        if (proved) {
            contested_[part] = now;
        }
        if (proved || expired) {
            changes_.push_back({change_kind::released, part, {}, "", proved ? "answered" : "expired"});
        }
        return proved || expired;
    });
}

void part_quarantine::forget_old(time_ms now) {
    std::erase_if(lost_, [&](const auto& entry) { return now - entry.second.back().at_ > end_notice_ms; });
    std::erase_if(ends_, [&](const auto& entry) { return now - entry.second.at_ > evidence_ms; });
    std::erase_if(contested_, [&](const auto& entry) { return now - entry.second > announced_for_ms; });
}

std::vector<change> part_quarantine::update(time_ms now) {
    forget_old(now);
    release_proved(now);
    while (quarantine_next(now) || quarantine_unanswered(now)) {
    }
    return std::exchange(changes_, {});
}

} // namespace tamarack::quarantine
