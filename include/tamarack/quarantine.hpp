// Quarantine: finds the part of a prompt under which engines end, and tells which requests not to send.
//
// An engine that ends loses its whole batch, so each request that it had not begun to answer is a suspect.
// Gateways announce the parts of these requests to each other. A part is quarantined once several engines
// have ended under it, it accounts for more of these ends than any other part, and no gateway has seen an
// engine answer a request with it shortly before or at any time after. Such a proof later also ends a
// quarantine.
//
// Nothing here does I/O or reads a clock: times are those of `boot_now_ms`.
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

namespace tamarack::quarantine {

// Ends of engines after which a part is quarantined, and the number if several parts account for as many.
inline constexpr int least_ends = 3;
inline constexpr int least_ends_if_tied = 4;

// Time for which an engine must have written an answer to prove its parts sound.
inline constexpr time_ms writing_proof_ms = 100;

// Time before an end within which a proof still speaks for a part.
inline constexpr time_ms proof_validity_ms = 10'000;

// Answers that this gateway must have seen, since `proof_validity_ms` before an end, for that end to count.
inline constexpr std::size_t least_answers = 6;

// Ends after which a part is quarantined although engines answer nothing, and the number of separate moments.
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
inline constexpr time_ms max_quarantine_ms = 3'600'000;

// A quarantined part is put to the test by one request after this time, and again after four times that. The
// time is short where a sound part may have been quarantined: because engines answered nothing, or because
// all ends were within `one_moment_ms`, which a common cause such as a loss of power may explain.
inline constexpr time_ms one_moment_ms = 2'000;
inline constexpr time_ms unanswered_trial_ms = 3'000;
inline constexpr time_ms one_moment_trial_ms = 60'000;
inline constexpr time_ms usual_trial_ms = 600'000;

// Bounds of what a gateway keeps.
inline constexpr std::size_t max_ends = 64;
inline constexpr std::size_t max_suspects = 64; // parts that are kept for each end
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
    std::string_view body_;
};

// Returns the name by which a request is known here. It has a cryptographic hash of the identity, so that
// nobody can make up a request with the name of another caller's.
std::string request_name(const request_identity& identity);

// Whether the suspect is a request, rather than a part of prompts.
bool names_request(std::string_view suspect);

// An engine that ended, with the parts of the requests that a gateway lost there.
struct engine_end {
    std::string engine_;
    std::int64_t incarnation_ = 0;
    time_ms age_ms_ = 0;
    std::vector<std::string> suspects_;
};

// What a gateway knows of one part.
struct part_state {
    std::string part_;
    bool quarantined_ = false; // otherwise proved sound
    time_ms age_ms_ = 0;       // time since the quarantine or the proof
    time_ms trial_ms_ = 0;     // time from a quarantine until its next trial
};

// What one gateway tells the others.
struct announcement {
    std::vector<engine_end> ends_;
    std::vector<part_state> parts_;
    bool complete_ = false; // whether `parts_` has all quarantined parts
    bool empty() const { return ends_.empty() && parts_.empty() && !complete_; }
};

enum class change_kind { engine_ended, quarantined, released };

std::string_view to_string(change_kind kind);

// A change to be logged.
struct change {
    change_kind kind_ = change_kind::engine_ended;
    std::string part_;                 // empty for `engine_ended`
    std::vector<std::string> engines_; // engines that ended
    std::string suspects_;             // suspects of `engine_ended`, cut off after 400 bytes
    std::string reason_;
};

class part_quarantine {
public:
    // A request with these shared parts was lost before its engine had answered for `writing_proof_ms`.
    void note_lost(std::string_view engine, std::int64_t incarnation, std::span<const std::string> parts,
                   time_ms now);

    // The engine has ended in this incarnation. May be called several times.
    void note_ended(std::string_view engine, std::int64_t incarnation, time_ms now);

    // An engine answered a request with these parts, or has been writing the answer for `writing_proof_ms`.
    void note_sound(std::span<const std::string> parts, time_ms now);

    // The first of the parts that is quarantined.
    std::optional<std::string> find_quarantined(std::span<const std::string> parts) const;

