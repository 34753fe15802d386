// Membership: one view of the endpoints from the platform's lagging list and from what the agents say
// themselves.
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
    std::string address_; // IP number
    std::uint16_t port_ = 0;
    bool leaving_ = false;

    bool operator==(const listed_instance&) const = default;
};

// What an agent last said of itself.
struct agent_status {
    std::uint64_t incarnation_ = 0;
    bool leaving_ = false;
    std::int64_t queued_ = 0;
    std::int64_t running_ = 0;
    std::int64_t wait_ms_ = 0;          // expected wait before a new request starts
    std::vector<std::string> resident_; // item names that are ready to serve
    bool same_items_ = false;           // `resident_` was left out, since it has not changed
};

// An endpoint as routing sees it.
struct endpoint_view {
    listed_instance instance_;
    bool connected_ = false;
    agent_status status_;
    time_ms last_status_at_ = 0;
};

// Merges both sources. An endpoint takes new work only while the list does not call it leaving, its agent
// does not call itself leaving, and its agent was heard of within the heartbeat limit.
class membership {
public:
    explicit membership(time_ms heartbeat_limit_ms) : heartbeat_limit_ms_(heartbeat_limit_ms) {}

    // Replaces the list. An endpoint that vanished from it is kept while its connection lives, so that a list
    // which is wrong or empty cuts nobody off.
    void apply_list(std::span<const listed_instance> instances);

    // Records what an agent said. A status of an earlier incarnation never clears `leaving_` of a later one.
    void apply_status(std::string_view id, const agent_status& status, time_ms now);

    void connection_lost(std::string_view id);

    bool accepts_new_requests(const endpoint_view& endpoint, time_ms now) const;

    const std::map<std::string, endpoint_view, std::less<>>& endpoints() const { return endpoints_; }

    // Endpoints of the pool in id order, whether or not they take new work.
    std::vector<const endpoint_view*> pool_endpoints(std::string_view pool) const;

private:
    time_ms heartbeat_limit_ms_;
    std::map<std::string, endpoint_view, std::less<>> endpoints_;
};

} // namespace tamarack
