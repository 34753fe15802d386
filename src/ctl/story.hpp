// Selection of one request's event lines from the logs of several processes.
#pragma once

#include <chrono>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::ctl {

// Returns the event lines of the request. Adds the lines on dependencies, fleet views, orders and the process
// itself that the same processes wrote meanwhile, or within `context` before their first line of the request.
// Lines are grouped by process and sorted by time. Text before a line's JSON object, as log collectors add
// it, is kept; lines that hold no event are skipped.
std::vector<std::string> select_request_lines(std::span<const std::string> lines, std::string_view request,
                                              std::chrono::milliseconds context);

} // namespace tamarack::ctl
