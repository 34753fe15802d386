#include "gateway/demand.hpp"

#include <algorithm>
#include <cmath>

namespace tamarack::gateway {

namespace {

constexpr double fast_half_life_ms = 700; // demand moves within seconds
constexpr double slow_half_life_ms = 2'500;
constexpr double trend_share = 1.5;        // of the difference of both, which looks about four seconds ahead
constexpr double most_growth = 3;          // of the present rate
constexpr double default_service_ms = 800; // until a request of the model has ended
constexpr double longest_service_ms = 4'000; // longer ones were slowed by queues
constexpr double learning_share = 0.1;       // weight of one more sample
constexpr double least_work = 0.01;          // below which a model counts as unused

double kept_share(time_ms since_ms, double half_life_ms) {
    return std::exp2(-double(std::max<time_ms>(0, since_ms)) / half_life_ms);
}

// What one arrival adds, so that a steady rate shows as itself.
double arrival_weight(double half_life_ms) {
    constexpr double ms_per_s = 1'000;
    return std::log(2.0) * ms_per_s / half_life_ms;
}

double forecast(double fast, double slow) {
    return std::clamp(fast + trend_share * (fast - slow), 0.0, most_growth * fast);
}

} // namespace

demand_meter::meter& demand_meter::find(std::string_view model) {
    const auto found = meters_.find(model);
    return found != meters_.end() ? found->second : meters_[std::string(model)];
}

void demand_meter::note_arrival(std::string_view model, time_ms now) {
    meter& one = find(model);
    one.fast_per_s_ =
        one.fast_per_s_ * kept_share(now - one.at_, fast_half_life_ms) + arrival_weight(fast_half_life_ms);
    one.slow_per_s_ =
        one.slow_per_s_ * kept_share(now - one.at_, slow_half_life_ms) + arrival_weight(slow_half_life_ms);
    one.at_ = now;
}

void demand_meter::note_service(std::string_view model, double took_ms) {
    meter& one = find(model);
    const double sample = std::min(took_ms, longest_service_ms);
    one.service_ms_ =
        one.service_ms_ == 0 ? sample : one.service_ms_ + learning_share * (sample - one.service_ms_);
}

void demand_meter::add_waiting(std::string_view model, int change) {
    find(model).waiting_ += change;
}

std::map<std::string, demand_meter::level> demand_meter::levels(time_ms now) const {
    std::map<std::string, level> all;
    for (const auto& [model, one] : meters_) {
        const double service_s = (one.service_ms_ > 0 ? one.service_ms_ : default_service_ms) / 1'000;
        const double fast = one.fast_per_s_ * kept_share(now - one.at_, fast_half_life_ms);
        const double slow = one.slow_per_s_ * kept_share(now - one.at_, slow_half_life_ms);
        // Falling demand still needs its engines until it has fallen.
        const double work = std::max(forecast(fast, slow), std::min(fast, slow)) * service_s;
        if (work > least_work || one.waiting_ > 0) {
            all[model] = level{work, one.waiting_};
        }
    }
    return all;
}

} // namespace tamarack::gateway
