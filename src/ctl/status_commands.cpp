// The commands about the running system: status and explain.
#include "ctl/session.hpp"

#include "tamarack/http.hpp"
#include "tamarack/placement.hpp"
#include "tamarack/untrusted.hpp"

#include <algorithm>
#include <iostream>

namespace tamarack::ctl {

namespace {

constexpr std::chrono::milliseconds call_limit{2'000};

nlohmann::json fetch_status(const std::string& text) {
    const auto address = parse_address_flag(text, "instances");
    if (!ok(address)) {
        return {{"address", text}, {"reachable", false}, {"problem", failure(address).message_}};
    }
    http::request outgoing{"GET", "/readyz", {}, {}};
    const http::call_limits limits{call_limit, call_limit};
    const auto fetched =
        run_blocking<result<http::response>>([&] { return http::fetch(value(address), outgoing, limits); });
    if (!ok(fetched)) {
        return {{"address", text}, {"reachable", false}, {"problem", failure(fetched).message_}};
    }
    nlohmann::json body = untrusted::parse_json(value(fetched).body_);
    if (!body.is_object()) {
        body = nlohmann::json::object();
    }
    body["address"] = text;
    body["reachable"] = true;
    return body;
}

result<std::vector<listed_instance>> fetch_instances(const options& flags) {
    const auto address = parse_address_flag(flags.list_, "list");
    if (!ok(address)) {
        return failure(address);
    }
    const instance_list_client list = http_instance_list_client(value(address), call_limit);
    return run_blocking<result<std::vector<listed_instance>>>([list] { return list.fetch_(); });
}

nlohmann::json explain_endpoints(const options& flags, const pool_row& pool, const std::string& model,
                                 std::span<const listed_instance> instances) {
    std::vector<std::string> endpoints;
    for (const listed_instance& instance : instances) {
        if (instance.role_ == "agent" && instance.pool_ == pool.name_ && !instance.leaving_) {
            endpoints.push_back(instance.id_);
        }
    }
    if (pool.kind_ == endpoint_kind::engine) {
        home_map homes = assign_homes(pool, endpoints);
        return {{"homes", homes[model]},
                {"why", "the homes of the model, by rendezvous over the pool's endpoints"}};
    }
    if (flags.key_.empty()) {
        return {{"endpoints", endpoints}, {"why", "the less loaded of two endpoints of the pool"}};
    }
    std::sort(endpoints.begin(), endpoints.end(), [&](const std::string& left, const std::string& right) {
        return rendezvous_weight(flags.key_, left) > rendezvous_weight(flags.key_, right);
    });
    return {{"endpoints", endpoints}, {"why", "the first usable endpoint by rendezvous over the key"}};
}

} // namespace

int status(const options& flags) {
    bool all_ready = true;
    nlohmann::json rows = nlohmann::json::array();
    for (const std::string& address : split_list(flags.instances_)) {
        nlohmann::json row = fetch_status(address);
        all_ready = all_ready && untrusted::flag(row, "ready");
        if (!flags.json_) {
            std::cout << row.dump() << "\n";
        }
        rows.push_back(std::move(row));
    }
    if (flags.json_) {
        std::cout << nlohmann::json{{"instances", rows}}.dump() << "\n";
    }
    return all_ready ? exit_ok : exit_unavailable;
}

int explain(const options& flags) {
    const result<log_view> view = read_log(flags);
    if (!ok(view)) {
        return print_error(flags, failure(view));
    }
    const result<std::vector<listed_instance>> instances = fetch_instances(flags);
    if (!ok(instances)) {
        return print_error(flags, failure(instances));
    }
    const tables& current = value(view).state_.tables_;
    const model_reference model = parse_model_reference(flags.model_);
    const route_row* route =
        match_route(current, {flags.method_, flags.path_, flags.organisation_, model.model_});
    if (route == nullptr) {
        return print_error(flags,
                           {error_kind::conflict, "no route matches", "publish a route for this request"});
    }
    const pool_row& pool = current.pools_.find(route->pool_)->second;
    nlohmann::json body = {
        {"version", value(view).state_.version_}, {"route", to_json(*route)}, {"pool", pool.name_}};
    body["choice"] = explain_endpoints(flags, pool, model.model_, value(instances));
    std::cout << body.dump(flags.json_ ? -1 : 2) << "\n";
    return exit_ok;
}

} // namespace tamarack::ctl
