// Quotas: how all gateways together keep the limits on what organisations use.
//
// Each gateway estimates one common token bucket for each organisation. It is refilled at the organisation's
// rate, and reduced by the gateway's own use and by what the other gateways announce. Between two
// announcements of a gateway, its use is extrapolated at the rate that it announced. The estimate may fall
// below zero, and such a debt is repaid before anything more is taken.
//
// In any window of t seconds, use is to stay within rate * t + burst + tolerance. This is no strict bound:
// before the others have heard of a jump in demand, each gateway may use a part of the level, or two
// requests, beyond what they expect of it. With small quotas and many gateways, such requests of all gateways
// may exceed the tolerance. Nothing here does I/O or reads a clock: times are those of `boot_now_ms`, so that
// a process that stood still knows it.
#pragma once

#include "tamarack/kernel.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace tamarack::quotas {

// What an organisation may use. Amounts are tokens or requests.
struct quota {
    double per_s_ = 0; // 0: no limit
    double burst_ = 0;
    // Amount by which the use in a window may exceed rate * window + burst. Gateways learn of each other's
    // use only after a moment, so with little tolerance and many gateways a quota may be exceeded by the
    // requests that several gateways send in this moment, and some requests are refused below it.
    double tolerance_ = 0;
    bool operator==(const quota&) const = default;
};

// What one gateway tells the others about one organisation.
struct announcement {
    std::string organisation_;
    double used_ = 0;         // total since the sender's start
    double used_per_s_ = 0;   // that it expects to use next
    double wanted_per_s_ = 0; // that its clients ask for
    double level_ = 0;        // of the common bucket, as the sender estimates it
};

// Most announcements in one message.
inline constexpr std::size_t max_announcements = 64;

// State of one organisation, for metrics and logs.
struct quota_state {
    std::string organisation_;
    quota quota_;
    double level_ = 0;
    double used_ = 0;    // by this gateway, since its start
    double refused_ = 0; // by this gateway, since its start
    int sharers_ = 0;    // gateways that use the quota, with this one
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

    // Another gateway announced this. `late_ms` is how much longer than usual the message was on its way.
    // Announcements come from other processes: numbers that are not finite or negative are ignored.
    void apply(const std::string& from, std::uint64_t incarnation, std::span<const announcement> announced,
               time_ms late_ms, time_ms now);

    // What this gateway tells the others, at most `max_announcements`, those with most recent demand first.
    // Remembers it as told at `now`, so it is to be called only for a message that is sent.
    std::vector<announcement> announce(time_ms now);

    // Whether the others should be told at once, since this gateway uses much more than they expect.
    bool announcement_is_due() const { return announcement_is_due_; }

    // To be called a few times a second. A gateway that is shutting down passes false.
    void update(time_ms now, bool takes_part);

    // Names of the organisations that have a limit.
    std::vector<std::string> organisations() const;

    bool limited(std::string_view organisation) const;

    // States of all organisations that have a limit, those with most recent demand first.
    std::vector<quota_state> report(time_ms now);

private:
    // What this gateway told the others at some time.
    struct announced_use {
        time_ms at_ = 0;
        double used_ = 0;
        double used_per_s_ = 0;
        double wanted_per_s_ = 0;
    };

    // What another gateway uses of one quota.
    struct peer_use {
        double used_ = 0;    // as announced
        double counted_ = 0; // beyond that, extrapolated
        double counted_per_s_ = 0;
        time_ms counted_at_ = 0;
        double used_per_s_ = 0; // as announced
        double wanted_per_s_ = 0;
        double level_ = 0;
    };

    struct peer {
        std::uint64_t incarnation_ = 0;
        time_ms heard_at_ = 0;
        bool holds_part_ = true;
        std::map<std::string, peer_use, std::less<>> uses_; // by organisation
    };

    // What this gateway knows of one organisation's quota.
    struct state {
        quota quota_;
        double level_ = 0;
        time_ms settled_at_ = 0;
        double others_per_s_ = 0; // use of the others, as extrapolated
        double others_wanted_per_s_ = 0;
        int others_ = 0; // gateways that hold a part
        std::optional<time_ms> debt_reset_at_;

        double used_ = 0;
        double refused_ = 0;
        double wanted_ = 0; // decaying sum of the amounts asked for
        time_ms wanted_at_ = 0;
        double request_ = 0; // decaying average of the amounts
        std::deque<announced_use> announced_;

        bool paced_ = false;
        double credit_ = 0; // of the pace; negative while a request is owed
        std::uint64_t paced_count_ = 0;
    };

    bool listens(time_ms now) const;
    void settle(state& one, std::string_view organisation, time_ms now) const;
    double wanted_per_s(const state& one, time_ms now) const;
    double share(const state& one) const;
    double pace_per_s(const state& one, time_ms now) const;
    bool overloaded(const state& one, time_ms now) const;
    void recount(time_ms now);
    void adopt_levels(time_ms now);

    std::string own_id_;
    time_ms listens_until_;
    time_ms updated_at_;
    bool adopts_levels_ = true; // once it has listened
    bool takes_part_ = true;
    bool isolated_ = false; // most others fell silent
    bool announcement_is_due_ = false;
    std::map<std::string, state, std::less<>> states_;
    std::map<std::string, peer, std::less<>> peers_;
};

} // namespace tamarack::quotas
