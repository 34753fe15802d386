#include "tamarack/untrusted.hpp"

#include <boost/locale/utf.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace tamarack::untrusted {

using nlohmann::json;

namespace {

// Whether a text has more values or a deeper nesting than is read.
bool exceeds_limits(std::string_view text) {
    int depth = 0;
    // Brackets and commas that have been seen. Each value but the first follows one of them.
    std::size_t marks = 0;
    bool in_string = false;
    bool escaped = false;
    for (const char one : text) {
        if (in_string) {
            in_string = escaped || one != '"';
            escaped = !escaped && one == '\\';
            continue;
        }
        in_string = one == '"';
        depth += one == '[' || one == '{' ? 1 : 0;
        depth -= one == ']' || one == '}' ? 1 : 0;
        marks += one == '[' || one == '{' || one == ',' ? 1 : 0;
        if (depth > max_depth || marks > max_values) {
            return true;
        }
    }
    return false;
}

// Reads the heads of CBOR items one after the other (RFC 8949, section 3).
class cbor_scan {
public:
    explicit cbor_scan(std::string_view bytes) : rest_(bytes) {}

    // Whether the first item is nested too deep, has too many items, or ends before its length says.
    bool is_bad() {
        std::vector<std::uint64_t> open = {1}; // items still to come in each container
        std::size_t items = 0;
        while (!open.empty()) {
            if (open.back() == 0) {
                open.pop_back();
                continue;
            }
            --open.back();
            if (rest_.empty() || ++items > max_values) {
                return true;
            }
            const auto head = std::uint8_t(rest_.front());
            rest_.remove_prefix(1);
            const auto argument = read_argument(head & argument_mask);
            if (!argument) {
                return true;
            }
            switch (head >> type_shift) {
            case byte_string:
            case text_string:
                if (*argument > rest_.size()) {
                    return true;
                }
                rest_.remove_prefix(std::size_t(*argument));
                break;
            case array:
            case map:
                // Each item takes a byte at least.
                if (int(open.size()) > max_depth || *argument > rest_.size()) {
                    return true;
                }
                open.push_back((head >> type_shift) == map ? 2 * *argument : *argument);
                break;
            case tag:
                return true; // none is written
            default:
                break;
            }
        }
        return false;
    }

private:
    static constexpr std::uint8_t argument_mask = 0x1f;
    static constexpr int type_shift = 5;
    enum major_type { byte_string = 2, text_string = 3, array = 4, map = 5, tag = 6 };

    std::optional<std::uint64_t> read_argument(std::uint8_t info) {
        constexpr std::uint8_t one_byte = 24;
        constexpr std::uint8_t eight_bytes = 27;
        if (info < one_byte) {
            return info;
        }
        if (info > eight_bytes) {
            return std::nullopt; // an item of indefinite length, which is not written either
        }
        const std::size_t length = std::size_t(1) << (info - one_byte);
        if (rest_.size() < length) {
            return std::nullopt;
        }
        std::uint64_t argument = 0;
        for (const char byte : rest_.substr(0, length)) {
            argument = (argument << 8) | std::uint8_t(byte);
        }
        rest_.remove_prefix(length);
        return argument;
    }

    std::string_view rest_;
};

const json* find(const json& row, const char* field) {
    if (!row.is_object()) {
        return nullptr;
    }
    const auto found = row.find(field);
    return found == row.end() ? nullptr : &*found;
}

} // namespace

json parse_json(std::string_view text) {
    return exceeds_limits(text) ? json(json::value_t::discarded) : json::parse(text, nullptr, false);
}

namespace {

using utf8 = boost::locale::utf::utf_traits<char>;
using boost::locale::utf::code_point;

// Bytes that are not UTF-8 become code points from here on, at the end of the last private use area.
constexpr code_point first_byte_code = 0x10FF00;
constexpr code_point last_byte_code = first_byte_code + 0xFF;

// Calls `take` with each code point of the text, or with none and the byte that does not belong to one.
template <typename Take>
void for_each_code_point(std::string_view text, Take take) {
    const char* next = text.data();
    const char* const end = next + text.size();
    while (next != end) {
        const char* const begin = next;
        const code_point code = utf8::decode(next, end);
        if (boost::locale::utf::is_valid_codepoint(code)) {
            take(std::optional(code), *begin);
        } else {
            next = begin + 1;
            take(std::optional<code_point>(), *begin);
        }
    }
}

} // namespace

json parse_json_with_bytes(std::string_view text) {
    json parsed = parse_json(text);
    if (!parsed.is_discarded()) {
        return parsed;
    }
    std::string encoded;
    encoded.reserve(text.size());
    for_each_code_point(text, [&](std::optional<code_point> code, char byte) {
        utf8::encode(code.value_or(first_byte_code + std::uint8_t(byte)), std::back_inserter(encoded));
    });
    return encoded == text ? parsed : parse_json(encoded);
}

std::string to_bytes(std::string_view text) {
    std::string bytes;
    for_each_code_point(text, [&](std::optional<code_point> code, char byte) {
        if (!code || (*code >= first_byte_code && *code <= last_byte_code)) {
            bytes.push_back(code ? char(*code - first_byte_code) : byte);
        } else {
            utf8::encode(*code, std::back_inserter(bytes));
        }
    });
    return bytes;
}

json parse_cbor(std::string_view bytes) {
    return cbor_scan(bytes).is_bad() ? json(json::value_t::discarded) : json::from_cbor(bytes, true, false);
}

std::optional<std::int64_t> whole_number(const json& row, const char* field, std::int64_t least,
                                         std::int64_t most) {
    const json* found = find(row, field);
    if (found == nullptr || !found->is_number()) {
        return std::nullopt;
    }
    if (found->is_number_unsigned() && found->get<std::uint64_t>() > std::uint64_t(max_whole)) {
        return std::nullopt;
    }
    std::int64_t whole = 0;
    if (found->is_number_integer()) {
        whole = found->get<std::int64_t>();
    } else {
        const auto real = found->get<double>();
        if (!(std::abs(real) <= double(max_whole)) || real != std::floor(real)) {
            return std::nullopt;
        }
        whole = std::int64_t(real);
    }
    return whole >= least && whole <= most ? std::optional(whole) : std::nullopt;
}

double number(const json& row, const char* field, double fallback) {
    const json* found = find(row, field);
    if (found == nullptr || !found->is_number()) {
        return fallback;
    }
    const auto real = found->get<double>();
    constexpr double most = std::numeric_limits<int>::max();
    return std::isnan(real) ? fallback : std::clamp(real, -most, most);
}

std::string text(const json& row, const char* field) {
    const json* found = find(row, field);
    return found != nullptr && found->is_string() ? found->get<std::string>() : std::string();
}

bool flag(const json& row, const char* field) {
    const json* found = find(row, field);
    return found != nullptr && found->is_boolean() && found->get<bool>();
}

const json& list(const json& row, const char* field) {
    static const json none = json::array();
    const json* found = find(row, field);
    return found != nullptr && found->is_array() ? *found : none;
}

} // namespace tamarack::untrusted
