// Stand-in for the platform's instance list.
//
// POST /v1/instances replaces the list; GET returns it as it was lag_ms ago. Faults: lag_ms, outage.
#include "standin.hpp"

#include <deque>

namespace {

using namespace tamarack;
using namespace tamarack::standin;

struct version {
    std::int64_t since_ms_;
    json list_;
};

struct list_state {
    fault_table faults_;
    std::deque<version> versions_{{0, {{"instances", json::array()}}}};
};

const json& visible_list(const list_state& state) {
    const std::int64_t horizon = steady_ms() - state.faults_.number("lag_ms");
    auto shown = state.versions_.rbegin();
    while (shown + 1 != state.versions_.rend() && shown->since_ms_ > horizon) {
        ++shown;
    }
    return shown->list_;
}

awaitable<void> handle(list_state& state, http::exchange& current) {
    if (state.faults_.on("outage")) {
        current.abort();
        co_return;
    }
    if (current.incoming().method_ == "POST") {
        state.versions_.push_back({steady_ms(), body_of(current)});
        co_await current.reply(answer(200, json::object()));
        co_return;
    }
    co_await current.reply(answer(200, visible_list(state)));
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("stand-in for the instance list");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    list_state state;
    return serve(context, state.faults_,
                 [&state](http::exchange& current) -> awaitable<void> { co_await handle(state, current); });
}
