// Documents that other programs write and that are not as they should be.
#pragma once

#include <string>

namespace tamarack::direct {

inline std::string nested_arrays(int depth) {
    return std::string(std::size_t(depth), '[') + std::string(std::size_t(depth), ']');
}

// An otherwise sound entry with one odd field.
inline std::string odd_entry(const std::string& field, const std::string& odd) {
    std::string entry = R"({"service":"svc","address":"127.0.0.1:9","state":"ready","slots":4,"born":10,)";
    const std::size_t known = entry.find("\"" + field + "\":");
    if (known != std::string::npos) {
        entry.erase(known, entry.find(',', known) + 1 - known);
    }
    return entry + "\"" + field + "\":" + odd + "}";
}

} // namespace tamarack::direct
