// Connections that are closed between two parts of a long write.
#include "direct/upload_fixture.hpp"
#include "tamarack/http.hpp"
#include "tamarack/links.hpp"
#include "tamarack/wire.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <thread>

namespace tamarack::gateway {

namespace {

// An upload whose endpoint reads again when the request ends, so that parts of it are written at that moment.
struct released_fixture : upload_fixture {
    released_fixture() : upload_fixture(wide_receive_bytes) {}

    void begin(fleet::repeat_rule rule = fleet::repeat_rule::at_most_once,
               time_ms deadline_ms = step_limit_ms) {
        sink_ = std::make_shared<status_sink>();
        start_upload(rule, false, deadline_ms);
    }

    // Returns when the gateway has written one part and its next task writes another one.
    void write_one_part() {
        REQUIRE_FALSE(early_.drain().empty());
        REQUIRE(run_until(context_, [&] { return early_.has_unread_bytes(); }));
    }

    // Runs what remains of the upload after its end. The endpoint gets no more of it.
    void check_writing_ends() {
        const auto reused = reuse_freed_memory();
        context_.restart();
        context_.poll();
        CHECK(early_.drain().size() < upload_bytes / 2);
        CHECK(fleet_.endpoints().at("e-1")->connections_ == 0);
    }
};

struct early_end {
    const char* name_;
    std::string response_;
    int client_status_;
};

const early_end early_ends[] = {
    {"rejected",
     "HTTP/1.1 413 Payload Too Large\r\n" + head.substr(head.find("\r\n") + 2) +
         "Content-Length: 4\r\n\r\nlong",
     413},
    {"complete", head + "Content-Length: 4\r\n\r\ndone", 200},
    {"broken", "no response\r\n\r\n", 502},
    {"broken after its head", head + "Transfer-Encoding: chunked\r\n\r\nno length\r\n", 502},
};

} // namespace

// The write went on with the connection that the end of the request had freed, which ended the gateway.
TEST_CASE_FIXTURE(released_fixture, "upload_response_ends_between_two_parts_write_ends_with_its_connection") {
    for (const early_end& one : early_ends) {
        CAPTURE(std::string(one.name_));
        begin();
        early_.send(one.response_);
        early_.drain();
        REQUIRE(run_until(context_, [&] { return is_answered(); }));
        CHECK(sink_->status_ == one.client_status_);
        check_writing_ends();
    }
}

TEST_CASE_FIXTURE(released_fixture, "upload_client_leaves_between_two_parts_write_ends_with_its_connection") {
    begin();
    write_one_part();
    flow_->on_client_disconnected();
    check_writing_ends();
}

TEST_CASE_FIXTURE(released_fixture,
                  "upload_deadline_passes_between_two_parts_write_ends_with_its_connection") {
    constexpr time_ms deadline_ms = 300;
    begin(fleet::repeat_rule::at_most_once, deadline_ms);
    // The deadline and the room to write are found by the same poll.
    std::this_thread::sleep_for(std::chrono::milliseconds(deadline_ms));
    early_.drain();
    REQUIRE(run_until(context_, [&] { return is_answered(); }));
    CHECK(sink_->status_ == 504);
    check_writing_ends();
}

TEST_CASE_FIXTURE(released_fixture, "upload_process_ends_between_two_parts_write_ends_with_its_connection") {
    begin();
    write_one_part();
    flow_->end_before_exit();
    CHECK(sink_->status_ == 504);
    check_writing_ends();
}

TEST_CASE_FIXTURE(released_fixture, "upload_retried_between_two_parts_write_ends_with_its_connection") {
    // A silent endpoint's request has been moved to another one after this time.
    constexpr std::chrono::milliseconds silence(800);
    begin(fleet::repeat_rule::idempotent);
    let_reports_be_overdue();
    fleet_.endpoints().at("e-2")->engine_.reported_at_ = steady_now_ms() + silence.count();
    second_.set_behaviours({fake_endpoint::behaviour::complete});
    std::this_thread::sleep_for(silence);
    early_.drain();
    REQUIRE(run_until(context_, [&] { return fleet_.endpoints().at("e-1")->connections_ == 0; }));
    check_writing_ends();
    REQUIRE(run_until(context_, [&] { return is_answered(); }));
    CHECK(sink_->status_ == 200);
    CHECK(received_by("e-2") == 1);
}

namespace {

// A connection to a peer that reads again when the connection is closed.
struct closed_fixture {
    boost::asio::io_context context_;
    unreading_endpoint peer_{wide_receive_bytes};

    boost::asio::ip::tcp::socket connect() {
        boost::asio::ip::tcp::socket socket(context_);
        socket.connect(peer_.address());
        return socket;
    }

    // Writes as much as the system takes, then one part, closes, and runs what remains of the write.
    template <typename Close>
    void check_close_ends_writing(Close close) {
        REQUIRE(step_until(context_, [&] { return peer_.is_called(); }));
        REQUIRE_FALSE(peer_.drain().empty());
        REQUIRE(run_until(context_, [&] { return peer_.has_unread_bytes(); }));
        close();
        const auto reused = reuse_freed_memory();
        context_.restart();
        context_.poll();
        CHECK(peer_.drain().size() < upload_bytes / 2);
    }
};

} // namespace

// The same for the connections that own their operations otherwise.
TEST_CASE_FIXTURE(closed_fixture, "link_closed_between_two_parts_write_ends") {
    auto link = std::make_shared<links::link>(
        connect(), links::link::events{[](const links::frame&) {}, [] {}}, links::max_frame_bytes);
    link->start();
    // The first frame fits into the system's buffers, so that a part of the second waits.
    for (int number = 0; number < 2; ++number) {
        link->send_encoded(links::share(std::string(links::max_queued_bytes, 'x')));
        context_.poll();
    }
    check_close_ends_writing([&] { std::exchange(link, nullptr)->close(); });
}

TEST_CASE_FIXTURE(closed_fixture, "wire_connection_closed_between_two_parts_write_ends") {
    auto connection = std::make_shared<wire::connection>(connect());
    wire::submit request;
    request.body_ = std::string(wire::max_frame_bytes / 2, 'x');
    REQUIRE(connection->send({1, request}));
    check_close_ends_writing([&] { std::exchange(connection, nullptr)->close(); });
}

TEST_CASE_FIXTURE(closed_fixture, "http_call_cancelled_between_two_parts_write_ends") {
    bool ended = false;
    std::function<void()> cancel;
    boost::asio::co_spawn(
        context_,
        [&]() -> boost::asio::awaitable<void> {
            http::request outgoing{"POST", "/x", {}, std::string(upload_bytes, 'x')};
            const http::call_limits limits{std::chrono::milliseconds(step_limit_ms),
                                           std::chrono::milliseconds(step_limit_ms)};
            std::function<void(std::function<void()>)> started = [&](std::function<void()> one) {
                cancel = std::move(one);
            };
            ended =
                !ok(co_await http::open(peer_.address(), std::move(outgoing), limits, std::move(started)));
        },
        boost::asio::detached);
    check_close_ends_writing([&] { cancel(); });
    CHECK(step_until(context_, [&] { return ended; }));
}

} // namespace tamarack::gateway
