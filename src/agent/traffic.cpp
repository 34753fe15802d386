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

constexpr std::chrono::milliseconds flush_timeout{2'000};
constexpr std::chrono::milliseconds flush_interval{5};

} // namespace

traffic::traffic(const agent_settings& settings, std::uint64_t incarnation, traffic_events events)
    : settings_(settings), incarnation_(incarnation), events_(std::move(events)), context_(1),
      acceptor_(context_), work_guard_(asio::make_work_guard(context_)) {}

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

// Waits until all responses are sent and the peers have closed their connections, or until
// `flush_timeout`, and then stops the event loop.
asio::awaitable<void> traffic::flush_and_stop() {
    const auto until = std::chrono::steady_clock::now() + flush_timeout;
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
    work_guard_.reset();
    context_.stop();
}

void traffic::finish_sending() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& [id, peer] : sessions_) {
        peer->connection_->finish_sending();
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

void traffic::send_to(session& to, wire::message message) {
    to.connection_->send({config_version_, std::move(message)});
}

asio::awaitable<void> traffic::serve(std::shared_ptr<session> peer) {
    send_to(*peer, wire::hello{wire::protocol_version, settings_.id_, "agent", incarnation_});
    if (last_broadcast_) {
        send_to(*peer, *last_broadcast_);
    }
    while (true) {
        result<wire::frame> received = co_await peer->connection_->receive();
        if (!ok(received)) {
            if (failure(received).kind_ != error_kind::interrupted) {
                log_warning("agent", "Closed a connection: " + to_string(failure(received)) + ".");
            }
            break;
        }
        if (value(received).config_version_ > config_version_) {
            events_.newer_config_seen_(peer->id_, value(received).config_version_);
        }
        handle_message(peer, std::move(value(received).message_));
    }
    close_session(peer);
}

void traffic::handle_message(const std::shared_ptr<session>& peer, wire::message message) {
    if (auto* submit = std::get_if<wire::submit>(&message)) {
        handle_submit(peer, std::move(*submit));
    } else if (const auto* cancel = std::get_if<wire::cancel>(&message)) {
        handle_cancel(peer, cancel->attempt_);
    } else if (const auto* credit = std::get_if<wire::credit>(&message)) {
        auto found = peer->jobs_by_attempt_.find(credit->attempt_);
        auto running = found == peer->jobs_by_attempt_.end() ? jobs_.end() : jobs_.find(found->second);
        if (running != jobs_.end()) {
            running->second->credit_ += credit->bytes_;
            running->second->credit_timer_.cancel();
        }
    } else if (const auto* key = std::get_if<wire::key_request>(&message)) {
        events_.key_requested_(peer->id_, key->attempt_);
    } else if (const auto* drop = std::get_if<wire::drop_request>(&message)) {
        events_.drop_requested_(peer->id_, drop->request_, drop->item_);
    } else if (std::holds_alternative<wire::config_fetch>(message)) {
        events_.config_requested_(peer->id_);
    } else if (auto* state = std::get_if<wire::config_state>(&message)) {
        events_.config_received_(std::move(state->state_));
    } else if (const auto* greeting = std::get_if<wire::hello>(&message)) {
        if (greeting->protocol_ != wire::protocol_version) {
            log_warning("agent", "Process " + greeting->id_ + " uses a different protocol version.");
            peer->connection_->close();
        }
    }
}

// Ignores attempt numbers that do not exceed the highest one of the session, so that each request is
// accepted only once.
void traffic::handle_submit(const std::shared_ptr<session>& peer, wire::submit request) {
    if (request.attempt_ <= peer->last_attempt_) {
        return;
    }
    peer->last_attempt_ = request.attempt_;
    auto added = std::make_shared<job>(context_);
    added->id_ = next_job_++;
    added->session_ = peer;
    added->request_ = std::make_shared<const wire::submit>(std::move(request));
    added->deadline_ =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(added->request_->budget_ms_);
    peer->jobs_by_attempt_[added->request_->attempt_] = added->id_;
    jobs_[added->id_] = added;
    events_.submitted_(added->id_, added->request_);
}

void traffic::handle_cancel(const std::shared_ptr<session>& peer, std::uint64_t attempt) {
    auto found = peer->jobs_by_attempt_.find(attempt);
    auto found_job = found == peer->jobs_by_attempt_.end() ? jobs_.end() : jobs_.find(found->second);
    if (found_job == jobs_.end()) {
        send_to(*peer, wire::cancelled{attempt, false});
        return;
    }
    withdraw(found_job->second);
}

// Withdraws a request. If it has not started, it never runs. A started request is cancelled at the endpoint
// if it is idempotent; otherwise it runs to its end, so that its response can be replayed to a repeat of its
// key.
void traffic::withdraw(const std::shared_ptr<job>& current) {
    current->withdrawn_ = true;
    if (!current->started_) {
        events_.withdrawn_(current->id_);
        return;
    }
    reply(current, wire::cancelled{current->request_->attempt_, false});
    if (current->request_->idempotent_ && current->cancel_call_) {
        current->cancel_call_();
        current->credit_timer_.cancel();
    }
}

void traffic::close_session(const std::shared_ptr<session>& closed) {
    closed->connection_->close();
    sessions_.erase(closed->id_);
    const auto attempts = std::exchange(closed->jobs_by_attempt_, {});
    for (const auto& [attempt, id] : attempts) {
        auto found = jobs_.find(id);
        if (found != jobs_.end()) {
            withdraw(found->second);
        }
    }
}

std::shared_ptr<traffic::job> traffic::remove_job(std::uint64_t id) {
    auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return nullptr;
    }
    std::shared_ptr<job> current = found->second;
    jobs_.erase(found);
    if (auto peer = current->session_.lock()) {
        peer->jobs_by_attempt_.erase(current->request_->attempt_);
    }
    return current;
}

