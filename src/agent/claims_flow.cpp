// Claims of keys that callers chose. Claims are appended to the log in batches, one record for each batch;
// reading the log back shows which agent claimed a key first.
#include "agent/control.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace tamarack::agent {

namespace asio = boost::asio;

namespace {

constexpr std::int64_t claims_retry_after_ms = 2'000;

// Maximum number of times that the claims stream is read to its end after an append, which may have succeeded
// although its response was lost. Claims that are still missing then are refused.
constexpr int max_read_back_attempts = 3;

} // namespace

void control::queue_claim(std::uint64_t id) {
    queued_claims_.push_back(id);
    if (!processing_claims_) {
        processing_claims_ = true;
        asio::co_spawn(context_, process_claims(), asio::detached);
    }
}

asio::awaitable<void> control::process_claims() {
    while (!queued_claims_.empty()) {
        co_await process_claim_batch(std::exchange(queued_claims_, {}));
    }
    processing_claims_ = false;
}

// Reads the claims stream to its end. Returns whether that succeeded and covered `required_offset`.
asio::awaitable<bool> control::read_claims(std::int64_t required_offset) {
    while (true) {
        const std::int64_t from = claim_index_.next_offset();
        result<log_batch> batch =
            co_await log_.read_(claims_stream(settings_.pool_), from, std::chrono::milliseconds(0));
        if (!ok(batch)) {
            co_return false;
        }
        claim_index_.apply_records(value(batch).first_retained_, value(batch).now_ms_, value(batch).records_);
        const bool at_end = claim_index_.next_offset() >= value(batch).next_;
        if (at_end) {
            co_return claim_index_.next_offset() > required_offset;
        }
    }
}

asio::awaitable<void> control::process_claim_batch(std::vector<std::uint64_t> batch) {
    const bool read = co_await read_claims(-1);
    std::erase_if(batch, [this](std::uint64_t id) { return !pending_.contains(id); });
    if (!read) {
        for (std::uint64_t id : batch) {
            refuse(id, refusal_reason::claims_down, claims_retry_after_ms);
        }
        co_return;
    }
    const std::vector<claim> claims = prepare_claims(batch);
    if (claims.empty()) {
        co_return;
    }
    const result<std::int64_t> appended =
        co_await log_.append_(claims_stream(settings_.pool_), encode_claims(claims));
    const std::int64_t appended_offset = ok(appended) ? value(appended) : -1;
    for (int attempt = 0; attempt < max_read_back_attempts; ++attempt) {
        const bool read_back = co_await read_claims(appended_offset);
        const bool all_found = std::all_of(claims.begin(), claims.end(), [this](const claim& sent) {
            return claim_index_.find(sent.key_) != nullptr;
        });
        if (read_back && all_found) {
            break;
        }
    }
    resolve_claims(batch);
}

// Decides the requests that need no claim and returns the claims to append for the others, which remain in
// `batch`.
std::vector<claim> control::prepare_claims(std::vector<std::uint64_t>& batch) {
    std::vector<claim> claims;
    std::vector<std::uint64_t> waiting;
    for (std::uint64_t id : batch) {
        pending_request& pending = pending_.at(id);
        const key_digest key = *pending.key_;
        if (check_key_age(claim_index_, pending.request_->key_issued_ms_) != key_age::valid) {
            pending.key_.reset();
            refuse(id, refusal_reason::key_too_old, 0);
            continue;
        }
        const run_decision decision =
            run_table_.begin_claimed(key, pending.body_hash_, claim_index_, steady_now_ms());
        if (!std::holds_alternative<claim_first>(decision)) {
            apply_decision(id, decision);
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
        if (claim_index_.find(key) == nullptr) {
            refuse(id, refusal_reason::claims_down, claims_retry_after_ms);
            continue;
        }
        apply_decision(id, run_table_.resolve_claim(key, found->second.body_hash_, claim_index_));
    }
}

} // namespace tamarack::agent
