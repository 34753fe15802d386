#include "demo/deployments.hpp"

#include <string>

namespace tamarack::demo {

namespace {

constexpr int engine_memory_mb = 80'000;
constexpr int kv_reserve_mb = 16'000;
constexpr int model_memory_mb = 14'000;
constexpr int adapter_memory_mb = 60;
constexpr int kv_kb_per_token = 100;

json engine_pool(const std::string& name, const std::string& model_prefix, const deployment_size& size,
                 double attainment_weight, bool fencing) {
    json models = json::array();
    for (int index = 0; index < size.models_; ++index) {
        json adapters = json::array();
        for (int adapter = index; adapter < size.adapters_; adapter += size.models_) {
            adapters.push_back({{"name", "adapter-" + std::to_string(adapter)},
                                {"version", "1"},
                                {"memory_mb", adapter_memory_mb}});
        }
        models.push_back({{"name", model_prefix + "-" + std::to_string(index)},
                          {"version", "1"},
                          {"memory_mb", model_memory_mb},
                          {"kv_kb_per_token", kv_kb_per_token},
                          {"copies", 1},
                          {"adapters", std::move(adapters)}});
    }
    return {{"name", name},
            {"kind", "engine"},
            {"endpoints", size.engines_},
            {"memory_mb", engine_memory_mb},
            {"kv_reserve_mb", kv_reserve_mb},
            {"slots", 32},
            {"fencing", fencing},
            {"attainment_weight", attainment_weight},
            {"models", std::move(models)}};
}

json service_pool(const std::string& name, int endpoints) {
    return {{"name", name}, {"kind", "service"}, {"endpoints", endpoints}, {"slots", 64}};
}

json route(const std::string& name, const std::string& path, const std::string& pool, const std::string& kind,
           int deadline_ms, bool idempotent) {
    return {{"name", name},  {"path_prefix", path},        {"pool", pool},
            {"class", kind}, {"deadline_ms", deadline_ms}, {"idempotent", idempotent}};
}

} // namespace

deployment bureau(deployment_size size) {
    deployment made;
    made.pools_ = json::array(
        {engine_pool("advisor", "luthier", size, 1.0, true), service_pool("desk", size.services_)});
    made.routes_ =
        json::array({route("quotes", "/v1/chat/completions", "advisor", "interactive", 10'000, true),
                     route("bookings", "/desk/bookings", "desk", "interactive", 5'000, false),
                     route("deposits", "/desk/deposits", "desk", "interactive", 5'000, false),
                     route("records", "/desk/records", "desk", "interactive", 5'000, true),
                     route("appraisals", "/v1/completions", "advisor", "deferrable", 3'600'000, true)});
    return made;
}

deployment chorro(deployment_size size) {
    deployment made;
    made.pools_ = json::array(
        {engine_pool("assistant", "blaster", size, 0.0, false), service_pool("bays", size.services_)});
    made.routes_ =
        json::array({route("drafts", "/v1/chat/completions", "assistant", "interactive", 10'000, true),
                     route("reservations", "/bays/reservations", "bays", "interactive", 5'000, false),
                     route("summaries", "/v1/completions", "assistant", "deferrable", 600'000, true)});
    return made;
}

} // namespace tamarack::demo
