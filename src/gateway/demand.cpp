#include "gateway/demand.hpp"

#include <algorithm>
#include <cmath>

namespace tamarack::gateway {

namespace {

constexpr double half_life_ms = 1'200;        // of the arrival rate; demand moves within seconds
constexpr double default_service_ms = 800;    // until a request of the model has ended
constexpr double longest_service_ms = 4'000;  // longer ones were slowed by queues
constexpr double learning_share = 0.1;        // weight of one more sample
constexpr double least_work = 0.01;           // below which a model counts as unused

double kept_share(time_ms since_ms) {
    return std::exp2(-double(std::max<time_ms>(0, since_ms)) / half_life_ms);
}

} // namespace

demand_meter::meter& demand_meter::find(std::string_view model) {
    const auto found = meters_.find(model);
    return found != meters_.end() ? found->second : meters_[std::string(model)];
}

void demand_meter::note_arrival(std::string_view model, time_ms now) {
    // One arrival weighs so that a steady rate shows as itself.
    const double weight = std::log(2.0) * 1'000 / half_life_ms;
    meter& one = find(model);
    one.rate_per_s_ = one.rate_per_s_ * kept_share(now - one.at_) + weight;
    one.at_ = now;
}

void demand_meter::note_service(std::string_view model, double took_ms) {
    meter& one = find(model);
    const double sample = std::min(took_ms, longest_service_ms);
    one.service_ms_ = one.service_ms_ == 0 ? sample : one.service_ms_ + learning_share * (sample - one.service_ms_);
}

void demand_meter::note_waiting(std::string_view model, int change) {
    find(model).waiting_ += change;
}

std::map<std::string, demand_meter::level> demand_meter::levels(time_ms now) const {
    std::map<std::string, level> all;
    for (const auto& [model, one] : meters_) {
        const double service_s = (one.service_ms_ > 0 ? one.service_ms_ : default_service_ms) / 1'000;
        const double work = one.rate_per_s_ * kept_share(now - one.at_) * service_s;
        if (work > least_work || one.waiting_ > 0) {
            all[model] = level{work, one.waiting_};
        }
    }
    return all;
}

} // namespace tamarack::gateway
