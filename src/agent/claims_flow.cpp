// Claims of callers' own keys: many claims go into one record of the log, and the log is read back to see who
// was first.
#include "agent/control.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace tamarack::agent {

namespace asio = boost::asio;

namespace {

constexpr std::int64_t claims_retry_after_ms = 2'000;

// After an append whose answer was lost, the log is read back so many times before the claims are given up.
constexpr int read_back_tries = 3;

} // namespace

void control::queue_claim(std::uint64_t id) {
    claims_waiting_.push_back(id);
    if (!settling_claims_) {
        settling_claims_ = true;
        asio::co_spawn(context_, settle_claims(), asio::detached);
    }
}

asio::awaitable<void> control::settle_claims() {
    while (!claims_waiting_.empty()) {
        co_await settle_batch(std::exchange(claims_waiting_, {}));
    }
    settling_claims_ = false;
}

// Reads the claims stream until it has no more, or at least past `through`. Returns whether that succeeded.
asio::awaitable<bool> control::read_claims(std::int64_t through) {
    while (true) {
        const std::int64_t from = claims_.next_offset();
        result<log_batch> batch =
            co_await log_.read_(claims_stream(settings_.pool_), from, std::chrono::milliseconds(0));
        if (!ok(batch)) {
            co_return false;
        }
        claims_.apply_records(value(batch).first_retained_, value(batch).now_ms_, value(batch).records_);
        const bool at_end = claims_.next_offset() >= value(batch).next_;
        if (at_end) {
            co_return claims_.next_offset() > through;
        }
    }
}

asio::awaitable<void> control::settle_batch(std::vector<std::uint64_t> batch) {
    const bool read = co_await read_claims(-1);
    std::erase_if(batch, [this](std::uint64_t id) { return !pending_.contains(id); });
    if (!read) {
        for (std::uint64_t id : batch) {
            refuse(id, refusal_reason::claims_down, claims_retry_after_ms);
        }
        co_return;
    }
    const std::vector<claim> claims = begin_claims(batch);
    if (claims.empty()) {
        co_return;
    }
    const result<std::int64_t> appended =
        co_await log_.append_(claims_stream(settings_.pool_), encode_claims(claims));
    const std::int64_t through = ok(appended) ? value(appended) : -1;
    for (int tries = 0; tries < read_back_tries; ++tries) {
        const bool read_back = co_await read_claims(through);
        const bool all_found = std::all_of(claims.begin(), claims.end(), [this](const claim& one) {
            return claims_.find(one.key_) != nullptr;
        });
        if (read_back && all_found) {
            break;
        }
    }
    resolve_claims(batch);
}

// Decides what needs no claim and returns the claims to append; `batch` keeps the requests that wait for
// them.
std::vector<claim> control::begin_claims(std::vector<std::uint64_t>& batch) {
    std::vector<claim> claims;
    std::vector<std::uint64_t> waiting;
    for (std::uint64_t id : batch) {
        pending_request& pending = pending_.at(id);
        const key_digest key = *pending.key_;
        if (check_key_age(claims_, pending.request_->key_issued_ms_) != key_age::valid) {
            pending.key_.reset();
            refuse(id, refusal_reason::key_too_old, 0);
            continue;
        }
        const run_decision decision = runs_.begin_claimed(key, pending.body_hash_, claims_, steady_now_ms());
        if (!std::holds_alternative<claim_first>(decision)) {
            act(id, decision);
            continue;
        }
        claims.push_back({key, pending.body_hash_, incarnation_, settings_.id_});
        waiting.push_back(id);
    }
    batch = std::move(waiting);
    return claims;
}

void control::resolve_claims(const std::vector<std::uint64_t>& batch) {
    for (std::uint64_t id : batch) {
        auto found = pending_.find(id);
        if (found == pending_.end()) {
            continue;
        }
        const key_digest key = *found->second.key_;
        if (claims_.find(key) == nullptr) {
            refuse(id, refusal_reason::claims_down, claims_retry_after_ms);
            continue;
        }
        act(id, runs_.resolve_claim(key, found->second.body_hash_, claims_));
    }
}

} // namespace tamarack::agent
