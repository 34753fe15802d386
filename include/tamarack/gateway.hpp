// Gateway: what a platform tells the direct path about the headers of its requests and answers.
#pragma once

#include "tamarack/kernel.hpp"

namespace tamarack::gateway {

// Names of headers between clients, gateway and endpoints. Registered by the name of the platform.
struct header_names {
    // From the client.
    std::string request_id_;   // of one attempt of the client
    std::string deadline_;     // what is left, in ms
    std::string model_;        // "model" or "model/adapter"
    std::string token_counts_; // "prompt tokens,most output tokens"
    std::string prompt_parts_; // "id:tokens,..."; the last part belongs to the request itself
    std::string last_event_id_;

    // From the gateway to the endpoint.
    std::string expected_endpoint_; // another endpoint answers that it did not run the request
    std::string priority_;          // 0 is the most urgent, 9 the least

    // From the endpoint.
    std::string response_stamp_; // on every answer that the endpoint made itself
    std::string not_run_;        // on answers to requests that were not run
    std::string endpoint_id_;    // which endpoint answered

    // Headers that only the gateway may set; those of clients are dropped.
    std::vector<std::string> reserved_;
};

} // namespace tamarack::gateway
