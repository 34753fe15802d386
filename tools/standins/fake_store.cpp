// Stand-in for the weight store: GET /v1/weights/ITEM answers when the weights have been transferred.
//
// Loads of models start at a bounded rate and slow down beyond a number at once; adapters slow down in
// proportion beyond a number in transit. Faults: outage, slow_ms.
#include "standin.hpp"

DEFINE_double(loads_per_second, 2.0, "model loads that may start in one second");
DEFINE_int64(loads_at_once, 9, "model loads that run at full speed");
DEFINE_int64(model_load_ms, 400, "time of one model load at full speed");
DEFINE_int64(adapter_load_ms, 5, "time of one adapter load");
DEFINE_int64(adapters_in_transit, 70, "adapter loads that run at full speed");

namespace {

using namespace tamarack;
using namespace tamarack::standin;

struct store_state {
    fault_table faults_;
    std::int64_t next_start_ms_ = 0;
    std::int64_t models_in_transit_ = 0;
    std::int64_t adapters_in_transit_ = 0;
    std::int64_t models_loaded_ = 0;
    std::int64_t adapters_loaded_ = 0;
};

std::int64_t slowed_ms(std::int64_t base_ms, std::int64_t in_transit, std::int64_t at_full_speed) {
    return std::max(base_ms, base_ms * in_transit / std::max<std::int64_t>(1, at_full_speed));
}

awaitable<void> transfer_model(store_state& state) {
    const std::int64_t now = steady_ms();
    const std::int64_t start = std::max(now, state.next_start_ms_);
    state.next_start_ms_ = start + std::int64_t(1'000.0 / FLAGS_loads_per_second);
    co_await wait_ms(start - now);
    ++state.models_in_transit_;
    co_await wait_ms(slowed_ms(FLAGS_model_load_ms, state.models_in_transit_, FLAGS_loads_at_once));
    --state.models_in_transit_;
    ++state.models_loaded_;
}

awaitable<void> transfer_adapter(store_state& state) {
    ++state.adapters_in_transit_;
    co_await wait_ms(slowed_ms(FLAGS_adapter_load_ms, state.adapters_in_transit_, FLAGS_adapters_in_transit));
    --state.adapters_in_transit_;
    ++state.adapters_loaded_;
}

awaitable<void> handle(store_state& state, http::exchange& current) {
    if (current.incoming().path() == "/v1/stats") {
        const json body = {{"models_loaded", state.models_loaded_},
                           {"adapters_loaded", state.adapters_loaded_}};
        co_await current.reply(answer(200, body));
        co_return;
    }
    if (state.faults_.on("outage")) {
        current.abort();
        co_return;
    }
    co_await wait_ms(state.faults_.number("slow_ms"));
    const bool adapter = current.incoming().path().find(':') != std::string_view::npos;
    if (adapter) {
        co_await transfer_adapter(state);
    } else {
        co_await transfer_model(state);
    }
    co_await current.reply(answer(200, json::object()));
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("stand-in for the weight store");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    store_state state;
    return serve(context, state.faults_,
                 [&state](http::exchange& current) -> awaitable<void> { co_await handle(state, current); });
}
