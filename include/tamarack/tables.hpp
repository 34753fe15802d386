// Tables: the two documents that operators publish, their checks, and the matching of requests to routes.
//
// Routes say which requests go to which named pool. Pools say which models, adapters and versions a named
// group of endpoints holds. The pool's name is the only join. All functions are pure.
#pragma once

#include "tamarack/kernel.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <optional>
#include <span>

namespace tamarack {

// The kinds of endpoint that a pool can consist of.
enum class endpoint_kind { engine, service };

// The two priorities between which admission distinguishes.
enum class traffic_class { interactive, deferrable };

std::string_view to_string(traffic_class kind);
std::optional<traffic_class> parse_traffic_class(std::string_view text);

// A low-rank adapter that is loaded beside its model.
struct adapter_row {
    std::string name_;
    std::string version_;
    std::int64_t memory_mb_ = 0;

    bool operator==(const adapter_row&) const = default;
};

// A model of a pool. `copies_` endpoints are its homes and keep it resident.
struct model_row {
    std::string name_;
    std::string version_;
    std::int64_t memory_mb_ = 0;
    std::int64_t kv_kb_per_token_ = 0;
    std::int64_t copies_ = 1;
    std::vector<adapter_row> adapters_;

    bool operator==(const model_row&) const = default;
};

// A named group of like endpoints. `endpoints_` is the number that the operator undertakes to provide.
struct pool_row {
    std::string name_;
    endpoint_kind kind_ = endpoint_kind::engine;
    std::int64_t endpoints_ = 1;
    std::int64_t memory_mb_ = 0;          // of one engine
    std::int64_t kv_reserve_mb_ = 0;      // of one engine, never used for weights
    std::int64_t slots_ = 1;              // requests that one endpoint runs at once
    std::int64_t organisation_slots_ = 0; // requests of one organisation at one endpoint, 0 for no limit
    bool fencing_ = false;                // whether the engines refuse an old fencing number
    double attainment_weight_ = 1.0;      // 1 weighs attainment only, 0 weighs moves only
    std::vector<model_row> models_;

    bool operator==(const pool_row&) const = default;
};

// Which requests go to which pool, and with what defaults. "*" matches everything.
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

// One fault of a table: where it is, what is wrong and how to mend it.
struct table_fault {
    std::string table_;
    std::string row_;
    std::string field_;
    std::string what_;
    std::string remedy_;
};

std::string to_string(const table_fault& fault);

// Parses one row; appends a fault for each wrong, missing or unknown field. The row is usable only if no
// fault was appended.
route_row parse_route(const nlohmann::json& row, std::vector<table_fault>& faults);
pool_row parse_pool(const nlohmann::json& row, std::vector<table_fault>& faults);

nlohmann::json to_json(const route_row& row);
nlohmann::json to_json(const pool_row& row);

// Parses two whole documents, `{"routes": [...]}` and `{"pools": [...]}`; appends one fault for each error,
// among them duplicate names.
tables parse_tables(const nlohmann::json& routes, const nlohmann::json& pools,
                    std::vector<table_fault>& faults);

// Checks that the tables agree with each other and fit: every pool, model and adapter that a route names
// exists and has a place in its pool's memory, also after the death of one endpoint of the pool.
std::vector<table_fault> check_tables(const tables& candidate);

// Checks that every pool can hold the models of `before` and `after` together, which is what it does while
// the change is under way.
std::vector<table_fault> check_transition(const tables& before, const tables& after);

// Memory of an engine that weights may occupy, in MB: what remains after the KV reserve and, for engines that
// ignore fencing numbers, after the stale order reserve.
std::int64_t weights_budget_mb(const pool_row& pool);

// Memory held back because an order of an earlier agent may still land, in MB: the largest single item, or
// zero where fencing is enforced.
std::int64_t stale_order_reserve_mb(const pool_row& pool);

// Memory of a model with all its adapters, in MB.
std::int64_t memory_with_adapters_mb(const model_row& model);

// A request as far as routing is concerned.
struct route_query {
    std::string_view method_;
    std::string_view path_;
    std::string_view organisation_;
    std::string_view model_; // without adapter and version; empty for plain services
};

// The row that serves the request: of all that match, the one with the longest path prefix, then the most
// exact fields, then the first by name. Null if none matches.
const route_row* match_route(const tables& in_force, const route_query& request);

// A model name as callers write it: "model", "model:adapter", each with an optional "@version".
struct model_reference {
    std::string model_;
    std::string model_version_;
    std::string adapter_;
    std::string adapter_version_;
};

model_reference parse_model_reference(std::string_view text);

// The item names under which weights are loaded: "model@version" and "model:adapter@version".
std::string item_name(const model_row& model);
std::string item_name(const model_row& model, const adapter_row& adapter);

// The item by which the tables hold the named model or adapter, whatever versions the name gives; empty if
// they do not.
std::string configured_item(const pool_row& pool, const model_reference& name);

const model_row* find_model(const pool_row& pool, std::string_view name);
const adapter_row* find_adapter(const model_row& model, std::string_view name);

} // namespace tamarack
