#include "tamarack/observe.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <mutex>
#include <sstream>

namespace tamarack {

namespace {

const prometheus::Histogram::BucketBoundaries duration_buckets_ms = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1'000, 2'000, 5'000, 10'000, 30'000, 60'000, 300'000};

} // namespace

struct metrics::families {
    prometheus::Registry registry_;
    std::mutex mutex_;
    std::map<std::string, prometheus::Family<prometheus::Counter>*> counters_;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges_;
    std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms_;
};

namespace {

template <typename Map, typename Make>
auto& family(Map& families, const std::string& name, Make make) {
    auto found = families.find(name);
    if (found == families.end()) {
        found = families.emplace(name, &make()).first;
    }
    return *found->second;
}

} // namespace

metrics::metrics() : families_(std::make_unique<families>()) {}
metrics::~metrics() = default;

void metrics::count(const std::string& name, const std::string& help, const labels& label_values,
                    double amount) {
    const std::lock_guard lock(families_->mutex_);
    auto make = [&]() -> auto& {
        return prometheus::BuildCounter().Name(name).Help(help).Register(families_->registry_);
    };
    family(families_->counters_, name, make).Add(label_values).Increment(amount);
}

void metrics::set(const std::string& name, const std::string& help, const labels& label_values,
                  double level) {
    const std::lock_guard lock(families_->mutex_);
    auto make = [&]() -> auto& {
        return prometheus::BuildGauge().Name(name).Help(help).Register(families_->registry_);
    };
    family(families_->gauges_, name, make).Add(label_values).Set(level);
}

void metrics::observe_ms(const std::string& name, const std::string& help, const labels& label_values,
                         double duration_ms) {
    const std::lock_guard lock(families_->mutex_);
    auto make = [&]() -> auto& {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(families_->registry_);
    };
    family(families_->histograms_, name, make).Add(label_values, duration_buckets_ms).Observe(duration_ms);
}

std::string metrics::text() const {
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, families_->registry_.Collect());
    return out.str();
}

} // namespace tamarack
