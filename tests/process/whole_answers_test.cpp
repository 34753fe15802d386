#include "engine_cluster.hpp"

namespace tamarack::process_tests {

namespace {

struct streams_cluster : engine_cluster {
    json models_ = json::array({model("a", 200, "1", 2), model("b", 200, "1", 2), model("c", 200, "1", 2)});

    std::vector<std::pair<std::uint16_t, caller_request>> streams(int count, std::int64_t tokens) {
        std::vector<std::pair<std::uint16_t, caller_request>> requests;
        for (int index = 0; index < count; ++index) {
            const std::string name(1, char('a' + index % 3));
            requests.emplace_back(
                port(index % 2 == 0 ? "entry-1" : "entry-2"),
                completion(name, "stream " + std::to_string(index), tokens, index % 4 != 0));
        }
        return requests;
    }
};

} // namespace

TEST_CASE_FIXTURE(streams_cluster, "streams_two_hundred_through_two_entries_are_all_complete") {
    start(4, true, models_);
    const auto requests = streams(200, 30);
    const auto answers = call_all(requests);
    for (std::size_t index = 0; index < answers.size(); ++index) {
        const bool complete = answer_text(answers[index]) == expected_text(requests[index].second);
        CHECK(complete);
    }
}

TEST_CASE_FIXTURE(streams_cluster,
                  "agent_and_engine_killed_mid_stream_every_response_is_complete_or_reported_incomplete") {
    start(4, true, models_);
    const auto requests = streams(120, 150);
    std::vector<caller_answer> answers;
    std::thread callers([&] { answers = call_all(requests); });
    CHECK(cluster::wait_for([this] {
        return system_.get(node("engine-0").endpoint_port_, "/v1/ledger").value("running", 0) > 5;
    }));
    node("engine-0").agent_.kill();
    node("engine-1").endpoint_.kill();
    callers.join();
    int complete_count = 0;
    for (std::size_t index = 0; index < answers.size(); ++index) {
        const caller_answer& answer = answers[index];
        const std::string text = answer_text(answer);
        const bool complete = text == expected_text(requests[index].second);
        complete_count += complete ? 1 : 0;
        const bool reported_incomplete =
            answer.outcome() == "cut" || answer.outcome() == "not_run" || answer.outcome() == "unknown";
        CHECK((complete || reported_incomplete));
    }
    CHECK(complete_count >= 40);
}

TEST_CASE_FIXTURE(streams_cluster, "engine_truncates_stream_caller_sees_incomplete_response") {
    start(1, true, json::array({model("a", 200)}));
    system_.set_faults(node("engine-0").endpoint_port_, {{"cut_after_tokens", 5}});
    const caller_answer streamed = call(port("entry-1"), completion("a", "p", 20, true));
    CHECK(streamed.outcome() == "cut");
    CHECK(answer_text(streamed).empty());
}

TEST_CASE_FIXTURE(streams_cluster, "caller_disconnects_request_is_cancelled_at_engine") {
    start(1, true, json::array({model("a", 200)}));
    const std::int64_t caller_timeout_ms = 300;
    const caller_answer disconnected =
        call(port("entry-1"), completion("a", "p", 5'000, true), caller_timeout_ms);
    CHECK_FALSE(disconnected.whole_);
    CHECK(cluster::wait_for(
        [this] {
            return system_.get(node("engine-0").endpoint_port_, "/v1/ledger").value("running", -1) == 0;
        },
        5'000));
}

} // namespace tamarack::process_tests
