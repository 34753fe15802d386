#include "desk_cluster.hpp"
#include "engine_cluster.hpp"

namespace tamarack::process_tests {

namespace {

// An endpoint that leaves gets no new work after this time.
constexpr std::int64_t leaving_bound_ms = 3'000;

struct leaving_cluster : engine_cluster {
    json models_ = json::array({model("a", 200, "1", 2)});

    std::vector<std::pair<std::uint16_t, caller_request>> long_streams(int count) {
        std::vector<std::pair<std::uint16_t, caller_request>> requests;
        for (int index = 0; index < count; ++index) {
            requests.emplace_back(port(index % 2 == 0 ? "entry-1" : "entry-2"),
                                  completion("a", "long " + std::to_string(index), 300, true));
        }
        return requests;
    }

    std::int64_t running() {
        std::int64_t total = 0;
        for (const auto& [id, one] : system_.endpoints()) {
            total += system_.get(one.endpoint_port_, "/v1/ledger").value("running", std::int64_t(0));
        }
        return total;
    }

    // Starts long streams, does something once all run, and checks that none was cut.
    void check_none_cut(const std::function<void()>& meanwhile) {
        const auto requests = long_streams(20);
        std::vector<caller_answer> answers;
        std::thread callers([&] { answers = call_all(requests); });
        CHECK(cluster::wait_for([this] { return running() == 20; }));
        meanwhile();
        callers.join();
        for (std::size_t index = 0; index < answers.size(); ++index) {
            const bool whole = answer_text(answers[index]) == expected_text(requests[index].second);
            CHECK(whole);
        }
    }

    std::int64_t served(const std::string& id) {
        return system_.get(node(id).endpoint_port_, "/v1/ledger").value("served", std::int64_t(0));
    }
};

} // namespace

TEST_CASE_FIXTURE(leaving_cluster, "agent_told_to_stop_with_streams_in_flight_cuts_none_and_exits") {
    start(2, true, models_);
    check_none_cut([this] {
        node("engine-0").agent_.signal(SIGTERM);
        const std::int64_t began = now_ms();
        // New work goes to the other endpoint at once, although the list still names this one as live.
        while (now_ms() - began < 500) {
            const caller_answer answer = call(port("entry-1"), completion("a", "new", 1, false));
            CHECK(answer.outcome() == "answered");
        }
    });
    CHECK(node("engine-0").agent_.wait() == 0);
}

TEST_CASE_FIXTURE(leaving_cluster, "entry_told_to_stop_with_streams_in_flight_cuts_none_and_exits") {
    start(2, true, models_);
    check_none_cut([this] { system_.entries().at("entry-1").entry_.signal(SIGTERM); });
    CHECK(system_.entries().at("entry-1").entry_.wait() == 0);
}

TEST_CASE_FIXTURE(leaving_cluster, "agent_replaced_on_another_port_with_streams_in_flight_cuts_none") {
    start(2, true, models_);
    process earlier;
    check_none_cut([&] {
        earlier = system_.start_replacement(node("engine-0"));
        earlier.signal(SIGTERM);
        system_.publish_list();
        CHECK(system_.wait_until_ready());
    });
    CHECK(earlier.wait() == 0);
}

TEST_CASE_FIXTURE(leaving_cluster, "endpoint_listed_as_leaving_gets_no_new_work_within_the_bound") {
    start(2, true, models_);
    node("engine-0").leaving_ = true;
    const std::int64_t began = now_ms();
    system_.publish_list();
    REQUIRE(cluster::wait_for([this] {
        return system_.get(node("engine-0").admin_port_, "/readyz").value("phase", "") == "leaving";
    }));
    CHECK(now_ms() - began < leaving_bound_ms);
    const std::int64_t served_before = served("engine-0");
    for (int count = 0; count < 30; ++count) {
        CHECK(call(port(count % 2 == 0 ? "entry-1" : "entry-2"),
                   completion("a", std::to_string(count), 1, false))
                  .outcome() == "answered");
    }
    CHECK(served("engine-0") == served_before);
}

TEST_CASE_FIXTURE(leaving_cluster, "list_empty_by_mistake_or_down_requests_go_on") {
    start(2, true, models_);
    call(system_.list_port(), {"POST", "/v1/instances", {}, R"({"instances":[]})"});
    const std::int64_t began = now_ms();
    while (now_ms() - began < 600) {
        CHECK(model_answers("a"));
    }
    system_.publish_list();
    system_.set_faults(system_.list_port(), {{"outage", 1}});
    for (int count = 0; count < 10; ++count) {
        CHECK(model_answers("a", "entry-2"));
    }
}

TEST_CASE_FIXTURE(desk_cluster, "agent_told_to_stop_with_bookings_in_flight_answers_them_all") {
    set_service_faults({{"hold_before", 1}});
    send_bookings("s-", 10, true, [this] {
        CHECK(cluster::wait_for([this] { return calls_in_phase("before") == 10; }));
        node("desk-a").agent_.signal(SIGTERM);
        CHECK(cluster::wait_for([this] {
            return system_.get(node("desk-a").admin_port_, "/readyz").value("phase", "") == "draining";
        }));
        set_service_faults({{"hold_before", 0}});
    });
    CHECK(outcomes_.count("answered") == 10);
    CHECK(node("desk-a").agent_.wait() == 0);
    check_outcomes();
}

} // namespace tamarack::process_tests
