// Quarantine: finds what ends the engines that run it, and tells which requests not to send.
//
// A suspect is anything that requests have in common and that may end an engine: the request itself, which
// its caller sends again with another id, or a part of a prompt. An engine that ends loses its whole batch,
// so all suspects of the requests that it had not begun to answer are under suspicion. Gateways announce them
// to each other. A suspect is quarantined once several engines have ended under it and no gateway has seen an
// engine answer it shortly before or at any time after. Where other suspects account for the same ends as
// well or better, it usually takes more ends. An answer later also ends a quarantine.
//
// Nothing here does I/O or reads a clock: times are those of `boot_now_ms`. "Engine" stands for any endpoint.
#pragma once

#include "tamarack/kernel.hpp"

#include <deque>
#include <limits>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>

namespace tamarack::quarantine {

// Ends of engines after which a suspect is quarantined, and the number if several account for as many.
inline constexpr int least_ends = 3;
inline constexpr int least_ends_if_tied = 4;

// Ends after which a request is quarantined even if another one accounts for them as well or better. A sound
// request is not lost so often without an answer, and two that end engines may be sent at the same times.
inline constexpr int least_ends_despite_rivals = 5;

// So few requests with `least_ends` are all quarantined at once, though some may have been lost together with
// one that ends engines. More are told apart by further ends.
inline constexpr int few_requests = 8;

// Time for which an engine must have written an answer to prove its suspects sound.
inline constexpr time_ms writing_proof_ms = 100;

// Time before an end within which a proof still speaks for a suspect.
inline constexpr time_ms proof_validity_ms = 10'000;

// Answers that this gateway must have seen, since `proof_validity_ms` before an end, for that end to count.
inline constexpr std::size_t least_answers = 6;

// Ends after which a suspect is quarantined although engines answer nothing, and the number of separate
// moments.
inline constexpr int least_ends_unanswered = 6;
inline constexpr int least_moments_unanswered = 3;

// Requests that were lost this much before their engine was found to have ended, and together with the last
// of them, were lost with it.
inline constexpr time_ms end_notice_ms = 4'000;
inline constexpr time_ms lost_together_ms = 300;

// Time for the suspects and proofs of all gateways to arrive before an end counts. It exceeds the interval
// between two announcements.
inline constexpr time_ms settling_ms = 700;

// Time for which an observation is announced: several announcements, since one may be lost.
inline constexpr time_ms announced_for_ms = 2'000;

inline constexpr time_ms evidence_ms = 600'000; // time for which an end counts

// Longest quarantines of parts and of requests.
inline constexpr time_ms max_quarantine_ms = 3'600'000;
inline constexpr time_ms max_request_quarantine_ms = 86'400'000;

// What is quarantined is put to the test by one request after this time. A part is tested again after four
// times that, and so on; a request only once more, after `usual_trial_ms`, since each test of one that does
// end engines costs an engine. The time is short where something sound may have been quarantined: because
// engines answered nothing, because all ends were within `one_moment_ms`, which a common cause such as a loss
// of power may explain, or because no engine ended with the request alone.
inline constexpr time_ms one_moment_ms = 2'000;
inline constexpr time_ms unanswered_trial_ms = 3'000;
inline constexpr time_ms one_moment_trial_ms = 60'000;
inline constexpr time_ms usual_trial_ms = 600'000;
inline constexpr time_ms no_trial = -1;

// Bounds of what a gateway keeps. The suspects are those of one end.
inline constexpr std::size_t max_ends = 64;
inline constexpr std::size_t max_suspects = 256;
inline constexpr std::size_t max_proofs = 8'192;
inline constexpr std::size_t max_quarantined = 64;

// Returns the name by which a part is known here: its id, or a hash if that is long or has other characters
// than letters and digits.
std::string part_name(std::string_view id);

// What makes two requests the same, whatever their ids.
struct request_identity {
    std::string_view method_;
    std::string_view host_;
    std::string_view target_; // path and query
    std::string_view caller_;
    std::string_view prompt_; // what headers tell of the prompt that the body holds
    std::string_view body_;
};

// Returns the name by which a request is known here. It has a cryptographic hash of the identity, so that
// nobody can make up a request with the name of another caller's.
std::string request_name(const request_identity& identity);

// Whether the suspect is a request, rather than a part of prompts.
bool names_request(std::string_view suspect);

// Whether `suspect` is a name as these functions give them.
bool is_name(std::string_view suspect);

// An engine that ended, with the suspects of the requests that a gateway lost there.
struct engine_end {
    std::string engine_;
    std::int64_t incarnation_ = 0;
    time_ms age_ms_ = 0;
    std::vector<std::string> suspects_;

