// Requests on their way to an endpoint while the view of the endpoints changes.
#include "direct/request_flow_fixture.hpp"

namespace tamarack::gateway {

// Fault: a name that no order or frame can hold went to the agents, and each ended that wrote it.
TEST_CASE_FIXTURE(flow_fixture,
                  "request_names_of_model_and_adapter_cannot_be_written_is_refused_at_the_door") {
    for (const std::string& model : {std::string("m/\xff\xfe"), std::string("\xc3"), std::string("m/a b"),
                                     std::string("m/a/b"), "m/" + std::string(200, 'a')}) {
        CAPTURE(model);
        const auto flow = start(model);
        CHECK(sink_->status_ == 400);
        CHECK(adapters_.empty());
    }
}

// DRAIN: a request went to the endpoint that had been chosen before its adapter was loaded, though it had
// left.
TEST_CASE_FIXTURE(flow_fixture, "request_endpoint_leaves_while_its_adapter_is_loaded_is_sent_elsewhere") {
    const auto flow = start("m/a1");
    REQUIRE(adapters_.size() == 1);
    const auto [left, adapter_loaded] = adapters_.front();
    mark_leaving(left);
    adapter_loaded(true);
    REQUIRE(adapters_.size() == 2);
    adapters_.back().second(true);
    run();
    CHECK(sink_->status_ == 200);
    CHECK(received_by(left) == 0);
}

// DRAIN: the same, where the endpoint's entry was removed.
TEST_CASE_FIXTURE(flow_fixture, "request_endpoint_is_removed_while_its_adapter_is_loaded_is_sent_elsewhere") {
    const auto flow = start("m/a1");
    REQUIRE(adapters_.size() == 1);
    const auto [removed, adapter_loaded] = adapters_.front();
    records_.erase(removed);
    fleet_.apply_endpoints(records_);
    adapter_loaded(true);
    REQUIRE(adapters_.size() == 2);
    adapters_.back().second(true);
    run();
    CHECK(sink_->status_ == 200);
    CHECK(received_by(removed) == 0);
}

// DRAIN: a request was sent over a connection that was opened before the endpoint said that it leaves.
TEST_CASE_FIXTURE(flow_fixture, "request_endpoint_leaves_while_it_is_connected_to_is_sent_elsewhere") {
    const auto flow = start("m");
    const bool first_chosen = fleet_.endpoints().at("e-1")->in_flight_ > 0;
    const std::string left = first_chosen ? "e-1" : "e-2";
    mark_leaving(left);
    run();
    CHECK(sink_->status_ == 200);
    CHECK(received_by(left) == 0);
}

// LOST: a request whose connection was opened in time was sent when the process was about to end.
TEST_CASE_FIXTURE(flow_fixture,
                  "request_process_ends_while_endpoint_is_connected_to_is_refused_and_not_sent") {
    const auto flow = start("m");
    end_process_in(1'000); // less than the objective of the route
    run();
    CHECK(sink_->status_ == 503);
    CHECK(received_by("e-1") + received_by("e-2") == 0);
}

// LOST: the second attempt of a request was sent when the process was about to end.
TEST_CASE_FIXTURE(flow_fixture, "request_process_ends_after_first_attempt_is_refused_and_not_sent_again") {
    const fleet::endpoint_record sound = records_.at("e-2");
    records_.at("e-1").address_.port(1); // to which nothing listens
    records_.erase("e-2");
    fleet_.apply_endpoints(records_);
    const auto flow = start("m");
    records_["e-2"] = sound;
    fleet_.apply_endpoints(records_);
    SUBCASE("told to end") {
        end_process_in(1'000);
        run();
        CHECK(sink_->status_ == 503);
        CHECK(received_by("e-2") == 0);
    }
    SUBCASE("not told") {
        run();
        CHECK(sink_->status_ == 200);
        CHECK(received_by("e-2") == 1);
    }
}

// What can no longer be sent is told so at once, not when the process ends.
TEST_CASE_FIXTURE(flow_fixture,
                  "request_process_ends_while_adapter_is_loaded_is_refused_once_it_cannot_end") {
    const auto flow = start("m/a1");
    end_process_in(2'500);
    flow->refuse_if_unsent();
    CHECK(sink_->status_ == 0);
    end_process_in(1'000);
    flow->refuse_if_unsent();
    CHECK(sink_->status_ == 503);
    REQUIRE(adapters_.size() == 1);
    adapters_.front().second(true);
    run();
    CHECK(received_by("e-1") + received_by("e-2") == 0);
}

namespace {

// The engines carry out an order for a model, and take no other one until it has ended.
struct busy_engines_fixture : flow_fixture {
    busy_engines_fixture() {
        auto configuration = std::make_shared<fleet::configuration>(*fleet_.current()->configuration_);
        configuration->version_ = 2;
        configuration->routes_.front().objective_ms_ = 300;
        configuration->routes_.front().patience_ms_ = 2'000;
        fleet::model_spec model;
        model.name_ = "other";
        model.store_load_ms_ = 600;
        configuration->services_.front().engine_->slots_ = 16;
        configuration->services_.front().engine_->models_ = {model};
        fleet_.apply_configuration(std::make_shared<const indexed_configuration>(configuration));
    }

    void report_load(const std::string& model, time_ms since_ms) {
        for (const auto& [id, one] : fleet_.endpoints()) {
            one->engine_.known_ = one->engine_.reachable_ = one->engine_.busy_ = true;
            one->engine_.loading_ = model;
            one->engine_.loading_since_ = steady_now_ms() - since_ms;
            one->engine_.models_ = {{"m", {}}};
            one->engine_.reported_at_ = steady_now_ms();
        }
    }
};

} // namespace

// A request was refused at an idle engine since the load of another model counted as 1.5 s, however long it
// had been under way.
TEST_CASE_FIXTURE(busy_engines_fixture,
                  "request_needs_an_adapter_while_an_idle_engine_loads_a_model_waits_for_it") {
    report_load("other", 100);
    const auto flow = start("m/a");
    CHECK(adapters_.size() == 1);
    CHECK(sink_->status_ == 0);
}

TEST_CASE_FIXTURE(busy_engines_fixture,
                  "request_needs_an_adapter_while_a_busy_engine_loads_a_model_is_refused") {
    report_load("other", 100);
    for (const auto& [id, one] : fleet_.endpoints()) {
        one->engine_.running_ = 12;
    }
    const auto flow = start("m/a");
    CHECK(adapters_.empty());
    CHECK(sink_->status_ == 503);
}

// The agent gives up an adapter before such a load has ended.
TEST_CASE_FIXTURE(busy_engines_fixture, "request_needs_an_adapter_after_a_longer_load_is_refused_at_once") {
    report_load("", 0);
    const auto flow = start("m/a");
    CHECK(adapters_.empty());
    CHECK(sink_->status_ == 503);
}

// GONE: requests were sent to the only engine of their model while its machine stood still, and went on there
// after their clients had left.
TEST_CASE_FIXTURE(flow_fixture, "request_all_engines_are_unresponsive_is_refused_and_not_sent") {
    let_reports_be_overdue();
    const auto flow = start("m");
    run();
    CHECK(sink_->status_ == 503);
    CHECK(received_by("e-1") + received_by("e-2") == 0);
}

TEST_CASE_FIXTURE(flow_fixture, "request_report_arrives_while_engines_are_unresponsive_is_sent_there") {
    let_reports_be_overdue();
    const auto flow = start("m");
    fleet_.endpoints().at("e-2")->engine_.reported_at_ = steady_now_ms();
    run();
    CHECK(sink_->status_ == 200);
    CHECK(received_by("e-2") == 1);
}

// GONE: streams stayed at engines on suspended instances until their clients had left, and were held there
// when the instances resumed.
TEST_CASE_FIXTURE(flow_fixture,
                  "request_engine_is_suspended_and_no_other_is_left_client_is_told_before_it_leaves") {
    constexpr time_ms patience_ms = 1'500;
    auto configuration = std::make_shared<fleet::configuration>(*fleet_.current()->configuration_);
    configuration->version_ = 2;
    configuration->routes_[0].repeat_ = fleet::repeat_rule::stream;
    configuration->routes_[0].patience_ms_ = patience_ms;
    fleet_.apply_configuration(std::make_shared<const indexed_configuration>(configuration));
    records_.erase("e-2");
    fleet_.apply_endpoints(records_);
    for (const bool suspended : {true, false}) {
        CAPTURE(suspended);
        first_.set_behaviours({fake_endpoint::behaviour::silent});
        sink_ = std::make_shared<status_sink>();
        const time_ms began = steady_now_ms();
        const auto flow = start("m");
        let_reports_be_overdue();
        const auto& engine = fleet_.endpoints().at("e-1")->engine_;
        while (sink_->status_ == 0 && steady_now_ms() - began < patience_ms) {
            context_.run_for(std::chrono::milliseconds(20));
            context_.restart();
            if (!suspended) {
                fleet_.endpoints().at("e-1")->engine_.reported_at_ = steady_now_ms();
            }
        }
        CHECK(engine.known_);
        CHECK(sink_->status_ == (suspended ? 502 : 0));
        flow->on_client_disconnected();
    }
}

// The log said of a stream that the gateway broke off that its client had gone.
TEST_CASE_FIXTURE(flow_fixture, "request_stream_is_broken_off_log_does_not_say_that_its_client_left") {
    auto configuration = std::make_shared<fleet::configuration>(*fleet_.current()->configuration_);
    configuration->version_ = 2;
    configuration->routes_[0].repeat_ = fleet::repeat_rule::stream;
    fleet_.apply_configuration(std::make_shared<const indexed_configuration>(configuration));
    first_.set_behaviours({fake_endpoint::behaviour::truncated_stream});
    second_.set_behaviours({fake_endpoint::behaviour::truncated_stream});
    const auto flow = start("m");
    sink_->on_abort_ = [&] { flow->on_client_disconnected(); }; // as a connection does
    run();
    events_.stop(std::chrono::seconds(2));
    CHECK(sink_->status_ == -1);
    CHECK(log_.find(R"("outcome":"broken")") != std::string::npos);
    CHECK(log_.find("client_gone") == std::string::npos);
}

// Demand was kept for every model that a client named, also for those that do not exist, and told to all
// gateways.
TEST_CASE_FIXTURE(flow_fixture, "request_model_is_not_in_the_configuration_its_demand_is_not_counted") {
    auto configuration = std::make_shared<fleet::configuration>(*fleet_.current()->configuration_);
    configuration->version_ = 2;
    configuration->services_[0].engine_->models_.push_back({});
    configuration->services_[0].engine_->models_.back().name_ = "m";
    fleet_.apply_configuration(std::make_shared<const indexed_configuration>(configuration));
    std::vector<std::shared_ptr<request_flow>> flows;
    for (int number = 0; number < 50; ++number) {
        flows.push_back(start("no-such-model-" + std::to_string(number)));
    }
    flows.push_back(start("m"));
    const auto levels = fleet_.demand_.levels(steady_now_ms());
    CHECK(levels.size() == 1);
    CHECK(levels.contains("m"));
    run();
}

// One client with a longer deadline made all others count as returned, for good.
TEST_CASE_FIXTURE(flow_fixture, "request_one_client_has_an_unusual_deadline_others_count_as_usual_again") {
    CHECK_FALSE(fleet_.note_deadline("drafts", 12'000));
    CHECK_FALSE(fleet_.note_deadline("drafts", 20'000));
    CHECK(fleet_.note_deadline("drafts", 12'000));
    for (int request = 0; request < 2'000; ++request) {
        fleet_.note_deadline("drafts", request % 10 == 0 ? 12'000 : 9'000); // most of them return
    }
    CHECK_FALSE(fleet_.note_deadline("drafts", 12'000));
    CHECK(fleet_.note_deadline("drafts", 9'000));
}

// The log of a 504 did not say what the request was waiting for, nor why its endpoint had been chosen.
TEST_CASE_FIXTURE(flow_fixture, "request_endpoint_does_not_respond_in_time_log_says_what_it_waited_for") {
    first_.set_behaviours({fake_endpoint::behaviour::silent});
    second_.set_behaviours({fake_endpoint::behaviour::silent});
    const auto flow = start("m");
    run();
    events_.stop(std::chrono::seconds(2)); // writes what is queued
    CHECK(sink_->status_ == 504);
    CHECK(log_.find(R"("decision":"out_of_time")") != std::string::npos);
    CHECK(log_.find(R"("waits_for":"response")") != std::string::npos);
    CHECK(log_.find(R"("candidates":2)") != std::string::npos);
}

// DRAIN: a gateway that had stood still sent requests by what it knew before, in the moment before its next
// read.
TEST_CASE_FIXTURE(flow_fixture, "request_process_stood_still_waits_for_a_view_from_after_it") {
    constexpr std::chrono::milliseconds before_the_read(40);
    constexpr time_ms stood_still_ms = 5'000;
    fleet_.set_registry_freshness({boot_now_ms() - stood_still_ms, 0, false});
    for (int request = 0; request < 6; ++request) {
        start("m");
    }
    context_.run_for(before_the_read);
    mark_leaving("e-1");
    fleet_.set_registry_freshness({boot_now_ms(), 0, false});
    run();
    CHECK(received_by("e-1") == 0);
    CHECK(received_by("e-2") == 6);
}

TEST_CASE_FIXTURE(flow_fixture, "request_no_newer_view_comes_waits_once_and_no_longer_than_a_read_takes") {
    constexpr time_ms limit_ms = 300; // the wait and the request itself
    fleet_.set_registry_freshness({boot_now_ms() - 60'000, 0, false});
    for (int request = 0; request < 2; ++request) {
        sink_->status_ = 0;
        const time_ms began = boot_now_ms();
        const auto flow = start("m");
        while (sink_->status_ == 0 && boot_now_ms() - began < limit_ms) {
            context_.run_for(std::chrono::milliseconds(5));
        }
        CHECK(sink_->status_ == 200);
        CHECK(boot_now_ms() - began < (request == 0 ? limit_ms : limit_ms / 3));
        fleet_.set_registry_freshness({boot_now_ms() - 30'000, 0, true}); // newer, and still too old
    }
}

// LIMIT: a request went to the endpoint that had been chosen before it named its limit.
TEST_CASE_FIXTURE(flow_fixture,
                  "request_endpoint_names_a_limit_while_its_adapter_is_loaded_is_sent_elsewhere") {
    const auto flow = start("m/a1");
    REQUIRE(adapters_.size() == 1);
    const auto [limited, adapter_loaded] = adapters_.front();
    fleet_.notices_.limits().observe(limited, 0, 0.5, boot_now_ms());
    adapter_loaded(true);
    context_.run_for(std::chrono::milliseconds(20));
    REQUIRE(adapters_.size() == 2);
    adapters_.back().second(true);
    run();
    CHECK(sink_->status_ == 200);
    CHECK(received_by(limited) == 0);
}

TEST_CASE_FIXTURE(flow_fixture, "request_all_endpoints_limited_and_no_part_here_is_refused_at_once") {
    fleet_.notices_.limits().observe("e-1", 0, 0.5, boot_now_ms());
    fleet_.notices_.limits().observe("e-2", 0, 0.5, boot_now_ms());
    const auto flow = start("m");
    CHECK(sink_->status_ == 503);
    run();
    CHECK(received_by("e-1") + received_by("e-2") == 0);
}

// Forty requests want the places of a limit of 10 a second: those that can be in time wait and are sent, the
// others are told to return.
TEST_CASE_FIXTURE(flow_fixture, "request_places_come_in_time_waits_for_one_and_is_sent_within_the_limit") {
    records_.erase("e-2");
    fleet_.apply_endpoints(records_);
    const time_ms started_at = boot_now_ms() - 10'000;
    fleet_.notices_.limits() = limits::shared_limits("gateway-1", started_at);
    for (time_ms now = started_at; now <= boot_now_ms(); now += 500) {
        fleet_.notices_.limits().update(now, true);
    }
    fleet_.notices_.limits().observe("e-1", 0, 10.0, boot_now_ms());
    first_.set_limit("10.0");
    const time_ms began = boot_now_ms();
    constexpr int requests = 40;
    for (int request = 0; request < requests; ++request) {
        start("m");
    }
    while (boot_now_ms() - began < 2'500) {
        context_.run_for(std::chrono::milliseconds(50));
        context_.restart();
        fleet_.notices_.limits().update(boot_now_ms(), true);
    }
    const auto sent = int(received_by("e-1"));
    CHECK(sent >= 10);
    CHECK(sent <= 25); // 9 a second within the objective of 2 s, and what may be sent at once
}

// What happens to a stream while its client is behind.
enum class behind_event { none, client_reads_on, client_leaves, deadline };

struct behind_case {
    const char* name_;
    fake_endpoint::behaviour reply_;
    std::size_t unsent_; // bytes that the client has not read when the events arrive
    behind_event event_;
    bool complete_; // whether the client's stream ends as complete
};

// LOST: a gateway crashed when a stream ended whose client was behind. The end of the stream comes with its
// last events here, and by itself where the exchange was paused before.
TEST_CASE_FIXTURE(flow_fixture, "request_stream_ends_while_its_client_is_behind_each_event_is_handled") {
    using behaviour = fake_endpoint::behaviour;
    constexpr std::size_t far_behind = 1024 * 1024;
    const behind_case cases[] = {
        {"client keeps up", behaviour::complete_stream, 0, behind_event::none, true},
        {"client is behind", behaviour::complete_stream, far_behind, behind_event::none, true},
        {"client reads on", behaviour::complete_stream, far_behind, behind_event::client_reads_on, true},
        {"client leaves", behaviour::complete_stream, far_behind, behind_event::client_leaves, false},
        {"stream is cut", behaviour::truncated_stream, far_behind, behind_event::client_reads_on, false},
        {"stream is cut and the client leaves", behaviour::truncated_stream, far_behind,
         behind_event::client_leaves, false},
        {"time runs out", behaviour::truncated_stream, far_behind, behind_event::deadline, false},
    };
    auto configuration = std::make_shared<fleet::configuration>(*fleet_.current()->configuration_);
    configuration->version_ = 2;
    configuration->routes_[0].repeat_ = fleet::repeat_rule::stream;
    configuration->routes_[0].max_attempts_ = 1;
    fleet_.apply_configuration(std::make_shared<const indexed_configuration>(configuration));
    for (const behind_case& one : cases) {
        CAPTURE(one.name_);
        first_.set_behaviours({one.reply_});
        second_.set_behaviours({one.reply_});
        sink_ = std::make_shared<status_sink>();
        sink_->unsent_ = one.unsent_;
        const auto flow = start("m");
        const time_ms until = steady_now_ms() + (one.event_ == behind_event::deadline ? 2'300 : 300);
        bool left = false;
        while (steady_now_ms() < until) {
            context_.run_for(std::chrono::milliseconds(5));
            context_.restart();
            const bool begun = sink_->status_ == 200;
            if (begun && one.event_ == behind_event::client_reads_on) {
                sink_->unsent_ = 0;
                flow->on_write_completed();
            }
            if (begun && one.event_ == behind_event::client_leaves && !std::exchange(left, true)) {
                flow->on_client_disconnected();
            }
        }
        CHECK((sink_->ended_ == one.complete_ || one.event_ == behind_event::client_leaves));
        CHECK((sink_->status_ == 200 || sink_->status_ == -1));
    }
}

// A gateway that had just started refused everything with a shared part until the store answered.
TEST_CASE_FIXTURE(flow_fixture, "request_quarantine_is_not_known_waits_a_moment_and_is_served") {
    fleet_.quarantine_ = {};
    const time_ms began = boot_now_ms();
    const auto flow = start("m");
    run();
    CHECK(sink_->status_ == 200);
    CHECK(boot_now_ms() - began >= 200);
}

// A request went to a second endpoint after the first had ended, though it was not known what is quarantined.
TEST_CASE_FIXTURE(flow_fixture, "request_quarantine_is_not_known_and_endpoint_breaks_is_sent_once") {
    auto configuration = std::make_shared<fleet::configuration>(*fleet_.current()->configuration_);
    configuration->version_ = 2;
    configuration->routes_[0].repeat_ = fleet::repeat_rule::idempotent;
    configuration->routes_[0].max_attempts_ = 2;
    fleet_.apply_configuration(std::make_shared<const indexed_configuration>(configuration));
    for (const bool known : {true, false}) {
        CAPTURE(known);
        for (fake_endpoint* one : {&first_, &second_}) {
            one->set_behaviours({fake_endpoint::behaviour::reset});
        }
        if (!known) {
            fleet_.quarantine_ = {};
        }
        const auto flow = start("m");
        run();
        CHECK(sink_->status_ == 502);
        CHECK(received_by("e-1") + received_by("e-2") == (known ? 2 : 1));
        context_.restart();
    }
}

} // namespace tamarack::gateway
