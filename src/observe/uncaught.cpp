#include "observe/uncaught.hpp"

#include "tamarack/events.hpp"

#include <exception>
#include <unistd.h>

namespace tamarack {

namespace {

std::string& process_name() {
    static std::string name;
    return name;
}

std::string current_reason() {
    try {
        if (const std::exception_ptr uncaught = std::current_exception()) {
            std::rethrow_exception(uncaught);
        }
    } catch (const std::exception& failed) {
        return failed.what();
    } catch (...) {
        return "an exception of an unknown type";
    }
    return "terminate was called without an exception";
}

[[noreturn]] void terminate_with_reason() {
    // The event log may be locked by the thread that failed, so the line does not go through it.
    const std::string line =
        to_json_line({event_kind::process, "process", "uncaught_error", {}, {{"error", current_reason()}}},
                     process_name(), steady_now_ms());
    const std::string bytes = "\n" + line + "\n";
    [[maybe_unused]] const auto written = ::write(STDOUT_FILENO, bytes.data(), bytes.size());
    std::abort();
}

} // namespace

void log_uncaught_errors(std::string process) {
    process_name() = std::move(process);
    std::set_terminate(terminate_with_reason);
}

} // namespace tamarack
