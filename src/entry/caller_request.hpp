// Parsing of callers' HTTP requests. Kinds of request are plug-ins that register themselves.
#pragma once

#include "tamarack/http.hpp"
#include "tamarack/tables.hpp"

namespace tamarack::entry {

// The properties of a caller's HTTP request.
struct caller_request {
    std::string organisation_ = "default";
    std::optional<traffic_class> class_;      // header Tamarack-Class
    std::optional<std::int64_t> deadline_ms_; // header Tamarack-Deadline-Ms
    std::string key_;                         // header Idempotency-Key
    std::int64_t key_issued_ms_ = 0;          // header Idempotency-Key-Issued, Unix time in ms
    std::string model_;                       // as written in the body; empty for plain services
    std::int64_t kv_tokens_ = 0; // estimated tokens of prompt and completion; 0 for plain services
    std::uint64_t affinity_ = 0; // hash of the model and the start of the prompt; 0 for plain services
};

// A kind of request: the paths that it covers and its parser.
struct request_kind {
    std::function<bool(std::string_view path)> serves_;
    std::function<result<caller_request>(const http::request&)> read_;
};

// Parses the request with the first registered kind that serves its path. Fails with `not_found` if no kind
// serves the path and with `invalid` if the request is malformed.
result<caller_request> read_caller_request(const http::request& incoming);

// Parses the headers that all kinds share. Fails with `invalid`.
result<caller_request> read_common_headers(const http::request& incoming);

} // namespace tamarack::entry
