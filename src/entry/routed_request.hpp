// A request in flight: its parsed properties, its route and the state of its attempts.
#pragma once

#include "entry/shard.hpp"

#include <set>

namespace tamarack::entry {

struct shard::routed_request {
    caller_request caller_request_;
    route_row route_;
    const pool_row* pool_ = nullptr; // pool of the route, owned by `view_`
    std::shared_ptr<const entry_view> view_;
    std::string item_; // name of the model or adapter that must be resident; empty for plain services
    traffic_class class_ = traffic_class::interactive;
    std::chrono::steady_clock::time_point started_at_;
    std::chrono::steady_clock::time_point deadline_;
    std::optional<std::chrono::steady_clock::time_point> first_byte_at_;
    std::set<std::string> tried_endpoints_;
    std::string redirect_;  // endpoint that holds the key, as named by the last refusal
    std::string bound_key_; // key that the entry generated for the last attempt; empty if the caller sent one
    std::int64_t attempts_ = 0;
    bool may_have_run_ = false; // an earlier attempt was interrupted

    std::int64_t time_left_ms() const {
        const auto remaining = deadline_ - std::chrono::steady_clock::now();
        return std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    }
};

} // namespace tamarack::entry
