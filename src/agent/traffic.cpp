#include "agent/traffic.hpp"

#include "agent/job.hpp"
#include "tamarack/observe.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace tamarack::agent {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds flush_limit{2'000};
constexpr std::chrono::milliseconds flush_interval{5};

} // namespace

traffic::traffic(const agent_settings& settings, std::uint64_t incarnation, traffic_events events)
    : settings_(settings), incarnation_(incarnation), events_(std::move(events)), context_(1),
      acceptor_(context_), work_(asio::make_work_guard(context_)) {}

result<done> traffic::listen() {
    boost::system::error_code failed;
    acceptor_.open(settings_.listen_.protocol(), failed);
    if (!failed) {
        acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true), failed);
        acceptor_.bind(settings_.listen_, failed);
    }
    if (!failed) {
        acceptor_.listen(asio::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        return error{error_kind::unavailable, "cannot listen for entries: " + failed.message(),
                     "choose a free address in the settings"};
    }
    asio::co_spawn(context_, accept_loop(), asio::detached);
    return done{};
}

void traffic::run() {
    context_.run();
}

void traffic::stop() {
    asio::co_spawn(context_, flush_and_stop(), asio::detached);
}

// The last answers are written and read by the other side before the thread ends.
asio::awaitable<void> traffic::flush_and_stop() {
    const auto until = std::chrono::steady_clock::now() + flush_limit;
    const auto unsent = [](const auto& entry) { return entry.second->connection_->sending(); };
    asio::steady_timer pause(context_);
    bool finished = false;
    while (!sessions_.empty() && std::chrono::steady_clock::now() < until) {
        if (!finished && std::none_of(sessions_.begin(), sessions_.end(), unsent)) {
            finish_sending();
            finished = true;
        }
        pause.expires_after(flush_interval);
        co_await pause.async_wait(asio::use_awaitable);
    }
    work_.reset();
    context_.stop();
}

void traffic::finish_sending() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& [id, to] : sessions_) {
        to->connection_->finish_sending();
    }
}

asio::awaitable<void> traffic::accept_loop() {
    while (true) {
        auto [failed, socket] = co_await acceptor_.async_accept(asio::as_tuple(asio::use_awaitable));
        if (failed == asio::error::operation_aborted) {
            co_return;
        }
        if (failed) {
            continue;
        }
        auto accepted = std::make_shared<session>();
        accepted->id_ = next_session_++;
        accepted->connection_ = std::make_shared<wire::connection>(std::move(socket));
        sessions_[accepted->id_] = accepted;
        asio::co_spawn(context_, serve(accepted), asio::detached);
    }
}

void traffic::send_on(session& to, wire::message message) {
    to.connection_->send({config_version_, std::move(message)});
}

asio::awaitable<void> traffic::serve(std::shared_ptr<session> from) {
    send_on(*from, wire::hello{wire::protocol_version, settings_.id_, "agent", incarnation_});
    if (last_broadcast_) {
        send_on(*from, *last_broadcast_);
    }
    while (true) {
        result<wire::frame> received = co_await from->connection_->receive();
        if (!ok(received)) {
            if (failure(received).kind_ != error_kind::interrupted) {
                log_warning("agent", "A connection was closed: " + to_string(failure(received)) + ".");
            }
            break;
        }
        if (value(received).config_version_ > config_version_) {
            events_.peer_version_(from->id_, value(received).config_version_);
        }
        take(from, std::move(value(received).message_));
    }
    lose(from);
}

void traffic::take(const std::shared_ptr<session>& from, wire::message message) {
    if (auto* submit = std::get_if<wire::submit>(&message)) {
        take_submit(from, std::move(*submit));
    } else if (const auto* cancel = std::get_if<wire::cancel>(&message)) {
        take_cancel(from, cancel->attempt_);
    } else if (const auto* credit = std::get_if<wire::credit>(&message)) {
        auto found = from->attempts_.find(credit->attempt_);
        auto running = found == from->attempts_.end() ? jobs_.end() : jobs_.find(found->second);
        if (running != jobs_.end()) {
            running->second->credit_ += credit->bytes_;
            running->second->wake_.cancel();
        }
    } else if (const auto* key = std::get_if<wire::key_request>(&message)) {
        events_.key_requested_(from->id_, key->attempt_);
    } else if (const auto* drop = std::get_if<wire::drop_request>(&message)) {
        events_.drop_requested_(from->id_, drop->request_, drop->item_);
    } else if (std::holds_alternative<wire::config_fetch>(message)) {
        events_.config_requested_(from->id_);
    } else if (auto* state = std::get_if<wire::config_state>(&message)) {
        events_.config_received_(std::move(state->state_));
    } else if (const auto* greeting = std::get_if<wire::hello>(&message)) {
        if (greeting->protocol_ != wire::protocol_version) {
            log_warning("agent", "Process " + greeting->id_ + " speaks another protocol version.");
            from->connection_->close();
        }
    }
}

