// Stand-in for a plain service. It counts every run by the "ref" of the request's JSON body.
//
// GET /v1/runs tells the counts and how many calls are in service. Faults: work_ms (time before the run
// counts), hold_before and hold_after (1: calls wait before or after the run counts until the fault is
// cleared), lose_answers (so many runs count and are not answered).
#include "standin.hpp"

namespace {

using namespace tamarack;
using namespace tamarack::standin;

struct service_state {
    fault_table faults_;
    std::map<std::string, std::int64_t> runs_;
    std::int64_t before_ = 0; // calls whose run does not count yet
    std::int64_t after_ = 0;  // calls whose run counts and that are not answered
};

constexpr std::int64_t hold_interval_ms = 5;

awaitable<void> hold(service_state& state, const char* fault) {
    while (state.faults_.on(fault)) {
        co_await wait_ms(hold_interval_ms);
    }
}

awaitable<void> run(service_state& state, http::exchange& current) {
    ++state.before_;
    co_await wait_ms(state.faults_.number("work_ms"));
    co_await hold(state, "hold_before");
    const std::string ref = body_of(current).value("ref", "");
    const std::int64_t count = ++state.runs_[ref];
    --state.before_;
    ++state.after_;
    co_await hold(state, "hold_after");
    --state.after_;
    if (state.faults_.take("lose_answers")) {
        current.abort();
        co_return;
    }
    const json body = {{"ref", ref}, {"run", count}, {"path", current.incoming().path()}};
    co_await current.reply(answer(200, body));
}

awaitable<void> handle(service_state& state, http::exchange& current) {
    if (current.incoming().path() == "/v1/runs") {
        const json body = {{"runs", state.runs_}, {"before", state.before_}, {"after", state.after_}};
        co_await current.reply(answer(200, body));
        co_return;
    }
    co_await run(state, current);
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("stand-in for a plain service");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    service_state state;
    return serve(context, state.faults_,
                 [&state](http::exchange& current) -> awaitable<void> { co_await handle(state, current); });
}
