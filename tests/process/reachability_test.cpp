#include "engine_cluster.hpp"

namespace tamarack::process_tests {

namespace {

struct reachable_cluster : engine_cluster {
    json models_ = json::array({model("a", 200), model("b", 200), model("c", 150), model("d", 150)});
};

} // namespace

TEST_CASE_FIXTURE(reachable_cluster, "every_model_answers_after_any_agent_is_killed_while_still_listed") {
    start(3, true, models_);
    for (const char* id : {"engine-0", "engine-1", "engine-2"}) {
        CAPTURE(id);
        node(id).agent_.kill();
        CHECK(wait_until_all_answer(models_));
        system_.start_agent(node(id));
        REQUIRE(system_.wait_until_ready());
    }
    CHECK(system_.overcommits() == 0);
}

TEST_CASE_FIXTURE(reachable_cluster, "every_model_answers_after_a_killed_endpoint_is_unlisted") {
    start(3, false, models_);
    node("engine-1").agent_.kill();
    node("engine-1").endpoint_.kill();
    system_.endpoints().erase("engine-1");
    system_.publish_list();
    CHECK(wait_until_all_answer(models_));
    CHECK(system_.overcommits() == 0);
}

TEST_CASE_FIXTURE(reachable_cluster, "demand_for_one_model_rises_tenfold_all_models_stay_reachable") {
    start(3, true, models_);
    std::vector<std::pair<std::uint16_t, caller_request>> requests;
    for (int index = 0; index < 240; ++index) {
        requests.emplace_back(port(index % 2 == 0 ? "entry-1" : "entry-2"),
                              completion("a", "rush " + std::to_string(index), 100, true));
    }
    std::vector<caller_answer> answers;
    std::thread callers([&] { answers = call_all(requests); });
    for (const char* other_model : {"b", "c", "d"}) {
        CHECK(cluster::wait_for([&] { return this->model_answers(other_model); }, 5'000));
    }
    callers.join();
    CHECK(wait_until_all_answer(models_));
    CHECK(system_.overcommits() == 0);
}

TEST_CASE_FIXTURE(reachable_cluster, "endpoints_join_and_leave_every_model_answers") {
    start(3, true, models_);
    for (int round = 0; round < 2; ++round) {
        add_engine("engine-new", true);
        system_.publish_list();
        CHECK(wait_until_all_answer(models_));
        node("engine-new").agent_.signal(SIGTERM);
        CHECK(node("engine-new").agent_.wait() == 0);
        system_.endpoints().erase("engine-new");
        system_.publish_list();
        CHECK(wait_until_all_answer(models_));
    }
    CHECK(system_.overcommits() == 0);
}

} // namespace tamarack::process_tests
