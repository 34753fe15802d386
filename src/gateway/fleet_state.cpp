#include "gateway/fleet_state.hpp"

#include <algorithm>

namespace tamarack::gateway {

namespace {

constexpr int gateways_until_known = 8;  // assumed until the others have been heard of
constexpr double learning_share = 0.08;  // weight of one more sample of an endpoint
constexpr double service_share = 0.02;   // the same for its service
constexpr double most_slowness = 20;
constexpr time_ms planning_ms = 600;     // until a missing model is ordered

} // namespace

fleet_state::fleet_state(boost::asio::any_io_executor executor, header_names names,
                         dispatch::retry_limits retries)
    : executor_(std::move(executor)), names_(std::move(names)), retry_limits_(retries),
      random_(new_incarnation()), gateways_(gateways_until_known) {}

bool fleet_state::take_configuration(std::shared_ptr<const configured> given) {
    if (current_ && given->configuration_->version_ <= current_->configuration_->version_) {
        return false;
    }
    current_ = std::move(given);
    return true;
}

void fleet_state::take_endpoints(const std::map<std::string, fleet::endpoint_record, std::less<>>& records) {
    std::erase_if(endpoints_, [&](const auto& entry) { return !records.contains(entry.first); });
    by_service_.clear();
    for (const auto& [id, record] : records) {
        auto& known = endpoints_[id];
        if (known == nullptr) {
            known = std::make_shared<endpoint>(record, executor_);
        } else {
            known->update(record);
        }
        by_service_[record.service_].push_back(known);
    }
}

const std::vector<std::shared_ptr<endpoint>>& fleet_state::endpoints_of(std::string_view service) const {
    static const std::vector<std::shared_ptr<endpoint>> none;
    const auto found = by_service_.find(service);
    return found == by_service_.end() ? none : found->second;
}

dispatch::retry_window& fleet_state::retries(const std::string& service) {
    return retries_.try_emplace(service, retry_limits_).first->second;
}

void fleet_state::note_first_event(endpoint& at, time_ms took_ms, time_ms) {
    double& mean = mean_first_event_ms_[at.record().service_];
    const double sample = double(std::max<time_ms>(1, took_ms));
    mean = mean == 0 ? sample : mean + service_share * (sample - mean);
    const double ratio = std::clamp(sample / mean, 0.1, most_slowness);
    at.slowness_ = std::max(0.5, at.slowness_ + learning_share * (ratio - at.slowness_));
}

time_ms fleet_state::model_wait_ms(std::string_view service, std::string_view model) const {
    const fleet::service_spec* spec =
        current_ == nullptr ? nullptr : current_->configuration_->find_service(service);
    const fleet::model_spec* known = spec == nullptr || !spec->engine_ ? nullptr : spec->engine_->find_model(model);
    if (known == nullptr) {
        return 0;
    }
    time_ms wait = planning_ms + known->store_load_ms_;
    for (const auto& one : endpoints_of(service)) {
        if (one->engine_.loading_ == model) {
            wait = std::min(wait, known->store_load_ms_);
        }
        if (one->engine_.nearby_.contains(model)) {
            wait = std::min(wait, planning_ms + known->disk_load_ms_);
        }
    }
    return wait;
}

} // namespace tamarack::gateway
