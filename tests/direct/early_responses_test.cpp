// Endpoints that respond before they have read the request, and connections that break while it is being
// written.
#include "direct/gateway_process.hpp"
#include "direct/upload_fixture.hpp"
#include "http/kept_client.hpp"

namespace tamarack::gateway {

namespace {

const early_case unfinished[] = {
    {"end of the connection", head + "\r\n" + part, part.size()},
    {"length", head + "Content-Length: 4000\r\n\r\n" + part, part.size()},
    {"chunks", head + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + part, part.size()},
};

const std::string stream_head = head + "Content-Type: text/event-stream\r\n";
const std::string event = "id: 1\ndata: word\n\n";

const early_case unfinished_streams[] = {
    {"end of the connection", stream_head + "\r\n" + event, event.size()},
    {"chunks", stream_head + "Transfer-Encoding: chunked\r\n\r\n12\r\n" + event + "\r\n", event.size()},
};

} // namespace

// A reset is reported once, here to the write, and the read that follows sees an end of the connection.
// Clients got a part of a body as a whole one.
TEST_CASE_FIXTURE(upload_fixture, "upload_endpoint_sends_part_of_body_and_resets_client_gets_502") {
    for (const early_case& one : unfinished) {
        CAPTURE(std::string(one.name_));
        upload(one, connection_end::reset, fleet::repeat_rule::at_most_once);
        CHECK(sink_->status_ == 502);
        CHECK(sink_->data_.empty());
        CHECK(received_by("e-2") == 0);
    }
}

TEST_CASE_FIXTURE(upload_fixture, "upload_repeatable_endpoint_sends_part_of_body_and_resets_is_sent_again") {
    for (const early_case& one : unfinished) {
        CAPTURE(std::string(one.name_));
        second_.set_behaviours({fake_endpoint::behaviour::complete});
        upload(one, connection_end::reset, fleet::repeat_rule::idempotent);
        CHECK(sink_->status_ == 200);
        CHECK(sink_->data_ == "done");
        CHECK(received_by("e-2") == 1);
    }
}

// Clients got the proper end of a stream after its first event.
TEST_CASE_FIXTURE(upload_fixture, "upload_endpoint_begins_stream_and_resets_client_sees_a_broken_stream") {
    for (const early_case& one : unfinished_streams) {
        CAPTURE(std::string(one.name_));
        upload(one, connection_end::reset, fleet::repeat_rule::stream);
        CHECK(sink_->status_ == -1);
        CHECK_FALSE(sink_->ended_);
    }
}

TEST_CASE_FIXTURE(upload_fixture, "upload_endpoint_begins_resumable_stream_and_resets_stream_is_resumed") {
    for (const early_case& one : unfinished_streams) {
        CAPTURE(std::string(one.name_));
        second_.set_behaviours({fake_endpoint::behaviour::complete_stream});
        upload(one, connection_end::reset, fleet::repeat_rule::stream, true);
        CHECK(sink_->ended_);
        CHECK(sink_->data_.ends_with("id: 5\ndata: word\n\n"));
        REQUIRE(received_by("e-2") == 1);
        CHECK(second_.received_requests()[0].find("Last-Event-Id: 1\r\n") != std::string::npos);
    }
}

// An end in order completes no response either while the endpoint cannot have read the request.
TEST_CASE_FIXTURE(upload_fixture, "upload_endpoint_sends_part_of_body_and_ends_connection_client_gets_502") {
    for (const early_case& one : unfinished) {
        CAPTURE(std::string(one.name_));
        upload(one, connection_end::in_order, fleet::repeat_rule::at_most_once);
        CHECK(sink_->status_ == 502);
        CHECK(sink_->data_.empty());
    }
}

TEST_CASE_FIXTURE(upload_fixture, "upload_endpoint_sends_whole_response_early_client_gets_it") {
    const std::string refused = "HTTP/1.1 413 Payload Too Large\r\n" + head.substr(head.find("\r\n") + 2);
    const early_case whole[] = {
        {"length", refused + "Content-Length: 4\r\n\r\nlong", 4},
        {"chunks", refused + "Transfer-Encoding: chunked\r\n\r\n4\r\nlong\r\n0\r\n\r\n", 4},
    };
    for (const early_case& one : whole) {
        CAPTURE(std::string(one.name_));
        upload(one, connection_end::none, fleet::repeat_rule::at_most_once);
        CHECK(sink_->status_ == 413);
        CHECK(sink_->data_ == "long");
    }
}

// The engine that a resumed stream goes to can fail in the same way.
TEST_CASE_FIXTURE(upload_fixture, "upload_resumed_stream_is_cut_again_client_sees_a_broken_stream") {
    second_.set_last_reply({stream_head + "\r\nid: 2\ndata: word\n\nid: 3\nda"});
    upload(unfinished_streams[0], connection_end::reset, fleet::repeat_rule::stream, true);
    CHECK(sink_->status_ == -1);
    CHECK_FALSE(sink_->ended_);
    CHECK(sink_->data_ == event + "id: 2\ndata: word\n\n");
}

namespace {

constexpr std::chrono::milliseconds call_limit(step_limit_ms);
const std::string reply_head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";

const early_case unfinished_replies[] = {
    {"end of the connection", reply_head + "\r\n" + part, part.size()},
    {"length", reply_head + "Content-Length: 4000\r\n\r\n" + part, part.size()},
    {"chunks", reply_head + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + part, part.size()},
};

} // namespace

// The clients of the store, of engines, of the product's own interface and of the load tool.
TEST_CASE("http_clients_server_sends_part_of_body_and_resets_during_the_request_call_fails") {
    for (const early_case& one : unfinished_replies) {
        CAPTURE(std::string(one.name_));
        const http::request outgoing{"POST", "/x", {}, std::string(upload_bytes, 'x')};
        boost::asio::io_context context;
        unreading_endpoint server;
        std::optional<bool> succeeded;
        const auto client =
            std::make_shared<http::kept_client>(context.get_executor(), server.address(), call_limit);
        client->call(outgoing, call_limit, [&](result<http::response> outcome) { succeeded = ok(outcome); });
        REQUIRE(step_until(context, [&] { return server.is_called(); }));
        server.send(one.response_);
        server.reset();
        REQUIRE(step_until(context, [&] { return succeeded.has_value(); }));
        CHECK_FALSE(*succeeded);
        client->close();

        const auto check_fails = [&](auto call) {
            unreading_endpoint other;
            std::optional<bool> whole;
            boost::asio::co_spawn(
                context, [&]() -> boost::asio::awaitable<void> { whole = co_await call(other.address()); },
                boost::asio::detached);
            REQUIRE(step_until(context, [&] { return other.is_called(); }));
            other.send(one.response_);
            other.reset();
            REQUIRE(step_until(context, [&] { return whole.has_value(); }));
            CHECK_FALSE(*whole);
        };
        check_fails([&](boost::asio::ip::tcp::endpoint at) -> boost::asio::awaitable<bool> {
            co_return ok(co_await http::fetch(at, outgoing, {call_limit, call_limit}));
        });
        check_fails([&](boost::asio::ip::tcp::endpoint at) -> boost::asio::awaitable<bool> {
            const harness::caller_request request{"POST", "/x", {}, outgoing.body_};
            harness::caller_answer answer;
            co_await harness::exchange(at.port(), request, call_limit.count(), answer);
            co_return answer.whole_;
        });
    }
}

// The next call followed on the same connection, amid the rest of the request before it, and was never
// answered.
TEST_CASE("kept_client_server_responds_during_the_request_next_call_has_its_own_connection") {
    boost::asio::io_context context;
    unreading_endpoint server;
    const auto client =
        std::make_shared<http::kept_client>(context.get_executor(), server.address(), call_limit);
    std::vector<int> statuses;
    const auto note = [&](result<http::response> outcome) {
        statuses.push_back(ok(outcome) ? value(outcome).status_ : 0);
    };
    client->call({"POST", "/x", {}, std::string(upload_bytes, 'x')}, call_limit, note);
    REQUIRE(step_until(context, [&] { return server.is_called(); }));
    server.send("HTTP/1.1 413 Payload Too Large\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(step_until(context, [&] { return !statuses.empty(); }));
    client->call({"GET", "/y", {}, ""}, call_limit, note);
    REQUIRE(step_until(context, [&] { return server.is_called() && server.connection_count() == 2; }));
    server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(step_until(context, [&] { return statuses.size() == 2; }));
    CHECK(statuses == std::vector<int>{413, 200});
    client->close();
}

} // namespace tamarack::gateway

namespace tamarack::direct {

namespace {

// Long uploads to one real gateway and one endpoint.
struct upload_process : gateway_process {
    static constexpr int uploads = 20;
    static constexpr std::size_t upload_bytes = 4'000'000;
    const std::string head_ =
        "HTTP/1.1 200 OK\r\nTamarackbeam-Request-Id: ID\r\nTamarackbeam-Server-Stamp: s\r\n";
    const std::string part_ = std::string(2'000, 'p');
    const std::string event_ = "id: 1\ndata: word\n\n";

    upload_process() {
        store_.put("keyed.op", "config", configuration_text(4, 4'096, upload_bytes));
        store_.drop("keyed.servers", "i-2");
        start_ready();
    }

    // Uploads so many bytes to an endpoint that replies in this way.
    result<http::response> upload(const char* route, std::size_t bytes, fake_endpoint::last_reply reply) {
        // Also restores the estimate of the endpoint's health.
        REQUIRE(eventually([&] { return status(request("lookup", "warm-up")) == 200; }));
        first_.set_behaviours({behaviour::complete});
        first_.set_last_reply(std::move(reply));
        http::request outgoing = request(route, "u-1");
        outgoing.body_ = std::string(bytes, 'x');
        auto response = call(port_, outgoing);
        CHECK(first_.received_requests().size() == 1);
        return response;
    }
};

} // namespace

// The same with real processes, where the moment of the reset varies.
TEST_CASE_FIXTURE(upload_process, "direct_path_endpoint_resets_long_uploads_clients_get_no_part_as_whole") {
    for (int number = 0; number < uploads; ++number) {
        const auto plain = upload("booking", upload_bytes, {.text_ = head_ + "\r\n" + part_, .early_ = true});
        CHECK((ok(plain) ? value(plain).status_ : 502) == 502);
        const std::string stream = head_ + "Content-Type: text/event-stream\r\n\r\n" + event_;
        const auto events = upload("quote", upload_bytes, {.text_ = stream, .early_ = true});
        CHECK((ok(events) ? value(events).status_ : 502) == 502);
    }
}

TEST_CASE_FIXTURE(upload_process, "direct_path_endpoint_ends_response_with_its_connection_client_gets_it") {
    for (int number = 0; number < uploads; ++number) {
        for (const std::size_t bytes : {std::size_t(4), upload_bytes}) {
            CAPTURE(bytes);
            const auto plain = upload("booking", bytes, {head_ + "\r\n" + part_});
            REQUIRE(ok(plain));
            CHECK(value(plain).status_ == 200);
            CHECK(value(plain).body_ == part_);
            const std::string stream = head_ + "Content-Type: text/event-stream\r\n\r\n" + event_;
            const auto events = upload("quote", bytes, {stream});
            REQUIRE(ok(events));
            CHECK(value(events).body_ == event_);
        }
    }
}

} // namespace tamarack::direct
