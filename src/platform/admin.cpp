#include "platform/admin.hpp"

namespace tamarack {

http::response admin_response(std::string_view path, const metrics& measures, bool ready, std::string state) {
    if (path == "/metrics") {
        return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, measures.text()};
    }
    if (path == "/healthz") {
        return http::json_response(200, "{}");
    }
    if (path == "/readyz") {
        return http::json_response(ready ? 200 : 503, std::move(state));
    }
    return http::json_response(404, "{}");
}

} // namespace tamarack