// An attempt number that the session used before is dropped: a request is taken once.
void traffic::take_submit(const std::shared_ptr<session>& from, wire::submit request) {
    if (request.attempt_ <= from->last_attempt_) {
        return;
    }
    from->last_attempt_ = request.attempt_;
    auto taken = std::make_shared<job>(context_);
    taken->id_ = next_job_++;
    taken->from_ = from;
    taken->request_ = std::make_shared<const wire::submit>(std::move(request));
    taken->deadline_ =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(taken->request_->budget_ms_);
    from->attempts_[taken->request_->attempt_] = taken->id_;
    jobs_[taken->id_] = taken;
    events_.submitted_(taken->id_, taken->request_);
}

void traffic::take_cancel(const std::shared_ptr<session>& from, std::uint64_t attempt) {
    auto found = from->attempts_.find(attempt);
    auto named = found == from->attempts_.end() ? jobs_.end() : jobs_.find(found->second);
    if (named == jobs_.end()) {
        send_on(*from, wire::cancelled{attempt, false});
        return;
    }
    withdraw(named->second);
}

// A request that may be repeated is stopped at the endpoint; another one runs to its end, so that its answer
// can be given to a repeat of its key.
void traffic::withdraw(const std::shared_ptr<job>& one) {
    one->withdrawn_ = true;
    if (!one->started_) {
        events_.withdrawn_(one->id_);
        return;
    }
    answer(one, wire::cancelled{one->request_->attempt_, false});
    if (one->request_->idempotent_ && one->cancel_call_) {
        one->cancel_call_();
        one->wake_.cancel();
    }
}

void traffic::lose(const std::shared_ptr<session>& lost) {
    lost->connection_->close();
    sessions_.erase(lost->id_);
    const auto attempts = std::exchange(lost->attempts_, {});
    for (const auto& [attempt, id] : attempts) {
        auto found = jobs_.find(id);
        if (found != jobs_.end()) {
            withdraw(found->second);
        }
    }
}

std::shared_ptr<traffic::job> traffic::take_job(std::uint64_t id) {
    auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return nullptr;
    }
    std::shared_ptr<job> one = found->second;
    jobs_.erase(found);
    if (auto from = one->from_.lock()) {
        from->attempts_.erase(one->request_->attempt_);
    }
    return one;
}

void traffic::answer(const std::shared_ptr<job>& one, wire::message message) {
    if (auto from = one->from_.lock()) {
        send_on(*from, std::move(message));
    }
}

void traffic::start(std::uint64_t id, std::string item) {
    asio::post(context_, [this, id, item = std::move(item)] {
        auto found = jobs_.find(id);
        if (found == jobs_.end()) {
            return;
        }
        const std::shared_ptr<job> one = found->second;
        if (one->withdrawn_) {
            answer(one, wire::cancelled{one->request_->attempt_, true});
            finish_job(one, run_end::not_run, 0, {});
            return;
        }
        one->started_ = true;
        one->item_ = item;
        asio::co_spawn(context_, run_job(one), asio::detached);
    });
}

void traffic::refuse(std::uint64_t id, refusal_reason reason, std::int64_t retry_after_ms,
                     std::string redirect) {
    asio::post(context_, [this, id, reason, retry_after_ms, redirect = std::move(redirect)] {
        if (auto one = take_job(id)) {
            answer(one,
                   wire::refused{one->request_->attempt_, std::uint8_t(reason), retry_after_ms, redirect});
        }
    });
}

void traffic::fail(std::uint64_t id, std::string detail) {
    asio::post(context_, [this, id, detail = std::move(detail)] {
        if (auto one = take_job(id)) {
            answer(one, wire::failed{one->request_->attempt_, detail});
        }
    });
}

void traffic::replay(std::uint64_t id, stored_response stored) {
    asio::post(context_, [this, id, stored = std::move(stored)] {
        auto one = take_job(id);
        if (!one) {
            return;
        }
        const std::uint64_t attempt = one->request_->attempt_;
        answer(one, wire::head{attempt, stored.status_, stored.content_type_, {}});
        answer(one, wire::chunk{attempt, 0, stored.body_});
        answer(one, wire::end{attempt, 1});
    });
}

void traffic::confirm_withdrawal(std::uint64_t id) {
    asio::post(context_, [this, id] {
        if (auto one = take_job(id)) {
            answer(one, wire::cancelled{one->request_->attempt_, true});
        }
    });
}

void traffic::send(std::uint64_t to, wire::message message) {
    asio::post(context_, [this, to, message = std::move(message)] {
        auto found = sessions_.find(to);
        if (found != sessions_.end()) {
            send_on(*found->second, message);
        }
    });
}

void traffic::broadcast(wire::message message) {
    asio::post(context_, [this, message = std::move(message)] {
        last_broadcast_ = message;
        for (const auto& [id, to] : sessions_) {
            send_on(*to, message);
        }
    });
}

void traffic::heartbeat(wire::message message) {
    asio::post(context_, [this, message = std::move(message)] {
        for (const auto& [id, to] : sessions_) {
            send_on(*to, message);
        }
    });
}

void traffic::set_config_version(std::int64_t version) {
    asio::post(context_, [this, version] { config_version_ = version; });
}

} // namespace tamarack::agent
