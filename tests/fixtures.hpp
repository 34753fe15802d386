// Rows, tables and endpoint names shared by tests.
#pragma once

#include "tamarack/configuration.hpp"
#include "tamarack/ledger.hpp"
#include "tamarack/tables.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <random>

namespace tamarack::fixtures {

inline model_row make_model(const std::string& name, std::int64_t memory_mb, std::int64_t copies = 1) {
    model_row model;
    model.name_ = name;
    model.version_ = "1";
    model.memory_mb_ = memory_mb;
    model.kv_kb_per_token_ = 100;
    model.copies_ = copies;
    return model;
}

inline pool_row make_engine_pool(std::int64_t endpoints, std::int64_t memory_mb,
                                 std::vector<model_row> models) {
    pool_row pool;
    pool.name_ = "advisor";
    pool.kind_ = endpoint_kind::engine;
    pool.endpoints_ = endpoints;
    pool.memory_mb_ = memory_mb;
    pool.fencing_ = true;
    pool.slots_ = 4;
    pool.models_ = std::move(models);
    return pool;
}

inline route_row make_route(const std::string& name, const std::string& path, const std::string& pool) {
    route_row route;
    route.name_ = name;
    route.path_prefix_ = path;
    route.pool_ = pool;
    return route;
}

inline tables make_tables() {
    tables made;
    made.pools_["advisor"] =
        make_engine_pool(3, 1'000, {make_model("luthier", 400), make_model("restorer", 300)});
    made.routes_["quotes"] = make_route("quotes", "/v1/chat/completions", "advisor");
    return made;
}

inline std::vector<std::string> make_endpoints(int count) {
    std::vector<std::string> endpoints;
    for (int index = 0; index < count; ++index) {
        endpoints.push_back("engine-" + std::to_string(index));
    }
    return endpoints;
}

} // namespace tamarack::fixtures
