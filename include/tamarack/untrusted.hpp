// Untrusted: reads documents that other programs write. Whatever they hold, the reader neither ends nor
// overflows: depth is bounded, since copies and destruction of a document recurse, the number of values is
// bounded, since a parsed value takes up to a hundred times the memory of its bytes, and numbers are checked
// before they are converted.
#pragma once

#include "tamarack/kernel.hpp"

#include <nlohmann/json.hpp>

#include <optional>

namespace tamarack::untrusted {

// Deepest nesting of arrays and objects that is read.
inline constexpr int max_depth = 64;

// Most values of a document that is read. The configuration of thousands of routes and models fits.
inline constexpr std::size_t max_values = 250'000;

// Parses JSON. Returns a discarded value, which is neither an object nor an array, if the text is malformed,
// nested deeper than `max_depth` or has more than about `max_values` values.
nlohmann::json parse_json(std::string_view text);

// Parses JSON whose strings may hold bytes that are not UTF-8, since they come from other writers than the
// document. Each such byte becomes a code point of its own at the end of the last private use area (U+10FF00
// to U+10FFFF), which `to_bytes` turns back. No writer is expected to use these code points otherwise.
nlohmann::json parse_json_with_bytes(std::string_view text);
std::string to_bytes(std::string_view text);

// The same as `parse_json` for CBOR.
nlohmann::json parse_cbor(std::string_view bytes);

// Whole numbers up to this size are exact also where a writer keeps them as floating-point numbers.
inline constexpr std::int64_t max_whole = 1LL << 53;

// A field that holds a whole number from `least` to `most`, as an integer or a floating-point number. Returns
// nothing if the field is missing or holds something else.
std::optional<std::int64_t> whole_number(const nlohmann::json& row, const char* field, std::int64_t least = 0,
                                         std::int64_t most = max_whole);

// A field that holds any number, cut to the range of `int`. Returns `fallback` if there is none.
double number(const nlohmann::json& row, const char* field, double fallback);

// Fields of these types; empty or false if the field is missing or has another type.
std::string text(const nlohmann::json& row, const char* field);
bool flag(const nlohmann::json& row, const char* field);
const nlohmann::json& list(const nlohmann::json& row, const char* field);

} // namespace tamarack::untrusted
