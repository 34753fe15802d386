// tamarack-path-bench: real processes side by side in one run. Reports the latency that entry and agent add
// to a call of the engine, the processor time and memory of each role, and the bytes that an idle link
// carries.
//
// With --check it exits with 1 if an answer was not whole or the path adds more than its share to a realistic
// call.
#include "harness/cluster.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <thread>

DEFINE_bool(check, false, "fail if a bound is exceeded");
DEFINE_int32(rounds, 400, "calls of each kind, taken in turn");

namespace {

using namespace tamarack;
using namespace tamarack::harness;

// A call of 40 tokens at 5 ms each may take this much longer through entry and agent: one twentieth, which
// leaves the engines 95% of every deadline.
constexpr double realistic_ratio_bound = 1.05;
constexpr std::int64_t realistic_tokens = 40;
constexpr int realistic_rounds = 10;

constexpr std::int64_t few_tokens_of_answer = 4;
constexpr std::int64_t many_tokens_of_answer = 104;

// Processor time for each further token, in microseconds.
double slope_us(const json& few, const json& many, const char* field) {
    const double tokens = many["tokens"].get<double>() - few["tokens"].get<double>();
    return 1'000.0 * (many[field].get<double>() - few[field].get<double>()) / tokens;
}

double median(std::vector<double>& values) {
    std::sort(values.begin(), values.end());
    return values.empty() ? 0.0 : values[values.size() / 2];
}

double timed_call_ms(std::uint16_t port, const caller_request& request, bool& whole) {
    const auto began = std::chrono::steady_clock::now();
    const caller_answer answer = call(port, request);
    const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - began;
    whole = whole && answer_text(answer) == expected_text(request);
    return elapsed.count();
}

struct usage {
    std::int64_t cpu_ms_;
    std::int64_t resident_kb_;
};

usage usage_of(const process& one) {
    return {cpu_ms(one.pid()), resident_kb(one.pid())};
}

void start(cluster& system, int engines, int decode_ms) {
    system.start_platform({}, {"--loads_per_second=50", "--model_load_ms=20"});
    for (int index = 0; index < engines; ++index) {
        endpoint_options options;
        options.engine_flags_ = {"--fencing=true", "--decode_ms=" + std::to_string(decode_ms),
                                 "--prefill_tokens_per_second=10000000"};
        system.add_endpoint("engine-" + std::to_string(index), "advisor", options);
    }
    system.add_entry("entry-1", {{"traffic_threads", 1}});
    system.publish_list();
    json models = json::array();
    models.push_back({{"name", "a"}, {"memory_mb", 1'000}, {"copies", engines}});
    const json pools = json::array({{{"name", "advisor"},
                                     {"kind", "engine"},
                                     {"endpoints", engines},
                                     {"memory_mb", 80'000},
                                     {"fencing", true},
                                     {"slots", 256},
                                     {"models", models}}});
    const json routes = json::array({{{"name", "all"}, {"pool", "advisor"}, {"idempotent", true}}});
    system.publish(routes, pools);
    system.wait_until_ready();
    const caller_request probe = completion("a", "probe", 1, false);
    cluster::wait_for([&] { return call(system.entries().at("entry-1").port_, probe).status_ == 200; });
}

json measure_latency(cluster& system, std::int64_t tokens, int rounds, bool& whole) {
    const std::uint16_t direct_port = system.endpoints().at("engine-0").endpoint_port_;
    const std::uint16_t entry_port = system.entries().at("entry-1").port_;
    const caller_request request = completion("a", "latency", tokens, true);
    std::vector<double> direct;
    std::vector<double> through;
    for (int round = 0; round < rounds; ++round) {
        direct.push_back(timed_call_ms(direct_port, request, whole));
        through.push_back(timed_call_ms(entry_port, request, whole));
    }
    const double direct_ms = median(direct);
    const double through_ms = median(through);
    return {{"direct_median_ms", direct_ms},
            {"through_median_ms", through_ms},
            {"added_ms", through_ms - direct_ms},
            {"ratio", through_ms / direct_ms}};
}

json measure_throughput(cluster& system, std::int64_t tokens, bool& whole) {
    constexpr int requests_at_once = 50;
    constexpr int batches = 40;
    entry_node& entry = system.entries().at("entry-1");
    const usage entry_before = usage_of(entry.entry_);
    std::int64_t agents_before = 0;
    for (auto& [id, node] : system.endpoints()) {
        agents_before += cpu_ms(node.agent_.pid());
    }
    const caller_request request = completion("a", "throughput", tokens, true);
    const std::vector<std::pair<std::uint16_t, caller_request>> batch(requests_at_once,
                                                                      {entry.port_, request});
    for (int index = 0; index < batches; ++index) {
        for (const caller_answer& answer : call_all(batch)) {
            whole = whole && answer_text(answer) == expected_text(request);
        }
    }
    const double requests = double(requests_at_once) * batches;
    const double entry_cpu = double(cpu_ms(entry.entry_.pid()) - entry_before.cpu_ms_);
    double agents_cpu = -double(agents_before);
    for (auto& [id, node] : system.endpoints()) {
        agents_cpu += double(cpu_ms(node.agent_.pid()));
    }
    return {{"requests", requests},
            {"tokens", tokens},
            {"entry_cpu_ms_per_request", entry_cpu / requests},
            {"agent_cpu_ms_per_request", agents_cpu / requests},
            {"entry_requests_per_core_second", 1'000.0 * requests / std::max(1.0, entry_cpu)},
            {"agent_requests_per_core_second", 1'000.0 * requests / std::max(1.0, agents_cpu)}};
}

json measure_idle(cluster& system) {
    constexpr std::chrono::seconds watched{5};
    entry_node& entry = system.entries().at("entry-1");
    endpoint_node& node = system.endpoints().at("engine-0");
    const usage entry_before = usage_of(entry.entry_);
    const usage agent_before = usage_of(node.agent_);
    std::this_thread::sleep_for(watched);
    const usage entry_after = usage_of(entry.entry_);
    const usage agent_after = usage_of(node.agent_);
    const double seconds = double(watched.count());
    return {{"entry_core_percent", double(entry_after.cpu_ms_ - entry_before.cpu_ms_) / seconds / 10.0},
            {"agent_core_percent", double(agent_after.cpu_ms_ - agent_before.cpu_ms_) / seconds / 10.0},
            {"entry_resident_mb", double(entry_after.resident_kb_) / 1'024.0},
            {"agent_resident_mb", double(agent_after.resident_kb_) / 1'024.0}};
}

// Idle cost, and the path at its fastest, with an engine that answers at once.
json measure_fast_path(bool& whole) {
    constexpr int engines = 4;
    cluster system(program_folder());
    start(system, engines, 0);
    json report;
    report["idle"] = measure_idle(system);
    report["latency"] = measure_latency(system, few_tokens_of_answer, FLAGS_rounds, whole);
    json few_tokens = measure_throughput(system, few_tokens_of_answer, whole);
    json many_tokens = measure_throughput(system, many_tokens_of_answer, whole);
    report["cpu_us_per_token"] = {{"entry", slope_us(few_tokens, many_tokens, "entry_cpu_ms_per_request")},
                                  {"agent", slope_us(few_tokens, many_tokens, "agent_cpu_ms_per_request")}};
    report["throughput"] = json::array({std::move(few_tokens), std::move(many_tokens)});
    return report;
}

json measure_realistic(bool& whole) {
    constexpr int decode_ms = 5;
    cluster system(program_folder());
    start(system, 1, decode_ms);
    return measure_latency(system, realistic_tokens, realistic_rounds, whole);
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("measures the path through entry and agent with real processes");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    bool whole = true;
    json report = FLAGS_check ? json::object() : measure_fast_path(whole);
    report["realistic"] = measure_realistic(whole);
    report["all_answers_whole"] = whole;
    std::cout << report.dump(2) << std::endl;
    const bool held = whole && report["realistic"]["ratio"].get<double>() <= realistic_ratio_bound;
    return FLAGS_check && !held ? 1 : 0;
}
