// A request on its way: what was read, the route that it matched and what has happened to it so far.
#pragma once

#include "entry/shard.hpp"

#include <set>

namespace tamarack::entry {

struct shard::routed_request {
    caller_request facts_;
    route_row route_;
    const pool_row* pool_ = nullptr; // of `view_`
    std::shared_ptr<const entry_view> view_;
    std::string item_; // the item that must be resident, by the tables; empty for plain services
    traffic_class class_ = traffic_class::interactive;
    std::chrono::steady_clock::time_point began_;
    std::chrono::steady_clock::time_point deadline_;
    std::optional<std::chrono::steady_clock::time_point> first_byte_;
    std::set<std::string> tried_;
    std::string redirect_;  // endpoint that holds the key
    std::string bound_key_; // key of the last attempt that the entry made itself
    std::int64_t attempts_ = 0;
    bool maybe_ran_ = false;

    std::int64_t budget_ms() const {
        const auto left = deadline_ - std::chrono::steady_clock::now();
        return std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
    }
};

} // namespace tamarack::entry
