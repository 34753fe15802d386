// The paths of the admin address that all programs serve: /metrics, /healthz and /readyz.
#pragma once

#include "tamarack/http.hpp"
#include "tamarack/observe.hpp"

namespace tamarack {

// Returns the response to a request for `path`; 404 for any other path. `state` is the JSON body of /readyz,
// whose status is 200 if `ready`, 503 otherwise.
http::response admin_response(std::string_view path, const metrics& measures, bool ready, std::string state);

} // namespace tamarack
