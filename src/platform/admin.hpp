// The answers of the admin address that all programs share: /metrics, /healthz and /readyz.
#pragma once

#include "tamarack/http.hpp"
#include "tamarack/observe.hpp"

namespace tamarack {

// `state` is the JSON body of /readyz, which answers 200 if `ready` and 503 if not.
http::response admin_response(std::string_view path, const metrics& measures, bool ready, std::string state);

} // namespace tamarack
