#include "gateway/head_rewrite.hpp"

#include "http/message_parser.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>

namespace tamarack::gateway {

namespace {

constexpr std::array<std::string_view, 10> hop_by_hop_headers = {
    "Connection",        "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Transfer-Encoding", "Trailer",    "Upgrade",          "Content-Length"};

std::string_view trim(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

template <typename Number>
std::optional<Number> parse_number(std::string_view text) {
    text = trim(text);
    Number number{};
    const auto [rest, failed] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failed != std::errc()) {
        return std::nullopt;
    }
    return number;
}

// Reads a number of tokens or ms. What is not finite is no number, and others are cut to a range in which
// sums of them stay exact: all gateways' estimates are averages of what clients send.
std::optional<double> parse_amount(std::string_view text) {
    constexpr double largest = 1e9;
    const auto parsed = parse_number<double>(text);
    return parsed && std::isfinite(*parsed) ? std::optional(std::clamp(*parsed, 0.0, largest)) : std::nullopt;
}

// Whether the text is a number of 0 or more and nothing else.
bool is_amount(std::string_view text) {
    text = trim(text);
    double number = 0;
    const auto [rest, failed] = std::from_chars(text.data(), text.data() + text.size(), number);
    return failed == std::errc() && rest == text.data() + text.size() && std::isfinite(number) && number >= 0;
}

std::string header_value(const std::vector<http::header>& headers, std::string_view name) {
    const http::header* found = http::find_header(headers, name);
    return found == nullptr ? std::string() : found->value_;
}

// Names listed in the Connection header; headers of these names are hop-by-hop as well.
std::vector<std::string> names_in_connection_header(const std::vector<http::header>& headers) {
    std::vector<std::string> listed_names;
    for (const http::header& header : headers) {
        if (!http::same_name(header.name_, "Connection")) {
            continue;
        }
        for (const std::string& part : split_list(header.value_)) {
            listed_names.emplace_back(trim(part));
        }
    }
    return listed_names;
}

bool contains(const std::vector<std::string>& names, std::string_view name) {
    return std::any_of(names.begin(), names.end(),
                       [&](const std::string& one) { return http::same_name(one, name); });
}

// Whether an endpoint may take one name for the other. Some read underscores as hyphens.
bool reads_alike(std::string_view left, std::string_view right) {
    const auto letter_of = [](char letter) {
        return letter == '_' ? int('-') : std::tolower(static_cast<unsigned char>(letter));
    };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [&](char one, char other) { return letter_of(one) == letter_of(other); });
}

// Whether an endpoint may read another value of one of these headers than the gateway does.
bool is_ambiguous(const std::vector<http::header>& headers, std::initializer_list<std::string_view> names) {
    return std::any_of(names.begin(), names.end(), [&](std::string_view name) {
        int readings = 0;
        for (const http::header& header : headers) {
            if (reads_alike(header.name_, name)) {
                readings += http::same_name(header.name_, name) ? 1 : 2;
            }
        }
        return readings > 1;
    });
}

// Whether only the gateway may set the header, or an endpoint may take it for such a one.
bool is_reserved(std::string_view name, const header_names& names) {
    return std::any_of(names.reserved_.begin(), names.reserved_.end(),
                       [&](const std::string& one) { return reads_alike(one, name); });
}

// Whether the header describes the request itself and is forwarded even if the Connection header names it.
bool is_always_forwarded(std::string_view name, const header_names& names) {
    return http::same_name(name, "Host") || http::same_name(name, names.request_id_) ||
           http::same_name(name, names.model_) || http::same_name(name, names.token_counts_) ||
           http::same_name(name, names.prompt_parts_) || http::same_name(name, names.last_event_id_);
}

} // namespace

bool is_hop_by_hop_header(std::string_view name) {
    return std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(),
                       [&](std::string_view one) { return http::same_name(one, name); });
}

request_metadata parse_request_metadata(const http::request& incoming, const header_names& names) {
    request_metadata metadata;
    metadata.id_ = header_value(incoming.headers_, names.request_id_);
    metadata.host_ = header_value(incoming.headers_, "Host");
    const std::string model = header_value(incoming.headers_, names.model_);
    const fleet::model_reference reference = fleet::parse_model_reference(model);
    metadata.model_ = reference.model_;
    metadata.adapter_ = reference.adapter_;
    const std::vector<std::string> tokens = split_list(header_value(incoming.headers_, names.token_counts_));
    if (tokens.size() == 2) {
        metadata.prompt_tokens_ = parse_amount(tokens[0]).value_or(0);
        metadata.output_tokens_ = parse_amount(tokens[1]).value_or(0);
        metadata.counts_tokens_ = is_amount(tokens[0]) && is_amount(tokens[1]);
    }
    for (const std::string& part : split_list(header_value(incoming.headers_, names.prompt_parts_))) {
        const std::size_t colon = part.find(':');
        if (colon != std::string::npos) {
            metadata.prompt_parts_.emplace_back(trim(std::string_view(part).substr(0, colon)),
                                                parse_amount(part.substr(colon + 1)).value_or(0));
        }
    }
    const auto left = parse_amount(header_value(incoming.headers_, names.deadline_));
    if (left) {
        metadata.deadline_ms_ = time_ms(*left);
    }
    metadata.last_event_id_ =
        parse_number<std::int64_t>(header_value(incoming.headers_, names.last_event_id_));
    metadata.ambiguous_ =
        is_ambiguous(incoming.headers_, {names.request_id_, names.deadline_, names.model_,
                                         names.token_counts_, names.prompt_parts_, names.last_event_id_});
    for (const http::header& header : incoming.headers_) {
        if (!names.key_.empty() && http::same_name(header.name_, names.key_)) {
            metadata.keys_.push_back(header.value_);
        }
    }
    return metadata;
}