    // Whether engines answered so much around it, at some gateway, that something sound would have been
    // proved so.
    bool answered_ = false;
};

// What a gateway knows of one suspect.
struct suspect_state {
    std::string suspect_;
    bool quarantined_ = false; // otherwise proved sound
    time_ms age_ms_ = 0;       // time since the quarantine or the proof
    time_ms trial_ms_ = 0;     // time from a quarantine until its next trial, or `no_trial`
};

// What one gateway tells the others, or a store keeps for those that start later.
struct announcement {
    std::vector<engine_end> ends_;
    std::vector<suspect_state> states_;
    bool complete_ = false; // whether `states_` has all that is quarantined
    bool empty() const { return ends_.empty() && states_.empty() && !complete_; }
};

// Drops what names suspects otherwise than gateways do. To be called with each announcement of a peer.
void drop_unknown_names(announcement& announced);

// An announcement as records of a store, and back. A record that cannot be read is left out. `unix_ms` is the
// time of day.
std::map<std::string, std::string> to_records(const announcement& known, std::int64_t unix_ms);
announcement from_records(const std::map<std::string, std::string>& records, std::int64_t unix_ms);

// Times of the last answers of engines that this gateway has seen.
class recent_answers {
public:
    void note(time_ms now);

    // Whether `least_answers` came at this time or later.
    bool has_enough_since(time_ms from) const;

private:
    std::deque<time_ms> times_;
};

enum class change_kind { engine_ended, quarantined, released };

std::string_view to_string(change_kind kind);

// The names separated by commas, cut off after some 400 bytes.
std::string join_names(std::span<const std::string> names);

// A change to be logged.
struct change {
    change_kind kind_ = change_kind::engine_ended;
    std::string suspect_;              // empty for `engine_ended`
    std::vector<std::string> engines_; // engines that ended
    std::string suspects_;             // those of `engine_ended`, cut off after 400 bytes
    std::string reason_;
};

class suspect_quarantine {
public:
    // A request with these suspects was lost before its engine had answered for `writing_proof_ms`.
    void note_lost(std::string_view engine, std::int64_t incarnation, std::span<const std::string> suspects,
                   time_ms now);

    // The engine has ended in this incarnation. May be called several times.
    void note_ended(std::string_view engine, std::int64_t incarnation, time_ms now);

    // An engine answered a request with these suspects, or has been writing the answer for
    // `writing_proof_ms`.
    void note_sound(std::span<const std::string> suspects, time_ms now);

    // The first of the suspects that is quarantined.
    std::optional<std::string> find_quarantined(std::span<const std::string> suspects) const;

    // Whether one request with what is quarantined may be sent now to see if it still ends its engine.
    // Engines must have answered others since the quarantine. To be called by one gateway of the fleet only.
    bool begin_trial(std::string_view suspect, time_ms now);

    // The request of the trial was not sent; another one may take its place.
    void cancel_trial(std::string_view suspect, time_ms now);

    bool is_quarantined(std::string_view suspect) const { return quarantined_.contains(suspect); }
    std::vector<std::string> quarantined() const;

    // Why a suspect is quarantined: the engines that ended under it, or where this gateway learned it from.
    std::string_view reason(std::string_view suspect) const;

    // Whether this gateway has learned what had been quarantined before it started.
    bool informed() const { return informed_; }

    // What a store should keep for gateways that start later: the quarantined suspects, and the ends that may
    // still speak against others. A restart of all gateways loses everything else.
    announcement memory(time_ms now) const;

    // Whether `memory` differs from what the last call of this function found.
    bool take_memory_changed() { return std::exchange(memory_changed_, false); }

    // Takes what a store has kept.
    void restore(const announcement& stored, time_ms now);

    // An operator declares the suspect sound.
    void release(const std::string& suspect, time_ms now);

    // What to tell the others now. `whole` adds all that is quarantined; a few gateways should pass it, so
    // that one that has just started learns it.
    announcement announce(time_ms now, bool whole);

    // Whether there is something that the others should learn at once.
    bool announcement_is_due() const { return due_; }

    // Another gateway announced this. `late_ms` is how much longer than usual the message was on its way.
    void apply(const announcement& announced, time_ms late_ms, time_ms now);

    // Draws conclusions. To be called a few times a second. Returns what has changed.
    std::vector<change> update(time_ms now);

private:
    static constexpr time_ms long_ago = std::numeric_limits<time_ms>::min() / 2;

    using engine_key = std::pair<std::string, std::int64_t>; // an engine and its incarnation