void traffic::reply(const std::shared_ptr<job>& current, wire::message message) {
    if (auto peer = current->session_.lock()) {
        send_to(*peer, std::move(message));
    }
}

void traffic::start(std::uint64_t id, std::string item) {
    asio::post(context_, [this, id, item = std::move(item)] {
        auto found = jobs_.find(id);
        if (found == jobs_.end()) {
            return;
        }
        const std::shared_ptr<job> current = found->second;
        if (current->withdrawn_) {
            reply(current, wire::cancelled{current->request_->attempt_, true});
            finish_job(current, run_outcome::not_run, 0, {});
            return;
        }
        current->started_ = true;
        current->item_ = item;
        asio::co_spawn(context_, run_job(current), asio::detached);
    });
}

void traffic::refuse(std::uint64_t id, refusal_reason reason, std::int64_t retry_after_ms,
                     std::string redirect) {
    asio::post(context_, [this, id, reason, retry_after_ms, redirect = std::move(redirect)] {
        if (auto current = remove_job(id)) {
            reply(current,
                  wire::refused{current->request_->attempt_, std::uint8_t(reason), retry_after_ms, redirect});
        }
    });
}

void traffic::fail(std::uint64_t id, std::string detail) {
    asio::post(context_, [this, id, detail = std::move(detail)] {
        if (auto current = remove_job(id)) {
            reply(current, wire::failed{current->request_->attempt_, detail});
        }
    });
}

void traffic::replay(std::uint64_t id, stored_response stored) {
    asio::post(context_, [this, id, stored = std::move(stored)] {
        auto current = remove_job(id);
        if (!current) {
            return;
        }
        const std::uint64_t attempt = current->request_->attempt_;
        reply(current, wire::head{attempt, stored.status_, stored.content_type_, {}});
        reply(current, wire::chunk{attempt, 0, stored.body_});
        reply(current, wire::end{attempt, 1});
    });
}

void traffic::confirm_withdrawal(std::uint64_t id) {
    asio::post(context_, [this, id] {
        if (auto current = remove_job(id)) {
            reply(current, wire::cancelled{current->request_->attempt_, true});
        }
    });
}

void traffic::send(std::uint64_t session_id, wire::message message) {
    asio::post(context_, [this, session_id, message = std::move(message)] {
        auto found = sessions_.find(session_id);
        if (found != sessions_.end()) {
            send_to(*found->second, message);
        }
    });
}

void traffic::broadcast(wire::message message) {
    asio::post(context_, [this, message = std::move(message)] {
        last_broadcast_ = message;
        for (const auto& [id, peer] : sessions_) {
            send_to(*peer, message);
        }
    });
}

void traffic::heartbeat(wire::message message) {
    asio::post(context_, [this, message = std::move(message)] {
        for (const auto& [id, peer] : sessions_) {
            send_to(*peer, message);
        }
    });
}

void traffic::set_config_version(std::int64_t version) {
    asio::post(context_, [this, version] { config_version_ = version; });
}

} // namespace tamarack::agent
