// Simulated time for tests of state machines that get the time and their timers as parameters.
#pragma once

#include "platform/topic_follower.hpp"

#include <queue>

namespace tamarack::direct {

// Runs tasks in the order of their times, and of their numbers where the times are equal.
class virtual_time {
public:
    // Time in ms, as of `boot_now_ms`.
    time_ms now_ = 1'000'000;

    void at(time_ms due, std::function<void()> run) { tasks_.push({due, ++task_number_, std::move(run)}); }

    void run_until(time_ms until) {
        while (!tasks_.empty() && tasks_.top().due_ <= until) {
            const task next = tasks_.top();
            tasks_.pop();
            now_ = std::max(now_, next.due_);
            next.run_();
        }
        now_ = until;
    }

private:
    struct task {
        time_ms due_ = 0;
        std::uint64_t number_ = 0;
        std::function<void()> run_;
        bool operator<(const task& other) const {
            return std::tie(other.due_, other.number_) < std::tie(due_, number_);
        }
    };

    std::priority_queue<task> tasks_;
    std::uint64_t task_number_ = 0;
};

// Handlers of a follower that ignore its reports. A test sets those that it looks at.
inline platform::topic_follower::events ignoring_events() {
    platform::topic_follower::events events;
    events.records_ = [](const std::vector<platform::keyed_record>&) {};
    events.keys_ = [](const std::set<std::string>&) {};
    events.read_ = [](const platform::topic_span&) {};
    events.content_hash_ = [](const platform::keyed_record& record) {
        return std::optional(hash64(*record.value_));
    };
    events.call_ended_ = [](const result<done>&) {};
    events.rolled_back_ = [] {};
    events.skipped_ = [](const error&) {};
    return events;
}

} // namespace tamarack::direct
