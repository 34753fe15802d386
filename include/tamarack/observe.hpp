// Observation: logs with a fixed prefix for each part, and metrics in the Prometheus text format.
#pragma once

#include "tamarack/kernel.hpp"

#include <memory>

namespace tamarack {

// Starts logging to standard error; `level` is "debug", "info", "warn" or "error".
void start_logging(std::string_view level);

// One short sentence, prefixed with the part, as in "[entry] Listens on port 8080."
void log_debug(std::string_view part, const std::string& sentence);
void log_info(std::string_view part, const std::string& sentence);
void log_warning(std::string_view part, const std::string& sentence);

using labels = std::map<std::string, std::string>;

// Metrics of one process. Safe to use from all threads.
class metrics {
public:
    metrics();
    ~metrics();

    void count(const std::string& name, const std::string& help, const labels& where, double amount = 1.0);
    void set(const std::string& name, const std::string& help, const labels& where, double level);

    // Durations in ms; the histogram has one series for each set of labels, such as tenant and class.
    void observe_ms(const std::string& name, const std::string& help, const labels& where,
                    double duration_ms);

    // All metrics as Prometheus reads them.
    std::string text() const;

private:
    struct families;
    std::unique_ptr<families> families_;
};

} // namespace tamarack
