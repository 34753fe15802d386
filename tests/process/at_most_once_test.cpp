// Tests that a request that is not idempotent runs at most once, whichever process is killed or paused, or
// loses requests or responses.
#include "desk_cluster.hpp"

namespace tamarack::process_tests {

namespace {

constexpr std::int64_t immediate_response_ms = 3'000;

} // namespace

TEST_CASE_FIXTURE(desk_cluster, "booking_agent_killed_before_the_run_runs_at_most_once") {
    for (const bool keyed : {false, true}) {
        const std::string prefix = keyed ? "keyed-" : "plain-";
        set_service_faults({{"hold_before", 1}});
        send_bookings(prefix, 8, keyed, [&] {
            CHECK(cluster::wait_for([&] { return calls_in_phase("before") == 8; }));
            node("desk-a").agent_.kill();
            set_service_faults({{"hold_before", 0}});
        });
        if (keyed) {
            for (int index = 0; index < 8; ++index) {
                const std::string ref = prefix + std::to_string(index);
                send("entry-2", ref, "key-" + ref);
            }
        }
        system_.start_agent(node("desk-a"));
        REQUIRE(system_.wait_until_ready());
        REQUIRE(cluster::wait_for([this] { return connected("entry-1") && connected("entry-2"); }));
    }
    check_outcomes();
    CHECK(outcomes_.count("unknown") > 0);
    CHECK(outcomes_.count("cut") == 0);
}

TEST_CASE_FIXTURE(desk_cluster,
                  "booking_agent_killed_between_run_and_response_reports_unknown_and_is_not_run_again") {
    set_service_faults({{"hold_after", 1}});
    send_bookings("b-", 8, true, [&] {
        CHECK(cluster::wait_for([&] { return calls_in_phase("after") == 8; }));
        node("desk-a").agent_.kill();
        node("desk-b").agent_.kill();
        set_service_faults({{"hold_after", 0}});
    });
    CHECK(outcomes_.count("unknown") == 8);
    for (const char* id : {"desk-a", "desk-b"}) {
        system_.start_agent(node(id));
    }
    REQUIRE(system_.wait_until_ready());
    REQUIRE(cluster::wait_for([this] { return connected("entry-1"); }));
    for (int index = 0; index < 8; ++index) {
        const std::string ref = "b-" + std::to_string(index);
        CHECK(send("entry-1", ref, "key-" + ref).outcome() == "unknown");
    }
    check_outcomes();
}

TEST_CASE_FIXTURE(desk_cluster, "booking_entry_killed_before_the_run_runs_once_when_repeated") {
    set_service_faults({{"hold_before", 1}});
    send_bookings("e-", 10, true, [&] {
        CHECK(cluster::wait_for([&] { return calls_in_phase("before") == 10; }));
        system_.entries().at("entry-1").entry_.kill();
        set_service_faults({{"hold_before", 0}});
    });
    CHECK(outcomes_.count("cut") == 5);
    REQUIRE(cluster::wait_for([this] { return calls_in_phase("before") + calls_in_phase("after") == 0; }));
    for (int index = 0; index < 10; ++index) {
        const std::string ref = "e-" + std::to_string(index);
        const caller_answer answer = send("entry-2", ref, "key-" + ref);
        CAPTURE(answer.body_);
        CHECK(answer.outcome() == "answered");
    }
    check_outcomes();
}

TEST_CASE_FIXTURE(desk_cluster, "booking_agent_frozen_while_its_key_is_repeated_runs_at_most_once") {
    const std::vector<std::string> ids = {"desk-a", "desk-b"};
    for (const std::string& frozen : ids) {
        node(frozen).agent_.signal(SIGSTOP);
        send_bookings("f-" + frozen, 8, true, [] {});
        for (int index = 0; index < 8; ++index) {
            const std::string ref = "f-" + frozen + std::to_string(index);
            send("entry-2", ref, "key-" + ref);
        }
        node(frozen).agent_.signal(SIGCONT);
        REQUIRE(cluster::wait_for([this] { return connected("entry-1") && connected("entry-2"); }));
        for (int index = 0; index < 8; ++index) {
            const std::string ref = "f-" + frozen + std::to_string(index);
            send("entry-1", ref, "key-" + ref);
        }
    }
    check_outcomes();
    CHECK(outcomes_.count("answered") > 0);
}

TEST_CASE_FIXTURE(desk_cluster, "booking_without_key_agents_frozen_reports_unknown_at_the_deadline") {
    node("desk-a").agent_.signal(SIGSTOP);
    node("desk-b").agent_.signal(SIGSTOP);
    const caller_answer answer = send("entry-1", "frozen");
    CHECK(answer.outcome() == "unknown");
    CHECK_FALSE(answer.header("Idempotency-Key").empty());
    CHECK(answer.elapsed_ms_ >= 3'900);
    CHECK(answer.elapsed_ms_ < 6'000);
    node("desk-a").agent_.signal(SIGCONT);
    node("desk-b").agent_.signal(SIGCONT);
    REQUIRE(cluster::wait_for([this] { return connected("entry-2"); }));
    const caller_answer repeat = send("entry-2", "frozen", answer.header("Idempotency-Key"));
    CHECK(repeat.outcome() != "cut");
    check_outcomes();
}

TEST_CASE_FIXTURE(desk_cluster, "booking_entries_with_different_lists_same_key_runs_once") {
    process other_list;
    cluster other(program_folder());
    other.start_platform();
    const auto list_of = [&](const std::string& id) {
        const json row = {{"id", id},
                          {"role", "agent"},
                          {"pool", "desk"},
                          {"address", "127.0.0.1"},
                          {"port", node(id).agent_port_},
                          {"state", "live"}};
        return json{{"instances", json::array({row})}}.dump();
    };
    system_.entries().at("entry-1").entry_.kill();
    system_.entries().at("entry-2").entry_.kill();
    call(system_.list_port(), {"POST", "/v1/instances", {}, list_of("desk-a")});
    call(other.list_port(), {"POST", "/v1/instances", {}, list_of("desk-b")});
    system_.entries().at("entry-2").settings_["list"] = "127.0.0.1:" + std::to_string(other.list_port());
    system_.start_entry(system_.entries().at("entry-1"));
    system_.start_entry(system_.entries().at("entry-2"));
    REQUIRE(system_.wait_until_ready());
    for (int round = 0; round < 20; ++round) {
        const std::string ref = "d-" + std::to_string(round);
        const caller_request request = booking(ref, "key-" + ref);
        const auto answers = call_all({{port("entry-1"), request}, {port("entry-2"), request}});
        for (const caller_answer& answer : answers) {
            outcomes_.add(ref, answer);
        }
    }
    CHECK(outcomes_.count("answered") >= 20);
    check_outcomes();
}

TEST_CASE_FIXTURE(desk_cluster, "booking_same_key_from_many_callers_at_once_runs_once") {
    std::vector<std::pair<std::uint16_t, caller_request>> requests;
    for (int index = 0; index < 30; ++index) {
        requests.emplace_back(port(index % 2 == 0 ? "entry-1" : "entry-2"), booking("one", "key-one"));
    }
    for (const caller_answer& answer : call_all(requests)) {
        outcomes_.add("one", answer);
    }
    CHECK(send("entry-1", "one", "key-one").outcome() == "answered");
    check_outcomes();
}

TEST_CASE_FIXTURE(desk_cluster, "booking_log_loses_responses_and_appends_runs_once") {
    for (const json& faults :
         std::vector<json>{{{"lose_answers", 4}}, {{"lose_appends", 4}}, {{"slow_ms", 150}}}) {
        system_.set_faults(system_.log_port(), faults);
        const std::string prefix = faults.begin().key() + "-";
        send_bookings(prefix, 10, true, [] {});
        system_.set_faults(system_.log_port(), {{"lose_answers", 0}, {"lose_appends", 0}, {"slow_ms", 0}});
        for (int index = 0; index < 10; ++index) {
            const std::string ref = prefix + std::to_string(index);
            const caller_answer answer = send("entry-2", ref, "key-" + ref);
            CAPTURE(answer.body_);
            CHECK(answer.outcome() == "answered");
        }
    }
    check_outcomes();
}

TEST_CASE_FIXTURE(desk_cluster, "booking_log_down_callers_key_is_refused_immediately_and_issued_key_runs") {
    system_.set_faults(system_.log_port(), {{"outage", 1}});
    const caller_answer refused = send("entry-1", "own", "key-own");
    CHECK(refused.outcome() == "not_run");
    CHECK(refused.status_ == 503);
    CHECK(refused.body_.find("/v1/keys") != std::string::npos);
    CHECK_FALSE(refused.header("Retry-After").empty());
    CHECK(refused.elapsed_ms_ < immediate_response_ms);
    const std::string key = issued_key("entry-1");
    CHECK(send("entry-1", "issued", key).outcome() == "answered");
    CHECK(send("entry-2", "issued", key).outcome() == "answered");
    CHECK(send("entry-1", "no-key").outcome() == "answered");
    system_.set_faults(system_.log_port(), {{"outage", 0}});
    CHECK(send("entry-1", "own", "key-own").outcome() == "answered");
    check_outcomes();
}

TEST_CASE_FIXTURE(desk_cluster, "booking_issued_key_of_killed_agent_reports_unknown_and_never_runs") {
    const std::string key = issued_key("entry-1");
    const std::string holder = key.find("desk-a") != std::string::npos ? "desk-a" : "desk-b";
    node(holder).agent_.kill();
    CHECK(send("entry-1", "issued", key).outcome() == "unknown");
    system_.start_agent(node(holder));
    REQUIRE(system_.wait_until_ready());
    REQUIRE(cluster::wait_for([this] { return connected("entry-1"); }));
    CHECK(send("entry-1", "issued", key).outcome() == "unknown");
    check_outcomes();
    CHECK(system_.service_runs("desk").count("issued") == 0);
}

TEST_CASE_FIXTURE(desk_cluster, "booking_claims_trimmed_from_the_log_old_key_is_refused") {
    caller_request old_booking = booking("old", "key-old");
    const caller_answer first = call(port("entry-1"), old_booking);
    CHECK(first.outcome() == "answered");
    for (const char* id : {"desk-a", "desk-b"}) {
        node(id).agent_.kill();
    }
    call(system_.log_port(), {"POST", "/trim", {}, R"({"stream":"claims.desk"})"});
    for (const char* id : {"desk-a", "desk-b"}) {
        system_.start_agent(node(id));
    }
    REQUIRE(system_.wait_until_ready());
    REQUIRE(cluster::wait_for([this] { return connected("entry-1"); }));
    const caller_answer second = call(port("entry-1"), old_booking);
    CHECK(second.status_ == 400);
    CHECK(second.body_.find("key_too_old") != std::string::npos);
    CHECK(system_.service_runs("desk")["old"] == 1);
}

TEST_CASE_FIXTURE(desk_cluster, "booking_key_with_another_body_or_without_issue_time_is_refused") {
    CHECK(send("entry-1", "first", "key-x").outcome() == "answered");
    const caller_answer conflict = call(port("entry-2"), booking("second", "key-x"));
    CHECK(conflict.status_ == 409);
    CHECK(conflict.outcome() == "not_run");
    caller_request without_issue_time = booking("undated");
    without_issue_time.headers_.push_back({"Idempotency-Key", "key-undated"});
    CHECK(call(port("entry-1"), without_issue_time).status_ == 400);
    check_outcomes();
    CHECK(system_.service_runs("desk").count("second") == 0);
    CHECK(system_.service_runs("desk").count("undated") == 0);
}

TEST_CASE_FIXTURE(desk_cluster, "booking_service_loses_response_reports_unknown_and_is_not_run_again") {
    set_service_faults({{"lose_answers", 1}});
    const caller_answer lost = send("entry-1", "lost", "key-lost");
    CHECK(lost.outcome() == "unknown");
    set_service_faults({{"lose_answers", 0}});
    CHECK(send("entry-2", "lost", "key-lost").outcome() == "unknown");
    check_outcomes();
}

TEST_CASE_FIXTURE(desk_cluster, "booking_service_down_reports_not_run") {
    node("desk-a").endpoint_.kill();
    node("desk-b").endpoint_.kill();
    const caller_answer answer = call(port("entry-1"), booking("down"));
    CHECK(answer.outcome() == "not_run");
    CHECK(answer.elapsed_ms_ < immediate_response_ms);
}

} // namespace tamarack::process_tests
