#include "tamarack/settings.hpp"

#include "tables/row_reader.hpp"
#include "tamarack/http.hpp"
#include "tamarack/untrusted.hpp"

#include <fstream>
#include <sstream>

namespace tamarack {

namespace {

constexpr std::int64_t max_duration_ms = 24LL * 3600 * 1000;
constexpr std::int64_t max_bytes = 1024LL * 1024 * 1024;
constexpr std::int64_t max_threads = 64;
constexpr std::int64_t max_connections = 1'000'000;
constexpr std::int64_t max_port = 65'535;
constexpr std::int64_t min_memory_mb = 40; // holds one request of 4 MB
constexpr std::int64_t max_memory_mb = 1024LL * 1024;
constexpr std::int64_t min_descriptors = 256;
constexpr std::int64_t max_descriptors = 16LL * 1024 * 1024;
constexpr double max_grace_s = 3'600;
constexpr double max_ratio = 100;
constexpr double max_quota_slack = 1e9; // tokens
constexpr double max_slack = 1'000'000;
constexpr double max_window_s = 3'600;

boost::asio::ip::tcp::endpoint read_endpoint(row_reader& reader, const std::string& field) {
    const std::string text = reader.text(field);
    if (text.empty()) {
        return {};
    }
    const auto parsed = http::parse_endpoint(text);
    if (!ok(parsed)) {
        reader.fault(field, "is not an address", failure(parsed).remedy_);
        return {};
    }
    return value(parsed);
}

std::vector<boost::asio::ip::tcp::endpoint> read_endpoints(row_reader& reader, const std::string& field) {
    std::vector<boost::asio::ip::tcp::endpoint> all;
    const nlohmann::json* listed = reader.list(field);
    if (listed == nullptr) {
        return all;
    }
    for (const nlohmann::json& text : *listed) {
        const auto parsed = http::parse_endpoint(text.is_string() ? text.get<std::string>() : std::string());
        if (ok(parsed)) {
            all.push_back(value(parsed));
        } else {
            reader.fault(field, "has an element that is not an address", failure(parsed).remedy_);
        }
    }
    return all;
}

// The texts of a list that may be absent.
std::vector<std::string> read_texts(row_reader& reader, const std::string& field) {
    std::vector<std::string> all;
    const nlohmann::json* listed = reader.has(field) ? reader.list(field) : nullptr;
    if (listed == nullptr) {
        return all;
    }
    for (const nlohmann::json& text : *listed) {
        if (text.is_string()) {
            all.push_back(text.get<std::string>());
        } else {
            reader.fault(field, "has an element that is not a text", "write it in quotes");
        }
    }
    return all;
}

// The terms of the contract. What they may be is not checked here, since a term that this program does not
// know must not keep it from starting.
contract::terms read_contract(row_reader& reader) {
    contract::terms told;
    if (const nlohmann::json* parts = reader.list("contract_parts")) {
        for (const nlohmann::json& part : *parts) {
            told.parts_.push_back(part.is_string() ? part.get<std::string>() : part.dump());
        }
    }
    if (const nlohmann::json* bounds = reader.object("contract_bounds")) {
        for (const auto& [name, bound] : bounds->items()) {
            std::optional<double>& read = told.bounds_[name];
            if (bound.is_number()) {
                read = bound.get<double>();
            } else if (bound.is_boolean()) {
                read = bound.get<bool>() ? 1 : 0;
            }
        }
    }
    return told;
}

void read_duration(row_reader& reader, const std::string& field, std::int64_t& duration_ms) {
    duration_ms = reader.number(field, 1, max_duration_ms, duration_ms);
}

result<std::string> read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return error{error_kind::not_found, "cannot read the settings file \"" + path + "\"",
                     "give an existing file with --settings"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

error settings_error(std::span<const table_fault> faults) {
    std::string message;
    for (const table_fault& fault : faults) {
        message += (message.empty() ? "" : "\n") + to_string(fault);
    }
    return {error_kind::invalid, message, "correct the settings file"};
}

template <typename Settings, typename Read>
result<Settings> parse_settings(std::string_view text, Read read) {
    const nlohmann::json json = untrusted::parse_json(text);
    std::vector<table_fault> faults;
    if (json.is_discarded()) {
        return error{error_kind::invalid, "the settings are not valid JSON", "correct the settings file"};
    }
    row_reader reader(json, "settings", "(file)", "", faults);
    Settings settings = read(reader);
    reader.report_unknown_fields();
    if (!faults.empty()) {
        return settings_error(faults);
    }
    return settings;
}

template <typename Settings>
void read_common(row_reader& reader, Settings& settings) {
    settings.id_ = reader.text("id");
    settings.data_centre_ = reader.text("data_centre");
    settings.listen_ = read_endpoint(reader, "listen");
    settings.admin_ = read_endpoint(reader, "admin");
    settings.log_ = read_endpoint(reader, "log");
    settings.list_ = read_endpoint(reader, "list");
    settings.log_level_ = reader.text("log_level", settings.log_level_);
    read_duration(reader, "list_interval_ms", settings.list_interval_ms_);
    read_duration(reader, "shutdown_ms", settings.shutdown_ms_);
}

entry_settings read_entry(row_reader& reader) {
    entry_settings settings;
    read_common(reader, settings);
    settings.traffic_threads_ = reader.number("traffic_threads", 1, max_threads, settings.traffic_threads_);
    read_duration(reader, "heartbeat_limit_ms", settings.heartbeat_limit_ms_);
    settings.max_body_bytes_ = reader.number("max_body_bytes", 1, max_bytes, settings.max_body_bytes_);
    settings.max_header_bytes_ = reader.number("max_header_bytes", 1, max_bytes, settings.max_header_bytes_);
    settings.max_connections_ =
        reader.number("max_connections", 1, max_connections, settings.max_connections_);
    read_duration(reader, "idle_ms", settings.idle_ms_);
    read_duration(reader, "write_ms", settings.write_ms_);
    return settings;
}

agent_settings read_agent(row_reader& reader) {
    agent_settings settings;
    read_common(reader, settings);
    settings.pool_ = reader.text("pool");
    settings.endpoint_ = read_endpoint(reader, "endpoint");
    settings.placement_ = reader.text("placement", settings.placement_);
    read_duration(reader, "heartbeat_ms", settings.heartbeat_ms_);
    read_duration(reader, "report_interval_ms", settings.report_interval_ms_);
    read_duration(reader, "settle_ms", settings.settle_ms_);
    read_duration(reader, "claims_limit_ms", settings.claims_limit_ms_);
    read_duration(reader, "claims_window_ms", settings.claims_window_ms_);
    return settings;
}

gateway_settings read_gateway(row_reader& reader) {
    gateway_settings settings;
    settings.id_ = reader.text("id");
    settings.data_centre_ = reader.text("data_centre");
    settings.listen_ = read_endpoint(reader, "listen");
    settings.admin_ = read_endpoint(reader, "admin");
    settings.metrics_ = read_endpoint(reader, "metrics");
    settings.store_ = read_endpoint(reader, "store");
    settings.seeds_ = read_endpoints(reader, "seeds");
    if (reader.has("peers")) {
        settings.peers_ = read_endpoint(reader, "peers");
    }
    settings.released_suspects_ = read_texts(reader, "released_suspects");
    settings.platform_ = reader.text("platform", settings.platform_);
    settings.ready_path_ = reader.text("ready_path", settings.ready_path_);
    settings.agent_port_ = reader.number("agent_port", 1, max_port);
    if (reader.has("memory_mb")) {
        settings.memory_mb_ = reader.number("memory_mb", min_memory_mb, max_memory_mb);
    }
    if (reader.has("max_descriptors")) {
        settings.max_descriptors_ = reader.number("max_descriptors", min_descriptors, max_descriptors);
    }
    settings.shutdown_grace_s_ = reader.real("shutdown_grace_s", 0, max_grace_s, settings.shutdown_grace_s_);
    settings.retry_ratio_ = reader.real("retry_ratio", 0, max_ratio, settings.retry_ratio_);
    settings.retry_slack_ = reader.real("retry_slack", 0, max_slack, settings.retry_slack_);
    settings.retry_window_s_ = reader.real("retry_window_s", 1, max_window_s, settings.retry_window_s_);
    settings.load_window_s_ = reader.real("load_window_s", 1, max_window_s, settings.load_window_s_);
    settings.quota_window_s_ = reader.real("quota_window_s", 1, max_window_s, settings.quota_window_s_);
    settings.quota_over_ = reader.real("quota_over", 0, max_ratio, settings.quota_over_);
    settings.quota_slack_ = reader.real("quota_slack", 0, max_quota_slack, settings.quota_slack_);
    settings.strict_revocation_ = reader.flag("strict_revocation", settings.strict_revocation_);
    settings.revocation_limit_ms_ =
        reader.real("revocation_limit_ms", 0, double(max_duration_ms), settings.revocation_limit_ms_);
    settings.contract_ = read_contract(reader);
    return settings;
}

engine_agent_settings read_engine_agent(row_reader& reader) {
    engine_agent_settings settings;
    settings.id_ = reader.text("id");
    settings.listen_ = read_endpoint(reader, "listen");
    settings.metrics_ = read_endpoint(reader, "metrics");
    settings.engine_ = read_endpoint(reader, "engine");
    settings.platform_ = reader.text("platform", settings.platform_);
    settings.contract_ = read_contract(reader);
    return settings;
}

} // namespace

result<entry_settings> parse_entry_settings(std::string_view text) {
    return parse_settings<entry_settings>(text, read_entry);
}

result<agent_settings> parse_agent_settings(std::string_view text) {
    return parse_settings<agent_settings>(text, read_agent);
}

result<gateway_settings> parse_gateway_settings(std::string_view text) {
    return parse_settings<gateway_settings>(text, read_gateway);
}

result<engine_agent_settings> parse_engine_agent_settings(std::string_view text) {
    return parse_settings<engine_agent_settings>(text, read_engine_agent);
}

namespace {

template <typename Parse>
auto load_settings(const std::string& path, Parse parse) -> decltype(parse(std::string_view())) {
    const result<std::string> text = read_file(path);
    if (!ok(text)) {
        return failure(text);
    }
    return parse(value(text));
}

} // namespace

result<entry_settings> load_entry_settings(const std::string& path) {
    return load_settings(path, parse_entry_settings);
}

result<agent_settings> load_agent_settings(const std::string& path) {
    return load_settings(path, parse_agent_settings);
}

result<gateway_settings> load_gateway_settings(const std::string& path) {
    return load_settings(path, parse_gateway_settings);
}

result<engine_agent_settings> load_engine_agent_settings(const std::string& path) {
    return load_settings(path, parse_engine_agent_settings);
}

} // namespace tamarack
