// Placement: which endpoints are the homes of which models, and when a copy may be dropped. Pure functions.
#pragma once

#include "tamarack/tables.hpp"

#include <set>

namespace tamarack {

// Home endpoints of each model of one pool, best-ranked first.
using home_map = std::map<std::string, std::vector<std::string>, std::less<>>;

// Assigns homes by weighted rendezvous: largest model first, each on the highest-ranked endpoints with room.
// The result depends only on the row and the set of endpoints, so all instances with the same view agree.
home_map assign_homes(const pool_row& pool, std::span<const std::string> endpoints);

// Rank of an endpoint for a subject (a model or a key); the highest is preferred.
std::uint64_t rendezvous_weight(std::string_view subject, std::string_view endpoint);

// Registered as plug-ins by name; an agent's settings choose one.
using placement_policy = std::function<home_map(const pool_row&, std::span<const std::string>)>;

// Permission to drop the local copy of an item that other endpoints hold too.
//
// An endpoint marks its copy as leaving before it asks, and grants only for copies that are not leaving. Of
// all that drop, the last one to be marked needs a grant from an endpoint that is not marked; so one copy
// always stays, with no lease and no clock.
class drop_guard {
public:
    // Marks the local copy before any grant is asked for.
    void begin(const std::string& item) { leaving_.insert(item); }

    // Withdraws the mark. Allowed only while no unload order was sent.
    void cancel(const std::string& item) { leaving_.erase(item); }

    // Clears the mark once the copy is proved gone.
    void finish(const std::string& item) { leaving_.erase(item); }

    // Whether another endpoint may rely on the local copy of the item. `resident` is what the ledger proves.
    bool grant(const std::string& item, bool resident) const { return resident && !leaving_.contains(item); }

    bool leaving(const std::string& item) const { return leaving_.contains(item); }

private:
    std::set<std::string> leaving_;
};

} // namespace tamarack
