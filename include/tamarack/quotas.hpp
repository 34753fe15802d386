// Quotas: how all gateways together keep the limits on what organisations use.
//
// Each gateway estimates one common token bucket for each organisation. It is refilled at the organisation's
// rate, and reduced by the gateway's own use and by what the other gateways announce. Between two
// announcements of a gateway, its use is extrapolated at the rate that it announced. The estimate may fall
// below zero, and such a debt is repaid before anything more is taken.
//
// In any window of t seconds, use is to stay within rate * t + burst + tolerance. This is no strict bound:
// before a jump in demand has been announced, each gateway may use a part of the level, or two requests,
// beyond what the others expect of it. With small quotas and many gateways, such requests of all gateways may
// exceed the tolerance.
//
// Nothing here does I/O or reads a clock: times are those of `boot_now_ms`, which go on while a process is
// suspended. Amounts are tokens or requests.
#pragma once

#include "tamarack/kernel.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack::quotas {

struct quota {
    // Amount per second. An organisation with 0 has no limit.
    double per_s_ = 0;

    // Amount that may be used at once, beyond the rate.
    double burst_ = 0;

    // Amount by which the use in a window may exceed rate * window + burst. Announcements take some time, so
    // with little tolerance and many gateways more requests are refused below the quota.
    double tolerance_ = 0;

    bool operator==(const quota&) const = default;
};

// What one gateway announces to the others about one organisation.
struct announcement {
    std::string organisation_;

    // Amount that the sender has used since it started.
    double used_ = 0;

    // Amount per second that the sender expects to use until its next announcement.
    double expected_use_per_s_ = 0;

    // Amount per second that the sender's clients ask for, including what is refused.
    double demand_per_s_ = 0;

    // Sender's estimate of the level of the common bucket. Negative for a debt.
    double level_ = 0;
};

// Most announcements in one message.
inline constexpr std::size_t max_announcements = 64;

// State of one organisation, for metrics and logs.
struct quota_state {
    std::string organisation_;
    quota quota_;

    // Estimated level of the common bucket. Negative for a debt.
    double level_ = 0;

    // Amounts that this gateway has used and refused since it started.
    double used_ = 0;
    double refused_ = 0;

    // Number of gateways with demand of the organisation, including this one.
    int sharers_ = 0;
};

// The quotas that one gateway knows, and its estimate of what is left of each.
class shared_quotas {
public:
    shared_quotas(std::string own_id, time_ms started_at);

    // Sets the quotas of a new configuration. Organisations without an entry have no limit.
    void set_quotas(std::map<std::string, quota, std::less<>> quotas, time_ms now);

    // Takes an amount for a request. Returns nothing if it was taken or the organisation has no limit; else
    // the expected time until there is room for it.
    [[nodiscard]] std::optional<time_ms> take(std::string_view organisation, double amount, time_ms now);

    // Returns an amount that was taken and not used.
    void give_back(std::string_view organisation, double amount, time_ms now);

    // Applies what another gateway announced. `late_ms` is how much longer than usual the message was on its
    // way. Announcements come from other processes: numbers that are not finite or negative are ignored.
    void apply(const std::string& from, std::uint64_t incarnation, std::span<const announcement> announced,
               time_ms late_ms, time_ms now);

    // Returns what this gateway announces: at most `max_announcements`, those with most recent demand first.
    // Organisations that have been idle here for a while are announced only while a peer learns their levels.
    // Remembers it as announced at `now`, so it is to be called only for a message that is sent.
    std::vector<announcement> announce(time_ms now);

    // Whether an announcement should be sent at once, since this gateway uses much more than it announced.
    bool announcement_is_due() const { return announcement_is_due_; }

    // To be called a few times a second. A gateway that is shutting down passes false.
    void update(time_ms now, bool takes_part);

    // Returns the organisation with a limit whose name has this hash (`hash64`), or null.
    const std::string* find_organisation(std::uint64_t name_hash) const;

    bool limited(std::string_view organisation) const;

