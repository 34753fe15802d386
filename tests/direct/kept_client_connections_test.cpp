// Calls of the store's and the engines' client that end while they are being sent.
#include "direct/upload_fixture.hpp"
#include "http/kept_client.hpp"

#include <thread>

#include <malloc.h>

namespace tamarack::gateway {

namespace {

// A long call of a client whose server reads again when the call ends, and a short one that follows.
struct kept_client_fixture {
    static constexpr int body_bytes = 8 * 1024 * 1024;
    boost::asio::io_context context_;
    unreading_endpoint server_{wide_receive_bytes};
    std::shared_ptr<http::kept_client> client_ = std::make_shared<http::kept_client>(
        context_.get_executor(), server_.address(), std::chrono::milliseconds(step_limit_ms));
    // A status for each call that has ended; 0 if it failed.
    std::vector<int> statuses_;

    kept_client_fixture() {
        // The bytes of a call that has ended stay readable, as those of small blocks do.
        ::mallopt(M_MMAP_MAX, 0);
        ::mallopt(M_TRIM_THRESHOLD, 8 * body_bytes);
    }
    ~kept_client_fixture() { client_->close(); }

    void call(http::request outgoing, time_ms limit_ms = step_limit_ms) {
        client_->call(std::move(outgoing), std::chrono::milliseconds(limit_ms),
                      [this](result<http::response> outcome) {
                          statuses_.push_back(ok(outcome) ? value(outcome).status_ : 0);
                      });
    }

    void begin(time_ms limit_ms = step_limit_ms) {
        call({"POST", "/long", {}, std::string(body_bytes, 'x')}, limit_ms);
        REQUIRE(step_until(context_, [&] { return server_.is_called(); }));
    }

    // The next call comes alone on a connection of its own, and is answered.
    void check_next_call() {
        const std::size_t ended = statuses_.size();
        REQUIRE(step_until(context_, [&] { return server_.is_called() && server_.connection_count() == 2; }));
        const std::string received = server_.drain();
        CHECK(received.starts_with("GET /next HTTP/1.1\r\n"));
        CHECK(received.ends_with("\r\n\r\n"));
        CHECK(received.size() < 200);
        server_.send("HTTP/1.1 204 No Content\r\n\r\n");
        REQUIRE(step_until(context_, [&] { return statuses_.size() > ended; }));
        CHECK(statuses_.back() == 204);
    }
};

} // namespace

// The rest of the call before was written to the connection of the next call, which was never answered.
TEST_CASE("kept_client_response_ends_call_between_two_parts_next_call_comes_alone") {
    for (const char* response :
         {"HTTP/1.1 413 Payload Too Large\r\nContent-Length: 0\r\n\r\n", "no response\r\n\r\n"}) {
        CAPTURE(std::string(response));
        kept_client_fixture one;
        one.begin();
        one.call({"GET", "/next", {}, {}});
        one.server_.send(response);
        one.server_.drain();
        REQUIRE(run_until(one.context_, [&] { return one.statuses_.size() == 1; }));
        one.check_next_call();
    }
}

TEST_CASE_FIXTURE(kept_client_fixture,
                  "kept_client_limit_ends_call_between_two_parts_next_call_comes_alone") {
    constexpr time_ms limit_ms = 300;
    begin(limit_ms);
    call({"GET", "/next", {}, {}});
    // The limit and the room to write are found by the same poll.
    std::this_thread::sleep_for(std::chrono::milliseconds(limit_ms));
    server_.drain();
    REQUIRE(run_until(context_, [&] { return statuses_.size() == 1; }));
    CHECK(statuses_ == std::vector<int>{0});
    check_next_call();
}

TEST_CASE_FIXTURE(kept_client_fixture, "kept_client_closed_between_two_parts_next_call_comes_alone") {
    begin();
    server_.drain();
    REQUIRE(run_until(context_, [&] { return server_.has_unread_bytes(); }));
    client_->close();
    call({"GET", "/next", {}, {}});
    check_next_call();
}

// The call ended as unreachable, which says that nothing was sent, after it had been sent.
TEST_CASE("kept_client_connects_as_its_limit_passes_call_that_was_sent_is_not_unreachable") {
    constexpr std::chrono::milliseconds connect_limit(50);
    boost::asio::io_context context;
    unreading_endpoint server;
    const auto client =
        std::make_shared<http::kept_client>(context.get_executor(), server.address(), connect_limit);
    std::optional<result<http::response>> ended;
    client->call({"GET", "/x", {}, {}}, std::chrono::milliseconds(step_limit_ms),
                 [&](result<http::response> outcome) { ended = std::move(outcome); });
    // The limit and the connection are found by the same poll.
    std::this_thread::sleep_for(2 * connect_limit);
    REQUIRE(step_until(context, [&] { return server.is_called(); }));
    server.send("HTTP/1.1 204 No Content\r\n\r\n");
    REQUIRE(step_until(context, [&] { return ended.has_value(); }));
    REQUIRE(ok(*ended));
    CHECK(value(*ended).status_ == 204);
    client->close();
}

} // namespace tamarack::gateway
