#include "gateway/fleet_state.hpp"

#include <algorithm>

namespace tamarack::gateway {

namespace {

// Above the age at which a gateway reads for itself, and below the two seconds within which requests to a
// leaving endpoint must stop.
constexpr time_ms max_view_age_ms = 1'700;

constexpr time_ms newer_view_wait_ms = 150; // longer than a gateway takes to notice and to read

constexpr int initial_gateway_count = 8;        // assumed until the first count of the peers
constexpr double endpoint_sample_weight = 0.08; // weight of a new sample in an endpoint's slowness
constexpr double prompt_sample_weight = 0.02;   // weight of a new sample in a service's mean prompt
constexpr double max_slowness = 20;
constexpr double slot_sample_weight = 0.03; // weight of a new sample in the mean time in a batch

// A deadline below this share of the route's longest one is taken as that of a retry, which has spent part of
// its time.
constexpr double usual_deadline_share = 0.97;

// Part of the difference to a shorter deadline by which the longest one seen is forgotten with each request,
// so that one client with an unusual deadline does not decide for long what is usual.
constexpr double deadline_decay = 0.002;

constexpr double arrival_decay = 0.995;    // factor for each arrival; counts halve every 140 requests
constexpr double arrival_weight = 2;       // number of waiting requests that the mix of arrivals counts as
constexpr time_ms planning_delay_ms = 600; // time until the planner orders a missing model
constexpr time_ms min_remaining_load_ms = 100; // least estimate for a load that takes longer than expected

} // namespace

fleet_state::fleet_state(std::string own_id, boost::asio::any_io_executor executor, header_names names,
                         dispatch::retry_limits retries, quota_tolerance tolerated,
                         identity::revocation_rule revocation)
    : executor_(std::move(executor)), names_(std::move(names)), notices_(own_id, boot_now_ms()),
      quotas_(std::move(own_id), boot_now_ms()), retry_limits_(retries), tolerated_(tolerated),
      revocation_(revocation), started_at_(steady_now_ms()), random_(new_incarnation()),
      gateway_count_(initial_gateway_count), budget_sharers_(initial_gateway_count, false) {}

bool fleet_state::apply_configuration(std::shared_ptr<const indexed_configuration> configuration) {
    if (current_ && configuration->configuration_->version_ <= current_->configuration_->version_) {
        return false;
    }
    current_ = std::move(configuration);
    set_quotas(*current_->configuration_);
    return true;
}

void fleet_state::set_quotas(const fleet::configuration& configuration) {
    std::map<std::string, quotas::quota, std::less<>> quotas;
    if (configuration.organisations_) {
        for (const fleet::organisation& one : *configuration.organisations_) {
            const fleet::usage_limit& limit = one.limit_;
            if (limit.per_s_ > 0) {
                const double allowed = limit.per_s_ * tolerated_.window_s_ + limit.burst_;
                const double slack = limit.counts_tokens_ ? tolerated_.slack_ : 0;
                quotas[one.name_] = {limit.per_s_, limit.burst_, tolerated_.over_ * allowed + slack};
            }
        }
    }
    quotas_.set_quotas(std::move(quotas), boot_now_ms());
}

void fleet_state::apply_endpoints(const std::map<std::string, fleet::endpoint_record, std::less<>>& records) {
    std::erase_if(endpoints_, [&](const auto& entry) {
        const bool removed = !records.contains(entry.first);
        if (removed) {
            entry.second->set_gone(); // requests may be on their way to it
            quarantine_.note_ended(entry.first, entry.second->record().incarnation_, boot_now_ms());
        }
        return removed;
    });
    endpoints_by_service_.clear();
    for (const auto& [id, record] : records) {
        auto& known = endpoints_[id];
        if (known == nullptr) {
            known = std::make_shared<endpoint>(record, executor_);
        } else {
            if (record.incarnation_ != known->record().incarnation_) {
                quarantine_.note_ended(id, known->record().incarnation_, boot_now_ms());
            }
            known->update(record);
        }
        endpoints_by_service_[record.service_].push_back(known);
    }
    std::vector<notices::endpoint_key> listed;
    for (const auto& [id, record] : records) {
        listed.push_back({id, record.incarnation_, record.replaced_incarnation_});
    }
    notices_.set_listed(listed, boot_now_ms());
    for (const auto& [id, record] : records) {
        if (record.leaving_) {
            notices_.note_leaving({id, record.incarnation_}, notices::leaving_source::registry,
                                  boot_now_ms());
        }
    }
}

bool fleet_state::accepts_requests(const endpoint& at) const {
    return at.accepts_requests() && !notices_.is_leaving(key_of(at));
}

void fleet_state::set_registry_freshness(const fleet::freshness& current) {
    registry_freshness_ = current;
    if (found_old_at_ && current.as_of_ > *found_old_at_) {
        found_old_at_ = std::nullopt;
    }
}

bool fleet_state::is_view_old(time_ms now) const {
    const time_ms age = view_age_ms(now);
    return age < 0 || age > max_view_age_ms;
}

bool fleet_state::newer_view_is_due(time_ms now) {
    if (view_age_ms(now) <= max_view_age_ms) {
        return false;
    }
    if (!found_old_at_) {
        found_old_at_ = now;
    }
    return now - *found_old_at_ < newer_view_wait_ms;
}

const std::vector<std::shared_ptr<endpoint>>& fleet_state::endpoints_of(std::string_view service) const {
    static const std::vector<std::shared_ptr<endpoint>> none;
    const auto found = endpoints_by_service_.find(service);
    return found == endpoints_by_service_.end() ? none : found->second;
}

dispatch::retry_window& fleet_state::retries(const std::string& service) {
    return retries_.try_emplace(service, retry_limits_, started_at_).first->second;
}

void fleet_state::note_first_event(endpoint& at, time_ms took_ms, double expected_ms) {
    if (expected_ms <= 0) {
        return;
    }
    const double sample = double(std::max<time_ms>(1, took_ms));
    dispatch::learn_prompt_time(timings_[at.record().service_], sample, expected_ms);
    const double ratio = std::clamp(sample / expected_ms, 0.1, max_slowness);
    at.slowness_ = std::max(0.5, at.slowness_ + endpoint_sample_weight * (ratio - at.slowness_));
}

void fleet_state::note_prompt(const std::string& service, double tokens) {
    double& mean = mean_prompt_tokens_[service];
    mean = mean == 0 ? tokens : mean + prompt_sample_weight * (tokens - mean);
}

double fleet_state::prompt_tokens_ahead(const endpoint& at, int urgency) const {
    const auto mean = mean_prompt_tokens_.find(at.record().service_);
    const double unread = at.engine_.unread_ * queue_share_ahead(at.record().service_, urgency);
    const double reported = mean == mean_prompt_tokens_.end() ? 0 : unread * mean->second;
    return std::max(at.pending_prompt_tokens_, reported + at.prompt_tokens_since_report_);
}

void fleet_state::note_slot_time(const std::string& service, time_ms held_ms) {
    double& slot_ms = timings_[service].slot_ms_;
    slot_ms += slot_sample_weight * (double(held_ms) - slot_ms);
}

bool fleet_state::note_deadline(const std::string& route, time_ms deadline_ms) {
    double& longest = longest_deadline_ms_[route];
    const auto deadline = double(deadline_ms);
    longest = std::max(deadline, longest - deadline_decay * (longest - deadline));
    return deadline < usual_deadline_share * longest;
}

void fleet_state::note_arrival(const std::string& service, int urgency) {
    auto& counts = arrivals_[service];
    for (auto& [other, count] : counts) {
        count *= arrival_decay;
    }
    counts[urgency] += 1;
}

void fleet_state::add_waiting(const std::string& service, int urgency, int change) {
    waiting_[service][urgency] += change;
}

// Requests of the same urgency are served in order, so they count as ahead. The waiting requests of other
// gateways are assumed to have the same mix of urgencies as this gateway's own, or as its arrivals while few
// of its own wait.
double fleet_state::queue_share_ahead(const std::string& service, int urgency) const {
    const auto add_counts = [urgency](const auto& counts, double& ahead, double& all) {
        for (const auto& [other, count] : counts) {
            all += double(count);
            ahead += other <= urgency ? double(count) : 0;
        }
    };
    double arrived_ahead = 0;
    double arrived = 0;
    if (const auto found = arrivals_.find(service); found != arrivals_.end()) {
        add_counts(found->second, arrived_ahead, arrived);
    }
    double ahead = arrived > 0 ? arrival_weight * arrived_ahead / arrived : arrival_weight;
    double all = arrival_weight;
    if (const auto found = waiting_.find(service); found != waiting_.end()) {
        add_counts(found->second, ahead, all);
    }
    return ahead / all;
}

double fleet_state::demand_per_slot(std::string_view model, int copies, int slots) const {
    const auto found = needs_.find(model);
    return found == needs_.end() ? 0 : found->second.work_ / std::max(1, copies * slots);
}

const fleet::model_spec* fleet_state::find_model(std::string_view service, std::string_view model) const {
    const fleet::service_spec* spec =
        current_ == nullptr ? nullptr : current_->configuration_->find_service(service);
    return spec == nullptr || !spec->engine_ ? nullptr : spec->engine_->find_model(model);
}

std::optional<time_ms> fleet_state::next_copy_wait_ms(std::string_view service, std::string_view model,
                                                      time_ms now) const {
    std::optional<time_ms> soonest;
    for (const auto& one : endpoints_of(service)) {
        const engine_view& engine = one->engine_;
        if (!engine.known_ || !engine.reachable_ || engine.loading_ != model) {
            continue;
        }
        if (const auto left = load_left_ms(service, engine, now)) {
            soonest = std::min(soonest.value_or(*left), *left);
        }
    }
    return soonest;
}

std::optional<time_ms> fleet_state::load_left_ms(std::string_view service, const engine_view& engine,
                                                 time_ms now) const {
    const fleet::model_spec* known = find_model(service, engine.loading_);
    if (known == nullptr) {
        return std::nullopt;
    }
    const time_ms takes =
        engine.cached_models_.contains(engine.loading_) ? known->disk_load_ms_ : known->store_load_ms_;
    return std::max(min_remaining_load_ms, takes - (now - engine.loading_since_));
}

time_ms fleet_state::model_wait_ms(std::string_view service, std::string_view model, time_ms now) const {
    const fleet::model_spec* known = find_model(service, model);
    if (known == nullptr) {
        return 0;
    }
    time_ms wait = planning_delay_ms + known->store_load_ms_;
    wait = std::min(wait, next_copy_wait_ms(service, model, now).value_or(wait));
    for (const auto& one : endpoints_of(service)) {
        // An engine that has not reported yet, as after a restart of the whole fleet, most likely has the
        // weights on its disk.
        if (one->engine_.cached_models_.contains(model) || !one->engine_.known_) {
            wait = std::min(wait, planning_delay_ms + known->disk_load_ms_);
        }
    }
    return wait;
}

} // namespace tamarack::gateway
