#include "gateway/demand.hpp"

#include <algorithm>
#include <cmath>

namespace tamarack::gateway {

namespace {

// Half-lives of the two averages of the arrival rate. They are short because demand changes within seconds.
constexpr double fast_half_life_ms = 700;
constexpr double slow_half_life_ms = 2'500;

// Weight of the difference between the two averages; it extrapolates the rate by about four seconds.
constexpr double trend_weight = 1.5;

constexpr double max_growth = 3;                // limit of the forecast, relative to the fast average
constexpr double default_service_ms = 800;      // assumed until a request for the model has ended
constexpr double max_service_sample_ms = 4'000; // longer service times are due to queueing
constexpr double sample_weight = 0.1;           // weight of a new sample in the mean service time
constexpr double min_work = 0.01;               // a model with less work counts as unused

double decay_factor(time_ms since_ms, double half_life_ms) {
    return std::exp2(-double(std::max<time_ms>(0, since_ms)) / half_life_ms);
}

// Amount that one arrival adds to an average, so that at a steady rate the average equals the rate.
double arrival_weight(double half_life_ms) {
    constexpr double ms_per_s = 1'000;
    return std::log(2.0) * ms_per_s / half_life_ms;
}

double forecast(double fast, double slow) {
    return std::clamp(fast + trend_weight * (fast - slow), 0.0, max_growth * fast);
}

} // namespace

demand_meter::meter& demand_meter::find_or_add(std::string_view model) {
    const auto found = meters_.find(model);
    return found != meters_.end() ? found->second : meters_[std::string(model)];
}

void demand_meter::note_arrival(std::string_view model, time_ms now) {
    meter& entry = find_or_add(model);
    entry.fast_per_s_ = entry.fast_per_s_ * decay_factor(now - entry.updated_at_, fast_half_life_ms) +
                        arrival_weight(fast_half_life_ms);
    entry.slow_per_s_ = entry.slow_per_s_ * decay_factor(now - entry.updated_at_, slow_half_life_ms) +
                        arrival_weight(slow_half_life_ms);
    entry.updated_at_ = now;
}

void demand_meter::note_service(std::string_view model, double took_ms) {
    meter& entry = find_or_add(model);
    const double sample = std::min(took_ms, max_service_sample_ms);
    entry.service_ms_ =
        entry.service_ms_ == 0 ? sample : entry.service_ms_ + sample_weight * (sample - entry.service_ms_);
}

void demand_meter::add_waiting(std::string_view model, int change) {
    find_or_add(model).waiting_ += change;
}

std::map<std::string, demand_meter::level> demand_meter::levels(time_ms now) const {
    std::map<std::string, level> all;
    for (const auto& [model, entry] : meters_) {
        const double service_s = (entry.service_ms_ > 0 ? entry.service_ms_ : default_service_ms) / 1'000;
        const double fast = entry.fast_per_s_ * decay_factor(now - entry.updated_at_, fast_half_life_ms);
        const double slow = entry.slow_per_s_ * decay_factor(now - entry.updated_at_, slow_half_life_ms);
        // A falling trend is not extrapolated: the current requests still need their engines.
        const double work = std::max(forecast(fast, slow), std::min(fast, slow)) * service_s;
        if (work > min_work || entry.waiting_ > 0) {
            all[model] = level{work, entry.waiting_};
        }
    }
    return all;
}

} // namespace tamarack::gateway
