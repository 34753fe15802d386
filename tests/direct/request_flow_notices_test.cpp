// Requests that follow an answer in which an endpoint said something of itself.
#include "direct/request_flow_fixture.hpp"

#include <cmath>

namespace tamarack::gateway {

namespace {

using behaviour = fake_endpoint::behaviour;

constexpr std::chrono::milliseconds one_request{150};

struct notices_fixture : flow_fixture {
    // Sends one request and returns its status. `e-1` is the only endpoint that may be chosen if it is
    // listed alone.
    int send(const std::string& model = "m") {
        sink_ = std::make_shared<status_sink>();
        const auto flow = start(model);
        context_.restart();
        context_.run_for(one_request);
        return sink_->status_;
    }

    void list_only(const std::string& id) {
        std::erase_if(records_, [&](const auto& entry) { return entry.first != id; });
        fleet_.apply_endpoints(records_);
    }

    double retry_after_s() const {
        const http::header* header = http::find_header(sink_->headers_, "Retry-After");
        return header == nullptr ? -1 : std::stod(header->value_);
    }
};

struct broken_stream_fixture : flow_fixture {
    broken_stream_fixture() {
        auto configuration = std::make_shared<fleet::configuration>(*fleet_.current()->configuration_);
        configuration->version_ = 2;
        fleet::route_rule& route = configuration->routes_[0];
        route.repeat_ = fleet::repeat_rule::stream;
        route.resumable_ = true;
        route.max_attempts_ = 2;
        fleet_.apply_configuration(std::make_shared<const indexed_configuration>(configuration));
        fleet_.endpoints().at("e-2")->health_.note_failure(steady_now_ms()); // e-1 is chosen first
        first_.set_behaviours({behaviour::truncated_stream});
    }
};

// The events of a fake endpoint's truncated stream before it breaks off.
const std::string first_events = "id: 1\ndata: word\n\nid: 2\ndata: word\n\n";

std::string reply(const std::string& status, const std::string& headers, const std::string& body) {
    return "HTTP/1.1 " + status + "\r\nTamarackbeam-Request-Id: ID\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// ORDER, MIXED: the text of an error that answered a resumed stream came to its client as a part of the
// stream, or ended it as if it were complete.
TEST_CASE_FIXTURE(broken_stream_fixture, "request_resumed_stream_gets_another_response_ends_incomplete") {
    const std::string stamp = "Tamarackbeam-Server-Stamp: s\r\n";
    const std::string json = "Content-Type: application/json\r\n";
    const std::string events = "Content-Type: text/event-stream\r\n";
    const std::string error = "{\"error\":\"overloaded\"}\n\n";
    const std::string replies[] = {reply("503 Service Unavailable", "Tamarackbeam-Not-Run: 1\r\n", error),
                                   reply("500 Internal Server Error", stamp, error),
                                   reply("404 Not Found", stamp, error),
                                   reply("200 OK", stamp + json, error),
                                   reply("200 OK", stamp + json, ""),
                                   reply("200 OK", stamp, ""),
                                   reply("200 OK", stamp, error),
                                   reply("200 OK", stamp + events, error),
                                   reply("200 OK", stamp + events, "id: 9\ndata: word\n\n"),
                                   reply("200 OK", stamp + events, "id: 3\ndata: word\n\n" + error),
                                   reply("200 OK", events, "id: 3\ndata: word\n\n"),
                                   reply("206 Partial Content", stamp + events, "id: 3\ndata: word\n\n"),
                                   "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 500 Internal Server Error\r\n\r\n",
                                   "no response at all\r\n\r\n"};
    for (const std::string& second : replies) {
        CAPTURE(second);
        sink_ = std::make_shared<status_sink>();
        second_.set_last_reply({second});
        const auto flow = start("m");
        context_.restart();
        context_.run_for(std::chrono::milliseconds(200));
        const bool only_events =
            sink_->data_ == first_events || sink_->data_ == first_events + "id: 3\ndata: word\n\n";
        CHECK(only_events);
        CHECK_FALSE(sink_->ended_);
        CHECK(sink_->status_ == -1);
        fleet_.endpoints().at("e-2")->health_.note_failure(steady_now_ms());
        fleet_.endpoints().at("e-1")->health_ = {};
    }
}

// REFUSED, TWICE: an endpoint wrote an earlier refusal once more, and it was taken for the answer to a later
// request, here to one with the id that its client had used before.
TEST_CASE_FIXTURE(notices_fixture,
                  "request_endpoint_repeats_an_earlier_refusal_it_answers_no_later_request") {
    list_only("e-1");
    first_.set_behaviours({behaviour::refused_twice, behaviour::complete});
    CHECK(send() == 503);
    CHECK(send() == 200);
    CHECK(received_by("e-1") == 2);
}

// The same, where the refusal comes before the answer of another request.
TEST_CASE_FIXTURE(notices_fixture,
                  "request_connection_has_shown_an_extra_response_is_not_sent_over_it_again") {
    list_only("e-1");
    first_.set_behaviours({behaviour::other_answer_first, behaviour::complete});
    CHECK(send() == 200);
    CHECK(send() == 200);
    CHECK(first_.connection_count() == 2);
}

// DRAIN: requests went on to an endpoint whose answer had said that it leaves, until the registry told.
TEST_CASE_FIXTURE(notices_fixture,
                  "request_endpoint_has_said_in_an_answer_that_it_leaves_is_sent_elsewhere") {
    for (fake_endpoint* one : {&first_, &second_}) {
        one->set_headers("server-leaving: 1\r\n");
    }
    CHECK(send() == 200);
    const std::size_t first_got = received_by("e-1");
    const std::string left = first_got > 0 ? "e-1" : "e-2";
    first_.set_headers("");
    second_.set_headers("");
    for (int request = 0; request < 8; ++request) {
        CHECK(send() == 200);
    }
    CHECK(received_by(left) == 1);
}

// BUDGET: an endpoint that had answered 503 with Retry-After was sent requests all the same.
TEST_CASE_FIXTURE(notices_fixture,
                  "request_endpoint_has_asked_for_a_back_off_is_sent_elsewhere_until_its_end") {
    first_.set_behaviours({behaviour::not_run, behaviour::complete});
    first_.set_headers("Retry-After: 1.5\r\n");
    list_only("e-1");
    send();
    REQUIRE(received_by("e-1") == 1);
    first_.set_headers("");
    const time_ms began = boot_now_ms();
    while (boot_now_ms() - began < 1'000) {
        CHECK(send() == 503);
        CHECK(retry_after_s() > 0);
    }
    CHECK(received_by("e-1") == 1);
    while (boot_now_ms() - began < 2'500) {
        send();
    }
    CHECK(sink_->status_ == 200);
}

// BUDGET: a request whose endpoints all wanted rest was sent to one of them, or held.
TEST_CASE_FIXTURE(notices_fixture,
                  "request_all_endpoints_back_off_is_refused_at_once_until_the_earliest_end") {
    first_.set_behaviours({behaviour::not_run});
    second_.set_behaviours({behaviour::not_run});
    first_.set_headers("Retry-After: 0.4\r\n");
    second_.set_headers("Retry-After: 30\r\n");
    send(); // both endpoints turn it away
    REQUIRE(received_by("e-1") + received_by("e-2") == 2);
    sink_ = std::make_shared<status_sink>();
    const auto flow = start("m");
    CHECK(sink_->status_ == 503); // the request was not held
    CHECK(retry_after_s() >= 0.1);
    CHECK(retry_after_s() <= 2.0 / 3); // what a client honours of its two seconds
    CHECK(received_by("e-1") + received_by("e-2") == 2);
}

// BUDGET: each request for a model tried every engine that had rejected the one before, since none holds it.
TEST_CASE_FIXTURE(notices_fixture, "request_engines_have_rejected_its_model_is_not_sent_there_again") {
    first_.set_behaviours({behaviour::misdirected});
    second_.set_behaviours({behaviour::misdirected});
    send();
    REQUIRE(received_by("e-1") + received_by("e-2") == 2);
    for (int request = 0; request < 5; ++request) {
        send();
    }
    CHECK(received_by("e-1") + received_by("e-2") == 2);
}

} // namespace tamarack::gateway
