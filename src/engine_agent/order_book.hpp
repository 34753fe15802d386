// Which order an engine gets next, so that its memory is never overcommitted. Pure.
#pragma once

#include "tamarack/engine.hpp"

#include <deque>

namespace tamarack::engine_agent {

// What the planner wants of this engine, with the sizes that the memory is counted by.
struct placement {
    std::string load_;
    std::vector<std::string> drop_;
    double capacity_mb_ = 0;
    int adapter_slots_ = 0;
    std::map<std::string, double, std::less<>> model_mb_;
    std::map<std::string, double, std::less<>> adapter_mb_; // by model
};

// A request for an adapter, and whether it could be met.
struct adapter_answer {
    std::uint64_t want_ = 0;
    bool ready_ = false;
};

class order_book {
public:
    explicit order_book(std::string holder) : holder_(std::move(holder)) {}

    // The newest report of the engine.
    void take_report(const engine::report& given, time_ms now);

    // The engine cannot be reached; every want fails.
    std::vector<adapter_answer> engine_lost();

    // A new placement replaces one that has not begun.
    void take_placement(placement wanted, time_ms now);

    // Adapters that the engine has places and memory for; none until told.
    void set_most_adapters(int count) { most_adapters_ = count; }

    // Numbers of wants are the caller's. An adapter that was answered as ready stays until its release.
    void want_adapter(std::uint64_t want, std::string_view model, std::string_view adapter, time_ms now);
    void release_adapter(std::uint64_t want);

    // Wants that can be answered now: met, expired, or hopeless.
    std::vector<adapter_answer> answer_wants(time_ms now);

    // The next order to give, if any. It counts as given until `answered`.
    std::optional<engine::order> next(time_ms now);
    void answered(engine::order_answer answer, time_ms now);

    const std::optional<engine::report>& report() const { return report_; }

    // What the engine holds, less the adapters that are about to go.
    std::vector<fleet::held_model> usable_models() const;

    // The model that is being loaded, or that is about to be.
    std::string loading() const;
    bool waits() const { return given_ || !wants_.empty() || placement_; }

    // Starts of loads from the weight store that may still count for its rate.
    const std::deque<time_ms>& store_loads() const { return store_loads_; }

private:
    struct want {
        std::uint64_t number_ = 0;
        std::string model_;
        std::string adapter_;
        time_ms until_ = 0;
    };

    engine::order make(bool load, std::string_view model, std::string_view adapter) const;
    std::optional<engine::order> next_adapter_order();
    std::optional<engine::order> evict_adapter();
    std::optional<engine::order> next_placement_order();
    bool loads_from_store(const engine::order& order) const;
    double used_mb() const;
    int adapters_held() const;
    bool adapter_coming(const std::string& key) const;
    bool evictable(const std::string& key) const;
    const fleet::held_model* find_model(std::string_view name) const;
    bool has_adapter(std::string_view model, std::string_view adapter) const;

    std::string holder_;
    std::optional<engine::report> report_;
    std::optional<placement> placement_;
    std::optional<placement> sizes_; // of the last placement; sizes outlive it
    int most_adapters_ = 0;
    std::vector<want> wants_;
    std::map<std::string, time_ms, std::less<>> last_wanted_; // by "model/adapter"
    std::map<std::string, time_ms, std::less<>> going_;       // adapters whose unload was accepted
    std::map<std::string, time_ms, std::less<>> coming_;      // adapters whose load was accepted
    std::map<std::uint64_t, std::string> pins_;               // wants that were met, until their release
    std::optional<engine::order> given_;                      // not answered yet
    std::optional<engine::order> doubtful_;                   // not answered; may still be carried out
    std::deque<time_ms> store_loads_;
    time_ms placement_until_ = 0;
    time_ms quiet_until_ = 0; // after a conflict
};

} // namespace tamarack::engine_agent
