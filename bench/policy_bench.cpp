// tamarack-policy-bench: the policy against three baselines at the sizes of both deployments, in virtual
// time.
#include "policy/world.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>

DEFINE_uint64(seed, 1, "seed of the arrivals");
DEFINE_double(attainment_weight, -1.0, "overrides the weight of both deployments");
DEFINE_string(only, "", "run one scenario");

namespace {

using namespace tamarack;
using namespace tamarack::policy_bench;

std::int64_t percentile(std::vector<std::int64_t> values, double fraction) {
    if (values.empty()) {
        return -1;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, std::size_t(fraction * double(values.size())))];
}

void print_row(const char* name, const measures& measured, std::size_t accelerators) {
    const auto& fast = measured.of(traffic_class::interactive);
    const auto& slow = measured.of(traffic_class::deferrable);
    const auto refused = fast.refused_at_once_ + slow.refused_at_once_;
    const auto refused_late = fast.refused_late_ + slow.refused_late_;
    const auto total = double(std::max<std::int64_t>(1, measured.requests()));
    std::printf("  %-12s %8.1f %6.3f %6lld %7.3f %6.3f | %6lld %6lld %6lld | %6lld %6lld %7.3f\n", name,
                double(measured.in_time()) / double(accelerators), double(measured.in_time()) / total,
                static_cast<long long>(measured.moves_), double(refused) / total,
                double(refused_late) / total, static_cast<long long>(percentile(fast.latencies_ms_, 0.50)),
                static_cast<long long>(percentile(fast.latencies_ms_, 0.95)),
                static_cast<long long>(percentile(fast.latencies_ms_, 0.99)),
                static_cast<long long>(percentile(slow.latencies_ms_, 0.50)),
                static_cast<long long>(percentile(slow.latencies_ms_, 0.95)),
                double(slow.in_time_) / double(std::max<std::int64_t>(1, slow.requests_)));
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("compares the policy with its baselines");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<std::pair<const char*, policy_factory>> policies = {{"tamarack", make_tamarack},
                                                                          {"round_robin", make_round_robin},
                                                                          {"least_loaded", make_least_loaded},
                                                                          {"static", make_static}};
    for (const char* name : {"bureau", "chorro"}) {
        deployment deployed = name[0] == 'b' ? bureau() : chorro();
        if (FLAGS_attainment_weight >= 0.0) {
            deployed.pool_.attainment_weight_ = FLAGS_attainment_weight;
        }
        for (const scenario& what : all_scenarios()) {
            if (!FLAGS_only.empty() && FLAGS_only != what.name_) {
                continue;
            }
            std::printf("%s %s\n  %-12s %8s %6s %6s %7s %6s | %20s | %21s\n", name, what.name_.c_str(),
                        "policy", "per_acc", "attain", "moves", "refused", "late", "interactive p50/95/99",
                        "deferrable p50/95, ok");
            for (const auto& [policy_name, make] : policies) {
                print_row(policy_name, run(deployed, what, make, FLAGS_seed),
                          std::size_t(deployed.pool_.endpoints_));
            }
        }
    }
    return 0;
}
