// Rewrites the heads of requests and responses between clients and endpoints. Does no I/O.
#pragma once

#include "tamarack/fleet.hpp"
#include "tamarack/gateway.hpp"
#include "tamarack/http.hpp"
#include "tamarack/notices.hpp"

namespace tamarack::gateway {

// Values that the gateway reads from a request's head.
struct request_metadata {
    std::string id_;
    std::string host_;
    std::string model_;   // empty for plain services
    std::string adapter_; // empty if none is named
    double prompt_tokens_ = 0;
    double output_tokens_ = 0;                                 // limit of generated tokens
    bool counts_tokens_ = false;                               // whether the request names both numbers
    std::vector<std::pair<std::string, double>> prompt_parts_; // id and number of tokens, in order; the last
                                                               // part belongs to this request alone
    std::optional<time_ms> deadline_ms_;                       // time left when the request arrived
    std::optional<std::int64_t> last_event_id_;
    std::vector<std::string> keys_; // values of all key headers; never to be logged
    bool ambiguous_ = false;        // a header that the gateway decides by comes more than once

    // Most tokens that the request reads and generates together, if it says so.
    std::optional<double> tokens() const {
        return counts_tokens_ ? std::optional(prompt_tokens_ + output_tokens_) : std::nullopt;
    }
};

request_metadata parse_request_metadata(const http::request& incoming, const header_names& names);

// Values of the headers that the gateway adds to a request for one endpoint.
struct forward_parameters {
    time_ms left_ms_ = 0;
    std::string_view endpoint_;
    int urgency_ = -1;                          // negative for plain services, which get no such header
    std::optional<std::int64_t> last_event_id_; // replacement of the client's, if set
    std::string_view organisation_;             // empty if the request belongs to none
    bool drops_keys_ = false;                   // whether the key header is the gateway's own concern
};

// Returns the head of the request as sent to the endpoint: method and target unchanged, the length of the
// body, without hop-by-hop headers, keys, and client headers that only the gateway may set. All requests of
// clients go to endpoints with such a head.
std::string forwarded_head(const http::request& incoming, std::size_t body_bytes, const header_names& names,
                           const forward_parameters& parameters);

// Returns a response's headers without the hop-by-hop ones.
std::vector<http::header> forwarded_headers(const std::vector<http::header>& headers);

// The endpoint's limit of requests per second that a response names, if it names one. Fails with `invalid` if
// that is not a finite number of 0 or more.
result<std::optional<double>> request_limit(const std::vector<http::header>& headers,
                                            const header_names& names);

// Whether a response says that its endpoint shuts down. Fails with `invalid` if the header has another value
// than `leaving_value_`, or comes more than once.
result<bool> says_leaving(const std::vector<http::header>& headers, const header_names& names);

// How long an endpoint that turned a request away wants no other one.
struct back_off_request {
    std::optional<time_ms> for_ms_; // nothing if it asks for none
    bool readable_ = true;          // all of its values were numbers of 0 or more
};

// Reads the back-off from the head of a response with status 503. A 429 turns away one request and says
// nothing of others. Of several values, the longest counts; a value that cannot be read counts as
// `notices::default_back_off_ms`.
back_off_request requested_back_off(int status, const std::vector<http::header>& headers,
                                    const header_names& names);

// Whether the header applies to one connection only, message framing included.
bool is_hop_by_hop_header(std::string_view name);

} // namespace tamarack::gateway
