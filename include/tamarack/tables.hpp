// The two tables that operators publish, their validation, and the matching of requests to routes.
//
// Routes assign requests to named pools. Pools list the models, adapters and versions that a named group of
// endpoints holds. Routes refer to pools by name only. All functions are pure.
#pragma once

#include "tamarack/kernel.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <optional>
#include <span>

namespace tamarack {

// The kinds of endpoints; all endpoints of a pool are of one kind.
enum class endpoint_kind { engine, service };

// The priorities that admission distinguishes.
enum class traffic_class { interactive, deferrable };

std::string_view to_string(traffic_class kind);
std::optional<traffic_class> parse_traffic_class(std::string_view text);

// A low-rank adapter that is loaded in addition to its model.
struct adapter_row {
    std::string name_;
    std::string version_;
    std::int64_t memory_mb_ = 0;

    bool operator==(const adapter_row&) const = default;
};

// A model of a pool. `copies_` endpoints, the model's homes, keep it resident.
struct model_row {
    std::string name_;
    std::string version_;
    std::int64_t memory_mb_ = 0;
    std::int64_t kv_kb_per_token_ = 0;
    std::int64_t copies_ = 1;
    std::vector<adapter_row> adapters_;

    bool operator==(const model_row&) const = default;
};

// A named group of equal endpoints. `endpoints_` is the number that the operator commits to
// provide.
struct pool_row {
    std::string name_;
    endpoint_kind kind_ = endpoint_kind::engine;
    std::int64_t endpoints_ = 1;
    std::int64_t memory_mb_ = 0;          // memory of one engine
    std::int64_t kv_reserve_mb_ = 0;      // memory of one engine that is never used for weights
    std::int64_t slots_ = 1;              // requests that one endpoint runs at once
    std::int64_t organisation_slots_ = 0; // limit of one organisation at one endpoint; 0 for none
    bool fencing_ = false;                // whether the engines refuse orders with old fencing numbers
    double attainment_weight_ = 1.0;      // 1 weighs attainment only, 0 weighs moves only
    std::vector<model_row> models_;

    bool operator==(const pool_row&) const = default;
};

// Assigns matching requests to a pool and gives their defaults. "*" matches any value.
struct route_row {
    std::string name_;
    std::string method_ = "*";
    std::string path_prefix_ = "/";
    std::string organisation_ = "*";
    std::string model_ = "*";
    std::string pool_;
    traffic_class class_ = traffic_class::interactive;
    std::int64_t deadline_ms_ = 30'000;
    bool idempotent_ = false;

    bool operator==(const route_row&) const = default;
};

// Both tables by row name.
struct tables {
    std::map<std::string, route_row, std::less<>> routes_;
    std::map<std::string, pool_row, std::less<>> pools_;

    bool operator==(const tables&) const = default;
};

// An error in a table: its place, a description and a remedy.
struct table_fault {
    std::string table_;
    std::string row_;
    std::string field_;
    std::string what_;
    std::string remedy_;
};

std::string to_string(const table_fault& fault);

// Parses one row and appends a fault for each invalid, missing or unknown field. The row is usable only if no
// fault was appended.
route_row parse_route(const nlohmann::json& row, std::vector<table_fault>& faults);
pool_row parse_pool(const nlohmann::json& row, std::vector<table_fault>& faults);

nlohmann::json to_json(const route_row& row);
nlohmann::json to_json(const pool_row& row);

// Parses the two documents `{"routes": [...]}` and `{"pools": [...]}`. Appends a fault for each error,
// duplicate names included.
tables parse_tables(const nlohmann::json& routes, const nlohmann::json& pools,
                    std::vector<table_fault>& faults);

// Checks that every pool, model and adapter that a route names exists, that no pool lists a model or adapter
// twice, and that the models of a pool fit into its memory, for pools of several endpoints also while one of
// them is down.
std::vector<table_fault> check_tables(const tables& candidate);

// Checks that every pool can hold the models of `before` and `after` together, as it has to during the
// change.
std::vector<table_fault> check_transition(const tables& before, const tables& after);

// Returns the memory of an engine that weights may occupy, in MB: all but the KV reserve and the stale order
// reserve.
std::int64_t weights_budget_mb(const pool_row& pool);

// Returns the memory reserved because an order of an earlier agent may still take effect, in MB: the size of
// the largest item, or zero if the engines enforce fencing.
std::int64_t stale_order_reserve_mb(const pool_row& pool);

// Returns the memory of a model with all its adapters, in MB.
std::int64_t memory_with_adapters_mb(const model_row& model);

// The properties of a request that routes match.
struct route_query {
    std::string_view method_;
    std::string_view path_;
    std::string_view organisation_;
    std::string_view model_; // model name without adapter and version; empty for plain services
};

// Returns the matching row with the longest path prefix, then the fewest wildcards, then the first name.
// Returns null if no row matches.
const route_row* match_route(const tables& in_force, const route_query& request);

// A model name as callers write it: "model" or "model:adapter", each part with an optional "@version".
struct model_reference {
    std::string model_;
    std::string model_version_;
    std::string adapter_;
    std::string adapter_version_;
};

model_reference parse_model_reference(std::string_view text);

// Returns the name of the item as which weights are loaded: "model@version" or "model:adapter@version".
std::string item_name(const model_row& model);
std::string item_name(const model_row& model, const adapter_row& adapter);

// Returns the item name of the referenced model or adapter in the version that the pool holds, regardless of
// the versions in the reference. Returns an empty string if the pool doesn't hold it.
std::string configured_item(const pool_row& pool, const model_reference& reference);

// Return null if there is no row of that name.
const model_row* find_model(const pool_row& pool, std::string_view name);
const adapter_row* find_adapter(const model_row& model, std::string_view name);

} // namespace tamarack
