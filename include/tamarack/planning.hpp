// Planning: which order an agent sends its engine next, given the homes, the demand and the ledger.
//
// Nothing here does I/O or reads a clock.
#pragma once

#include "tamarack/ledger.hpp"
#include "tamarack/tables.hpp"

#include <set>

namespace tamarack {

// Usage of one item at this endpoint.
struct item_use {
    std::int64_t running_ = 0; // running requests that use the item
    time_ms last_used_ = 0;
};

// Measures the unmet demand for each model at this endpoint, with a half-life of `demand_half_life_ms`.
class demand_meter {
public:
    // Counts a request that this endpoint could not take.
    void note_miss(std::string_view model, time_ms now);

    // Misses of the model, with exponential decay.
    double level(std::string_view model, time_ms now) const;

    // Resets the level of the model. Called after an order for an extra copy.
    void clear(std::string_view model);

private:
    struct meter {
        double level_ = 0.0;
        time_ms updated_at_ = 0;
    };

    std::map<std::string, meter, std::less<>> meters_;
};

inline constexpr time_ms demand_half_life_ms = 2'000;

// An extra copy that was not used for this time may be dropped for another one.
inline constexpr time_ms extra_copy_hold_ms = 20'000;

// Inputs of the planner.
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
    bool extra_copy_ = false; // the endpoint is not a home of the model
};

// Take the item out of service and unload it. If `needs_grant_` is set, another endpoint must first confirm
// that it keeps `kept_item_`.
struct drop_step {
    std::string item_;
    std::string model_;
    std::string kept_item_;
    bool needs_grant_ = false;
};

using plan_step = std::variant<load_step, drop_step>;

// Returns the next order, if one is needed: home models first, then drops of obsolete items, then extra
// copies for unmet demand.
std::optional<plan_step> next_plan_step(const plan_facts& facts);

// The items that are out of service because they are about to be unloaded.
class retiring_items {
public:
    void begin(const std::string& item) { items_.insert(item); }
    void cancel(const std::string& item) { items_.erase(item); }
    const std::set<std::string>& items() const { return items_; }

    // Removes items that are no longer resident, and items that return to service because no unload order is
    // in flight for them. `dropping`, the item that the current step drops, stays while it is resident.
    // Returns the removed items.
    std::vector<std::string> update(const ledger& memory, std::string_view dropping);

private:
    std::set<std::string> items_;
};

// Memory for the home models of this endpoint, in MB.
std::int64_t home_memory_mb(const plan_facts& facts);

// Demand level that justifies an extra copy: lowest for weight 1, where deadline attainment counts most, and
// highest for weight 0, where avoiding moves counts most.
double extra_copy_threshold(double attainment_weight);

} // namespace tamarack
