// Responses that an entry generates itself: refusals, unknown outcomes and invalid requests.
#pragma once

#include "tamarack/admission.hpp"
#include "tamarack/http.hpp"
#include "tamarack/routing.hpp"

namespace tamarack::entry {

// The request was not run. The response carries the reason and the time after which to retry.
http::response not_run_response(refusal_reason reason, std::int64_t retry_after_ms);

// The request may have run. With `key`, if it is not empty, the caller can repeat the request without running
// it twice.
http::response unknown_outcome_response(const std::string& detail, const std::string& key);

// The request is invalid or nothing serves its path; it was not run.
http::response error_response(const error& request_error);

} // namespace tamarack::entry
