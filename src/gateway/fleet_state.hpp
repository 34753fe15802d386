// What the traffic thread knows of the fleet: the configuration in force, the endpoints, demand and retries.
#pragma once

#include "gateway/demand.hpp"
#include "gateway/endpoint.hpp"
#include "tamarack/gateway.hpp"
#include "tamarack/provisioning.hpp"

#include <random>

namespace tamarack::gateway {

// A configuration with its index; shared by the requests that it routes.
struct indexed_configuration {
    explicit indexed_configuration(std::shared_ptr<const fleet::configuration> given)
        : configuration_(std::move(given)), index_(*configuration_) {}

    std::shared_ptr<const fleet::configuration> configuration_;
    fleet::route_index index_;
};

class fleet_state {
public:
    fleet_state(boost::asio::any_io_executor executor, header_names names, dispatch::retry_limits retries);

    // Takes a newer configuration; an older one is ignored. Returns whether it was taken.
    bool apply_configuration(std::shared_ptr<const indexed_configuration> given);
    const std::shared_ptr<const indexed_configuration>& current() const { return current_; }

    void apply_endpoints(const std::map<std::string, fleet::endpoint_record, std::less<>>& records);
    const std::map<std::string, std::shared_ptr<endpoint>, std::less<>>& endpoints() const {
        return endpoints_;
    }
    const std::vector<std::shared_ptr<endpoint>>& endpoints_of(std::string_view service) const;

    // Retries of a service; shared by all requests for it.
    dispatch::retry_window& retries(const std::string& service);

    // Speeds of a service's engines.
    dispatch::engine_timing& pace(const std::string& service) { return paces_[service]; }

    // Mean time to the first event of a service, for judging its endpoints.
    void note_first_event(endpoint& at, time_ms took_ms);

    // A request held its place in a batch for so long.
    void note_slot_time(const std::string& service, time_ms held_ms);

    // Notes a request's deadline. Returns whether it is shorter than usual for the route, as after a refusal.
    bool note_deadline(const std::string& route, time_ms deadline_ms);

    // Counts arrivals by urgency, and sendings of this gateway that wait at the service's engines.
    void note_arrival(const std::string& service, int urgency);
    void add_waiting(const std::string& service, int urgency, int change);

    // Which share of the requests that wait at a service's engines goes before one of this urgency.
    double queue_share_ahead(const std::string& service, int urgency) const;

    // Demand over all gateways, as last told.
    void set_needs(std::map<std::string, provisioning::model_need, std::less<>> needs) {
        needs_ = std::move(needs);
    }

    // Part of the places on `copies` engines that the demand for a model fills.
    double demand_per_slot(std::string_view model, int copies, int slots) const;

    // Time until an engine is expected to hold the model, in ms.
    time_ms model_wait_ms(std::string_view service, std::string_view model, time_ms now) const;

    // Time until the first of the loads of a model that are under way has ended; nothing if there are none.
    std::optional<time_ms> next_copy_wait_ms(std::string_view service, std::string_view model,
                                             time_ms now) const;

    int gateway_count() const { return gateway_count_; }
    void set_gateway_count(int count) { gateway_count_ = count; }

    std::uint64_t random() { return random_(); }

    const boost::asio::any_io_executor executor_;
    const header_names names_;
    demand_meter demand_;

private:
    const fleet::model_spec* find_model(std::string_view service, std::string_view model) const;

    dispatch::retry_limits retry_limits_;
    std::shared_ptr<const indexed_configuration> current_;
    std::map<std::string, std::shared_ptr<endpoint>, std::less<>> endpoints_;
    std::map<std::string, std::vector<std::shared_ptr<endpoint>>, std::less<>> by_service_;
    std::map<std::string, dispatch::retry_window> retries_;
    std::map<std::string, dispatch::engine_timing> paces_;
    std::map<std::string, double> mean_first_event_ms_;
    std::map<std::string, time_ms> longest_deadline_ms_;    // by route
    std::map<std::string, std::map<int, double>> arrivals_; // by service and urgency; fading counts
    std::map<std::string, std::map<int, int>> waiting_;     // the same; sendings without a first event
    std::map<std::string, provisioning::model_need, std::less<>> needs_;
    std::mt19937_64 random_;
    int gateway_count_;
};

} // namespace tamarack::gateway
