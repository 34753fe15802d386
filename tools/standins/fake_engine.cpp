// Stand-in for a model engine: loads and unloads weights by order, streams tokens, and keeps its own memory
// ledger, which counts every overcommitment.
//
// Faults: report_lag_ms, order_delay_ms (orders are confirmed at once and take effect late), lose_orders (so
// many are confirmed and never take effect), drop_orders (so many are neither confirmed nor take effect),
// lose_order_answers (so many take effect and are not confirmed), hang_ms (delay before the first token),
// cut_after_tokens (each stream is cut after so many tokens).
#include "standin.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <deque>

DEFINE_int64(capacity_mb, 80'000, "memory of the engine");
DEFINE_bool(fencing, true, "refuse orders with an old fencing number");
DEFINE_string(store, "", "address of the weight store");
DEFINE_int64(prefill_tokens_per_second, 20'000, "prompt tokens processed in one second");
DEFINE_int64(decode_ms, 5, "time between two tokens");
DEFINE_int64(kv_kb_per_token, 100, "KV cache of one token");

namespace {

using namespace tamarack;
using namespace tamarack::standin;

constexpr std::size_t ended_orders_reported = 64;
constexpr std::size_t snapshots_kept = 4'096;
constexpr std::int64_t kb_per_mb = 1'024;

struct snapshot {
    std::int64_t at_ms_;
    json report_;
};

struct engine_state {
    fault_table faults_;
    std::uint64_t incarnation_ = std::uint64_t(wall_clock_ms());
    std::uint64_t sequence_ = 0;
    std::uint64_t highest_fence_ = 0;
    std::uint64_t newest_agent_ = 0;
    std::map<std::string, std::int64_t> resident_;
    std::map<std::string, std::int64_t> loading_;
    std::deque<json> ended_;
    std::deque<snapshot> snapshots_;
    std::int64_t kv_kb_ = 0;
    std::int64_t running_ = 0;
    std::int64_t served_ = 0;
    std::int64_t peak_mb_ = 0;
    std::int64_t overcommits_ = 0;
};

std::int64_t used_mb(const engine_state& state) {
    std::int64_t total = (state.kv_kb_ + kb_per_mb - 1) / kb_per_mb;
    for (const auto& [item, memory_mb] : state.resident_) {
        total += memory_mb;
    }
    for (const auto& [item, memory_mb] : state.loading_) {
        total += memory_mb;
    }
    return total;
}

void check_memory(engine_state& state) {
    const std::int64_t used = used_mb(state);
    state.peak_mb_ = std::max(state.peak_mb_, used);
    if (used > FLAGS_capacity_mb) {
        ++state.overcommits_;
        std::cerr << "OVERCOMMITTED " << used << " of " << FLAGS_capacity_mb << " MB" << std::endl;
    }
}

json items_json(const std::map<std::string, std::int64_t>& items) {
    json list = json::array();
    for (const auto& [item, memory_mb] : items) {
        list.push_back({{"item", item}, {"memory_mb", memory_mb}});
    }
    return list;
}

json exact_report(const engine_state& state) {
    return {{"engine_incarnation", state.incarnation_},
            {"sequence", state.sequence_},
            {"capacity_mb", FLAGS_capacity_mb},
            {"highest_fence", state.highest_fence_},
            {"newest_agent", state.newest_agent_},
            {"running", state.running_},
            {"resident", items_json(state.resident_)},
            {"loading", items_json(state.loading_)},
            {"ended", state.ended_}};
}

void note_event(engine_state& state) {
    check_memory(state);
    ++state.sequence_;
    state.snapshots_.push_back({steady_ms(), exact_report(state)});
    if (state.snapshots_.size() > snapshots_kept) {
        state.snapshots_.pop_front();
    }
}

const json& lagging_report(const engine_state& state) {
    const std::int64_t horizon = steady_ms() - state.faults_.number("report_lag_ms");
    auto shown = state.snapshots_.rbegin();
    while (shown + 1 != state.snapshots_.rend() && shown->at_ms_ > horizon) {
        ++shown;
    }
    return shown->report_;
}

void end_order(engine_state& state, const json& order, bool applied) {
    state.ended_.push_back(
        {{"id", order["id"]}, {"incarnation", order["incarnation"]}, {"applied", applied}});
    if (state.ended_.size() > ended_orders_reported) {
        state.ended_.pop_front();
    }
    note_event(state);
}

bool fenced_off(const engine_state& state, const json& order) {
    return FLAGS_fencing && order.value("fence", std::uint64_t(0)) < state.highest_fence_;
}

awaitable<bool> transfer(const std::string& item) {
    const auto store = http::parse_endpoint(FLAGS_store);
    if (!ok(store)) {
        co_return true;
    }
    const http::call_limits limits{std::chrono::milliseconds(1'000), std::chrono::milliseconds(60'000)};
    http::request outgoing{"GET", "/v1/weights/" + item, {}, {}};
    const auto fetched = co_await http::fetch(value(store), std::move(outgoing), limits);
    co_return ok(fetched) && value(fetched).status_ == 200;
}

awaitable<void> load(engine_state& state, json order) {
    const std::string item = order["item"];
    if (state.resident_.contains(item) || state.loading_.contains(item)) {
        end_order(state, order, true);
        co_return;
    }
    const std::int64_t memory_mb = order["memory_mb"].get<std::int64_t>();
    state.loading_[item] = memory_mb;
    note_event(state);
    const bool transferred = co_await transfer(item);
    state.loading_.erase(item);
    if (transferred) {
        state.resident_[item] = memory_mb;
    }
    end_order(state, order, transferred);
}

awaitable<void> execute(engine_state& state, json order, std::int64_t delay_ms) {
    co_await wait_ms(delay_ms);
    if (fenced_off(state, order)) {
        end_order(state, order, false);
        co_return;
    }
    if (order["kind"] == "load") {
        co_await load(state, order);
        co_return;
    }
    state.resident_.erase(order["item"].get<std::string>());
    end_order(state, order, true);
}

awaitable<void> take_order(engine_state& state, http::exchange& current) {
    const json order = body_of(current);
    if (state.faults_.take("drop_orders")) {
        current.abort();
        co_return;
    }
    state.newest_agent_ = std::max(state.newest_agent_, order.value("incarnation", std::uint64_t(0)));
    if (fenced_off(state, order)) {
        const json body = {{"highest_fence", state.highest_fence_}};
        co_await current.reply(answer(409, body));
        co_return;
    }
    if (FLAGS_fencing) {
        state.highest_fence_ = std::max(state.highest_fence_, order.value("fence", std::uint64_t(0)));
    }
    note_event(state);
    if (!state.faults_.take("lose_orders")) {
        boost::asio::co_spawn(co_await boost::asio::this_coro::executor,
                              execute(state, order, state.faults_.number("order_delay_ms")),
                              boost::asio::detached);
    }
    if (state.faults_.take("lose_order_answers")) {
        current.abort();
        co_return;
    }
    co_await current.reply(answer(202, json::object()));
}

awaitable<void> take_fence(engine_state& state, http::exchange& current) {
    const json request = body_of(current);
    const std::uint64_t fence = request.value("fence", std::uint64_t(0));
    if (!FLAGS_fencing) {
        co_await current.reply(answer(404, json::object()));
        co_return;
    }
    if (fence <= state.highest_fence_) {
        const json body = {{"highest_fence", state.highest_fence_}};
        co_await current.reply(answer(409, body));
        co_return;
    }
    state.highest_fence_ = fence;
    state.newest_agent_ = std::max(state.newest_agent_, request.value("incarnation", std::uint64_t(0)));
    note_event(state);
    co_await current.reply(answer(200, exact_report(state)));
}

// The resident item that serves a name as callers write it, without versions.
std::string serving_item(const engine_state& state, const std::string& name) {
    for (const auto& [item, memory_mb] : state.resident_) {
        if (item == name || item.substr(0, item.find('@')) == name) {
            return item;
        }
    }
    return {};
}

// One token of the answer; it depends on the prompt, so that mixed answers show.
std::string token(const std::string& prompt, std::int64_t index) {
    return to_hex(hash64(prompt)).substr(0, 8) + "-" + std::to_string(index) + " ";
}

struct generation {
    std::string model_;
    std::string prompt_;
    std::int64_t prompt_tokens_;
    std::int64_t max_tokens_;
    bool stream_;
};

generation parse_generation(const json& body) {
    generation wanted;
    wanted.model_ = body.value("model", "");
    wanted.prompt_ = body.contains("messages") ? body["messages"].dump() : body.value("prompt", "");
    wanted.prompt_tokens_ = std::int64_t(wanted.prompt_.size() / 4 + 1);
    wanted.max_tokens_ = body.value("max_tokens", std::int64_t(16));
    wanted.stream_ = body.value("stream", false);
    return wanted;
}

std::string event(const generation& wanted, const std::string& text) {
    const json choice = {{"index", 0}, {"delta", {{"content", text}}}};
    const json body = {
        {"object", "chat.completion.chunk"}, {"model", wanted.model_}, {"choices", json::array({choice})}};
    return "data: " + body.dump() + "\n\n";
}

awaitable<bool> stream_tokens(engine_state& state, http::exchange& current, const generation& wanted) {
    std::vector<http::header> headers{{"Content-Type", "text/event-stream"}};
    bool alive = co_await current.begin(200, std::move(headers));
    for (std::int64_t index = 0; alive && index < wanted.max_tokens_; ++index) {
        if (state.faults_.on("cut_after_tokens") && index >= state.faults_.number("cut_after_tokens")) {
            current.abort();
            co_return false;
        }
        alive = co_await current.write(event(wanted, token(wanted.prompt_, index)));
        co_await wait_ms(FLAGS_decode_ms);
    }
    alive = alive && co_await current.write("data: [DONE]\n\n");
    co_return alive&& co_await current.finish();
}

awaitable<bool> reply_whole(http::exchange& current, const generation& wanted) {
    co_await wait_ms(FLAGS_decode_ms * wanted.max_tokens_);
    std::string text;
    for (std::int64_t index = 0; index < wanted.max_tokens_; ++index) {
        text += token(wanted.prompt_, index);
    }
    const json message = {{"role", "assistant"}, {"content", text}};
    const json choice = {{"index", 0}, {"message", message}, {"text", text}, {"finish_reason", "length"}};
    const json usage = {{"prompt_tokens", wanted.prompt_tokens_}, {"completion_tokens", wanted.max_tokens_}};
    const json body = {{"object", "chat.completion"},
                       {"model", wanted.model_},
                       {"choices", json::array({choice})},
                       {"usage", usage}};
    co_return co_await current.reply(answer(200, body));
}

awaitable<void> complete(engine_state& state, http::exchange& current) {
    const generation wanted = parse_generation(body_of(current));
    if (serving_item(state, wanted.model_).empty()) {
        const json body = {{"error", {{"message", "the model is not loaded"}}}};
        co_await current.reply(answer(404, body));
        co_return;
    }
    const std::int64_t kv_kb = (wanted.prompt_tokens_ + wanted.max_tokens_) * FLAGS_kv_kb_per_token;
    state.kv_kb_ += kv_kb;
    ++state.running_;
    check_memory(state);
    co_await wait_ms(state.faults_.number("hang_ms"));
    co_await wait_ms(wanted.prompt_tokens_ * 1'000 / FLAGS_prefill_tokens_per_second);
    bool whole = false;
    if (wanted.stream_) {
        whole = co_await stream_tokens(state, current, wanted);
    } else {
        whole = co_await reply_whole(current, wanted);
    }
    state.kv_kb_ -= kv_kb;
    --state.running_;
    state.served_ += whole ? 1 : 0;
}

awaitable<void> handle(engine_state& state, http::exchange& current) {
    const std::string_view path = current.incoming().path();
    if (path == "/v1/report") {
        co_await current.reply(answer(200, lagging_report(state)));
    } else if (path == "/v1/orders") {
        co_await take_order(state, current);
    } else if (path == "/v1/fence") {
        co_await take_fence(state, current);
    } else if (path == "/v1/chat/completions" || path == "/v1/completions") {
        co_await complete(state, current);
    } else if (path == "/v1/ledger") {
        const json body = {{"used_mb", used_mb(state)},
                           {"peak_mb", state.peak_mb_},
                           {"capacity_mb", FLAGS_capacity_mb},
                           {"overcommits", state.overcommits_},
                           {"running", state.running_},
                           {"served", state.served_},
                           {"resident", items_json(state.resident_)}};
        co_await current.reply(answer(200, body));
    } else {
        co_await current.reply(answer(404, json::object()));
    }
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("stand-in for a model engine");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    engine_state state;
    note_event(state);
    return serve(context, state.faults_,
                 [&state](http::exchange& current) -> awaitable<void> { co_await handle(state, current); });
}
