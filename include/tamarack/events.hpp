// Events: one JSON line on standard output for each decision, bounded in volume and never blocking.
#pragma once

#include "tamarack/kernel.hpp"

#include <array>
#include <memory>
#include <thread>

namespace tamarack {

// What a line is about. Each kind has its own rate, so that a busy kind cannot crowd out a rare one.
enum class event_kind {
    process,    // start, stop, reload
    dependency, // one lost or regained
    fleet_view, // a changed view of the fleet: configuration, endpoint, plan
    admission,  // a request taken, held or refused
    sending,    // a request sent to an endpoint, and how that ended
    ending,     // the final answer of a request
    order,      // an order to an engine, and its outcome
};

inline constexpr std::size_t event_kind_count = 7;

std::string_view to_string(event_kind kind);

// One named input or outcome of a decision. Text is bounded and escaped when it is written.
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
    std::string_view part_;     // of the program, as "entry" or "planner"
    std::string_view decision_; // what was decided
    std::string_view request_;  // the request's id; empty if none is touched
    std::vector<event_field> fields_;
};

// The line for an event, without its end of line.
std::string to_json_line(const event& one, std::string_view process, time_ms now);

// Lines of each kind that may be written, as a token bucket. Source: about ten times the lines of a node at
// the design's peak of 39 requests a second.
struct event_rate {
    double lines_per_s_ = 300;
    double burst_ = 600;
};

// Decides which lines are left out. Pure.
class event_limiter {
public:
    explicit event_limiter(event_rate rate);

    // Whether a line of this kind may be written now; counts it as left out otherwise.
    bool allow(event_kind kind, time_ms now);

    // Lines left out since the last call, by kind.
    std::array<std::int64_t, event_kind_count> take_left_out();

private:
    struct bucket {
        double tokens_ = 0;
        time_ms filled_at_ = 0;
    };

    event_rate rate_;
    std::array<bucket, event_kind_count> buckets_;
    std::array<std::int64_t, event_kind_count> left_out_{};
};

// Writes lines from a thread of its own. An output that nobody reads costs nothing but counts.
class event_log {
public:
    using sink = std::function<void(const std::string& lines)>;

    // `process` names this process in each line; `write` may block.
    event_log(std::string process, event_rate rate, sink write);
    ~event_log();

    // From any thread.
    void write(const event& one);

    // Writes what is queued, waiting at most `limit`, and ends the thread.
    void stop(std::chrono::milliseconds limit);

private:
    struct state;

    std::shared_ptr<state> state_; // shared with the thread, which may be stuck in a write when the log ends
    std::thread thread_;
};

// Writes to standard output through log4cxx.
event_log::sink standard_output_sink();

} // namespace tamarack
