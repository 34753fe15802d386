// A small model of engines and the weight store in virtual time, on which policies are compared.
#pragma once

#include "tamarack/tables.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace tamarack::policy_bench {

struct request {
    std::uint64_t id_ = 0;
    std::string item_; // model or adapter that must be resident
    std::string model_;
    traffic_class class_ = traffic_class::interactive;
    time_ms arrived_ = 0;
    time_ms deadline_ = 0;
    std::int64_t tokens_ = 0;
};

// What became of the requests of one run.
struct measures {
    struct by_class {
        std::int64_t requests_ = 0;
        std::int64_t in_time_ = 0;
        std::int64_t late_ = 0;            // answered after the deadline
        std::int64_t refused_at_once_ = 0; // refused on arrival
        std::int64_t refused_late_ = 0;    // given up on after it had waited
        std::vector<std::int64_t> latencies_ms_;
    };

    by_class classes_[2];
    std::int64_t moves_ = 0;

    by_class& of(traffic_class kind) { return classes_[std::size_t(kind)]; }
    const by_class& of(traffic_class kind) const { return classes_[std::size_t(kind)]; }
    std::int64_t in_time() const { return classes_[0].in_time_ + classes_[1].in_time_; }
    std::int64_t requests() const { return classes_[0].requests_ + classes_[1].requests_; }
};

struct store_limits {
    double loads_per_second_;
    std::int64_t loads_at_once_;
    std::int64_t model_load_ms_;
    std::int64_t adapters_in_transit_;
};

struct deployment {
    pool_row pool_;
    store_limits store_;
};

deployment bureau();
deployment chorro();

// Virtual time: actions in the order of their times.
class timeline {
public:
    void at(time_ms when, std::function<void()> action);
    void after(time_ms delay, std::function<void()> action) { at(now_ + delay, std::move(action)); }
    time_ms now() const { return now_; }

    // Runs all actions up to `until`.
    void run(time_ms until);

private:
    struct entry {
        time_ms when_;
        std::uint64_t number_;
        std::function<void()> action_;

        bool operator<(const entry& other) const {
            return when_ != other.when_ ? when_ > other.when_ : number_ > other.number_;
        }
    };

    std::priority_queue<entry> entries_;
    std::uint64_t next_number_ = 0;
    time_ms now_ = 0;
};

// The weight store that all engines share.
class weight_store {
public:
    weight_store(timeline& time, const store_limits& limits) : time_(time), limits_(limits) {}

    void load(const std::string& item, std::function<void()> loaded);

private:
    timeline& time_;
    store_limits limits_;
    time_ms next_start_ = 0;
    std::int64_t models_ = 0;
    std::int64_t adapters_ = 0;
};

// One engine: what is resident, what loads, and what runs.
struct engine {
    std::string id_;
    bool alive_ = true;
    std::map<std::string, std::int64_t> resident_;
    std::map<std::string, std::int64_t> loading_;
    std::int64_t running_ = 0;
    std::uint64_t sequence_ = 1; // of its reports

    std::int64_t weights_mb() const;
};

struct world {
    explicit world(const deployment& deployed);

    timeline time_;
    deployment deployment_;
    weight_store store_;
    std::vector<engine> engines_;
    measures measures_;

    // Time to serve a request that starts on the engine now.
    std::int64_t service_ms(const engine& on, const request& one) const;

    std::int64_t item_mb(const std::string& item) const;

    // Loads an item; memory is taken at once. Counts a move.
    void load(engine& into, const std::string& item, std::function<void()> loaded);
    void unload(engine& from, const std::string& item);

    void answered(const request& one);
    void refused(const request& one);
};

// A policy that is compared: it takes each request and answers or refuses it through the world.
class policy {
public:
    virtual ~policy() = default;
    virtual void arrive(request one) = 0;
    virtual void engine_died(std::size_t index) = 0;
};

using policy_factory = std::function<std::unique_ptr<policy>(world&)>;

std::unique_ptr<policy> make_tamarack(world& where);
std::unique_ptr<policy> make_round_robin(world& where);
std::unique_ptr<policy> make_least_loaded(world& where);
std::unique_ptr<policy> make_static(world& where);

// Arrivals by scenario.
struct scenario {
    std::string name_;
    time_ms length_ms_ = 60'000;
    double load_ = 0.6;             // offered work, as a fraction of what all engines can do
    double swing_ = 1.0;            // how much the demand for one model rises over the run
    double skew_ = 1.0;             // of the models' popularity
    double adapter_fraction_ = 0.5; // of requests that name an adapter
    bool cold_adapters_ = false;    // adapters are asked for evenly, not by popularity
    bool death_ = false;            // one engine dies half way
};

std::vector<scenario> all_scenarios();

measures run(const deployment& deployed, const scenario& what, const policy_factory& make,
             std::uint64_t seed);

} // namespace tamarack::policy_bench
