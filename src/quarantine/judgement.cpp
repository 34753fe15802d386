// suspect_quarantine: the conclusions from the ends of engines.
#include "tamarack/quarantine.hpp"

#include <algorithm>

namespace tamarack::quarantine {

// Whether the end of the engine counts against the suspect.
bool suspect_quarantine::speaks_against(const end_record& record, const std::string& suspect) const {
    return record.suspects_.contains(suspect) && proved_at(suspect) < record.at_ - proof_validity_ms;
}

// Whether something that is quarantined already accounts for the end of the engine.
bool suspect_quarantine::is_explained(const end_record& record) const {
    return std::any_of(record.suspects_.begin(), record.suspects_.end(),
                       [&](const std::string& suspect) { return is_quarantined(suspect); });
}

bool suspect_quarantine::has_part(const end_record& record) {
    return std::any_of(record.suspects_.begin(), record.suspects_.end(),
                       [](const std::string& suspect) { return !names_request(suspect); });
}

// Whether the end says something about parts of prompts: one of its suspects is a part, and no quarantined
// request accounts for it.
bool suspect_quarantine::concerns_parts(const end_record& record) const {
    return has_part(record) &&
           std::none_of(record.suspects_.begin(), record.suspects_.end(), [&](const std::string& suspect) {
               return names_request(suspect) && is_quarantined(suspect);
           });
}

// The settled ends that concern parts, in groups of those that followed each other shortly. A group may have
// one common cause, such as a loss of power.
std::vector<suspect_quarantine::moment> suspect_quarantine::moments(bool unanswered) const {
    std::vector<std::pair<time_ms, const end_entry*>> settled;
    for (const end_entry& entry : ends_) {
        const end_record& record = entry.second;
        if (record.settled_ && concerns_parts(record) && (unanswered || record.answered_)) {
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
// suspects of more than a third: a loss of power ends many engines, some of which have a part in common.
std::map<std::string, suspect_quarantine::charge>
suspect_quarantine::charges(std::span<const moment> moments) const {
    std::map<std::string, charge> all;
    for (const moment& group : moments) {
        std::map<std::string, charge> in_group;
        for (const end_entry* end : group.ends_) {
            const auto& [key, record] = *end;
            const bool explained = is_explained(record);
            for (const std::string& part : record.suspects_) {
                if (!names_request(part) && speaks_against(record, part)) {
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
bool suspect_quarantine::is_prevalent(const charge& one, std::span<const moment> moments) const {
    const auto since = std::count_if(moments.begin(), moments.end(), [&](const moment& group) {
        return group.first_ >= one.first_ &&
               !std::all_of(group.ends_.begin(), group.ends_.end(),
                            [&](const end_entry* end) { return is_explained(end->second); });
    });
    return 3 * one.moments_ > since;
}

// The settled ends under each suspect that nothing speaks for; either all, or those that nothing quarantined
// accounts for.
suspect_quarantine::ends_by_suspect suspect_quarantine::settled_ends(bool unexplained) const {
    ends_by_suspect all;
    for (const end_entry& end : ends_) {
        const end_record& record = end.second;
        if (!record.settled_ || (unexplained && is_explained(record))) {
            continue;
        }
        for (const std::string& suspect : record.suspects_) {
            if (speaks_against(record, suspect)) {
                all[suspect].push_back(&end);
            }
        }
    }
    return all;
}

// What else accounts for all ends under a request. A part of its prompt was at these ends too, and accounts
// for them better only if engines ended under other requests with that part.
suspect_quarantine::rivalry suspect_quarantine::strongest_rival(const std::string& request,
                                                                const ends_by_suspect& all) const {
    const std::vector<const end_entry*>& ends = all.at(request);
    rivalry strongest = rivalry::none;
    for (const std::string& rival : ends.front()->second.suspects_) {
        const auto found = all.find(rival);
        if (rival == request || found == all.end()) {
            continue;
        }
        const bool at_all = std::all_of(ends.begin(), ends.end(), [&](const end_entry* end) {
            return speaks_against(end->second, rival);
        });
        const bool better = found->second.size() > ends.size();
        if (!at_all || (!better && !names_request(rival))) {
            continue;
        }
        strongest = std::max(strongest, !names_request(rival) ? rivalry::better_part
                                        : better              ? rivalry::better_request
                                                              : rivalry::equal_request);
    }
    return strongest;
}

// Whether the ends show that the request ends engines; `all` are those under each suspect, `unexplained`
// those that nothing quarantined accounts for. Requests that were lost together and came again together
// account for the same ends, which matters less if only a few are under suspicion.
bool suspect_quarantine::accounts_for(const std::string& request, const ends_by_suspect& all,
                                      const ends_by_suspect& unexplained, bool few) const {
    const std::vector<const end_entry*>& ends = all.at(request);
    const int count = int(unexplained.at(request).size());
    const rivalry rival = strongest_rival(request, unexplained);
    const auto answered =
        std::count_if(ends.begin(), ends.end(), [](const end_entry* end) { return end->second.answered_; });
    if (answered < least_ends) {
        return rival == rivalry::none && count >= least_ends_unanswered;
    }
    if (int(ends.size()) >= least_ends_despite_rivals) {
        return true;
    }
    switch (rival) {
    case rivalry::none:
        return count >= least_ends;
    case rivalry::equal_request:
        return count >= (few ? least_ends : least_ends_if_tied);
    case rivalry::better_request:
        return few && count >= least_ends;
    case rivalry::better_part:
        return false;
    }
    return false;
}

// Quarantines the requests that account for several ends. Returns whether there was one.
bool suspect_quarantine::quarantine_requests(time_ms now) {
    const ends_by_suspect all = settled_ends(false);
    const ends_by_suspect unexplained = settled_ends(true);
    const auto suspected = std::count_if(unexplained.begin(), unexplained.end(), [](const auto& entry) {
        return names_request(entry.first) && int(entry.second.size()) >= least_ends;
    });
    const bool few = suspected <= few_requests;
    bool found = false;
    for (const auto& [suspect, some] : unexplained) {
        if (!names_request(suspect) || !accounts_for(suspect, all, unexplained, few)) {
            continue;
        }
        const std::vector<const end_entry*>& ends = all.at(suspect);
        const bool known_well =
            std::all_of(ends.begin(), ends.end(), [](const end_entry* end) { return end->second.answered_; });
        const bool was_alone = std::any_of(ends.begin(), ends.end(), [&](const end_entry* end) {
            return is_only_suspect(end->second, suspect);
        });
        std::vector<std::string> engines;
        for (const end_entry* end : ends) {
            engines.push_back(end->first.first);
        }
        conclude(suspect, engines, known_well && was_alone ? no_trial : unanswered_trial_ms, now);
        found = true;
    }
    return found;
}

// Whether nothing else that is under suspicion was at the end.
bool suspect_quarantine::is_only_suspect(const end_record& record, const std::string& suspect) const {
    return std::none_of(record.suspects_.begin(), record.suspects_.end(), [&](const std::string& other) {
        return other != suspect && speaks_against(record, other);
    });
}

// Quarantines the part that alone accounts for most of the unexplained ends. Two parts may be in flight at
// the same ends, so it also quarantines those that account for nearly as many ends as any other. Returns
// whether there was one.
bool suspect_quarantine::quarantine_parts(time_ms now) {
    const std::vector<moment> groups = moments(false);
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
        conclude(part, one.engines_, one_moment ? one_moment_trial_ms : usual_trial_ms, now);
        found = true;
    }
    return found;
}

// Engines may end so quickly that none answers anything. Quarantines a part then only if it alone accounts
// for most ends, of more engines and at several moments, and some of the requests that this gateway lost did
// not have it. Returns whether there was one.
bool suspect_quarantine::quarantine_unanswered(time_ms now) {
    constexpr std::size_t least_lost = 3;
    const std::vector<moment> groups = moments(true);
    const std::map<std::string, charge> all = charges(groups);
    const std::pair<const std::string, charge>* most = nullptr;
    bool alone = false;
    for (const auto& entry : all) {
        const auto lost = lost_with_suspect_.find(entry.first);
        const std::size_t with_part = lost == lost_with_suspect_.end() ? 0 : lost->second;
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
    conclude(most->first, most->second.engines_, unanswered_trial_ms, now);
    return true;
}

void suspect_quarantine::conclude(const std::string& suspect, const std::vector<std::string>& engines,
                                  time_ms trial_ms, time_ms now) {
    quarantine(suspect, now, trial_ms, join_names(engines), now);
    quarantined_[suspect].announced_until_ = now + announced_for_ms;
    changes_.push_back({change_kind::quarantined, suspect, engines, "", "own"});
    due_ = true;
}

} // namespace tamarack::quarantine
