#include "tamarack/settings.hpp"

#include "tables/row_reader.hpp"
#include "tamarack/http.hpp"

#include <fstream>
#include <sstream>

namespace tamarack {

namespace {

constexpr std::int64_t max_duration_ms = 24LL * 3600 * 1000;
constexpr std::int64_t max_bytes = 1024LL * 1024 * 1024;
constexpr std::int64_t max_threads = 64;
constexpr std::int64_t max_connections = 1'000'000;

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
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    std::vector<table_fault> faults;
    if (json.is_discarded()) {
        return error{error_kind::invalid, "the settings are not valid JSON", "correct the settings file"};
    }
    row_reader reader(json, "settings", "(file)", "", faults);
    Settings settings = read(reader);
    reader.finish();
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

} // namespace

result<entry_settings> parse_entry_settings(std::string_view text) {
    return parse_settings<entry_settings>(text, read_entry);
}

result<agent_settings> parse_agent_settings(std::string_view text) {
    return parse_settings<agent_settings>(text, read_agent);
}

result<entry_settings> load_entry_settings(const std::string& path) {
    const result<std::string> text = read_file(path);
    if (!ok(text)) {
        return failure(text);
    }
    return parse_entry_settings(value(text));
}

result<agent_settings> load_agent_settings(const std::string& path) {
    const result<std::string> text = read_file(path);
    if (!ok(text)) {
        return failure(text);
    }
    return parse_agent_settings(value(text));
}

} // namespace tamarack
