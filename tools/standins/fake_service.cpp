// Stand-in for a plain service. It counts every run by the "ref" of the request's JSON body.
//
// GET /v1/runs tells the counts. Faults: work_ms (time before the run counts), answer_ms (time after it),
// lose_answers (so many runs count and are not answered).
#include "standin.hpp"

namespace {

using namespace tamarack;
using namespace tamarack::standin;

struct service_state {
    fault_table faults_;
    std::map<std::string, std::int64_t> runs_;
};

awaitable<void> run(service_state& state, http::exchange& current) {
    co_await wait_ms(state.faults_.number("work_ms"));
    const std::string ref = body_of(current).value("ref", "");
    const std::int64_t count = ++state.runs_[ref];
    co_await wait_ms(state.faults_.number("answer_ms"));
    if (state.faults_.take("lose_answers")) {
        current.abort();
        co_return;
    }
    const json body = {{"ref", ref}, {"run", count}, {"path", current.incoming().path()}};
    co_await current.reply(answer(200, body));
}

awaitable<void> handle(service_state& state, http::exchange& current) {
    if (current.incoming().path() == "/v1/runs") {
        const json body = {{"runs", state.runs_}};
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
