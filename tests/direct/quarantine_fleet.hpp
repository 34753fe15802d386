// Gateways and engines in virtual time, of which some requests end the engines. Gateways only announce to
// each other and write to a store.
#pragma once

#include "tamarack/quarantine.hpp"

namespace tamarack::quarantine {

struct fleet_plan {
    std::uint64_t seed_ = 1;
    int gateways_ = 6;
    int engines_ = 9;
    double requests_per_s_ = 100;
    int subjects_ = 180;          // parts that some sound requests share, beside one that all share
    double crashing_share_ = 0.2; // share of the requests that have a crashing part, from 6 s
    int crashing_parts_ = 1;
    bool engines_crash_ = false;     // engines also end for other reasons, at times all at once
    bool gateways_fail_ = false;     // restarts, freezes, and cuts from the other gateways
    bool all_gateways_fail_ = false; // all gateways restart at once now and then
    bool late_ = false;              // announcements that are late or lost
    time_ms duration_ms_ = 40'000;

    // A plain service instead: requests without prompts, which are sent again when they are lost, at once by
    // their gateway and then by their client. The crashing parts are requests that come again and again.
    bool plain_ = false;
    double repeats_per_s_ = 1; // sends of each crashing request, from 6 s
    double popular_share_ = 0; // share of the sound requests that are all alike
    bool runs_once_ = false;   // only the client sends a lost request again
};

struct fleet_result {
    int ended_ = 0;             // engines that ended under a crashing part
    int sent_after_ = 0;        // requests with it that were sent too late, at most over the parts
    int sound_quarantined_ = 0; // sound parts that were ever quarantined
    time_ms sound_held_ms_ = 0; // longest time of one, over all gateways
    int sound_ = 0;
    int sound_refused_ = 0;
};

fleet_result run_fleet(const fleet_plan& plan);

} // namespace tamarack::quarantine
