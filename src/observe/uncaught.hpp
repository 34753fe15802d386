// Tells why a process ends by itself.
#pragma once

#include <string>

namespace tamarack {

// From now on, an uncaught exception in any thread writes a line with its reason to standard output before it
// ends the process. `process` names the process in that line.
void log_uncaught_errors(std::string process);

} // namespace tamarack