    struct lost_request {
        time_ms at_ = 0;
        std::vector<std::string> suspects_;
    };

    struct end_record {
        time_ms at_ = 0;
        time_ms changed_at_ = 0; // when the last suspect became known
        time_ms announced_until_ = 0;
        time_ms answers_announced_until_ = 0; // if this gateway was the first to see enough answers
        std::set<std::string> suspects_;
        std::vector<std::string> own_suspects_;
        bool settled_ = false;  // nothing was added for `settling_ms`
        bool answered_ = false; // see `engine_end`
    };

    using end_entry = std::pair<const engine_key, end_record>;

    // Ends of engines that followed each other shortly.
    struct moment {
        time_ms first_ = 0;
        time_ms last_ = 0;
        std::vector<const end_entry*> ends_;
    };

    // What speaks against one suspect.
    struct charge {
        int ends_ = 0;             // engines that ended under it
        int unexplained_ends_ = 0; // those of them that nothing quarantined accounts for
        int moments_ = 0;          // groups of ends that count against it
        time_ms first_ = std::numeric_limits<time_ms>::max();
        time_ms last_ = long_ago;
        std::vector<std::string> engines_;
    };

    struct quarantine_entry {
        time_ms since_ = 0;
        time_ms trial_at_ = 0;
        time_ms trial_ms_ = 0; // time between the last trial and the next one, or `no_trial`
        time_ms announced_until_ = 0;
        std::string reason_;
    };

    struct proof {
        time_ms at_ = 0;
        bool own_ = false; // this gateway saw it, and no other one has announced a later proof
        std::list<std::string>::iterator use_;
    };

    using ends_by_suspect = std::map<std::string, std::vector<const end_entry*>>;

    // What else accounts for the ends under a request, as well or better.
    enum class rivalry { none, equal_request, better_request, better_part };

    void count_lost(std::span<const std::string> suspects);
    end_record& record_of(const engine_key& key, time_ms at);
    bool add_suspect(end_record& record, const std::string& suspect, time_ms now);
    void note_proof(const std::string& suspect, time_ms at, bool own);
    time_ms proved_at(const std::string& suspect) const;
    void quarantine(const std::string& suspect, time_ms since, time_ms trial_ms, std::string reason,
                    time_ms now);
    void delay_trial(quarantine_entry& entry, time_ms trial_ms, time_ms now);
    void release_proved(time_ms now);
    void note_answered(end_record& record, bool answered);
    void settle(time_ms now);
    void forget_old(time_ms now);
    void forget_old_proofs(time_ms now);

    // Conclusions, in judgement.cpp.
    bool speaks_against(const end_record& record, const std::string& suspect) const;
    bool is_explained(const end_record& record) const;
    static bool has_part(const end_record& record);
    bool concerns_parts(const end_record& record) const;
    std::vector<moment> moments(bool unanswered) const;
    std::map<std::string, charge> charges(std::span<const moment> moments) const;
    bool is_prevalent(const charge& one, std::span<const moment> moments) const;
    ends_by_suspect settled_ends(bool unexplained) const;
    bool accounts_for(const std::string& request, const ends_by_suspect& all,
                      const ends_by_suspect& unexplained, bool few) const;
    rivalry strongest_rival(const std::string& request, const ends_by_suspect& all) const;
    bool is_only_suspect(const end_record& record, const std::string& suspect) const;
    bool quarantine_requests(time_ms now);
    bool quarantine_parts(time_ms now);
    bool quarantine_unanswered(time_ms now);
    void conclude(const std::string& suspect, const std::vector<std::string>& engines, time_ms trial_ms,
                  time_ms now);

    std::map<engine_key, std::vector<lost_request>> lost_; // keyed by engines not known to have ended
    std::map<engine_key, end_record> ends_;
    std::map<std::string, quarantine_entry, std::less<>> quarantined_;
    std::unordered_map<std::string, proof> proofs_;
    std::list<std::string> proofs_by_use_;     // the latest first
    std::map<std::string, time_ms> contested_; // suspects that others quarantined and that are proved here
    std::vector<change> changes_;
    std::size_t lost_unanswered_ = 0; // requests of this gateway that were lost since an engine last answered
    std::map<std::string, std::size_t> lost_with_suspect_; // those of them that had it
    // By whether the requests have parts, as those to model engines do and those to plain services do not.
    recent_answers answers_with_parts_;
    recent_answers answers_without_parts_;
    bool informed_ = false;
    bool due_ = false;
    bool memory_changed_ = false;
    bool judge_ = false; // what is known of the ends has changed
};

} // namespace tamarack::quarantine
