#include "direct/gateway_process.hpp"

namespace tamarack::direct {

namespace {

struct fault_case {
    const char* name_;
    behaviour behaviour_;
    int lookup_;                   // status of a repeatable request
    int booking_;                  // status of an unrepeatable request
    std::size_t booking_attempts_; // unrepeatable requests that reached an endpoint
};

} // namespace

// DRAIN: requests went on to an endpoint that drained, since it had started again with a lower time of day.
TEST_CASE_FIXTURE(gateway_process,
                  "direct_path_endpoint_starts_again_with_an_earlier_clock_and_drains_is_left") {
    start_ready();
    const auto entry = [&](const char* state, std::int64_t born, int sequence) {
        nlohmann::json body = nlohmann::json::parse(endpoint_text(first_, state));
        body["born"] = born;
        body["sequence"] = sequence;
        store_.put("keyed.servers", "i-1", body.dump());
    };
    constexpr std::int64_t first_start = 5'000;
    const auto first_is_used = [&] {
        set_behaviours_of_both({behaviour::complete});
        for (int lookup = 0; lookup < 10; ++lookup) {
            CHECK(status(request("lookup", "r-" + std::to_string(lookup))) == 200);
        }
        return !first_.received_requests().empty();
    };
    entry("ready", first_start, 1);
    REQUIRE(eventually(first_is_used));
    entry("ready", first_start - 2'400, 1);
    entry("draining", first_start - 2'400, 2);
    CHECK(eventually([&] { return !first_is_used(); }));
}

TEST_CASE_FIXTURE(gateway_process, "direct_path_endpoint_faults_give_expected_statuses") {
    start_ready();
    const fault_case cases[] = {
        {"complete response", behaviour::complete, 200, 200, 1},
        {"late response to another request first", behaviour::other_answer_first, 200, 200, 1},
        {"truncated response", behaviour::truncated, 502, 502, 1},
        {"connection reset", behaviour::reset, 502, 502, 1},
        {"not run", behaviour::not_run, 503, 503, 2},
        {"success without a stamp", behaviour::unstamped, 502, 502, 1},
        {"stamped server error", behaviour::server_error, 500, 500, 1},
        {"bytes that are no HTTP response", behaviour::garbage, 502, 502, 1},
        {"silence until the deadline", behaviour::silent, 504, 504, 1},
    };
    for (const fault_case& one : cases) {
        CAPTURE(one.name_);
        set_behaviours_of_both({one.behaviour_});
        CHECK(status(request("lookup", "r-lookup")) == one.lookup_);
        set_behaviours_of_both({one.behaviour_});
        CHECK(status(request("booking", "r-booking")) == one.booking_);
        CHECK(received_count() == one.booking_attempts_);
    }
}

namespace {

struct unframed_case {
    const char* name_;
    const char* route_;
    std::string text_; // what follows the status line and the stamp
    bool reset_;
    int status_; // 0 if the client's connection ends before the response does
    std::string body_;
};

} // namespace

// A response without length and chunks ends with its connection, and only its end in order makes it complete.
TEST_CASE_FIXTURE(gateway_process,
                  "direct_path_response_has_neither_length_nor_chunks_it_ends_with_its_connection") {
    start_ready();
    const std::string events = "id: 1\ndata: word\n\nid: 2\ndata: word\n\n";
    const std::string type = "Content-Type: text/event-stream\r\n\r\n";
    const unframed_case cases[] = {
        {"body", "booking", "\r\ndone", false, 200, "done"},
        {"no body", "booking", "\r\n", false, 200, ""},
        {"body and reset", "booking", "\r\ndone", true, 502, ""},
        {"part of the head", "booking", "Content-Ty", false, 502, ""},
        {"whole events", "quote", type + events, false, 200, events},
        {"whole events and reset", "quote", type + events, true, 0, ""},
        {"part of an event", "quote", type + events + "id: 3\nda", false, 0, ""},
        {"an event without its blank line", "quote", type + events + "id: 3\ndata: word\n", false, 0, ""},
        {"no events", "quote", type, false, 502, ""},
    };
    for (const unframed_case& one : cases) {
        CAPTURE(one.name_);
        set_behaviours_of_both({behaviour::complete_stream});
        const std::string head =
            "HTTP/1.1 200 OK\r\nTamarackbeam-Request-Id: ID\r\nTamarackbeam-Server-Stamp: s\r\n";
        first_.set_last_reply({head + one.text_, one.reset_});
        second_.set_last_reply({head + one.text_, one.reset_});
        const auto response = call(port_, request(one.route_, "u-1"));
        CHECK((ok(response) ? value(response).status_ : 0) == one.status_);
        if (ok(response)) {
            CHECK(value(response).body_ == one.body_);
        }
    }
}

TEST_CASE_FIXTURE(gateway_process,
                  "direct_path_stream_without_framing_ends_inside_an_event_another_endpoint_resumes_it") {
    start_ready();
    std::string whole;
    for (int id = 1; id <= 5; ++id) {
        whole += "id: " + std::to_string(id) + "\ndata: word\n\n";
    }
    constexpr int max_streams = 50;
    set_behaviours_of_both({behaviour::complete_stream});
    for (int stream = 0; stream < max_streams && first_.received_requests().empty(); ++stream) {
        first_.set_last_reply(
            {"HTTP/1.1 200 OK\r\nTamarackbeam-Request-Id: ID\r\nTamarackbeam-Server-Stamp: s\r\n"
             "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: word\n\nid: 2\nda",
             false});
        const auto response = call(port_, request("chat", "u-" + std::to_string(stream)));
        REQUIRE(ok(response));
        CHECK(value(response).body_ == whole);
    }
    CHECK_FALSE(first_.received_requests().empty());
}

TEST_CASE_FIXTURE(gateway_process,
                  "direct_path_endpoint_silent_lookup_fails_over_within_half_the_clients_patience") {
    constexpr time_ms patience_ms = 2'000;
    start_ready();
    first_.set_behaviours({behaviour::silent});
    constexpr int max_lookups = 50;
    for (int lookup = 0; lookup < max_lookups && first_.received_requests().empty(); ++lookup) {
        const time_ms began = steady_now_ms();
        CHECK(status(request("lookup", "r-" + std::to_string(lookup))) == 200);
        CHECK(steady_now_ms() - began < patience_ms / 2);
    }
    CHECK_FALSE(first_.received_requests().empty());
}

TEST_CASE_FIXTURE(gateway_process, "direct_path_one_endpoint_resets_lookup_is_retried_and_booking_is_not") {
    start_ready();
    first_.set_behaviours({behaviour::reset});
    second_.set_behaviours({behaviour::complete});
    int bookings_failed = 0;
    for (int attempt = 0; attempt < 20; ++attempt) {
        CHECK(status(request("lookup", "l-" + std::to_string(attempt))) == 200);
        bookings_failed += status(request("booking", "b-" + std::to_string(attempt))) == 200 ? 0 : 1;
    }
    std::map<std::string, int> runs;
    for (const fake_endpoint* endpoint : {&first_, &second_}) {
        for (const std::string& arrived : endpoint->received_requests()) {
            const std::size_t at = arrived.find("Request-Id: b-");
            if (at != std::string::npos) {
                ++runs[arrived.substr(at, arrived.find('\r', at) - at)];
            }
        }
    }
    for (const auto& [id, count] : runs) {
        CAPTURE(id);
        CHECK(count == 1);
    }
    CHECK(bookings_failed < 20);
}

TEST_CASE_FIXTURE(gateway_process, "direct_path_resumable_stream_cut_client_gets_each_event_once") {
    start_ready();
    set_behaviours_of_both({behaviour::truncated_stream, behaviour::complete_stream});
    // Either endpoint cuts the stream if it is the first; the other one must resume it after the last
    // complete event.
    first_.set_behaviours({behaviour::truncated_stream});
    second_.set_behaviours({behaviour::truncated_stream, behaviour::complete_stream});
    std::string expected;
    for (int id = 1; id <= 5; ++id) {
        expected += "id: " + std::to_string(id) + "\ndata: word\n\n";
    }
    const auto response = call(port_, request("chat", "s-1"));
    const std::string received = ok(response) ? value(response).body_ : "interrupted";
    // After two cuts no attempt is left: the stream must then end as incomplete, not as a shorter complete
    // one.
    CHECK((received == expected || received == "interrupted"));
    set_behaviours_of_both({behaviour::complete_stream});
    const auto whole = call(port_, request("chat", "s-2"));
    REQUIRE(ok(whole));
    CHECK(value(whole).body_ == expected);
}

TEST_CASE_FIXTURE(gateway_process, "direct_path_unresumable_stream_cut_is_not_retried") {
    start_ready();
    set_behaviours_of_both({behaviour::truncated_stream});
    CHECK_FALSE(ok(call(port_, request("quote", "s-1"))));
    CHECK(received_count() == 1);
}

TEST_CASE_FIXTURE(gateway_process, "direct_path_no_route_404_no_id_400_long_body_413_and_no_endpoint_503") {
    start_ready();
    CHECK(status(request("nowhere", "r-1")) == 404);
    http::request unnamed = request("lookup", "r-2");
    unnamed.headers_.erase(unnamed.headers_.begin() + 1);
    CHECK(status(unnamed) == 400);
    http::request longer = request("booking", "r-3");
    longer.body_ = std::string(2'000, 'x');
    CHECK(status(longer) == 413);
    CHECK(received_count() == 0);
    store_.drop("keyed.servers", "i-1");
    store_.drop("keyed.servers", "i-2");
    CHECK(eventually([&] { return status(request("lookup", "r-4")) == 503; }));
}

TEST_CASE_FIXTURE(gateway_process,
                  "direct_path_store_fails_configuration_stays_and_newer_one_is_read_after_recovery") {
    start_ready();
    for (const auto fault : {fake_store::fault::busy, fake_store::fault::limited, fake_store::fault::silent,
                             fake_store::fault::truncated, fake_store::fault::expired}) {
        CAPTURE(int(fault));
        store_.set_fault(fault);
        const int calls = store_.calls();
        REQUIRE(eventually([&] { return store_.calls() > calls + 1; }));
        CHECK(status(request("lookup", "during")) == 200);
    }
    nlohmann::json next = nlohmann::json::parse(configuration_text(9));
    next["routes"].erase(0);
    store_.put("keyed.op", "config", next.dump());
    store_.put("keyed.op", "config", configuration_text(5)); // older versions are ignored
    store_.set_fault(fake_store::fault::none);
    // The last record in the log is version 5. A process that read version 9 before keeps it, others apply 5.
    CHECK(eventually([&] { return ready(); }));
    CHECK(status(request("booking", "after")) == 200);
}

TEST_CASE_FIXTURE(gateway_process, "direct_path_endpoint_draining_soon_gets_no_new_requests") {
    start_ready();
    nlohmann::json draining = nlohmann::json::parse(endpoint_text(first_, "draining"));
    draining["sequence"] = 2;
    store_.put("keyed.servers", "i-1", draining.dump());
    REQUIRE(eventually([&] {
        first_.set_behaviours({behaviour::complete});
        for (int attempt = 0; attempt < 8; ++attempt) {
            status(request("lookup", "probe"));
        }
        return first_.received_requests().empty();
    }));
}

TEST_CASE_FIXTURE(gateway_process, "direct_path_sigterm_turns_unready_and_exits_cleanly") {
    start_ready();
    process_.signal(SIGTERM);
    CHECK(eventually([&] { return !ready(); }));
    CHECK(process_.wait() == 0);
}

TEST_CASE_FIXTURE(gateway_process, "direct_path_store_unavailable_at_start_returns_503_and_is_not_ready") {
    store_.set_fault(fake_store::fault::busy);
    start();
    REQUIRE(eventually([&] { return status(request("lookup", "early")) == 503; }));
    CHECK_FALSE(ready());
    store_.set_fault(fake_store::fault::none);
    CHECK(eventually([&] { return ready(); }));
}

} // namespace tamarack::direct
