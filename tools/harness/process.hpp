// A child process of a test or of the demo, ended with it.
#pragma once

#include <csignal>
#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

namespace tamarack::harness {

class process {
public:
    process() = default;

    // Starts a program; its standard error goes to `log_file`, and its standard output too if
    // `output_to_log`.
    process(const std::string& program, std::vector<std::string> arguments, const std::string& log_file,
            bool output_to_log = false);
    ~process();
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;

    // Sends a signal to this process only.
    void signal(int number) const;

    // Ends it at once, without any chance to clean up.
    void kill();

    // Waits for its end and returns the exit code, or -1 for an end by a signal.
    int wait();

    bool running();

    // The next line that it prints to standard output; empty at the end.
    std::string read_line();

    // Everything that it prints to standard output until its end.
    std::string read_all();

    pid_t pid() const { return pid_; }

private:
    pid_t pid_ = -1;
    int output_ = -1;
};

// Resident memory of a process in KB, and the processor time that it used in ms.
std::int64_t resident_kb(pid_t pid);
std::int64_t peak_kb(pid_t pid); // the most resident memory so far
std::int64_t cpu_ms(pid_t pid);

} // namespace tamarack::harness
