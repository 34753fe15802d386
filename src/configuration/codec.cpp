#include "configuration/codec.hpp"

#include "tamarack/untrusted.hpp"

namespace tamarack {

namespace {

nlohmann::json rows_json(const tables& source) {
    nlohmann::json routes = nlohmann::json::array();
    for (const auto& [name, row] : source.routes_) {
        routes.push_back(to_json(row));
    }
    nlohmann::json pools = nlohmann::json::array();
    for (const auto& [name, row] : source.pools_) {
        pools.push_back(to_json(row));
    }
    return {{"routes", std::move(routes)}, {"pools", std::move(pools)}};
}

bool has_string(const nlohmann::json& object, const char* field) {
    return object.contains(field) && object[field].is_string();
}

bool has_integer(const nlohmann::json& object, const char* field) {
    return object.contains(field) && object[field].is_number_integer();
}

bool has_array(const nlohmann::json& object, const char* field) {
    return object.contains(field) && object[field].is_array();
}

bool read_names(const nlohmann::json& list, std::vector<std::string>& names) {
    for (const nlohmann::json& name : list) {
        if (!name.is_string()) {
            return false;
        }
        names.push_back(name.get<std::string>());
    }
    return true;
}

nlohmann::json parse_object(std::string_view text) {
    nlohmann::json parsed = untrusted::parse_json(text);
    return parsed.is_object() ? parsed : nlohmann::json();
}

bool has_kind(const nlohmann::json& object, std::string_view kind) {
    return object.is_object() && has_string(object, "kind") && object["kind"] == kind;
}

} // namespace

std::string encode_change(const config_change& change) {
    nlohmann::json json = {{"kind", "change"},
                           {"id", change.id_},
                           {"author", change.author_},
                           {"base", change.base_},
                           {"put_routes", nlohmann::json::array()},
                           {"put_pools", nlohmann::json::array()},
                           {"removed_routes", change.removed_routes_},
                           {"removed_pools", change.removed_pools_}};
    for (const route_row& row : change.put_routes_) {
        json["put_routes"].push_back(to_json(row));
    }
    for (const pool_row& row : change.put_pools_) {
        json["put_pools"].push_back(to_json(row));
    }
    return json.dump();
}

std::optional<config_change> decode_change(std::string_view text, std::vector<table_fault>& faults) {
    const nlohmann::json json = parse_object(text);
    const bool well_formed = has_kind(json, "change") && has_string(json, "id") &&
                             has_string(json, "author") && has_integer(json, "base") &&
                             has_array(json, "put_routes") && has_array(json, "put_pools") &&
                             has_array(json, "removed_routes") && has_array(json, "removed_pools");
    if (!well_formed) {
        return std::nullopt;
    }
    config_change change;
    change.id_ = json["id"].get<std::string>();
    change.author_ = json["author"].get<std::string>();
    change.base_ = json["base"].get<std::int64_t>();
    for (const nlohmann::json& row : json["put_routes"]) {
        change.put_routes_.push_back(parse_route(row, faults));
    }
    for (const nlohmann::json& row : json["put_pools"]) {
        change.put_pools_.push_back(parse_pool(row, faults));
    }
    const bool names_valid = read_names(json["removed_routes"], change.removed_routes_) &&
                             read_names(json["removed_pools"], change.removed_pools_);
    if (!names_valid) {
        return std::nullopt;
    }
    return change;
}

std::string encode_state(const config_state& state) {
    nlohmann::json json = rows_json(state.tables_);
    json["kind"] = "snapshot";
    json["version"] = state.version_;
    json["through"] = state.last_offset_;
    return json.dump();
}

bool is_snapshot(std::string_view text) {
    return has_kind(parse_object(text), "snapshot");
}

result<config_state> decode_state(std::string_view text) {
    const nlohmann::json json = parse_object(text);
    const bool well_formed = has_kind(json, "snapshot") && has_integer(json, "version") &&
                             has_integer(json, "through") && has_array(json, "routes") &&
                             has_array(json, "pools");
    if (!well_formed) {
        return error{error_kind::invalid, "the text is not a configuration state", "ask another peer"};
    }
    config_state state;
    state.version_ = json["version"].get<std::int64_t>();
    state.last_offset_ = json["through"].get<std::int64_t>();
    std::vector<table_fault> faults;
    state.tables_ = parse_tables({{"routes", json["routes"]}}, {{"pools", json["pools"]}}, faults);
    if (!faults.empty()) {
        return error{error_kind::invalid, to_string(faults.front()), "ask another peer"};
    }
    if (state.version_ < no_version || state.last_offset_ < state.version_) {
        return error{error_kind::invalid, "the state's version is above its last offset", "ask another peer"};
    }
    return state;
}

} // namespace tamarack
