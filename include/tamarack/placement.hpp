// Placement: which endpoints are the homes of which models, and when a copy may be dropped.
#pragma once

#include "tamarack/tables.hpp"

#include <set>

namespace tamarack {

// Home endpoints of each model of a pool, highest rank first.
using home_map = std::map<std::string, std::vector<std::string>, std::less<>>;

// Assigns homes by rendezvous hashing: the largest model first, each to its highest-ranked endpoints with
// enough memory, within balanced shares where possible. The result depends only on the row and the set of
// endpoints, so all instances with the same view agree.
home_map assign_homes(const pool_row& pool, std::span<const std::string> endpoints);

// Rendezvous rank of an endpoint for a subject, that is, a model or a key. The highest rank is preferred.
std::uint64_t rendezvous_weight(std::string_view subject, std::string_view endpoint);

// Assigns homes. Policies are registered by name, and an agent's settings select one.
using placement_policy = std::function<home_map(const pool_row&, std::span<const std::string>)>;

// Decides whether copies of an item may be dropped, so that at least one copy always remains.
//
// An endpoint marks its local copy as leaving before it asks another endpoint for a grant, and itself grants
// only while its own copy is not marked. The last endpoint to mark its copy therefore needs a grant from an
// endpoint whose copy is not marked, and that copy remains. This needs neither leases nor clocks.
class drop_guard {
public:
    // Marks the local copy as leaving. Must precede any request for a grant.
    void begin(const std::string& item) { leaving_.insert(item); }

    // Removes the mark. Allowed only if no unload order was sent.
    void cancel(const std::string& item) { leaving_.erase(item); }

    // Removes the mark once the copy is known to be gone.
    void finish(const std::string& item) { leaving_.erase(item); }

    // Whether another endpoint may drop its copy because this one stays. `resident` tells whether the ledger
    // has the item as resident.
    bool grant(const std::string& item, bool resident) const { return resident && !leaving_.contains(item); }

    // Whether the local copy is marked as leaving.
    bool leaving(const std::string& item) const { return leaving_.contains(item); }

private:
    std::set<std::string> leaving_;
};

} // namespace tamarack
