// The traffic thread's state of the fleet: current configuration, endpoints, demand and retry budgets.
#pragma once

#include "gateway/demand.hpp"
#include "gateway/endpoint.hpp"
#include "tamarack/gateway.hpp"
#include "tamarack/identity.hpp"
#include "tamarack/notices.hpp"
#include "tamarack/provisioning.hpp"
#include "tamarack/quarantine.hpp"
#include "tamarack/quotas.hpp"

#include <random>

namespace tamarack::gateway {

// A configuration with its indexes. Requests share ownership of the one that routed them.
struct indexed_configuration {
    explicit indexed_configuration(std::shared_ptr<const fleet::configuration> configuration)
        : configuration_(std::move(configuration)), index_(*configuration_), keys_(*configuration_) {}

    std::shared_ptr<const fleet::configuration> configuration_;
    fleet::route_index index_;
    identity::key_index keys_;
};

// The endpoint and its present incarnation.
inline notices::endpoint_key key_of(const endpoint& at) {
    return {at.record().id_, at.record().incarnation_};
}

// How far the use of an organisation may exceed its limit in a sliding window.
struct quota_tolerance {
    double window_s_ = 0;
    double over_ = 0;  // excess use as a share of what the limit allows in the window
    double slack_ = 0; // tokens
};

class fleet_state {
public:
    fleet_state(std::string own_id, boost::asio::any_io_executor executor, header_names names,
                dispatch::retry_limits retries, quota_tolerance tolerated = {},
                identity::revocation_rule revocation = {});

    // Replaces the current configuration if `configuration` is newer. Returns whether it was replaced.
    bool apply_configuration(std::shared_ptr<const indexed_configuration> configuration);
    const std::shared_ptr<const indexed_configuration>& current() const { return current_; }

    // Adds, updates and removes endpoints so that they match `records`.
    void apply_endpoints(const std::map<std::string, fleet::endpoint_record, std::less<>>& records);
    const std::map<std::string, std::shared_ptr<endpoint>, std::less<>>& endpoints() const {
        return endpoints_;
    }
    const std::vector<std::shared_ptr<endpoint>>& endpoints_of(std::string_view service) const;

    // Whether new requests may be sent to the endpoint, by the registry, its agent and its own responses.
    bool accepts_requests(const endpoint& at) const;

    void set_registry_freshness(const fleet::freshness& current);

    // Age of the data that a choice of an endpoint rests on; -1 if there has been none.
    time_ms view_age_ms(time_ms now) const { return fleet::age_ms(registry_freshness_, now); }

    void set_configuration_freshness(const fleet::freshness& current) { configuration_freshness_ = current; }

    // Time since the configuration in force was known to be the operator's newest; -1 if it never was.
    time_ms configuration_age_ms(time_ms now) const { return fleet::age_ms(configuration_freshness_, now); }

    // Whether the keys of the configuration in force count.
    bool are_keys_confirmed(time_ms now) const {
        return identity::are_keys_confirmed(revocation_, configuration_age_ms(now));
    }

    // Whether the platform's store has not been read for longer than a process in touch with it lets pass.
    bool is_view_old(time_ms now) const;

    // Whether a request should wait a moment for a newer view of the endpoints before one is chosen. The view
    // is then older than a process that runs lets it become, so a newer one is a read away unless the store
    // serves nobody.
    bool newer_view_is_due(time_ms now);

    // The retry budget of a service, shared by all its requests.
    dispatch::retry_window& retries(const std::string& service);

    // Timings of a service's engines, in ms.
    dispatch::engine_timing& pace(const std::string& service) { return timings_[service]; }

    // Records the time from sending a request until its first event, where `expected_ms` had been expected at
    // an endpoint of usual speed.
    void note_first_event(endpoint& at, time_ms took_ms, double expected_ms);

    // Records the size of a request's prompt.
    void note_prompt(const std::string& service, double tokens);

    // Estimate of the prompt tokens that an engine reads before those of a new request, from all gateways.
    double prompt_tokens_ahead(const endpoint& at, int urgency) const;

