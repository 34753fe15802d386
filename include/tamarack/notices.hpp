// Notices: what endpoints say of themselves in their responses: that they shut down, that they want no
// requests for a while, and how many they take.
//
// One object holds all three, so that every place that chooses an endpoint or sends to it asks the same
// questions. Nothing here does I/O or reads a clock: times are those of `boot_now_ms`, so that a back-off
// goes on while the process is suspended.
#pragma once

#include "tamarack/limits.hpp"

namespace tamarack::notices {

// Longest back-off that is kept. An endpoint that asks for more gets one request each time this has passed.
inline constexpr time_ms max_back_off_ms = 15 * 60'000;

// Back-off of an endpoint that names one that cannot be read.
inline constexpr time_ms default_back_off_ms = 1'000;

// Time for which a shutdown is remembered after the registry listed the endpoint last. A registry that
// returns from a copy, by some seconds only, may list it again.
inline constexpr time_ms departed_retention_ms = 60'000;

// Most endpoints that are remembered without being listed.
inline constexpr std::size_t max_unlisted = 1'024;

// Most shutdowns that one gateway tells the others in one message.
inline constexpr std::size_t max_announcements = 64;

// Requests under way at once above which a back-off that has ended is no restriction any more.
inline constexpr int unrestricted = 16;

// One start of an endpoint.
struct endpoint_key {
    std::string_view id_;
    std::int64_t incarnation_ = 0;

    // Incarnation of the start before, if the registry tells that it was a higher one; else 0.
    std::int64_t replaced_incarnation_ = 0;
};

// How a gateway learned that an endpoint shuts down.
enum class leaving_source { response, announcement, report, registry };

std::string_view to_string(leaving_source source);

// A shutdown that one gateway tells the others.
struct leaving_announcement {
    std::string endpoint_;
    std::int64_t incarnation_ = 0;
};

// A request on its way to an endpoint, as `begin` counted it.
struct sent_request {
    std::string endpoint_;
    std::uint64_t back_off_ = 0; // number of the back-off that it follows; 0 if there was none lately
};

// The notices that one gateway knows.
//
// A shutdown holds for its incarnation for good, whatever comes later. A back-off binds this gateway alone.
// After its end one request is sent, and each response that does not turn one away doubles the number that
// may be under way at once, so that an endpoint that is still in need gets one request and not all that
// waited.
class endpoint_notices {
public:
    endpoint_notices(std::string own_id, time_ms started_at);

    limits::shared_limits& limits() { return limits_; }
    const limits::shared_limits& limits() const { return limits_; }

    // Returns whether it was not known.
    bool note_leaving(const endpoint_key& at, leaving_source source, time_ms now);

    bool is_leaving(const endpoint_key& at) const;

    // The endpoint turned a request away and wants no other one for `duration`. Returns whether the end of
    // its back-off changed.
    bool start_back_off(const endpoint_key& at, time_ms duration, time_ms now);

    // Time until the endpoint takes a request again; nothing if it takes one now. After a back-off it is not
    // known how long the requests under way take, and the time is `default_back_off_ms`.
    std::optional<time_ms> back_off_ms(const endpoint_key& at, time_ms now) const;

    // Counts a request that is sent now. Fails if the endpoint shuts down or takes none. The limits are not
    // looked at, since a place within them is taken earlier.
    std::optional<sent_request> begin(const endpoint_key& at, time_ms now);

    // To be called once for each request, when its response begins or when it ends without one. Returns
    // whether the endpoint has thereby recovered from a back-off.
    bool end(const sent_request& one, bool answered);

    // Keeps what is known of the endpoints listed, given in order of their ids, and of others for
    // `departed_retention_ms`.
    void set_listed(std::span<const endpoint_key> listed, time_ms now);

    // The shutdowns that this gateway learned from responses and of which the registry does not tell.
    std::vector<leaving_announcement> announce() const;

    std::size_t back_off_count(time_ms now) const;
    std::size_t leaving_count() const;

private:
    // What is known of one incarnation.
    struct state {
        std::int64_t incarnation_ = 0;
        bool leaving_ = false;
        bool told_by_response_ = false;
        bool told_by_registry_ = false;
        bool listed_ = false;
        time_ms listed_at_ = 0; // last time at which the endpoint was listed, or became known

        time_ms back_off_until_ = 0;
        std::uint64_t back_off_ = 0; // number of the last back-off; 0 if it is no restriction any more
        int allowed_ = 0;            // requests that may be under way at once after it
        int under_way_ = 0;
    };

    const state* find(const endpoint_key& at) const;
    state* learn(const endpoint_key& at, time_ms now);

    std::string own_id_;
    limits::shared_limits limits_;
    std::uint64_t back_offs_ = 0;
    std::size_t unlisted_ = 0;
    std::map<std::string, state, std::less<>> states_;
};

} // namespace tamarack::notices
