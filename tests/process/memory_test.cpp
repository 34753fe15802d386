#include "engine_cluster.hpp"

namespace tamarack::process_tests {

namespace {

struct memory_cluster : engine_cluster {
    // Two engines of 1000 MB. One of them can just hold the old and the new version of everything.
    json models_;
    bool fencing_ = true;

    void begin(bool fencing) {
        fencing_ = fencing;
        models_ = fencing ? json::array({model("a", 180), model("b", 170), model("c", 90)})
                          : json::array({model("a", 150), model("b", 130), model("c", 75)});
        start(2, fencing, models_);
    }

    int publish_models(const json& models) {
        return system_.publish(routes(), json::array({pool(2, fencing_, models)}));
    }

    void set_engine_faults(const json& faults) {
        for (const char* id : {"engine-0", "engine-1"}) {
            system_.set_faults(node(id).endpoint_port_, faults);
        }
    }

    json with_versions(const std::string& version) const {
        json changed = models_;
        for (json& one : changed) {
            one["version"] = version;
        }
        return changed;
    }

    void check_memory() {
        CHECK(system_.overcommits() == 0);
        for (const char* id : {"engine-0", "engine-1"}) {
            CHECK(peak_mb(id) <= engine_memory_mb);
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(memory_cluster, "engine_orders_lost_late_or_unanswered_memory_is_never_overcommitted") {
    const std::vector<json> faults = {
        {{"lose_orders", 2}},        {{"drop_orders", 2}},
        {{"lose_order_answers", 3}}, {{"order_delay_ms", 300}},
        {{"report_lag_ms", 300}},    {{"order_delay_ms", 200}, {"report_lag_ms", 200}}};
    for (const bool fencing : {true, false}) {
        CAPTURE(fencing);
        memory_cluster fresh;
        fresh.begin(fencing);
        int version = 2;
        for (const json& fault : faults) {
            CAPTURE(fault.dump());
            fresh.set_engine_faults(fault);
            const json next = fresh.with_versions(std::to_string(version++));
            REQUIRE(fresh.publish_models(next) == 0);
            CHECK(fresh.wait_until_all_answer(next));
            fresh.set_engine_faults({{"lose_orders", 0},
                                     {"drop_orders", 0},
                                     {"lose_order_answers", 0},
                                     {"order_delay_ms", 0},
                                     {"report_lag_ms", 0}});
        }
        fresh.check_memory();
    }
}

TEST_CASE_FIXTURE(memory_cluster, "engine_agent_killed_with_orders_in_flight_memory_is_never_overcommitted") {
    for (const bool fencing : {true, false}) {
        CAPTURE(fencing);
        memory_cluster fresh;
        fresh.begin(fencing);
        fresh.set_engine_faults({{"order_delay_ms", 250}});
        for (int round = 0; round < 3; ++round) {
            const json next = fresh.with_versions(std::to_string(round + 2));
            REQUIRE(fresh.publish_models(next) == 0);
            REQUIRE(fresh.system_.wait_until_version(0));
            endpoint_node& killed = fresh.node(round % 2 == 0 ? "engine-0" : "engine-1");
            killed.agent_.kill();
            fresh.system_.start_agent(killed);
            CHECK(fresh.wait_until_all_answer(next));
        }
        fresh.check_memory();
    }
}

TEST_CASE_FIXTURE(memory_cluster, "engine_two_publishes_in_a_row_and_back_memory_is_never_overcommitted") {
    begin(true);
    for (const char* version : {"2", "3", "1", "2", "1"}) {
        REQUIRE(publish_models(with_versions(version)) == 0);
    }
    CHECK(wait_until_all_answer(with_versions("1")));
    check_memory();
}

TEST_CASE_FIXTURE(memory_cluster, "engine_earlier_agent_wakes_and_stands_down") {
    for (const bool fencing : {true, false}) {
        CAPTURE(fencing);
        memory_cluster fresh;
        fresh.begin(fencing);
        endpoint_node& slot = fresh.node("engine-0");
        slot.agent_.signal(SIGSTOP);
        process earlier = fresh.system_.start_replacement(slot);
        fresh.system_.publish_list();
        REQUIRE(fresh.system_.wait_until_ready());
        const json next = fresh.with_versions("2");
        REQUIRE(fresh.publish_models(next) == 0);
        REQUIRE(fresh.wait_until_all_answer(next));
        earlier.signal(SIGCONT);
        CHECK(cluster::wait_for([&] { return !earlier.running(); }));
        CHECK(fresh.wait_until_all_answer(next));
        fresh.check_memory();
    }
}

TEST_CASE_FIXTURE(memory_cluster, "engine_load_of_long_requests_kv_cache_stays_within_memory") {
    begin(true);
    std::vector<std::pair<std::uint16_t, caller_request>> requests;
    for (int index = 0; index < 120; ++index) {
        const std::string name(1, char('a' + index % 3));
        requests.emplace_back(port(index % 2 == 0 ? "entry-1" : "entry-2"),
                              completion(name, "long " + std::to_string(index), 400, true));
    }
    const json next = with_versions("2");
    std::vector<caller_answer> answers;
    std::thread callers([&] { answers = call_all(requests); });
    CHECK(publish_models(next) == 0);
    callers.join();
    int whole = 0;
    for (std::size_t index = 0; index < answers.size(); ++index) {
        const bool complete = answer_text(answers[index]) == expected_text(requests[index].second);
        whole += complete ? 1 : 0;
        CHECK((complete || answers[index].outcome() == "not_run"));
    }
    CHECK(whole > 0);
    CHECK(wait_until_all_answer(next));
    check_memory();
}

} // namespace tamarack::process_tests
