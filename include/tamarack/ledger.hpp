// Accounts for the committed memory of one engine and tracks the orders to load and unload items.
//
// Committed memory covers everything that is or may become resident: the items that the engine reported, load
// orders that may still take effect, unload orders that are not known to have ended, the KV cache of admitted
// requests, and a reserve for orders of earlier agents. An order counts from before it is sent until a newer
// report or a fence shows that it has ended, or the engine refuses it. Without fencing, it also stops
// counting when its settle time has passed. Nothing here reads a clock or does I/O; times are arguments.
#pragma once

#include "tamarack/kernel.hpp"

#include <memory>
#include <optional>
#include <set>
#include <span>

namespace tamarack {

enum class order_kind { load, unload };

// Phases of an order. `applied`, `failed` and `dead` are final; in all others the order counts as committed
// memory.
enum class order_phase {
    sending,  // the order may have left this process
    accepted, // the engine confirmed that it has the order
    overdue,  // the engine did not report the end of the order within the settle time
    applied,
    failed,
    dead, // the order can no longer take effect
};

std::string_view to_string(order_phase phase);

enum class order_event { confirmed, reported_applied, reported_failed, settle_time_passed, fenced };

// The state machine of one order.
class order_machine {
public:
    order_machine();
    ~order_machine();
    order_machine(order_machine&&) noexcept;
    order_machine& operator=(order_machine&&) noexcept;

    // Ignores events that do not apply in the current phase.
    void process(order_event event);

    order_phase phase() const;

    // Returns whether the order is in a final phase.
    bool ended() const;

private:
    struct machine;
    std::unique_ptr<machine> machine_;
};

// An order as the engine receives it. `id_` is unique within one incarnation of the agent.
struct engine_order {
    std::uint64_t id_ = 0;
    order_kind kind_ = order_kind::load;
    std::string item_;
    std::int64_t memory_mb_ = 0;
    std::uint64_t fence_ = 0;       // fencing number under which the order was given
    std::uint64_t incarnation_ = 0; // incarnation of the agent that gave the order
};

struct resident_item {
    std::string item_;
    std::int64_t memory_mb_ = 0;
};

struct ended_order {
    std::uint64_t id_ = 0;
    std::uint64_t incarnation_ = 0;
    bool applied_ = false;
};

// State that an engine reports. Reports may arrive late, out of order and without the newest events.
struct engine_report {
    std::uint64_t engine_incarnation_ = 0;
    std::uint64_t sequence_ = 0; // increases with every event of the engine
    std::int64_t capacity_mb_ = 0;
    std::uint64_t highest_fence_ = 0;
    std::uint64_t newest_agent_ = 0;      // highest incarnation of an agent that gave the engine an order
    std::vector<resident_item> resident_; // items that are ready to serve
    std::vector<resident_item> loading_;  // items that occupy memory but are not ready yet
    std::vector<ended_order> ended_;      // orders that ended most recently
};

struct ledger_settings {
    std::uint64_t incarnation_ = 0;     // incarnation of this agent
    bool fencing_ = false;              // whether the engine refuses orders with old fencing numbers
    std::int64_t stale_reserve_mb_ = 0; // memory reserved for orders of earlier agents; zero with fencing
    std::size_t max_in_flight_ = 1;     // limit of orders that are not known to have ended
    time_ms settle_ms_ = 5'000;         // longest time that an order or a report is in transit
};

// Reasons for which no order can be given now.
enum class order_refusal {
    not_settled,
    too_many_in_flight,
    no_memory,
    already_in_flight,
    superseded,
    not_resident,
    already_resident,
};

std::string_view to_string(order_refusal refusal);

// Committed memory and orders of one engine, as one agent knows them.
class ledger {
public:
    ledger(const ledger_settings& settings, time_ms started_at);

    // Returns whether the engine's state is known well enough to give orders and admit requests.
    bool settled(time_ms now) const;

    // Returns whether a later agent has taken over this engine. This agent then gives no more orders.
    bool superseded() const { return superseded_; }

    // Creates an order, which counts as committed from now on, for the caller to send. `kv_in_use_mb` is the
    // memory that KV caches use. Returns the reason if no order can be given.
    std::variant<engine_order, order_refusal> begin_load(std::string_view item, std::int64_t memory_mb,
                                                         std::int64_t kv_in_use_mb, time_ms now);
    std::variant<engine_order, order_refusal> begin_unload(std::string_view item, time_ms now);

    // Records that the engine accepted the order, or that it refused it and will never apply it.
    void order_confirmed(std::uint64_t id);
    void order_refused(std::uint64_t id);

    // Records that the engine refused an order because it has seen a higher fencing number.
    void order_fenced_off() { superseded_ = true; }

    // Applies a report unless it is older than the last one. Returns false for such an older report. While a
    // fence is needed, only the highest fencing number and the newest agent are taken from the report.
    bool apply_report(const engine_report& report, time_ms now);

    // Records that the engine confirmed `fence` and gave its exact state. Orders with a lower number can no
    // longer take effect.
    void apply_fence(std::uint64_t fence, const engine_report& exact, time_ms now);

    // Marks orders whose settle time has passed as overdue. Without fencing they can no longer take effect
    // and are dropped; with fencing they count until a new fence is confirmed.
    void expire_orders(time_ms now);

    // Returns whether the caller should send a fence now: at the start, after a restart of the engine, and
    // for overdue orders.
    bool needs_fence() const { return fence_needed_ && !superseded_; }

    // Returns a fencing number above all that the engine is known to have seen.
    std::uint64_t next_fence() const;

    // Returns the memory that weights occupy or may come to occupy, in MB, without the reserve.
    std::int64_t weights_mb() const;

    // Returns the memory that KV caches may use now, in MB. At least `kept_for_weights_mb` is kept for
    // weights, even while the loaded weights need less.
    std::int64_t kv_budget_mb(std::int64_t kept_for_weights_mb = 0) const;

    std::int64_t reserve_mb() const { return settings_.stale_reserve_mb_; }
    std::int64_t capacity_mb() const { return capacity_mb_; }

    // Returns the items that can serve requests: resident ones without an unload order in flight.
    std::set<std::string> ready_items() const;

    // Items that the engine reported as resident, with their memory in MB.
    const std::map<std::string, std::int64_t, std::less<>>& resident() const { return resident_; }

    // Returns whether an order for the item has not ended yet.
    bool in_flight(std::string_view item) const;
    std::size_t orders_in_flight() const { return orders_.size(); }

private:
    struct tracked_order {
        engine_order order_;
        order_machine machine_;
        time_ms began_at_ = 0;
    };

    std::optional<order_refusal> reason_to_refuse(std::string_view item, time_ms now) const;
    engine_order track_order(order_kind kind, std::string_view item, std::int64_t memory_mb, time_ms now);
    void replace_state(const engine_report& report);
    void apply_ended_orders(const engine_report& report);
    void erase_ended();

    ledger_settings settings_;
    time_ms started_at_;
    bool fence_needed_;
    bool state_known_ = false;
    bool superseded_ = false;
    std::uint64_t fence_ = 0;
    std::uint64_t next_order_ = 1;
    std::uint64_t engine_incarnation_ = 0;
    std::set<std::uint64_t> past_engine_incarnations_;
    std::uint64_t sequence_ = 0;
    std::uint64_t highest_fence_ = 0;
    std::int64_t capacity_mb_ = 0;
    std::map<std::string, std::int64_t, std::less<>> resident_;
    std::map<std::string, std::int64_t, std::less<>> loading_;
    std::map<std::uint64_t, tracked_order> orders_;
};

} // namespace tamarack