    // Returns the states of all organisations that have a limit, those with most recent demand first.
    std::vector<quota_state> report(time_ms now);

private:
    // One announcement of this gateway.
    struct announced_use {
        time_ms at_ = 0;
        double used_ = 0;
        double expected_use_per_s_ = 0;
        double demand_per_s_ = 0;
    };

    // Use of one quota by another gateway.
    struct peer_use {
        // Values of its last announcement.
        double used_ = 0;
        double expected_use_per_s_ = 0;
        double demand_per_s_ = 0;

        // Nothing once the peer has stopped to announce the quota, since the level has changed since then.
        std::optional<double> level_;

        // Amount that has been taken from the level beyond the announced one, and the rate at which it grows.
        double extrapolated_ = 0;
        double extrapolated_per_s_ = 0;
        time_ms extrapolated_at_ = 0;
    };

    struct peer {
        std::uint64_t incarnation_ = 0;
        time_ms heard_at_ = 0;

        // Whether a part of each quota is left to it.
        bool holds_part_ = true;
        std::map<std::string, peer_use, std::less<>> use_by_organisation_;
    };

    // How a message relates to the last one of its sender.
    struct peer_message {
        bool restarted_ = false; // first message of an incarnation
        bool resumed_ = false;   // first message after a restart or a gap
        double age_s_ = 0;       // time since it was sent
    };

    // What this gateway knows of one organisation's quota.
    struct state {
        quota quota_;

        // Estimated level of the common bucket at `refilled_at_`.
        double level_ = 0;
        time_ms refilled_at_ = 0;

        // Sums over all other gateways that hold a part, and their number.
        double peer_use_per_s_ = 0;
        double peer_demand_per_s_ = 0;
        int peer_count_ = 0;

        // When debts of a quota that was lowered are cancelled.
        std::optional<time_ms> debt_reset_at_;

        // Amounts that this gateway has used and refused since it started.
        double used_ = 0;
        double refused_ = 0;

        // Exponentially decaying sum of the amounts that clients asked for, as of `demand_at_`.
        double recent_demand_ = 0;
        time_ms demand_at_ = 0;

        // Exponentially weighted mean of the amounts.
        double mean_request_ = 0;

        // Announcements since the last one that all gateways have received, and that one.
        std::deque<announced_use> announced_;

        // Amount that pacing allows at once, while it is on. Negative until a request has been paid off.
        double pace_credit_ = 0;
        bool paced_ = false;
        std::uint64_t pace_changes_ = 0;
    };

    bool is_learning(time_ms now) const;
    bool is_overloaded(const state& one, time_ms now) const;
    void advance(state& one, std::string_view organisation, time_ms now) const;
    void advance_pace(state& one, std::string_view organisation, double passed_s, time_ms now) const;
    double demand_per_s(const state& one, time_ms now) const;
    double demand_share(const state& one) const;
    double level_share(const state& one, time_ms now) const;
    double pace_per_s(const state& one, time_ms now) const;
    bool may_take(const state& one, double amount, time_ms now) const;
    bool exceeds_announcement(const state& one, double amount, time_ms now) const;
    time_ms wait_ms(const state& one, time_ms now) const;
    void apply_use(peer& other, const announcement& announced, const peer_message& message, time_ms now);
    void stop_extrapolating(peer_use& use, std::string_view organisation, time_ms now);
    void update_peer_totals(time_ms now);
    void extrapolate_peers(std::string_view organisation, state& one, time_ms now);
    void adopt_peer_levels(time_ms now);

    std::string own_id_;
    time_ms learns_until_;
    time_ms updated_at_;
    bool level_unknown_ = true; // whether the levels of the peers have not been adopted yet
    bool takes_part_ = true;
    bool isolated_ = false; // most peers are unresponsive
    bool announcement_is_due_ = false;

    // End of the time in which a peer that has started or resumed learns the levels.
    time_ms announces_idle_until_ = 0;

    std::map<std::string, state, std::less<>> states_;
    std::unordered_map<std::uint64_t, std::string> names_by_hash_;
    std::map<std::string, peer, std::less<>> peers_;
};

} // namespace tamarack::quotas
