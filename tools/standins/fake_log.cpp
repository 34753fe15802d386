// Stand-in for the platform's append-only log.
//
// Faults: outage (1: connections are cut), slow_ms (delay of each call), lose_answers (so many appends take
// effect and are not answered), lose_appends (so many appends are dropped and not answered), append_delay_ms
// (appends take effect late). POST /trim {"stream", "first"} forgets records at once.
#include "standin.hpp"

#include <deque>

DEFINE_int64(retention_ms, 3'600'000, "how long records are kept");
DEFINE_int64(appends_per_second, 500, "appends beyond this rate wait");

namespace {

using namespace tamarack;
using namespace tamarack::standin;

constexpr std::size_t max_batch_records = 1'000;

struct record {
    std::int64_t offset_;
    std::int64_t time_ms_;
    std::string data_;
};

struct stream {
    std::int64_t next_ = 0;
    std::deque<record> records_;

    std::int64_t first() const { return records_.empty() ? next_ : records_.front().offset_; }
};

struct log_state {
    explicit log_state(boost::asio::io_context& context) : changed_(context) {
        changed_.expires_at(std::chrono::steady_clock::time_point::max());
    }

    fault_table faults_;
    std::map<std::string, stream> streams_;
    boost::asio::steady_timer changed_; // cancelled by each append, which wakes the readers
    std::int64_t next_append_at_ms_ = 0;
    std::int64_t appends_ = 0;
};

void forget_old(stream& one) {
    const std::int64_t horizon = wall_clock_ms() - FLAGS_retention_ms;
    while (!one.records_.empty() && one.records_.front().time_ms_ < horizon) {
        one.records_.pop_front();
    }
}

awaitable<void> wait_for_append_slot(log_state& state) {
    const std::int64_t now = steady_ms();
    const std::int64_t slot = std::max(now, state.next_append_at_ms_);
    state.next_append_at_ms_ = slot + 1'000 / std::max<std::int64_t>(1, FLAGS_appends_per_second);
    co_await wait_ms(slot - now);
}

awaitable<void> append(log_state& state, http::exchange& current, std::string name) {
    if (state.faults_.take("lose_appends")) {
        current.abort();
        co_return;
    }
    co_await wait_for_append_slot(state);
    co_await wait_ms(state.faults_.number("append_delay_ms"));
    stream& one = state.streams_[name];
    const std::int64_t offset = one.next_++;
    one.records_.push_back({offset, wall_clock_ms(), current.incoming().body_});
    ++state.appends_;
    state.changed_.cancel();
    if (state.faults_.take("lose_answers")) {
        current.abort();
        co_return;
    }
    const json body = {{"offset", offset}};
    co_await current.reply(answer(200, body));
}

awaitable<void> wait_for_records(log_state& state, const std::string& name, std::int64_t from,
                                 std::int64_t limit_ms) {
    const std::int64_t until = steady_ms() + limit_ms;
    while (state.streams_[name].next_ <= from && steady_ms() < until) {
        const auto left = std::chrono::milliseconds(until - steady_ms());
        boost::asio::steady_timer limit(co_await boost::asio::this_coro::executor, left);
        limit.async_wait([&state](boost::system::error_code cancelled) {
            if (!cancelled) {
                state.changed_.cancel();
            }
        });
        boost::system::error_code woken;
        co_await state.changed_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
    }
}

awaitable<void> read(log_state& state, http::exchange& current, std::string name) {
    const std::int64_t from = query_number(current.incoming(), "from", 0);
    co_await wait_for_records(state, name, from, query_number(current.incoming(), "wait_ms", 0));
    stream& one = state.streams_[name];
    forget_old(one);
    json records = json::array();
    for (const record& kept : one.records_) {
        if (kept.offset_ >= from && records.size() < max_batch_records) {
            records.push_back({{"offset", kept.offset_}, {"time_ms", kept.time_ms_}, {"data", kept.data_}});
        }
    }
    const json body = {{"first", one.first()},
                       {"next", one.next_},
                       {"now_ms", wall_clock_ms()},
                       {"retention_ms", FLAGS_retention_ms},
                       {"records", std::move(records)}};
    co_await current.reply(answer(200, body));
}

awaitable<void> trim(log_state& state, http::exchange& current) {
    const json request = body_of(current);
    stream& one = state.streams_[request.value("stream", "")];
    const std::int64_t first = request.value("first", one.next_);
    while (!one.records_.empty() && one.records_.front().offset_ < first) {
        one.records_.pop_front();
    }
    const json body = {{"first", one.first()}};
    co_await current.reply(answer(200, body));
}

awaitable<void> handle(log_state& state, http::exchange& current) {
    constexpr std::string_view prefix = "/v1/streams/";
    const std::string_view path = current.incoming().path();
    if (path == "/trim") {
        co_await trim(state, current);
        co_return;
    }
    if (path == "/v1/stats") {
        const json body = {{"appends", state.appends_}};
        co_await current.reply(answer(200, body));
        co_return;
    }
    if (state.faults_.on("outage")) {
        current.abort();
        co_return;
    }
    co_await wait_ms(state.faults_.number("slow_ms"));
    if (!path.starts_with(prefix)) {
        co_await current.reply(answer(404, json::object()));
        co_return;
    }
    const std::string name(path.substr(prefix.size()));
    if (current.incoming().method_ == "POST") {
        co_await append(state, current, name);
    } else {
        co_await read(state, current, name);
    }
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("stand-in for the append-only log");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    log_state state(context);
    return serve(context, state.faults_,
                 [&state](http::exchange& current) -> awaitable<void> { co_await handle(state, current); });
}
