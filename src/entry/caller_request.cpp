#include "entry/caller_request.hpp"

#include "tamarack/untrusted.hpp"

#include <charconv>

namespace tamarack::entry {

namespace {

constexpr std::size_t max_header_value_bytes = 256;
constexpr std::size_t affinity_prefix_bytes = 256;
constexpr std::int64_t bytes_per_token = 4;
constexpr std::int64_t default_max_tokens = 16;
constexpr std::int64_t max_tokens_limit = 1'000'000;

std::optional<std::int64_t> parse_number(std::string_view text) {
    std::int64_t number = 0;
    const auto [last, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc() || last != text.data() + text.size() || number < 0) {
        return std::nullopt;
    }
    return number;
}

error invalid_header(const char* name, const char* remedy) {
    return {error_kind::invalid, std::string("the header ") + name + " is not usable", remedy};
}

bool is_completion(std::string_view path) {
    return path == "/v1/chat/completions" || path == "/v1/completions";
}

std::int64_t requested_tokens(const nlohmann::json& body) {
    for (const char* field : {"max_completion_tokens", "max_tokens"}) {
        if (body.contains(field) && body[field].is_number_integer()) {
            return body[field].get<std::int64_t>();
        }
    }
    return default_max_tokens;
}

std::string prompt_of(const nlohmann::json& body) {
    if (body.contains("messages")) {
        return body["messages"].dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    return body.contains("prompt") && body["prompt"].is_string() ? body["prompt"].get<std::string>()
                                                                 : std::string();
}

result<caller_request> read_completion(const http::request& incoming) {
    result<caller_request> common = read_common_headers(incoming);
    if (!ok(common)) {
        return common;
    }
    caller_request& parsed = value(common);
    const nlohmann::json body = untrusted::parse_json(incoming.body_);
    if (!body.is_object()) {
        return error{error_kind::invalid, "the body is not a JSON object",
                     "send a completion request as JSON"};
    }
    if (!body.contains("model") || !body["model"].is_string() || body["model"].get<std::string>().empty()) {
        return error{error_kind::invalid, "the field model is missing or not a string",
                     "name a model from GET /v1/models"};
    }
    const bool has_prompt = incoming.path() == "/v1/completions"
                                ? body.contains("prompt")
                                : body.contains("messages") && body["messages"].is_array();
    if (!has_prompt) {
        return error{error_kind::invalid, "the prompt is missing",
                     "send \"messages\" (a list) or \"prompt\""};
    }
    const std::int64_t tokens = requested_tokens(body);
    if (tokens < 1 || tokens > max_tokens_limit) {
        return error{error_kind::invalid, "max_tokens is out of range", "ask for 1 to 1000000 tokens"};
    }
    const std::string prompt = prompt_of(body);
    parsed.model_ = body["model"].get<std::string>();
    parsed.kv_tokens_ = std::int64_t(prompt.size()) / bytes_per_token + 1 + tokens;
    parsed.affinity_ =
        hash64(std::string_view(prompt).substr(0, affinity_prefix_bytes), hash64(parsed.model_));
    return common;
}

bool serves_completions(std::string_view path) {
    return is_completion(path);
}

bool serves_anything_else(std::string_view path) {
    return !is_completion(path);
}

const registration<request_kind> completions("completions",
                                             request_kind{serves_completions, read_completion});
const registration<request_kind> plain("plain", request_kind{serves_anything_else, read_common_headers});

} // namespace

result<caller_request> read_common_headers(const http::request& incoming) {
    caller_request parsed;
    if (const auto organisation = incoming.find("Tamarack-Tenant")) {
        if (organisation->empty() || organisation->size() > max_header_value_bytes) {
            return invalid_header("Tamarack-Tenant", "send a name of 1 to 256 characters");
        }
        parsed.organisation_ = *organisation;
    }
    if (const auto class_name = incoming.find("Tamarack-Class")) {
        parsed.class_ = parse_traffic_class(*class_name);
        if (!parsed.class_) {
            return invalid_header("Tamarack-Class", "send \"interactive\" or \"deferrable\"");
        }
    }
    if (const auto deadline = incoming.find("Tamarack-Deadline-Ms")) {
        parsed.deadline_ms_ = parse_number(*deadline);
        if (!parsed.deadline_ms_ || *parsed.deadline_ms_ == 0) {
            return invalid_header("Tamarack-Deadline-Ms", "send a positive whole number of milliseconds");
        }
    }
    if (const auto key = incoming.find("Idempotency-Key")) {
        if (key->empty() || key->size() > max_header_value_bytes) {
            return invalid_header("Idempotency-Key", "send a key of 1 to 256 characters");
        }
        parsed.key_ = *key;
    }
    if (const auto issued = incoming.find("Idempotency-Key-Issued")) {
        const auto issued_ms = parse_number(*issued);
        if (!issued_ms) {
            return invalid_header("Idempotency-Key-Issued", "send the Unix time in milliseconds");
        }
        parsed.key_issued_ms_ = *issued_ms;
    }
    return parsed;
}

result<caller_request> read_caller_request(const http::request& incoming) {
    const auto& kinds = registry<request_kind>::instance();
    for (const std::string& name : kinds.names()) {
        const request_kind& kind = *kinds.find(name);
        if (kind.serves_(incoming.path())) {
            return kind.read_(incoming);
        }
    }
    return error{error_kind::not_found, "nothing serves this path", "see the routes"};
}

} // namespace tamarack::entry