    // Records how long a request held its slot in a batch.
    void note_slot_time(const std::string& service, time_ms held_ms);

    // Records a request's deadline. Returns whether it is shorter than usual for the route, as it is when a
    // client returns after a refusal.
    bool note_deadline(const std::string& route, time_ms deadline_ms);

    // Counts a request of this urgency for the service.
    void note_arrival(const std::string& service, int urgency);

    // Adds `change` to the number of this gateway's attempts that wait for a first event from the service.
    void add_waiting(const std::string& service, int urgency, int change);

    // Estimated share of the requests queued at a service's engines that are served before a new one of this
    // urgency.
    double queue_share_ahead(const std::string& service, int urgency) const;

    // Sets the demand over all gateways, by model.
    void set_needs(std::map<std::string, provisioning::model_need, std::less<>> needs) {
        needs_ = std::move(needs);
    }

    // Demand for a model relative to the slots of the `copies` engines that hold it. At 1, the demand fills
    // all slots.
    double demand_per_slot(std::string_view model, int copies, int slots) const;

    // Whether the configuration lists the model for the service. Demand is counted for such models only,
    // since clients may name any.
    bool lists_model(std::string_view service, std::string_view model) const {
        return find_model(service, model) != nullptr;
    }

    // Expected time until an engine holds the model, in ms; 0 if the configuration does not list the model.
    time_ms model_wait_ms(std::string_view service, std::string_view model, time_ms now) const;

    // Expected time until the first of the current loads of a model ends, in ms; none if it is not being
    // loaded.
    std::optional<time_ms> next_copy_wait_ms(std::string_view service, std::string_view model,
                                             time_ms now) const;

    // Expected time until the engine's current load of a model ends, in ms; none if it loads none.
    std::optional<time_ms> load_left_ms(std::string_view service, const engine_view& engine,
                                        time_ms now) const;

    int gateway_count() const { return gateway_count_; }
    void set_gateway_count(int count) { gateway_count_ = count; }

    // Gateways that share the retry budgets.
    const dispatch::budget_sharers& budget_sharers() const { return budget_sharers_; }
    void set_budget_sharers(const dispatch::budget_sharers& sharers) { budget_sharers_ = sharers; }

    std::uint64_t random() { return random_(); }

    const boost::asio::any_io_executor executor_;
    const header_names names_;
    demand_meter demand_;
    notices::endpoint_notices notices_;
    quarantine::suspect_quarantine quarantine_;
    quotas::shared_quotas quotas_;

private:
    const fleet::model_spec* find_model(std::string_view service, std::string_view model) const;

    void set_quotas(const fleet::configuration& configuration);

    dispatch::retry_limits retry_limits_;
    quota_tolerance tolerated_;
    identity::revocation_rule revocation_;
    time_ms started_at_;
    std::shared_ptr<const indexed_configuration> current_;
    std::map<std::string, std::shared_ptr<endpoint>, std::less<>> endpoints_;
    std::map<std::string, std::vector<std::shared_ptr<endpoint>>, std::less<>> endpoints_by_service_;
    fleet::freshness registry_freshness_;
    fleet::freshness configuration_freshness_;
    std::optional<time_ms> found_old_at_; // when a request first found the view too old
    std::map<std::string, dispatch::retry_window> retries_;
    std::map<std::string, dispatch::engine_timing> timings_;
    std::map<std::string, double> mean_prompt_tokens_;  // keyed by service
    std::map<std::string, double> longest_deadline_ms_; // keyed by route name

    // Decaying counts of arrivals, and attempts without a first event; both keyed by service and urgency.
    std::map<std::string, std::map<int, double>> arrivals_;
    std::map<std::string, std::map<int, int>> waiting_;

    std::map<std::string, provisioning::model_need, std::less<>> needs_;
    std::mt19937_64 random_;
    int gateway_count_;
    dispatch::budget_sharers budget_sharers_;
};

} // namespace tamarack::gateway
