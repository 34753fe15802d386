// Planning: which orders an agent gives its engine next, from the homes, the demand and the ledger. Pure.
#pragma once

#include "tamarack/ledger.hpp"
#include "tamarack/tables.hpp"

#include <set>

namespace tamarack {

// Use of one item at this endpoint.
struct item_use {
    std::int64_t running_ = 0; // requests that use it now
    time_ms last_used_ = 0;
};

// Unmet demand for one model at this endpoint. Decays by half each `demand_half_life_ms`.
class demand_meter {
public:
    void note_miss(std::string_view model, time_ms now);
    double level(std::string_view model, time_ms now) const;

    // Forgets the demand, after an extra copy was ordered.
    void clear(std::string_view model);

private:
    struct meter {
        double level_ = 0.0;
        time_ms at_ = 0;
    };

    std::map<std::string, meter, std::less<>> meters_;
};

inline constexpr time_ms demand_half_life_ms = 2'000;

// An extra copy that was not used for this long may make room for another one.
inline constexpr time_ms extra_copy_hold_ms = 20'000;

struct plan_facts {
    const pool_row* pool_ = nullptr;
    std::set<std::string> home_models_;
    const ledger* ledger_ = nullptr;
    std::int64_t kv_in_use_mb_ = 0;
    std::map<std::string, item_use> uses_;
    const demand_meter* demand_ = nullptr;
    time_ms now_ = 0;
};

struct load_step {
    std::string item_;
    std::int64_t memory_mb_ = 0;
    bool extra_copy_ = false;
};

// Take the item out of service and unload it. With `needs_grant_`, only after another endpoint confirmed that
// it keeps `kept_item_`.
struct drop_step {
    std::string item_;
    std::string model_;
    std::string kept_item_;
    bool needs_grant_ = false;
};

using plan_step = std::variant<load_step, drop_step>;

// The next order, if any is worth giving: home models first, then what is obsolete, then extra copies for
// unmet demand.
std::optional<plan_step> next_plan_step(const plan_facts& facts);

// Items that are out of service because they are about to be unloaded.
class retiring_items {
public:
    void begin(const std::string& item) { items_.insert(item); }
    void cancel(const std::string& item) { items_.erase(item); }
    const std::set<std::string>& items() const { return items_; }

    // Forgets items that are gone, and brings back into service those that are still resident although no
    // unload order is in flight, except `dropping`, which the present plan step drops. Returns the items that
    // it removed.
    std::vector<std::string> update(const ledger& memory, std::string_view dropping);

private:
    std::set<std::string> items_;
};

// Memory that the home models of this endpoint need, in MB.
std::int64_t home_memory_mb(const plan_facts& facts);

// Misses that justify an extra copy: few where attainment weighs, many where moves weigh.
double extra_copy_threshold(double attainment_weight);

} // namespace tamarack
