#include "tamarack/observe.hpp"
#include "tamarack/platform.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tamarack {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds read_wait{1'000};
constexpr std::chrono::milliseconds retry_delay{200};

} // namespace

struct config_follower::state_data {
    state_data(asio::any_io_executor executor, log_client log,
               std::function<void(const config_state&)> on_change, bool writes_snapshots, double share)
        : executor_(std::move(executor)), log_(std::move(log)), on_change_(std::move(on_change)),
          writes_snapshots_(writes_snapshots), share_(share) {}

    void report_change(std::int64_t version_before) {
        if (reader_.state().version_ != version_before) {
            on_change_(reader_.state());
        }
    }

    void apply_batch(const log_batch& batch) {
        const std::int64_t version_before = reader_.state().version_;
        for (const change_result& decided : reader_.apply_records(batch.first_retained_, batch.records_)) {
            if (decided.kind_ == change_outcome::rejected) {
                log_info("config", "Change " + decided.id_ + " was rejected: " + decided.reason_ + ".");
            }
        }
        report_change(version_before);
    }

    // A failed append is retried with the next batch; a duplicate snapshot does no harm.
    asio::awaitable<void> renew_snapshot(const log_batch& batch) {
        const bool has_tables = reader_.synchronised() && reader_.state().version_ != no_version;
        const std::int64_t last_ms = reader_.last_snapshot_time_ms();
        if (!writes_snapshots_ || !has_tables ||
            !snapshot_due(last_ms, batch.now_ms_, batch.retention_ms_, share_)) {
            co_return;
        }
        co_await log_.append_(std::string(config_stream), encode_state(reader_.state()));
    }

    static asio::awaitable<void> follow(std::shared_ptr<state_data> self) {
        while (!self->stopped_) {
            const std::int64_t from = self->reader_.next_offset();
            result<log_batch> batch = co_await self->log_.read_(std::string(config_stream), from, read_wait);
            if (self->stopped_) {
                co_return;
            }
            if (ok(batch)) {
                self->apply_batch(value(batch));
                co_await self->renew_snapshot(value(batch));
                continue;
            }
            asio::steady_timer timer(self->executor_, retry_delay);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    asio::any_io_executor executor_;
    log_client log_;
    std::function<void(const config_state&)> on_change_;
    bool writes_snapshots_;
    double share_;
    bool stopped_ = false;
    config_reader reader_;
};

config_follower::config_follower(asio::any_io_executor executor, log_client log,
                                 std::function<void(const config_state&)> on_change, bool writes_snapshots,
                                 double share)
    : data_(std::make_shared<state_data>(std::move(executor), std::move(log), std::move(on_change),
                                         writes_snapshots, share)) {}

config_follower::~config_follower() {
    data_->stopped_ = true;
}

void config_follower::start() {
    asio::co_spawn(data_->executor_, state_data::follow(data_), asio::detached);
}

void config_follower::apply_peer_state(std::string_view encoded) {
    const result<config_state> peer_state = decode_state(encoded);
    const std::int64_t version_before = data_->reader_.state().version_;
    if (ok(peer_state) && data_->reader_.adopt(value(peer_state))) {
        data_->report_change(version_before);
    }
}

const config_state& config_follower::state() const {
    return data_->reader_.state();
}

} // namespace tamarack
