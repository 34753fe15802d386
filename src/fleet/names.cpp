#include "tamarack/fleet.hpp"

#include <algorithm>

namespace tamarack::fleet {

std::optional<plain_name> plain_name::parse(std::string_view text) {
    const bool plain = std::all_of(text.begin(), text.end(), [](char letter) {
        return letter > ' ' && letter < '\x7f' && letter != '/';
    });
    if (text.empty() || text.size() > max_bytes || !plain) {
        return std::nullopt;
    }
    plain_name name;
    name.text_ = text;
    return name;
}

} // namespace tamarack::fleet