std::string forwarded_head(const http::request& incoming, std::size_t body_bytes, const header_names& names,
                           const forward_parameters& parameters) {
    const std::vector<std::string> listed_names = names_in_connection_header(incoming.headers_);
    std::string bytes;
    bytes.reserve(1'024);
    bytes += incoming.method_ + " " + incoming.target_ + " HTTP/1.1\r\n";
    for (const http::header& header : incoming.headers_) {
        const bool dropped =
            is_hop_by_hop_header(header.name_) || http::same_name(header.name_, "Expect") ||
            reads_alike(header.name_, names.deadline_) ||
            (parameters.last_event_id_ && http::same_name(header.name_, names.last_event_id_)) ||
            is_reserved(header.name_, names) ||
            (parameters.drops_keys_ && reads_alike(header.name_, names.key_)) ||
            (contains(listed_names, header.name_) && !is_always_forwarded(header.name_, names));
        if (!dropped) {
            bytes += header.name_ + ": " + header.value_ + "\r\n";
        }
    }
    bytes += names.deadline_ + ": " + std::to_string(std::max<time_ms>(1, parameters.left_ms_)) + "\r\n";
    bytes += names.expected_endpoint_ + ": " + std::string(parameters.endpoint_) + "\r\n";
    if (!parameters.organisation_.empty()) {
        bytes += names.organisation_ + ": " + std::string(parameters.organisation_) + "\r\n";
    }
    if (parameters.urgency_ >= 0) {
        bytes += names.priority_ + ": " + std::to_string(parameters.urgency_) + "\r\n";
    }
    if (parameters.last_event_id_) {
        bytes += names.last_event_id_ + ": " + std::to_string(*parameters.last_event_id_) + "\r\n";
    }
    const bool has_framing = http::find_header(incoming.headers_, "Content-Length") != nullptr ||
                             http::find_header(incoming.headers_, "Transfer-Encoding") != nullptr;
    if (has_framing || body_bytes > 0) {
        bytes += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
    }
    bytes += "\r\n";
    return bytes;
}

result<std::optional<double>> request_limit(const std::vector<http::header>& headers,
                                            const header_names& names) {
    const http::header* named = http::find_header(headers, names.request_limit_);
    if (named == nullptr) {
        return std::optional<double>();
    }
    const std::string_view text = trim(named->value_);
    double per_s = 0;
    const auto [rest, failed] = std::from_chars(text.data(), text.data() + text.size(), per_s);
    if (failed != std::errc() || rest != text.data() + text.size() || !std::isfinite(per_s) || per_s < 0) {
        return error{error_kind::invalid, "the limit on requests is not a number of 0 or more",
                     "check the endpoint's version"};
    }
    return std::optional<double>(per_s);
}

result<bool> says_leaving(const std::vector<http::header>& headers, const header_names& names) {
    bool leaving = false;
    for (const http::header& one : headers) {
        if (!http::same_name(one.name_, names.leaving_)) {
            continue;
        }
        if (leaving || trim(one.value_) != names.leaving_value_) {
            return error{error_kind::invalid, "the header of a shutdown has another value or comes twice",
                         "check the endpoint's version"};
        }
        leaving = true;
    }
    return leaving;
}

namespace {

// Reads a number of seconds, 0 or more, as ms. Values beyond the longest back-off are cut to it.
std::optional<time_ms> parse_back_off_ms(std::string_view text) {
    constexpr double ms_per_s = 1'000;
    double seconds = 0;
    const auto [rest, failed] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (text.empty() || rest != text.data() + text.size() || text.front() == '-') {
        return std::nullopt;
    }
    const double longest_s = double(notices::max_back_off_ms) / ms_per_s;
    if (failed == std::errc::result_out_of_range) {
        return notices::max_back_off_ms;
    }
    if (failed != std::errc() || !std::isfinite(seconds)) {
        return std::nullopt;
    }
    return time_ms(std::ceil(std::min(seconds, longest_s) * ms_per_s));
}

} // namespace

back_off_request requested_back_off(int status, const std::vector<http::header>& headers,
                                    const header_names& names) {
    constexpr int unavailable = 503;
    back_off_request requested;
    if (status != unavailable) {
        return requested;
    }
    for (const http::header& one : headers) {
        if (!http::same_name(one.name_, names.retry_after_)) {
            continue;
        }
        const auto parsed = parse_back_off_ms(trim(one.value_));
        requested.readable_ = requested.readable_ && parsed;
        const time_ms for_ms = parsed.value_or(notices::default_back_off_ms);
        if (for_ms > 0) {
            requested.for_ms_ = std::max(requested.for_ms_.value_or(0), for_ms);
        }
    }
    return requested;
}

std::vector<http::header> forwarded_headers(const std::vector<http::header>& headers) {
    const std::vector<std::string> listed_names = names_in_connection_header(headers);
    std::vector<http::header> forwarded;
    for (const http::header& header : headers) {
        if (!is_hop_by_hop_header(header.name_) && !contains(listed_names, header.name_)) {
            forwarded.push_back(header);
        }
    }
    return forwarded;
}

} // namespace tamarack::gateway
