// The answers that an entry gives on its own: refusals, unknown outcomes and errors of the request.
#pragma once

#include "tamarack/admission.hpp"
#include "tamarack/http.hpp"
#include "tamarack/routing.hpp"

namespace tamarack::entry {

// The request was not run. Carries the reason and when to come back.
http::response not_run_answer(refusal_reason reason, std::int64_t retry_after_ms);

// The request may have run. `key`, if not empty, lets the caller ask again without running it twice.
http::response unknown_answer(const std::string& detail, const std::string& key);

// The request itself is wrong; it was not run.
http::response error_answer(const error& wrong);

} // namespace tamarack::entry
