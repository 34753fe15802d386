// A randomized soak of the real programs: faults in series and overlapping, while clients keep sending.
#pragma once

#include "soak/referee.hpp"

namespace tamarack::soak {

struct soak_settings {
    std::uint64_t seed_ = 1;
    time_ms duration_ms_ = 10'000; // of the faults
    double requests_per_s_ = 60;
    int gateways_ = 3;
    int engines_ = 4;
    int limits_ = 1;    // endpoints that name a limit on their requests at a time
    int back_offs_ = 1; // endpoints that turn requests away and ask for time without any, at a time
    int plain_endpoints_ = 2;
    int uploads_ = 0;            // clients that send long bodies, of which endpoints reject the longest early
    int crashing_parts_ = 0;     // spans in which a part of prompts ends engines, one after the other
    int crashing_requests_ = 0;  // the same of single requests, to the plain service and to engines in turn
    bool organisations_ = false; // whether requests need keys, which the operator changes
    double quota_slack_ = 17'000; // tokens that an organisation may use beside its limit
    bool drills_ = true;          // whether the store returns from a copy now and then

    // Whether other writers put odd entries into the registry, of which some pages cannot be read at times.
    bool odd_entries_ = true;

    bool leaving_only_ = false; // endpoints leave by their responses alone, and nothing else happens
    bool faults_ = true;        // otherwise only the limits and drills
    std::string folder_;        // folder of the settings and logs
};

struct soak_outcome {
    std::vector<std::string> broken_promises_;
    std::vector<std::string> faults_; // with their times, in order
    int requests_ = 0;
    int served_ = 0;
    std::vector<std::string> unserved_; // a line for each request that was not served
    time_ms recovered_after_ms_ =
        -1; // from the last fault until requests are served again; negative if never
};

// Runs one soak to its end. Takes the duration, the recovery and some seconds for the end.
soak_outcome run_soak(const soak_settings& settings);

} // namespace tamarack::soak
