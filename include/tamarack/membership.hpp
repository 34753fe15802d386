// Combines the platform's instance list, which lags, with the status reports of the agents into one view of
// the endpoints.
#pragma once

#include "tamarack/kernel.hpp"

#include <optional>
#include <set>
#include <span>

namespace tamarack {

// A row of the platform's instance list.
struct listed_instance {
    std::string id_;
    std::string role_; // "agent" or "entry"
    std::string pool_; // empty for entries
    std::string data_centre_;
    std::string address_; // IP address
    std::uint16_t port_ = 0;
    bool leaving_ = false;

    bool operator==(const listed_instance&) const = default;
};

// The last status that an agent reported.
struct agent_status {
    std::uint64_t incarnation_ = 0;
    bool leaving_ = false;
    std::int64_t queued_ = 0;
    std::int64_t running_ = 0;
    std::int64_t wait_ms_ = 0;          // expected wait before a new request starts
    std::vector<std::string> resident_; // item names that are ready to serve
    bool same_items_ = false;           // whether `resident_` was omitted because it is unchanged
};

// An endpoint as routing sees it.
struct endpoint_view {
    listed_instance instance_;
    bool connected_ = false;
    agent_status status_;
    time_ms last_status_at_ = 0;
};

// Merges both sources. An endpoint accepts new requests only while neither the list nor its agent marks it as
// leaving, its connection is open, and its last status is within the heartbeat limit.
class membership {
public:
    explicit membership(time_ms heartbeat_limit_ms) : heartbeat_limit_ms_(heartbeat_limit_ms) {}

    // Replaces the list. An endpoint that is missing from it is kept while its connection is open, so that a
    // wrong or empty list does not disconnect healthy endpoints.
    void apply_list(std::span<const listed_instance> instances);

    // Records the status of an agent; ignores agents whose endpoint is not known. Within one incarnation,
    // `leaving_` stays set once it was reported. A status of an earlier incarnation is ignored while the
    // later one is heard; after that it is taken for that of a restarted agent whose clock was set back.
    void apply_status(std::string_view id, const agent_status& status, time_ms now);

    // Marks the endpoint as disconnected.
    void connection_lost(std::string_view id);

    bool accepts_new_requests(const endpoint_view& endpoint, time_ms now) const;

    const std::map<std::string, endpoint_view, std::less<>>& endpoints() const { return endpoints_; }

    // Returns the endpoints of the pool in the order of their ids, whether or not they accept new requests.
    std::vector<const endpoint_view*> pool_endpoints(std::string_view pool) const;

private:
    bool heard(const endpoint_view& endpoint, time_ms now) const;

    time_ms heartbeat_limit_ms_;
    std::map<std::string, endpoint_view, std::less<>> endpoints_;
};

} // namespace tamarack
