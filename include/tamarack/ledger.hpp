// Ledger: what of an engine's memory is committed, and the life cycle of orders to load and unload.
//
// Committed memory counts everything that is or may become resident: what the engine reported, every load
// order that may still take effect, every unload order whose end is not proved, the KV cache of admitted
// requests, and the reserve against orders of an earlier agent. An order is counted from before it is sent
// until a newer report or a fence proves its end. Pure: times are arguments.
#pragma once

#include "tamarack/kernel.hpp"

#include <memory>
#include <optional>
#include <set>
#include <span>

namespace tamarack {

enum class order_kind { load, unload };

// Phases of an order. An order ends as `applied`, `failed` or `dead`; only then does it stop counting.
enum class order_phase {
    sending,  // may have left this process
    accepted, // the engine confirmed that it has the order
    overdue,  // its end was not reported within the settle time
    applied,
    failed,
    dead, // proved unable to take effect
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

    // Events that do not apply in the present phase are ignored.
    void process(order_event event);

    order_phase phase() const;

    // Whether the order can no longer take effect or has taken effect.
    bool ended() const;

private:
    struct machine;
    std::unique_ptr<machine> machine_;
};

// An order as the engine receives it. `id_` is unique for the incarnation of the agent.
struct engine_order {
    std::uint64_t id_ = 0;
    order_kind kind_ = order_kind::load;
    std::string item_;
    std::int64_t memory_mb_ = 0;
    std::uint64_t fence_ = 0;
    std::uint64_t incarnation_ = 0; // of the agent
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

// What an engine says of itself, possibly late, out of order and lacking the newest events.
struct engine_report {
    std::uint64_t engine_incarnation_ = 0;
    std::uint64_t sequence_ = 0; // rises with every event of the engine
    std::int64_t capacity_mb_ = 0;
    std::uint64_t highest_fence_ = 0;
    std::uint64_t newest_agent_ = 0;      // highest incarnation of an agent that gave it an order
    std::vector<resident_item> resident_; // ready to serve
    std::vector<resident_item> loading_;  // memory is taken, not yet ready
    std::vector<ended_order> ended_;      // the most recent ones
};

struct ledger_settings {
    std::uint64_t incarnation_ = 0;     // of this agent
    bool fencing_ = false;              // the engine refuses old fencing numbers
    std::int64_t stale_reserve_mb_ = 0; // kept for orders of earlier agents; zero with fencing
    std::size_t max_in_flight_ = 1;     // orders whose end is not proved
    time_ms settle_ms_ = 5'000;         // after which no order or report is still under way
};

// Why an order may not be given now.
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

class ledger {
public:
    ledger(const ledger_settings& settings, time_ms started_at);

    // Whether the engine's state is known well enough to give orders and admit requests.
    bool settled(time_ms now) const;

    // Whether a later agent has taken over this engine; then no order is given any more.
    bool superseded() const { return superseded_; }

    // Begins an order and counts it from now on; the caller then sends it.
    std::variant<engine_order, order_refusal> begin_load(std::string_view item, std::int64_t memory_mb,
                                                         std::int64_t kv_in_use_mb, time_ms now);
    std::variant<engine_order, order_refusal> begin_unload(std::string_view item, time_ms now);

    // The engine answered the order: it has it, or it refused it for good.
    void order_confirmed(std::uint64_t id);
    void order_refused(std::uint64_t id);

    // The engine refused an order because of a higher fencing number.
    void order_fenced_off() { superseded_ = true; }

    // Takes a report. Older reports than the last one are ignored. Returns whether it was taken.
    bool apply_report(const engine_report& report, time_ms now);

    // The engine confirmed `fence` and gave its exact state. No order with a lower number can take effect any
    // more.
    void apply_fence(std::uint64_t fence, const engine_report& exact, time_ms now);

    // Marks orders whose settle time has passed. Without fencing they are dead then; with fencing a new fence
    // is needed to prove it.
    void expire_orders(time_ms now);

    // Whether the caller should fence now: at the start, after the engine restarted, and for overdue orders.
    bool needs_fence() const { return fence_needed_ && !superseded_; }

    // A fencing number above all that the engine has seen.
    std::uint64_t next_fence() const;

    // Memory that weights hold or may come to hold, in MB, without the reserve.
    std::int64_t weights_mb() const;

    // Memory that KV caches may use now, in MB. At least `kept_for_weights_mb` stays free for weights even
    // while less is loaded.
    std::int64_t kv_budget_mb(std::int64_t kept_for_weights_mb = 0) const;

    std::int64_t reserve_mb() const { return settings_.stale_reserve_mb_; }
    std::int64_t capacity_mb() const { return capacity_mb_; }

    // Items that can serve requests: reported as resident and not about to be unloaded.
    std::set<std::string> ready_items() const;

    // Items that the engine reported as resident.
    const std::map<std::string, std::int64_t, std::less<>>& resident() const { return resident_; }

    bool in_flight(std::string_view item) const;
    std::size_t orders_in_flight() const { return orders_.size(); }

private:
    struct tracked_order {
        engine_order order_;
        order_machine machine_;
        time_ms began_at_ = 0;
    };

    std::optional<order_refusal> reason_to_refuse(std::string_view item, time_ms now) const;
    engine_order track(order_kind kind, std::string_view item, std::int64_t memory_mb, time_ms now);
    void take_state(const engine_report& report);
    void end_orders(const engine_report& report);
    void erase_ended();

    ledger_settings settings_;
    time_ms started_at_;
    bool fence_needed_;
    bool state_known_ = false;
    bool superseded_ = false;
    std::uint64_t fence_ = 0;
    std::uint64_t next_order_ = 1;
    std::uint64_t engine_incarnation_ = 0;
    std::set<std::uint64_t> past_engines_;
    std::uint64_t sequence_ = 0;
    std::uint64_t highest_fence_ = 0;
    std::int64_t capacity_mb_ = 0;
    std::map<std::string, std::int64_t, std::less<>> resident_;
    std::map<std::string, std::int64_t, std::less<>> loading_;
    std::map<std::uint64_t, tracked_order> orders_;
};

} // namespace tamarack
