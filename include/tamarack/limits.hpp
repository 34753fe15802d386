// Limits: how all gateways together keep the limits on requests that endpoints name.
//
// Gateways do not ask each other for each request. Each computes the same division of a limit from what the
// gateways announced, and uses its own part. Nothing here does I/O or reads a clock: times are those of
// `boot_now_ms`, so that a process that stood still knows it.
#pragma once

#include "tamarack/kernel.hpp"

#include <deque>
#include <functional>
#include <optional>
#include <span>

namespace tamarack::limits {

// A gateway that may get a part of a limit.
struct claimant {
    std::string_view id_;
    std::optional<double> wanted_per_s_; // requests per second that it would send; nothing if not known
};

// Divides an endpoint's limit of `per_s` requests per second. Returns the parts, in the order of the
// claimants. There are so few holders of a part that what each may send at once stays within the limit;
// gateways that want little come last, and what a holder does not want goes to the others.
std::vector<double> divide(std::string_view endpoint, double per_s, std::span<const claimant> claimants);

// Most gateways that hold a part of such a limit. Each may send one request at once, and what it does not use
// adds up for `burst_s`. So if all gateways divide alike, at most `max_holders` + `used_share` * `per_s` *
// (t + `burst_s`) requests are sent in any time t.
inline double max_holders(double per_s) {
    constexpr double least = 1;
    constexpr double per_request = 1.75;
    return least + per_request * per_s;
}

// Share of a limit that the gateways use. The rest is for views that differ for a moment.
inline constexpr double used_share = 0.9;

// Time in which a holder's unused places add up, beside the first.
inline constexpr double burst_s = 0.25;

// An endpoint that names no rate, or none to speak of, still gets this many requests per second, since only
// a response tells that the limit has ended.
inline constexpr double min_per_s = 0.25;

// Time after which a gateway relies on an increase that it announced, so that the others have heard of it.
inline constexpr time_ms announcement_delay_ms = 1'500;

// Time after a start, or after the process stood still, in which a gateway uses no part: it does not know the
// others' announcements yet.
inline constexpr time_ms listening_ms = 2'000;

// A process that has done nothing for this time stood still.
inline constexpr time_ms max_update_gap_ms = 1'000;

// A gateway without announcements for this time counts as gone.
inline constexpr time_ms announcement_timeout_ms = 1'800;

// The part of a gateway that is gone stays unused for this time, in which it may still send.
inline constexpr time_ms departed_hold_ms = 4'000;

// If most others fall silent, this gateway is more likely cut off than alone, and leaves them their parts for
// this time.
inline constexpr time_ms isolated_hold_ms = 60'000;

// Time for which an endpoint must not have named its limit before a response without one lifts it.
inline constexpr time_ms lift_delay_ms = 1'000;

// Time for which it is remembered that a limit was lifted, so that older announcements do not name it again.
inline constexpr time_ms lifted_retention_ms = 10'000;

// Time that an announcement may have been on its way beside its known delay. Counted as its age, so that what
// a gateway sees itself takes precedence.
inline constexpr time_ms announcement_transit_ms = 250;

// What one gateway tells the others about one endpoint.
struct announcement {
    std::string endpoint_;
    std::int64_t incarnation_ = 0;
    std::optional<double> per_s_; // nothing if the endpoint lifted its limit
    time_ms age_ms_ = 0;          // of the response that told it
    double wanted_per_s_ = 0;     // requests per second that the sender would send there
};

// Most announcements in one message. A gateway without an announcement counts as one that wants a part.
inline constexpr std::size_t max_announcements = 64;

// What an observation changed.
enum class limit_change { none, named, changed, lifted };

std::string_view to_string(limit_change change);

// The limits that one gateway knows, and the part of each that it may use.
class shared_limits {
public:
    shared_limits(std::string own_id, time_ms started_at);

    // A response of the endpoint names this limit, or none. The others should be told of a change at once.
    limit_change observe(std::string_view endpoint, std::int64_t incarnation, std::optional<double> per_s,
                         time_ms now);

    // Another gateway announced this. `late_ms` is how much longer than usual the message was on its way.
    // Calls `changed` for each endpoint of which this gateway learns something new.
    void apply(const std::string& from, std::span<const announcement> announced, time_ms late_ms, time_ms now,
               const std::function<void(const announcement&, limit_change)>& changed);

    // Drops what is known of the endpoints for which `keep` returns false: those that are gone or have
    // started again.
    void retain(const std::function<bool(std::string_view endpoint, std::int64_t incarnation)>& keep);

    // Divides the limits anew. To be called a few times a second. A gateway that is shutting down passes
    // false, and uses no part from then on.
    void update(time_ms now, bool takes_part);

    // What this gateway tells the others, at most `max_announcements`. Remembers it as told at `now`, so it
    // is to be called only for a message that is sent.
    std::vector<announcement> announce(time_ms now);

    // Whether the endpoint has a limit.
    bool limited(std::string_view endpoint) const { return find(endpoint) != nullptr; }
    std::optional<double> limit(std::string_view endpoint) const;
    std::size_t count() const;

    // Counts a request that may go to the endpoint as one that wants a part of its limit.
    void want(std::string_view endpoint, time_ms now);

    // Whether a request may be sent now. Always true without a limit.
    bool available(std::string_view endpoint, time_ms now);

    // Takes the place of one request if one is available.
    bool take(std::string_view endpoint, time_ms now);

    // Returns a place that was taken and not used.
    void give_back(std::string_view endpoint);

    // Time until a place is free for one more request, behind `waiting` others; nothing if this gateway has
    // no part of the limit.
    std::optional<time_ms> wait_ms(std::string_view endpoint, int waiting, time_ms now);

private:
    // What this gateway knows of one endpoint's limit.
    struct state {
        std::int64_t incarnation_ = 0;
        std::optional<double> per_s_; // nothing if lifted
        time_ms as_of_ = 0;           // of the last response that named it, or that lifted it

        double wanted_ = 0; // decaying count of the requests that want a part
        time_ms wanted_at_ = 0;
        std::deque<std::pair<time_ms, double>> announced_; // own announcements, by the time of each

        double part_per_s_ = 0;
        double places_ = 0; // free places, refilled at that rate
        time_ms refilled_at_ = 0;
    };

    struct peer {
        time_ms heard_at_ = 0;
        std::map<std::string, double, std::less<>> wanted_; // by endpoint
    };

    const state* find(std::string_view endpoint) const;
    state* find(std::string_view endpoint);
    limit_change learn(std::string_view endpoint, std::int64_t incarnation, std::optional<double> per_s,
                       time_ms as_of);
    void divide_again(std::string_view endpoint, time_ms now);
    void set_part(std::string_view endpoint, state& one, time_ms now);
    void refill(state& one, time_ms now) const;
    bool uses_parts(time_ms now) const;
    bool holds_part(const peer& other, time_ms now, bool isolated) const;
    static double wanted_per_s(const state& one, time_ms now);

    std::string own_id_;
    time_ms listens_until_;
    time_ms updated_at_;
    bool takes_part_ = true;
    std::map<std::string, state, std::less<>> states_;
    std::map<std::string, peer, std::less<>> peers_;
};

} // namespace tamarack::limits
