// Sessions of the traffic thread and the jobs that were submitted on them. Private to `traffic`.
#pragma once

#include "agent/traffic.hpp"

namespace tamarack::agent {

// A connection from an entry or from another agent.
struct traffic::session {
    std::uint64_t id_ = 0;
    std::shared_ptr<wire::connection> connection_;
    std::uint64_t last_attempt_ = 0;
    std::unordered_map<std::uint64_t, std::uint64_t> jobs_by_attempt_; // job id of each attempt number
};

// A submitted request, from its arrival to its end.
struct traffic::job {
    explicit job(boost::asio::io_context& context) : credit_timer_(context) {}

    std::uint64_t id_ = 0;
    std::weak_ptr<session> session_;
    std::shared_ptr<const wire::submit> request_;
    std::chrono::steady_clock::time_point deadline_;
    std::string item_;
    bool started_ = false;
    bool withdrawn_ = false;
    std::uint64_t credit_ = wire::initial_credit_bytes;
    boost::asio::steady_timer credit_timer_; // cancelled when credit arrives
    std::function<void()> cancel_call_;
};

} // namespace tamarack::agent
