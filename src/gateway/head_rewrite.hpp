// Rewrites the heads of requests and answers between a client's connection and an endpoint's. Pure.
#pragma once

#include "tamarack/fleet.hpp"
#include "tamarack/gateway.hpp"
#include "tamarack/http.hpp"

namespace tamarack::gateway {

// What the gateway needs to know of a request's head.
struct request_facts {
    std::string id_;
    std::string host_;
    std::string model_;   // empty for plain services
    std::string adapter_; // empty if none is named
    double prompt_tokens_ = 0;
    double output_tokens_ = 0;                                 // most that it may generate
    std::vector<std::pair<std::string, double>> prompt_parts_; // id and tokens, in order
    std::optional<time_ms> deadline_ms_;                       // what is left
    std::optional<std::int64_t> last_event_id_;
};

request_facts read_facts(const http::request& incoming, const header_names& names);

// What the gateway adds to a request for one endpoint.
struct forward_facts {
    time_ms left_ms_ = 0;
    std::string_view endpoint_;
    int urgency_ = -1;                          // below 0 for plain services
    std::optional<std::int64_t> last_event_id_; // instead of the client's
};

// The bytes for the endpoint: method, target and body unchanged, headers less those of one connection and
// those that only the gateway may set.
std::string forwarded_request(const http::request& incoming, const header_names& names,
                              const forward_facts& facts);

// The answer's headers less those of one connection.
std::vector<http::header> forwarded_headers(const std::vector<http::header>& headers);

// Whether the header concerns one connection only.
bool is_connection_header(std::string_view name);

} // namespace tamarack::gateway