    // Whether one request with the quarantined part may be sent now to see if it still ends its engine.
    // Engines must have answered others since the quarantine. To be called by one gateway of the fleet only.
    bool begin_trial(std::string_view part, time_ms now);
    bool is_quarantined(std::string_view part) const { return quarantined_.contains(part); }
    std::vector<std::string> quarantined() const;

    // Why a part is quarantined: the engines that ended under it, or where this gateway learned it from.
    std::string_view reason(std::string_view part) const;

    // Whether this gateway has learned which parts had been quarantined before it started.
    bool informed() const { return informed_; }

    // The parts that were quarantined before, from the store.
    void restore(std::span<const std::string> parts, time_ms now);

    // An operator declares the part sound.
    void release(const std::string& part, time_ms now);

    // What to tell the others now. `whole` adds all quarantined parts; a few gateways should pass it, so that
    // one that has just started learns them.
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
        std::vector<std::string> parts_;
    };

    struct end_record {
        time_ms at_ = 0;
        time_ms changed_at_ = 0; // when the last suspect became known
        time_ms announced_until_ = 0;
        std::set<std::string> suspects_;
        std::vector<std::string> own_suspects_;
    };

    using end_entry = std::pair<const engine_key, end_record>;

    // Ends of engines that followed each other shortly.
    struct moment {
        time_ms first_ = 0;
        time_ms last_ = 0;
        std::vector<const end_entry*> ends_;
    };

    // What speaks against one part.
    struct charge {
        int ends_ = 0;             // engines that ended under this part
        int unexplained_ends_ = 0; // those of them that no quarantined part accounts for
        int moments_ = 0;          // groups of ends that count against it
        time_ms first_ = std::numeric_limits<time_ms>::max();
        time_ms last_ = long_ago;
        std::vector<std::string> engines_;
    };

    struct quarantined_part {
        time_ms since_ = 0;
        time_ms trial_at_ = 0;
        time_ms trial_ms_ = 0; // time between the last trial and the next one
        time_ms announced_until_ = 0;
        std::string reason_;
    };

    struct proof {
        time_ms at_ = 0;
        bool own_ = false; // this gateway saw it, and no other one has announced a later proof
        std::list<std::string>::iterator use_;
    };

    void count_lost(std::span<const std::string> parts);
    bool could_be_disproved(const end_record& record) const;
    end_record& record_of(const engine_key& key, time_ms at);
    bool add_suspect(end_record& record, const std::string& part, time_ms now);
    void note_proof(const std::string& part, time_ms at, bool own);
    time_ms proved_at(const std::string& part) const;
    bool speaks_against(const end_record& record, const std::string& part) const;
    bool is_explained(const end_record& record) const;
    void quarantine(const std::string& part, time_ms since, time_ms trial_ms, std::string reason,
                    time_ms now);
    std::vector<moment> moments(time_ms now, bool unanswered) const;
    std::map<std::string, charge> charges(std::span<const moment> moments) const;
    bool is_prevalent(const charge& one, std::span<const moment> moments) const;
    bool quarantine_next(time_ms now);
    bool quarantine_unanswered(time_ms now);
    void conclude(const std::string& part, const charge& against, time_ms trial_ms, time_ms now);
    void release_proved(time_ms now);
    void forget_old(time_ms now);

    std::map<engine_key, std::vector<lost_request>> lost_; // keyed by engines not known to have ended
    std::map<engine_key, end_record> ends_;
    std::map<std::string, quarantined_part, std::less<>> quarantined_;
    std::unordered_map<std::string, proof> proofs_;
    std::list<std::string> proofs_by_use_;     // the latest first
    std::map<std::string, time_ms> contested_; // parts that others quarantined and that are proved here
    std::vector<change> changes_;
    std::size_t lost_unanswered_ = 0; // requests of this gateway that were lost since an engine last answered
    std::map<std::string, std::size_t> lost_with_part_; // those of them that had a part
    std::deque<time_ms> answers_;                       // times of the last ones that this gateway has seen
    bool informed_ = false;
    bool due_ = false;
};

} // namespace tamarack::quarantine
