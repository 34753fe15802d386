// The tables of both deployments of the brief, at full or reduced size.
#pragma once

#include <nlohmann/json.hpp>

namespace tamarack::demo {

using json = nlohmann::json;

struct deployment {
    json routes_;
    json pools_;
};

struct deployment_size {
    int engines_;
    int services_;
    int models_;
    int adapters_;
};

// The Bureau: advisor models on engines, booking and records on plain services.
deployment bureau(deployment_size size = {12, 4, 20, 75});

// Chorro Austral: assistant models on engines, bookings on plain services.
deployment chorro(deployment_size size = {9, 4, 17, 55});

} // namespace tamarack::demo
