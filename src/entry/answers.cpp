#include "entry/answers.hpp"

#include <nlohmann/json.hpp>

namespace tamarack::entry {

namespace {

constexpr std::int64_t ms_per_second = 1'000;
constexpr std::int64_t unknown_retry_after_ms = 1'000;

struct refusal_text {
    int status_;
    const char* message_;
    const char* remedy_;
};

refusal_text text_of(refusal_reason reason) {
    switch (reason) {
    case refusal_reason::overloaded:
        return {503, "the deadline cannot be met under the current load",
                "retry after the time in Retry-After"};
    case refusal_reason::organisation_limit:
        return {429, "the organisation has reached its request limit on the endpoint",
                "retry after the time in Retry-After"};
    case refusal_reason::expired:
        return {503, "the deadline passed while the request was queued",
                "retry later or with a longer deadline"};
    case refusal_reason::too_large:
        return {413, "the request needs more KV cache than an engine has",
                "send a shorter prompt or fewer max_tokens"};
    case refusal_reason::leaving:
        return {503, "the endpoint is shutting down", "retry the request"};
    case refusal_reason::not_held:
        return {503, "the model cannot be loaded before the deadline", "retry after the time in Retry-After"};
    case refusal_reason::key_conflict:
        return {409, "the key was used with a different request", "use a new key for a new request"};
    case refusal_reason::key_too_old:
        return {400,
                "the key's issue time is missing, too old or in the future; this request was not run, but an "
                "earlier one with the same key may have been",
                "send Idempotency-Key-Issued with the Unix time in ms at which the key was created, or use a "
                "key from POST /v1/keys"};
    case refusal_reason::claims_down:
        return {
            503,
            "the log that callers' keys are checked against is not reachable; this request was not run, but "
            "an earlier one with the same key may have been",
            "retry later with the same key; if the key has not been sent before, a key from POST /v1/keys "
            "works without the log"};
    case refusal_reason::unknown_key:
        return {409, "the key belongs to an instance that no longer runs",
                "check by other means whether the request ran"};
    case refusal_reason::key_held:
        return {409, "another instance has claimed the key", "retry with the same key"};
    case refusal_reason::endpoint_down:
        return {503, "the endpoint does not accept connections", "retry later"};
    case refusal_reason::no_route:
        return {404, "no route matches the request",
                "correct the path, organisation or model, or publish a route"};
    case refusal_reason::no_endpoint:
        return {503, "no endpoint of the pool accepts requests", "retry later"};
    case refusal_reason::not_ready:
        return {503, "the instance is not ready", "retry shortly"};
    }
    return {503, "refused", "retry later"};
}

http::response outcome_response(int status, nlohmann::json problem, outcome reported,
                                std::int64_t retry_after_ms) {
    problem["outcome"] = to_string(reported);
    problem["retry_after_ms"] = retry_after_ms;
    const nlohmann::json body = {{"error", std::move(problem)}};
    http::response response =
        http::json_response(status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    const std::int64_t seconds = (retry_after_ms + ms_per_second - 1) / ms_per_second;
    response.headers_.push_back({"Tamarack-Outcome", std::string(to_string(reported))});
    if (seconds > 0) {
        response.headers_.push_back({"Retry-After", std::to_string(seconds)});
    }
    return response;
}

} // namespace

http::response not_run_response(refusal_reason reason, std::int64_t retry_after_ms) {
    const refusal_text text = text_of(reason);
    nlohmann::json problem = {
        {"kind", to_string(reason)}, {"message", text.message_}, {"remedy", text.remedy_}};
    return outcome_response(text.status_, std::move(problem), outcome::not_run, retry_after_ms);
}

http::response unknown_outcome_response(const std::string& detail, const std::string& key) {
    nlohmann::json problem = {{"kind", "unknown_outcome"},
                              {"message", "the request may have run: " + detail},
                              {"remedy", key.empty() ? "check by other means whether it ran"
                                                     : "retry with the key in Idempotency-Key"}};
    http::response response =
        outcome_response(502, std::move(problem), outcome::unknown, unknown_retry_after_ms);
    if (!key.empty()) {
        response.headers_.push_back({"Idempotency-Key", key});
    }
    return response;
}

http::response error_response(const error& request_error) {
    nlohmann::json problem = {{"kind", to_string(request_error.kind_)},
                              {"message", request_error.message_},
                              {"remedy", request_error.remedy_}};
    const int status = request_error.kind_ == error_kind::not_found ? 404 : 400;
    return outcome_response(status, std::move(problem), outcome::not_run, 0);
}

} // namespace tamarack::entry
