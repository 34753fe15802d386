// Observability: logs prefixed with the part of the program, and metrics in the Prometheus text format.
#pragma once

#include "tamarack/kernel.hpp"

#include <memory>

namespace tamarack {

// Starts logging to standard error; `level` is "debug", "info", "warn" or "error".
void start_logging(std::string_view level);

// Logs one short sentence, prefixed with the part of the program, as in "[entry] Listening on port 8080."
void log_debug(std::string_view part, const std::string& sentence);
void log_info(std::string_view part, const std::string& sentence);
void log_warning(std::string_view part, const std::string& sentence);

using labels = std::map<std::string, std::string>;

// Metrics of one process. Thread-safe.
class metrics {
public:
    metrics();
    ~metrics();

    // Adds `amount` to a counter, which has one series for each set of labels. `help` describes the metric.
    void count(const std::string& name, const std::string& help, const labels& label_values,
               double amount = 1.0);

    // Sets a gauge, which has one series for each set of labels, to `level`.
    void set(const std::string& name, const std::string& help, const labels& label_values, double level);

    // Adds a duration in ms to a histogram, which has one series for each set of labels, for example tenant
    // and class.
    void observe_ms(const std::string& name, const std::string& help, const labels& label_values,
                    double duration_ms);

    // All metrics in the Prometheus text format.
    std::string text() const;

private:
    struct families;
    std::unique_ptr<families> families_;
};

} // namespace tamarack
