#include "tamarack/events.hpp"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <mutex>

namespace tamarack {

namespace {

constexpr std::array<std::string_view, event_kind_count> suppressed_count_names = {
    "process_lines", "dependency_lines", "belief_lines", "admission_lines",
    "sending_lines", "ending_lines",     "order_lines"};

constexpr std::size_t max_field_text_bytes = 200;
constexpr std::size_t max_queued_bytes = 512 * 1024;     // size of the lines not yet written
constexpr std::chrono::milliseconds write_interval{250}; // batches lines to reduce the number of writes

nlohmann::ordered_json to_json(const event_field& field) {
    if (const auto* text = std::get_if<std::string>(&field.value_)) {
        return text->substr(0, max_field_text_bytes);
    }
    if (const auto* number = std::get_if<std::int64_t>(&field.value_)) {
        return *number;
    }
    if (const auto* state = std::get_if<bool>(&field.value_)) {
        return *state;
    }
    return std::get<double>(field.value_);
}

} // namespace

std::string_view to_string(event_kind kind) {
    switch (kind) {
    case event_kind::process:
        return "process";
    case event_kind::dependency:
        return "dependency";
    case event_kind::fleet_view:
        return "belief";
    case event_kind::admission:
        return "admission";
    case event_kind::sending:
        return "sending";
    case event_kind::ending:
        return "ending";
    case event_kind::order:
        return "order";
    }
    return "unknown";
}

std::string to_json_line(const event& one, std::string_view process, time_ms now) {
    nlohmann::ordered_json line;
    line["at_ms"] = now;
    line["process"] = process;
    line["kind"] = to_string(one.kind_);
    line["part"] = one.part_;
    line["decision"] = one.decision_;
    if (!one.request_.empty()) {
        line["request"] = one.request_.substr(0, max_field_text_bytes);
    }
    for (const event_field& field : one.fields_) {
        line[std::string(field.name_)] = to_json(field);
    }
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

event_limiter::event_limiter(event_rate rate) : rate_(rate) {
    for (bucket& one : buckets_) {
        one.tokens_ = rate.burst_;
    }
}

bool event_limiter::allow(event_kind kind, time_ms now) {
    bucket& one = buckets_[std::size_t(kind)];
    const double refill = rate_.lines_per_s_ * double(std::max<time_ms>(0, now - one.refilled_at_)) / 1'000;
    one.tokens_ = std::min(rate_.burst_, one.tokens_ + refill);
    one.refilled_at_ = now;
    if (one.tokens_ < 1) {
        ++suppressed_[std::size_t(kind)];
        return false;
    }
    one.tokens_ -= 1;
    return true;
}

std::array<std::int64_t, event_kind_count> event_limiter::take_suppressed() {
    return std::exchange(suppressed_, {});
}

struct event_log::state {
    state(std::string process, event_rate rate, sink write)
        : process_(std::move(process)), sink_(std::move(write)), limiter_(rate) {}

    void run();
    std::string suppressed_line();

    const std::string process_;
    const sink sink_;
    std::mutex mutex_;
    std::condition_variable wakeup_;
    std::condition_variable finished_;
    event_limiter limiter_;
    std::string queued_;
    std::int64_t overflowed_ = 0;
    bool writing_ = false;
    bool stopping_ = false;
};

event_log::event_log(std::string process, event_rate rate, sink write)
    : state_(std::make_shared<state>(std::move(process), rate, std::move(write))),
      thread_([shared = state_] { shared->run(); }) {}

event_log::~event_log() {
    constexpr std::chrono::milliseconds last_write_limit{200};
    stop(last_write_limit);
}

void event_log::write(const event& one) {
    const time_ms now = steady_now_ms();
    const std::lock_guard lock(state_->mutex_);
    if (state_->stopping_ || !state_->limiter_.allow(one.kind_, now)) {
        return;
    }
    if (state_->queued_.size() > max_queued_bytes) {
        ++state_->overflowed_;
        return;
    }
    state_->queued_ += to_json_line(one, state_->process_, now);
    state_->queued_ += '\n';
}

std::string event_log::state::suppressed_line() {
    event report{event_kind::process, "log", "lines_left_out", {}, {}};
    const auto suppressed = limiter_.take_suppressed();
    for (std::size_t kind = 0; kind < event_kind_count; ++kind) {
        if (suppressed[kind] > 0) {
            report.fields_.emplace_back(suppressed_count_names[kind], suppressed[kind]);
        }
    }
    if (overflowed_ > 0) {
        report.fields_.emplace_back("output_not_read", std::exchange(overflowed_, 0));
    }
    return report.fields_.empty() ? std::string() : to_json_line(report, process_, steady_now_ms()) + "\n";
}

void event_log::state::run() {
    std::unique_lock lock(mutex_);
    while (true) {
        wakeup_.wait_for(lock, write_interval, [this] { return stopping_; });
        std::string lines = std::exchange(queued_, {});
        lines += suppressed_line();
        if (!lines.empty()) {
            lines.pop_back();
            writing_ = true;
            lock.unlock();
            sink_(lines);
            lock.lock();
            writing_ = false;
        }
        if (stopping_ && queued_.empty()) {
            finished_.notify_all();
            return;
        }
    }
}

void event_log::stop(std::chrono::milliseconds limit) {
    if (!thread_.joinable()) {
        return;
    }
    std::unique_lock lock(state_->mutex_);
    state_->stopping_ = true;
    state_->wakeup_.notify_all();
    const bool written = state_->finished_.wait_for(
        lock, limit, [this] { return state_->queued_.empty() && !state_->writing_; });
    lock.unlock();
    if (written) {
        thread_.join();
    } else {
        thread_.detach(); // a write is blocked by the reader of the output; the process must still exit
    }
}

event_log::sink standard_output_sink() {
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
    const auto appender =
        std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("events");
    logger->setAdditivity(false);
    logger->addAppender(appender);
    logger->setLevel(log4cxx::Level::getInfo());
    return [logger](const std::string& lines) { LOG4CXX_INFO(logger, lines); };
}

} // namespace tamarack
