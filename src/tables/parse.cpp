#include "tables/row_reader.hpp"

namespace tamarack {

namespace {

constexpr std::int64_t max_memory_mb = 1'000'000'000;
constexpr std::int64_t max_count = 1'000'000;
constexpr std::int64_t max_deadline_ms = 24LL * 3600 * 1000;

adapter_row parse_adapter(const nlohmann::json& row, const std::string& pool, const std::string& prefix,
                          std::vector<table_fault>& faults) {
    row_reader reader(row, "pools", pool, prefix, faults);
    adapter_row adapter;
    adapter.name_ = reader.text("name");
    adapter.version_ = reader.text("version", "1");
    adapter.memory_mb_ = reader.number("memory_mb", 1, max_memory_mb);
    reader.report_unknown_fields();
    return adapter;
}

model_row parse_model(const nlohmann::json& row, const std::string& pool, const std::string& prefix,
                      std::vector<table_fault>& faults) {
    row_reader reader(row, "pools", pool, prefix, faults);
    model_row model;
    model.name_ = reader.text("name");
    model.version_ = reader.text("version", "1");
    model.memory_mb_ = reader.number("memory_mb", 1, max_memory_mb);
    model.kv_kb_per_token_ = reader.number("kv_kb_per_token", 0, max_memory_mb, 0);
    model.copies_ = reader.number("copies", 1, max_count, 1);
    if (model.name_.find_first_of(":@") != std::string::npos) {
        reader.fault("name", "contains ':' or '@'",
                     "use other characters; these separate adapters and versions");
    }
    std::size_t index = 0;
    if (const nlohmann::json* adapters = reader.list("adapters")) {
        for (const nlohmann::json& adapter : *adapters) {
            const std::string adapter_prefix = prefix + "adapters[" + std::to_string(index++) + "].";
            model.adapters_.push_back(parse_adapter(adapter, pool, adapter_prefix, faults));
        }
    }
    reader.report_unknown_fields();
    return model;
}

template <typename Row>
void insert_row(std::map<std::string, Row, std::less<>>& rows, Row row, const char* table,
                std::vector<table_fault>& faults) {
    const std::string name = row.name_;
    if (!rows.emplace(name, std::move(row)).second) {
        faults.push_back({table, name, "name", "is used by two rows", "give each row a name of its own"});
    }
}

const nlohmann::json* document_rows(const nlohmann::json& document, const char* table,
                                    std::vector<table_fault>& faults) {
    row_reader reader(document, table, "(document)", "", faults);
    const nlohmann::json* rows = reader.list(table);
    if (rows == nullptr && document.is_object() && !document.contains(table)) {
        reader.fault(table, "is missing", std::string("write {\"") + table + "\": [...]}");
    }
    reader.report_unknown_fields();
    return rows;
}

} // namespace

std::string_view to_string(traffic_class kind) {
    return kind == traffic_class::interactive ? "interactive" : "deferrable";
}

std::optional<traffic_class> parse_traffic_class(std::string_view text) {
    if (text == "interactive") {
        return traffic_class::interactive;
    }
    if (text == "deferrable") {
        return traffic_class::deferrable;
    }
    return std::nullopt;
}

std::string to_string(const table_fault& fault) {
    return fault.table_ + " / " + fault.row_ + " / " + fault.field_ + ": " + fault.what_ + "; " +
           fault.remedy_;
}

route_row parse_route(const nlohmann::json& row, std::vector<table_fault>& faults) {
    row_reader reader(row, "routes", row_name(row), "", faults);
    route_row route;
    route.name_ = reader.text("name");
    route.method_ = reader.text("method", route.method_);
    route.path_prefix_ = reader.text("path_prefix", route.path_prefix_);
    route.organisation_ = reader.text("tenant", route.organisation_);
    route.model_ = reader.text("model", route.model_);
    route.pool_ = reader.text("pool");
    const std::string class_name = reader.text("class", "interactive");
    if (auto parsed = parse_traffic_class(class_name)) {
        route.class_ = *parsed;
    } else {
        reader.fault("class", "is not a known class", "write \"interactive\" or \"deferrable\"");
    }
    route.deadline_ms_ = reader.number("deadline_ms", 1, max_deadline_ms, route.deadline_ms_);
    route.idempotent_ = reader.flag("idempotent", route.idempotent_);
    if (!route.path_prefix_.empty() && route.path_prefix_.front() != '/') {
        reader.fault("path_prefix", "does not begin with '/'", "begin it with '/'");
    }
    reader.report_unknown_fields();
    return route;
}

pool_row parse_pool(const nlohmann::json& row, std::vector<table_fault>& faults) {
    row_reader reader(row, "pools", row_name(row), "", faults);
    pool_row pool;
    pool.name_ = reader.text("name");
    const std::string kind = reader.text("kind");
    if (kind == "service") {
        pool.kind_ = endpoint_kind::service;
    } else if (kind != "engine" && !kind.empty()) {
        reader.fault("kind", "is not a known kind", "write \"engine\" or \"service\"");
    }
    const bool engine = pool.kind_ == endpoint_kind::engine;
    pool.endpoints_ = reader.number("endpoints", 1, max_count);
    pool.memory_mb_ = engine ? reader.number("memory_mb", 1, max_memory_mb) : 0;
    pool.kv_reserve_mb_ = engine ? reader.number("kv_reserve_mb", 0, max_memory_mb, 0) : 0;
    pool.slots_ = reader.number("slots", 1, max_count, 16);
    pool.organisation_slots_ = reader.number("tenant_slots", 0, max_count, 0);
    pool.fencing_ = reader.flag("fencing", false);
    pool.attainment_weight_ = reader.fraction("attainment_weight", 1.0);
    const nlohmann::json* models = engine ? reader.list("models") : nullptr;
    for (std::size_t index = 0; models != nullptr && index < models->size(); ++index) {
        const std::string prefix = "models[" + std::to_string(index) + "].";
        pool.models_.push_back(parse_model((*models)[index], pool.name_, prefix, faults));
    }
    reader.report_unknown_fields();
    return pool;
}

tables parse_tables(const nlohmann::json& routes, const nlohmann::json& pools,
                    std::vector<table_fault>& faults) {
    tables parsed;
    if (const nlohmann::json* rows = document_rows(routes, "routes", faults)) {
        for (const nlohmann::json& row : *rows) {
            insert_row(parsed.routes_, parse_route(row, faults), "routes", faults);
        }
    }
    if (const nlohmann::json* rows = document_rows(pools, "pools", faults)) {
        for (const nlohmann::json& row : *rows) {
            insert_row(parsed.pools_, parse_pool(row, faults), "pools", faults);
        }
    }
    return parsed;
}

nlohmann::json to_json(const route_row& row) {
    return {{"name", row.name_},
            {"method", row.method_},
            {"path_prefix", row.path_prefix_},
            {"tenant", row.organisation_},
            {"model", row.model_},
            {"pool", row.pool_},
            {"class", to_string(row.class_)},
            {"deadline_ms", row.deadline_ms_},
            {"idempotent", row.idempotent_}};
}

nlohmann::json to_json(const pool_row& row) {
    nlohmann::json json = {{"name", row.name_},
                           {"kind", row.kind_ == endpoint_kind::engine ? "engine" : "service"},
                           {"endpoints", row.endpoints_},
                           {"slots", row.slots_},
                           {"tenant_slots", row.organisation_slots_},
                           {"fencing", row.fencing_},
                           {"attainment_weight", row.attainment_weight_}};
    if (row.kind_ == endpoint_kind::service) {
        return json;
    }
    json["memory_mb"] = row.memory_mb_;
    json["kv_reserve_mb"] = row.kv_reserve_mb_;
    json["models"] = nlohmann::json::array();
    for (const model_row& model : row.models_) {
        nlohmann::json adapters = nlohmann::json::array();
        for (const adapter_row& adapter : model.adapters_) {
            adapters.push_back(
                {{"name", adapter.name_}, {"version", adapter.version_}, {"memory_mb", adapter.memory_mb_}});
        }
        json["models"].push_back({{"name", model.name_},
                                  {"version", model.version_},
                                  {"memory_mb", model.memory_mb_},
                                  {"kv_kb_per_token", model.kv_kb_per_token_},
                                  {"copies", model.copies_},
                                  {"adapters", std::move(adapters)}});
    }
    return json;
}

} // namespace tamarack
