#include "gateway/head_rewrite.hpp"

#include "http/message_parser.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace tamarack::gateway {

namespace {

constexpr std::array<std::string_view, 10> connection_headers = {
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

std::string text_of(const std::vector<http::header>& headers, std::string_view name) {
    const http::header* found = http::find_header(headers, name);
    return found == nullptr ? std::string() : found->value_;
}

// Headers that the Connection header names; they are meant for this connection only.
std::vector<std::string> named_by_connection(const std::vector<http::header>& headers) {
    std::vector<std::string> named;
    for (const http::header& one : headers) {
        if (!http::same_name(one.name_, "Connection")) {
            continue;
        }
        for (const std::string& part : split_list(one.value_)) {
            named.emplace_back(trim(part));
        }
    }
    return named;
}

bool contains(const std::vector<std::string>& names, std::string_view name) {
    return std::any_of(names.begin(), names.end(),
                       [&](const std::string& one) { return http::same_name(one, name); });
}

// Headers that describe the request itself stay, whatever the Connection header says.
bool is_essential(std::string_view name, const header_names& names) {
    return http::same_name(name, "Host") || http::same_name(name, names.request_id_) ||
           http::same_name(name, names.model_) || http::same_name(name, names.token_counts_) ||
           http::same_name(name, names.prompt_parts_) || http::same_name(name, names.last_event_id_);
}

} // namespace

bool is_connection_header(std::string_view name) {
    return std::any_of(connection_headers.begin(), connection_headers.end(),
                       [&](std::string_view one) { return http::same_name(one, name); });
}

request_facts read_facts(const http::request& incoming, const header_names& names) {
    request_facts facts;
    facts.id_ = text_of(incoming.headers_, names.request_id_);
    facts.host_ = text_of(incoming.headers_, "Host");
    const std::string model = text_of(incoming.headers_, names.model_);
    const fleet::model_reference reference = fleet::parse_model_reference(model);
    facts.model_ = reference.model_;
    facts.adapter_ = reference.adapter_;
    const std::vector<std::string> tokens = split_list(text_of(incoming.headers_, names.token_counts_));
    if (tokens.size() == 2) {
        facts.prompt_tokens_ = parse_number<double>(tokens[0]).value_or(0);
        facts.output_tokens_ = parse_number<double>(tokens[1]).value_or(0);
    }
    for (const std::string& part : split_list(text_of(incoming.headers_, names.prompt_parts_))) {
        const std::size_t colon = part.find(':');
        if (colon != std::string::npos) {
            facts.prompt_parts_.emplace_back(trim(std::string_view(part).substr(0, colon)),
                                             parse_number<double>(part.substr(colon + 1)).value_or(0));
        }
    }
    const auto left = parse_number<double>(text_of(incoming.headers_, names.deadline_));
    if (left) {
        facts.deadline_ms_ = time_ms(*left);
    }
    facts.last_event_id_ = parse_number<std::int64_t>(text_of(incoming.headers_, names.last_event_id_));
    return facts;
}

std::string forwarded_request(const http::request& incoming, const header_names& names,
                              const forward_facts& facts) {
    const std::vector<std::string> named = named_by_connection(incoming.headers_);
    std::string bytes;
    bytes.reserve(1'024 + incoming.body_.size());
    bytes += incoming.method_ + " " + incoming.target_ + " HTTP/1.1\r\n";
    for (const http::header& one : incoming.headers_) {
        const bool dropped = is_connection_header(one.name_) || http::same_name(one.name_, "Expect") ||
                             http::same_name(one.name_, names.deadline_) ||
                             (facts.last_event_id_ && http::same_name(one.name_, names.last_event_id_)) ||
                             contains(names.reserved_, one.name_) ||
                             (contains(named, one.name_) && !is_essential(one.name_, names));
        if (!dropped) {
            bytes += one.name_ + ": " + one.value_ + "\r\n";
        }
    }
    bytes += names.deadline_ + ": " + std::to_string(std::max<time_ms>(1, facts.left_ms_)) + "\r\n";
    bytes += names.expected_endpoint_ + ": " + std::string(facts.endpoint_) + "\r\n";
    if (facts.urgency_ >= 0) {
        bytes += names.priority_ + ": " + std::to_string(facts.urgency_) + "\r\n";
    }
    if (facts.last_event_id_) {
        bytes += names.last_event_id_ + ": " + std::to_string(*facts.last_event_id_) + "\r\n";
    }
    const bool framed = http::find_header(incoming.headers_, "Content-Length") != nullptr ||
                        http::find_header(incoming.headers_, "Transfer-Encoding") != nullptr;
    if (framed || !incoming.body_.empty()) {
        bytes += "Content-Length: " + std::to_string(incoming.body_.size()) + "\r\n";
    }
    bytes += "\r\n";
    bytes += incoming.body_;
    return bytes;
}

std::vector<http::header> forwarded_headers(const std::vector<http::header>& headers) {
    const std::vector<std::string> named = named_by_connection(headers);
    std::vector<http::header> forwarded;
    for (const http::header& one : headers) {
        if (!is_connection_header(one.name_) && !contains(named, one.name_)) {
            forwarded.push_back(one);
        }
    }
    return forwarded;
}

} // namespace tamarack::gateway
