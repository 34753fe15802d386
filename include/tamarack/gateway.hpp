// Names of the HTTP headers that a platform uses on the direct path.
#pragma once

#include "tamarack/kernel.hpp"

namespace tamarack::gateway {

// Headers between clients, gateway and endpoints. Registered under the name of the platform.
struct header_names {
    // Set by the client.
    std::string request_id_;   // id of one attempt of the client
    std::string deadline_;     // time left for the request, in ms
    std::string model_;        // "model" or "model/adapter"
    std::string token_counts_; // "prompt tokens,max output tokens"
    std::string prompt_parts_; // "id:tokens,..."; the last part belongs to this request alone
    std::string last_event_id_;
    std::string key_; // key of the client's organisation; never passed on

    // Set by the gateway on requests to endpoints.
    std::string organisation_;      // name of the organisation whose request it is
    std::string expected_endpoint_; // endpoint id; any other endpoint rejects the request without running it
    std::string priority_;          // 0 is the most urgent, 9 the least

    // Set by the endpoint.
    std::string response_stamp_; // present on every response that the endpoint produced itself
    std::string not_run_;        // present on responses to requests that were not run
    std::string endpoint_id_;    // id of the endpoint that responded
    std::string request_limit_;  // requests per second that the endpoint takes from all gateways together
    std::string leaving_;        // present if the endpoint shuts down
    std::string leaving_value_;  // its only valid value
    std::string
        retry_after_; // on a rejection: seconds in which the endpoint wants no request of this gateway

    // Headers that only the gateway may set; those from clients are dropped.
    std::vector<std::string> reserved_;
};

} // namespace tamarack::gateway
