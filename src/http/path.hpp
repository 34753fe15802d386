// Paths of requests, as different receivers read them.
#pragma once

#include <string>
#include <string_view>

namespace tamarack::http {

// The path as a receiver reads it that decodes percent-encoding first and takes a backslash, or several
// slashes in a row, for a slash.
std::string decoded_path(std::string_view path);

} // namespace tamarack::http
