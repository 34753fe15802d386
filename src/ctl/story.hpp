// The story of one request from the event lines of several processes.
#pragma once

#include <chrono>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::ctl {

// Lines that name the request, and what its processes came to know shortly before, each process in its own
// order. Text before a line's JSON object, as log collectors add it, is kept; lines without one are passed
// over.
std::vector<std::string> select_request_lines(std::span<const std::string> lines, std::string_view request,
                                              std::chrono::milliseconds context);

} // namespace tamarack::ctl
