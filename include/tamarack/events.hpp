// Events: one JSON line on standard output for each decision. The rate is limited and writing never blocks.
#pragma once

#include "tamarack/kernel.hpp"

#include <array>
#include <memory>
#include <thread>

namespace tamarack {

// Category of an event. Each kind has its own rate limit, so that a frequent kind cannot displace a rare one.
enum class event_kind {
    process,    // start, stop, reload
    dependency, // a dependency lost or regained
    fleet_view, // a change in the view of the fleet: configuration, endpoint, plan; written as "belief"
    admission,  // a request accepted, queued or refused
    sending,    // an attempt to send a request to an endpoint, and its outcome
    ending,     // the final response to a request
    order,      // an order to an engine, and its outcome
};

inline constexpr std::size_t event_kind_count = 7;

std::string_view to_string(event_kind kind);

// A named input or outcome of a decision. Text is truncated and escaped when the event is written.
struct event_field {
    event_field(std::string_view name, std::string_view text) : name_(name), value_(std::string(text)) {}
    event_field(std::string_view name, const char* text) : name_(name), value_(std::string(text)) {}
    event_field(std::string_view name, const std::string& text) : name_(name), value_(text) {}
    event_field(std::string_view name, bool state) : name_(name), value_(state) {}
    event_field(std::string_view name, double number) : name_(name), value_(number) {}
    event_field(std::string_view name, std::int64_t number) : name_(name), value_(number) {}
    event_field(std::string_view name, int number) : name_(name), value_(std::int64_t(number)) {}

    std::string_view name_;
    std::variant<std::int64_t, double, bool, std::string> value_;
};

struct event {
    event_kind kind_;
    std::string_view part_;     // part of the program, such as "entry" or "planner"
    std::string_view decision_; // name of the decision
    std::string_view request_;  // id of the request; empty if the event concerns none
    std::vector<event_field> fields_;
};

// Formats an event as one line of JSON without the line break.
std::string to_json_line(const event& one, std::string_view process, time_ms now);

// Token bucket that limits the lines of each kind. The default rate is about ten times the lines of one
// instance at the design peak of 39 requests per second.
struct event_rate {
    double lines_per_s_ = 300;
    double burst_ = 600;
};

// Rate limiter that decides which lines are suppressed. The caller passes in the time.
class event_limiter {
public:
    explicit event_limiter(event_rate rate);

    // Whether a line of this kind may be written now. Counts it as suppressed otherwise.
    bool allow(event_kind kind, time_ms now);

    // Returns the number of suppressed lines by kind and resets it.
    std::array<std::int64_t, event_kind_count> take_suppressed();

private:
    struct bucket {
        double tokens_ = 0;
        time_ms refilled_at_ = 0;
    };

    event_rate rate_;
    std::array<bucket, event_kind_count> buckets_;
    std::array<std::int64_t, event_kind_count> suppressed_{};
};

// Writes events from its own thread. If the output is not read, lines beyond the buffer are dropped and
// counted.
class event_log {
public:
    using sink = std::function<void(const std::string& lines)>;

    // `process` names this process in each line; `write` may block.
    event_log(std::string process, event_rate rate, sink write);
    ~event_log();

    // Queues an event without waiting for the output. Thread-safe.
    void write(const event& one);

    // Writes the queued lines, waiting at most `limit`, and stops the thread.
    void stop(std::chrono::milliseconds limit);

private:
    struct state;

    std::shared_ptr<state> state_; // shared with the thread, which may outlive the log while a write blocks
    std::thread thread_;
};

// Writes to standard output through log4cxx.
event_log::sink standard_output_sink();

} // namespace tamarack
