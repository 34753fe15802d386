// Chooses the next order for an engine so that the engine's memory is never overcommitted. Does no I/O and
// reads no clock.
#pragma once

#include "tamarack/engine.hpp"

#include <deque>

namespace tamarack::engine_agent {

// Models that the planner wants this engine to load and unload, and the sizes for computing its memory use.
struct placement {
    // The model to load, after the models in `drop_` have been unloaded.
    fleet::plain_name load_;
    std::vector<fleet::plain_name> drop_;

    // Memory of the engine for weights and adapters, in MB.
    double capacity_mb_ = 0;

    int adapter_slots_ = 0;
    std::map<std::string, double, std::less<>> model_mb_;
    std::map<std::string, double, std::less<>> adapter_mb_; // size of one adapter, by model
};

// The answer to a request for an adapter.
struct adapter_answer {
    std::uint64_t request_id_ = 0;
    bool ready_ = false;
};

class order_scheduler {
public:
    explicit order_scheduler(std::string holder) : holder_(std::move(holder)) {}

    // Replaces the report of the engine. Ends a placement whose model is resident or whose time has run out.
    // A new incarnation cancels the placement and forgets which adapters are in use, loading or unloading.
    void update_report(const engine::report& new_report, time_ms now);

    // Cancels the placement, releases all adapters, and returns a failure for each pending adapter request.
    // Call this when the engine is unreachable.
    std::vector<adapter_answer> handle_engine_lost();

    // Replaces the current placement.
    void set_placement(placement new_placement, time_ms now);

    // Sets how many adapters the engine has slots and memory for. The initial value is 0.
    void set_max_adapters(int count) { max_adapters_ = count; }

    // Requests an adapter under an id chosen by the caller. It fails at once if the engine refuses the order,
    // as one for an adapter that does not exist. Once `resolve_requests` has answered that it is ready, the
    // adapter stays resident until `release_adapter`.
    void request_adapter(std::uint64_t request_id, const fleet::plain_name& model,
                         const fleet::plain_name& adapter, time_ms now);
    void release_adapter(std::uint64_t request_id);

    // Removes and returns the adapter requests that are decided: the adapter is resident, the request has
    // timed out, or the engine no longer holds the model.
    std::vector<adapter_answer> resolve_requests(time_ms now);

    // Returns the next order for the engine, if any. There is no further order until `handle_answer`.
    std::optional<engine::order> next_order(time_ms now);
    void handle_answer(engine::order_answer answer, time_ms now);

    const std::optional<engine::report>& report() const { return report_; }

    // The models and adapters on the engine that new requests may use, without those that are about to be
    // unloaded. Requires a report.
    std::vector<fleet::held_model> usable_models() const;

    // The model that the current placement loads; empty if there is none.
    std::string loading_model() const;
    bool has_pending_work() const { return order_in_flight_ || !adapter_requests_.empty() || placement_; }

    // Adapters of which the last request is remembered: those that are resident, and those requested lately.
    std::size_t remembered_adapters() const { return last_requested_.size(); }

    // Start times of recent loads from the weight store. The planner limits the rate of such loads.
    const std::deque<time_ms>& store_load_starts() const { return store_load_starts_; }

private:
    struct adapter_request {
        std::uint64_t id_ = 0;
        fleet::plain_name model_;
        fleet::plain_name adapter_;
        time_ms deadline_ = 0;
    };

    engine::order make_order(bool load, const fleet::plain_name& model,
                             const fleet::plain_name& adapter) const;
    void handle_refused_order(const engine::order& order);
    std::optional<engine::order> next_adapter_order();
    std::optional<engine::order> next_eviction_order();
    std::optional<engine::order> next_placement_order();
    bool loads_from_store(const engine::order& order) const;
    double used_mb() const;
    int count_adapters() const;
    bool is_adapter_loading(const std::string& key) const;
    bool is_evictable(const std::string& key) const;
    const fleet::held_model* find_model(std::string_view name) const;
    bool has_adapter(std::string_view model, std::string_view adapter) const;

    std::string holder_;
    std::optional<engine::report> report_;
    std::optional<placement> placement_;
    std::optional<placement> sizes_; // last placement received, for its sizes; never reset
    int max_adapters_ = 0;
    std::vector<adapter_request> adapter_requests_;
    // Times by adapter key "model/adapter": of the last request, and of the acceptance of an unload and a
    // load.
    std::map<std::string, time_ms, std::less<>> last_requested_;
    std::map<std::string, time_ms, std::less<>> unloading_;
    std::map<std::string, time_ms, std::less<>> loading_;

    std::map<std::uint64_t, std::string> pins_;      // key of the adapter that each request id uses
    std::optional<engine::order> order_in_flight_;   // order that awaits the engine's answer
    std::optional<engine::order> unconfirmed_order_; // unanswered order that the engine may still carry out
    std::deque<time_ms> store_load_starts_;
    time_ms placement_deadline_ = 0;
    time_ms paused_until_ = 0; // earliest time of the next order
};

} // namespace tamarack::engine_agent
