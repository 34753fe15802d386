// Measures the demand for each model: arrival rate and trend, service time, and requests that wait because no
// engine holds the model.
#pragma once

#include "tamarack/kernel.hpp"

namespace tamarack::gateway {

class demand_meter {
public:
    void note_arrival(std::string_view model, time_ms now);

    // Records that an engine took `took_ms` to serve a request.
    void note_service(std::string_view model, double took_ms);

    // Adds `change` to the number of requests that wait because no engine holds their model.
    void add_waiting(std::string_view model, int change);

    struct level {
        // Expected concurrent requests: the arrival rate, forecast to about the time when a load started now
        // would end, times the mean service time.
        double work_ = 0;
        int waiting_ = 0; // requests that wait for an engine to hold the model
    };

    // Demand at `now` for each model that has any.
    std::map<std::string, level> levels(time_ms now) const;

private:
    struct meter {
        double fast_per_s_ = 0; // arrival rate, averaged with the short half-life
        double slow_per_s_ = 0; // arrival rate, averaged with the long half-life
        time_ms updated_at_ = 0;
        double service_ms_ = 0; // mean service time; 0 if not known
        int waiting_ = 0;
    };

    meter& find_or_add(std::string_view model);

    std::map<std::string, meter, std::less<>> meters_;
};

} // namespace tamarack::gateway
