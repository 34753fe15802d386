#include "agent/engine_client.hpp"

#include "tamarack/untrusted.hpp"

namespace tamarack::agent {

using boost::asio::awaitable;

namespace {

const http::call_limits call_timeouts{std::chrono::milliseconds(500), std::chrono::milliseconds(1'000)};

constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_conflict = 409;

error malformed_report() {
    return {error_kind::invalid, "the engine's report is malformed", "check the engine's version"};
}

template <typename Number>
bool read_number(const nlohmann::json& object, const char* field, Number& number) {
    if (!object.is_object() || !object.contains(field) || !object[field].is_number_integer()) {
        return false;
    }
    number = object[field].get<Number>();
    return true;
}

bool read_items(const nlohmann::json& report, const char* field, std::vector<resident_item>& items) {
    if (!report.contains(field) || !report[field].is_array()) {
        return false;
    }
    for (const nlohmann::json& object : report[field]) {
        resident_item item;
        const bool has_name = object.is_object() && object.contains("item") && object["item"].is_string();
        if (!has_name || !read_number(object, "memory_mb", item.memory_mb_)) {
            return false;
        }
        item.item_ = object["item"].get<std::string>();
        items.push_back(std::move(item));
    }
    return true;
}

bool read_ended(const nlohmann::json& report, std::vector<ended_order>& ended) {
    if (!report.contains("ended") || !report["ended"].is_array()) {
        return false;
    }
    for (const nlohmann::json& object : report["ended"]) {
        ended_order order;
        const bool has_ids =
            read_number(object, "id", order.id_) && read_number(object, "incarnation", order.incarnation_);
        if (!has_ids || !object.contains("applied") || !object["applied"].is_boolean()) {
            return false;
        }
        order.applied_ = object["applied"].get<bool>();
        ended.push_back(order);
    }
    return true;
}

} // namespace

result<engine_report> parse_report(std::string_view text) {
    const nlohmann::json json = untrusted::parse_json(text);
    engine_report report;
    const bool has_numbers = read_number(json, "engine_incarnation", report.engine_incarnation_) &&
                             read_number(json, "sequence", report.sequence_) &&
                             read_number(json, "capacity_mb", report.capacity_mb_) &&
                             read_number(json, "highest_fence", report.highest_fence_) &&
                             read_number(json, "newest_agent", report.newest_agent_);
    const bool complete = has_numbers && read_items(json, "resident", report.resident_) &&
                          read_items(json, "loading", report.loading_) && read_ended(json, report.ended_);
    if (!complete) {
        return malformed_report();
    }
    return report;
}

awaitable<result<engine_report>> engine_client::report() const {
    http::request outgoing{"GET", "/v1/report", {}, {}};
    const result<http::response> response = co_await http::fetch(engine_, std::move(outgoing), call_timeouts);
    if (!ok(response)) {
        co_return failure(response);
    }
    if (value(response).status_ != status_ok) {
        co_return error{error_kind::unavailable, "the engine returned no report", "check the engine"};
    }
    co_return parse_report(value(response).body_);
}

awaitable<result<engine_report>> engine_client::fence(std::uint64_t number, std::uint64_t incarnation) const {
    const nlohmann::json body = {{"fence", number}, {"incarnation", incarnation}};
    http::request outgoing{"POST", "/v1/fence", {}, body.dump()};
    const result<http::response> response = co_await http::fetch(engine_, std::move(outgoing), call_timeouts);
    if (!ok(response)) {
        co_return failure(response);
    }
    if (value(response).status_ == status_conflict) {
        co_return error{error_kind::conflict, "the fencing number is not above the engine's highest",
                        "read a report and fence with a higher number"};
    }
    if (value(response).status_ != status_ok) {
        co_return error{error_kind::unavailable, "the engine did not accept the fence",
                        "set \"fencing\" to false for this pool if its engines ignore fencing numbers"};
    }
    co_return parse_report(value(response).body_);
}

awaitable<order_outcome> engine_client::send_order(engine_order order) const {
    const nlohmann::json body = {
        {"id", order.id_},       {"kind", order.kind_ == order_kind::load ? "load" : "unload"},
        {"item", order.item_},   {"memory_mb", order.memory_mb_},
        {"fence", order.fence_}, {"incarnation", order.incarnation_}};
    http::request outgoing{"POST", "/v1/orders", {}, body.dump()};
    const result<http::response> response = co_await http::fetch(engine_, std::move(outgoing), call_timeouts);
    if (!ok(response)) {
        const bool sent = failure(response).kind_ != error_kind::unreachable;
        co_return sent ? order_outcome::unknown : order_outcome::not_sent;
    }
    if (value(response).status_ == status_accepted) {
        co_return order_outcome::confirmed;
    }
    co_return value(response).status_ == status_conflict ? order_outcome::fenced_off : order_outcome::unknown;
}

} // namespace tamarack::agent
