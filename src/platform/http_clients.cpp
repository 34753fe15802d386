#include "tamarack/http.hpp"
#include "tamarack/observe.hpp"
#include "tamarack/platform.hpp"
#include "tamarack/untrusted.hpp"

#include <limits>

namespace tamarack {

using boost::asio::awaitable;
using boost::asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds connect_limit{500};

error unexpected_status(const char* service, const http::response& response) {
    return {error_kind::unavailable, std::string(service) + " answered " + std::to_string(response.status_),
            "look at the service; the call is repeated"};
}

bool has_integers(const nlohmann::json& json, std::initializer_list<const char*> fields) {
    for (const char* field : fields) {
        if (!json.is_object() || !json.contains(field) || !json[field].is_number_integer()) {
            return false;
        }
    }
    return true;
}

std::string string_field(const nlohmann::json& json, const char* field) {
    return json.contains(field) && json[field].is_string() ? json[field].get<std::string>() : std::string();
}

awaitable<result<std::int64_t>> append_record(tcp::endpoint remote, std::chrono::milliseconds limit,
                                              std::string stream, std::string data) {
    http::request outgoing{"POST", "/v1/streams/" + stream, {}, std::move(data)};
    const http::call_limits limits{connect_limit, limit};
    result<http::response> response = co_await http::fetch(remote, std::move(outgoing), limits);
    if (!ok(response)) {
        co_return failure(response);
    }
    if (value(response).status_ != 200) {
        co_return unexpected_status("the log", value(response));
    }
    const nlohmann::json json = untrusted::parse_json(value(response).body_);
    if (!has_integers(json, {"offset"})) {
        co_return error{error_kind::interrupted, "the log's answer has no offset", "read the log back"};
    }
    co_return json["offset"].get<std::int64_t>();
}

// Parses the records that follow the offset `from`, without gaps. A record that cannot be read has no data,
// and readers reject it like any other that is no change.
result<log_batch> parse_batch(const std::string& text, std::int64_t from) {
    const nlohmann::json json = untrusted::parse_json_with_bytes(text);
    const bool well_formed = has_integers(json, {"first", "next", "now_ms", "retention_ms"}) &&
                             json.contains("records") && json["records"].is_array();
    if (!well_formed) {
        return error{error_kind::invalid, "the log's answer is malformed", "look at the log service"};
    }
    log_batch batch;
    batch.first_retained_ = json["first"].get<std::int64_t>();
    batch.next_ = json["next"].get<std::int64_t>();
    batch.now_ms_ = json["now_ms"].get<std::int64_t>();
    batch.retention_ms_ = json["retention_ms"].get<std::int64_t>();
    for (const nlohmann::json& record : json["records"]) {
        if (!has_integers(record, {"offset", "time_ms"})) {
            const std::int64_t offset = batch.records_.empty() ? from : batch.records_.back().offset_ + 1;
            log_warning("log", "Record " + std::to_string(offset) + " is malformed and left out.");
            batch.records_.push_back({offset, 0, ""});
            continue;
        }
        batch.records_.push_back({record["offset"].get<std::int64_t>(), record["time_ms"].get<std::int64_t>(),
                                  untrusted::to_bytes(string_field(record, "data"))});
    }
    return batch;
}

awaitable<result<log_batch>> read_records(tcp::endpoint remote, std::chrono::milliseconds limit,
                                          std::string stream, std::int64_t from,
                                          std::chrono::milliseconds wait) {
    http::request outgoing;
    outgoing.method_ = "GET";
    outgoing.target_ = "/v1/streams/" + stream + "?from=" + std::to_string(from) +
                       "&wait_ms=" + std::to_string(wait.count());
    const http::call_limits limits{connect_limit, limit + wait};
    result<http::response> response = co_await http::fetch(remote, std::move(outgoing), limits);
    if (!ok(response)) {
        co_return failure(response);
    }
    if (value(response).status_ != 200) {
        co_return unexpected_status("the log", value(response));
    }
    co_return parse_batch(value(response).body_, from);
}

result<std::vector<listed_instance>> parse_instances(const std::string& text) {
    const nlohmann::json json = untrusted::parse_json_with_bytes(text);
    if (!json.is_object() || !json.contains("instances") || !json["instances"].is_array()) {
        return error{error_kind::invalid, "the instance list is malformed", "look at the list service"};
    }
    std::vector<listed_instance> instances;
    for (const nlohmann::json& row : json["instances"]) {
        const auto port = untrusted::whole_number(row, "port", 1, std::numeric_limits<std::uint16_t>::max());
        if (!port || string_field(row, "id").empty()) {
            continue;
        }
        listed_instance instance;
        instance.id_ = string_field(row, "id");
        instance.role_ = string_field(row, "role");
        instance.pool_ = string_field(row, "pool");
        instance.data_centre_ = string_field(row, "data_centre");
        instance.address_ = string_field(row, "address");
        instance.port_ = std::uint16_t(*port);
        instance.leaving_ = string_field(row, "state") == "leaving";
        instances.push_back(std::move(instance));
    }
    return instances;
}

awaitable<result<std::vector<listed_instance>>> fetch_instances(tcp::endpoint remote,
                                                                std::chrono::milliseconds limit) {
    http::request outgoing{"GET", "/v1/instances", {}, {}};
    const http::call_limits limits{connect_limit, limit};
    result<http::response> response = co_await http::fetch(remote, std::move(outgoing), limits);
    if (!ok(response)) {
        co_return failure(response);
    }
    if (value(response).status_ != 200) {
        co_return unexpected_status("the instance list", value(response));
    }
    co_return parse_instances(value(response).body_);
}

const registration<log_client_factory> http_log("http", http_log_client);
const registration<instance_list_client_factory> http_instance_list("http", http_instance_list_client);

} // namespace

log_client http_log_client(tcp::endpoint remote, std::chrono::milliseconds limit) {
    return {[=](std::string stream, std::string data) {
                return append_record(remote, limit, std::move(stream), std::move(data));
            },
            [=](std::string stream, std::int64_t from, std::chrono::milliseconds wait) {
                return read_records(remote, limit, std::move(stream), from, wait);
            }};
}

instance_list_client http_instance_list_client(tcp::endpoint remote, std::chrono::milliseconds limit) {
    return {[=] { return fetch_instances(remote, limit); }};
}

std::string claims_stream(std::string_view pool) {
    return "claims." + std::string(pool);
}

} // namespace tamarack
