// Measures the demand for each model: arrivals and their trend, the time that one request takes, and requests
// without an engine.
#pragma once

#include "tamarack/kernel.hpp"

namespace tamarack::gateway {

class demand_meter {
public:
    void note_arrival(std::string_view model, time_ms now);

    // A request held its engine for `took_ms`.
    void note_service(std::string_view model, double took_ms);

    // Requests that wait since no engine holds their model.
    void add_waiting(std::string_view model, int change);

    struct level {
        double work_ = 0; // requests in service at once, as expected when a load that begins now has ended
        int waiting_ = 0;
    };

    // Levels of the models with any demand.
    std::map<std::string, level> levels(time_ms now) const;

private:
    struct meter {
        double fast_per_s_ = 0; // arrival rates that fade by half each half-life
        double slow_per_s_ = 0;
        time_ms at_ = 0;
        double service_ms_ = 0; // mean; 0 if not known
        int waiting_ = 0;
    };

    meter& find(std::string_view model);

    std::map<std::string, meter, std::less<>> meters_;
};

} // namespace tamarack::gateway
