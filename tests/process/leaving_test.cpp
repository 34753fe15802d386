#include "desk_cluster.hpp"
#include "engine_cluster.hpp"

namespace tamarack::process_tests {

namespace {

// An endpoint that is listed as leaving receives no new requests after this time.
constexpr std::int64_t leaving_limit_ms = 3'000;

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

    std::int64_t running_requests() {
        std::int64_t total = 0;
        for (const auto& [id, endpoint] : system_.endpoints()) {
            total += system_.get(endpoint.endpoint_port_, "/v1/ledger").value("running", std::int64_t(0));
        }
        return total;
    }

    // Starts long streams, calls `meanwhile` once all of them are running, and checks that every response is
    // complete.
    void check_all_complete(const std::function<void()>& meanwhile) {
        const auto requests = long_streams(20);
        std::vector<caller_answer> answers;
        std::thread callers([&] { answers = call_all(requests); });
        CHECK(cluster::wait_for([this] { return running_requests() == 20; }));
        meanwhile();
        callers.join();
        for (std::size_t index = 0; index < answers.size(); ++index) {
            const bool complete = answer_text(answers[index]) == expected_text(requests[index].second);
            CHECK(complete);
        }
    }

    std::int64_t served_requests(const std::string& id) {
        return system_.get(node(id).endpoint_port_, "/v1/ledger").value("served", std::int64_t(0));
    }
};

} // namespace

TEST_CASE_FIXTURE(leaving_cluster, "agent_terminated_with_streams_in_flight_completes_them_and_exits") {
    start(2, true, models_);
    check_all_complete([this] {
        node("engine-0").agent_.signal(SIGTERM);
        const std::int64_t began = now_ms();
        // New requests go to the other endpoint at once, although the list does not mark this one as leaving.
        while (now_ms() - began < 500) {
            const caller_answer answer = call(port("entry-1"), completion("a", "new", 1, false));
            CHECK(answer.outcome() == "answered");
        }
    });
    CHECK(node("engine-0").agent_.wait() == 0);
}

TEST_CASE_FIXTURE(leaving_cluster, "entry_terminated_with_streams_in_flight_completes_them_and_exits") {
    start(2, true, models_);
    check_all_complete([this] { system_.entries().at("entry-1").entry_.signal(SIGTERM); });
    CHECK(system_.entries().at("entry-1").entry_.wait() == 0);
}

TEST_CASE_FIXTURE(leaving_cluster, "agent_replaced_on_another_port_with_streams_in_flight_completes_them") {
    start(2, true, models_);
    process replaced;
    check_all_complete([&] {
        replaced = system_.start_replacement(node("engine-0"));
        replaced.signal(SIGTERM);
        system_.publish_list();
        CHECK(system_.wait_until_ready());
    });
    CHECK(replaced.wait() == 0);
}

TEST_CASE_FIXTURE(leaving_cluster, "endpoint_listed_as_leaving_stops_receiving_requests_within_limit") {
    start(2, true, models_);
    node("engine-0").leaving_ = true;
    const std::int64_t began = now_ms();
    system_.publish_list();
    REQUIRE(cluster::wait_for([this] {
        return system_.get(node("engine-0").admin_port_, "/readyz").value("phase", "") == "leaving";
    }));
    CHECK(now_ms() - began < leaving_limit_ms);
    const std::int64_t served_before = served_requests("engine-0");
    for (int count = 0; count < 30; ++count) {
        CHECK(call(port(count % 2 == 0 ? "entry-1" : "entry-2"),
                   completion("a", std::to_string(count), 1, false))
                  .outcome() == "answered");
    }
    CHECK(served_requests("engine-0") == served_before);
}

TEST_CASE_FIXTURE(leaving_cluster, "list_empty_or_down_requests_are_still_answered") {
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

TEST_CASE_FIXTURE(desk_cluster, "agent_terminated_with_bookings_in_flight_answers_all") {
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

// Requests that were still in flight at the shutdown limit of their entry were cut off without a response.
TEST_CASE_FIXTURE(desk_cluster, "entry_shutdown_limit_reached_with_a_booking_in_flight_answers_unknown") {
    entry_node& ending = system_.add_entry("entry-3", {{"shutdown_ms", 600}});
    REQUIRE(cluster::wait_for([this] { return connected("entry-3"); }));
    set_service_faults({{"hold_before", 1}});
    caller_answer answer;
    std::thread caller([&] { answer = send("entry-3", "u-1"); });
    CHECK(cluster::wait_for([this] { return calls_in_phase("before") == 1; }));
    ending.entry_.signal(SIGTERM);
    caller.join();
    CHECK(answer.outcome() == "unknown");
    CHECK(ending.entry_.wait() == 0);
    set_service_faults({{"hold_before", 0}});
    check_outcomes();
}

} // namespace tamarack::process_tests
