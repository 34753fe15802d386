#include "http/path.hpp"
#include "tamarack/http.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace tamarack::http {

namespace {

bool same_name(std::string_view left, std::string_view right) {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::optional<std::string_view> find_header(const std::vector<header>& headers, std::string_view name) {
    for (const header& one : headers) {
        if (same_name(one.name_, name)) {
            return one.value_;
        }
    }
    return std::nullopt;
}

} // namespace

bool is_field_value(std::string_view text) {
    constexpr std::string_view blank = " \t";
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7f;
    const bool trimmed = text.empty() || (blank.find(text.front()) == std::string_view::npos &&
                                          blank.find(text.back()) == std::string_view::npos);
    return trimmed && std::all_of(text.begin(), text.end(), [](unsigned char letter) {
               return letter == '\t' || (letter >= first_printable && letter != delete_character);
           });
}

namespace {

bool is_token(std::string_view text) {
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](unsigned char letter) {
        return letter < 0x80 && (std::isalnum(letter) || marks.find(char(letter)) != std::string_view::npos);
    });
}

} // namespace

bool is_valid(const request& outgoing) {
    const std::string& target = outgoing.target_;
    const bool valid_target = !target.empty() && std::all_of(target.begin(), target.end(), [](char letter) {
        return letter > 0x20 && letter < 0x7f;
    });
    return is_token(outgoing.method_) && valid_target &&
           std::all_of(outgoing.headers_.begin(), outgoing.headers_.end(),
                       [](const header& one) { return is_token(one.name_) && is_field_value(one.value_); });
}

std::optional<std::string_view> request::find(std::string_view name) const {
    return find_header(headers_, name);
}

std::optional<std::string_view> response::find(std::string_view name) const {
    return find_header(headers_, name);
}

std::string_view request::path() const {
    return std::string_view(target_).substr(0, target_.find('?'));
}

std::optional<std::string_view> request::query(std::string_view name) const {
    const std::size_t query_start = target_.find('?');
    if (query_start == std::string::npos) {
        return std::nullopt;
    }
    std::string_view rest = std::string_view(target_).substr(query_start + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return pair.substr(equals + 1);
        }
    }
    return std::nullopt;
}

std::string decoded_path(std::string_view path) {
    constexpr std::size_t digits = 2;
    constexpr int base = 16;
    std::string decoded;
    decoded.reserve(path.size());
    while (!path.empty()) {
        char letter = path.front();
        std::size_t length = 1;
        if (letter == '%' && path.size() > digits) {
            unsigned char code = 0;
            const char* end = path.data() + 1 + digits;
            const auto [last, failed] = std::from_chars(path.data() + 1, end, code, base);
            if (failed == std::errc() && last == end) {
                letter = char(code);
                length = 1 + digits;
            }
        }
        path.remove_prefix(length);
        letter = letter == '\\' ? '/' : letter;
        if (letter != '/' || decoded.empty() || decoded.back() != '/') {
            decoded += letter;
        }
    }
    return decoded;
}

bool has_dot_segments(std::string_view path) {
    const std::string decoded = decoded_path(path);
    path = decoded;
    while (!path.empty()) {
        const std::size_t end = std::min(path.find('/'), path.size());
        std::string_view segment = path.substr(0, end);
        segment = segment.substr(0, segment.find(';'));
        path.remove_prefix(std::min(path.size(), end + 1));
        int dots = 0;
        while (!segment.empty()) {
            constexpr std::string_view encoded_dot = "%2e";
            const bool encoded = same_name(segment.substr(0, encoded_dot.size()), encoded_dot);
            if (segment.front() != '.' && !encoded) {
                break;
            }
            segment.remove_prefix(encoded ? encoded_dot.size() : 1);
            ++dots;
        }
        if (segment.empty() && (dots == 1 || dots == 2)) {
            return true;
        }
    }
    return false;
}

response json_response(int status, std::string body) {
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

result<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text) {
    const error invalid_address{error_kind::invalid, "\"" + std::string(text) + "\" is not an address",
                                "give an IP address and a port, as in 127.0.0.1:8080"};
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return invalid_address;
    }
    std::string host(text.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [last, code] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    boost::system::error_code address_error;
    const auto address = boost::asio::ip::make_address(host, address_error);
    if (code != std::errc() || last != digits.data() + digits.size() || address_error) {
        return invalid_address;
    }
    return boost::asio::ip::tcp::endpoint(address, port);
}

} // namespace tamarack::http
