// Endpoints and servers whose response heads are no valid HTTP, or name a body that cannot be read.
#include "agent/engine_client.hpp"
#include "direct/gateway_process.hpp"
#include "http/kept_client.hpp"
#include "http/message_parser.hpp"

namespace tamarack::direct {

namespace {

struct broken_head {
    const char* name_;
    std::string status_line_;
    std::string field_lines_;
};

const std::string status_line = "HTTP/1.1 200 OK\r\n";
const std::string endpoint_fields = "Tamarackbeam-Request-Id: ID\r\nTamarackbeam-Server-Stamp: s\r\n";
const std::string length = "Content-Length: 4\r\n";
const std::string body = "done";

const std::vector<broken_head>& broken_heads() {
    static const std::vector<broken_head> heads = {
        {"status 000", "HTTP/1.1 000 OK\r\n", length},
        {"status 099", "HTTP/1.1 099 OK\r\n", length},
        {"status 600", "HTTP/1.1 600 OK\r\n", length},
        {"status 999", "HTTP/1.1 999 OK\r\n", length},
        {"protocol is switched unasked", "HTTP/1.1 101 Switching Protocols\r\n", "Upgrade: other\r\n"},
        {"status of two digits", "HTTP/1.1 20 OK\r\n", length},
        {"status of four digits", "HTTP/1.1 2000 OK\r\n", length},
        {"status with a sign", "HTTP/1.1 +20 OK\r\n", length},
        {"status of letters", "HTTP/1.1 abc OK\r\n", length},
        {"other version", "HTTP/2.0 200 OK\r\n", length},
        {"control byte in the reason", "HTTP/1.1 200 O\x01K\r\n", length},
        {"blank in a name", status_line, "X y: z\r\n" + length},
        {"control byte in a name", status_line, "X\x01y: z\r\n" + length},
        {"control byte before a name", status_line, "\x01X: z\r\n" + length},
        {"blank before the colon", status_line, "X : z\r\n" + length},
        {"tab before the colon", status_line, "X\t: z\r\n" + length},
        {"empty name", status_line, ": z\r\n" + length},
        {"line without a colon", status_line, "X\r\n" + length},
        {"control byte in a value", status_line, "X: a\x01z\r\n" + length},
        {"zero byte in a value", status_line, "X: a" + std::string(1, '\0') + "z\r\n" + length},
        {"line break without its first byte", status_line, "X: a\nY: b\r\n" + length},
        {"first line begins with a blank", "HTTP/1.1 200 OK\r\n X: z\r\n", length},
        {"line begins with a blank", status_line, length + "X: a\r\n Y: z\r\n"},
        {"line begins with a tab", status_line, length + "X: a\r\n\tY: z\r\n"},
        {"line of blanks", status_line, length + "X: a\r\n  \r\n"},
        {"value begins on the next line", status_line, length + "X:\r\n a\r\n"},
        {"length is continued", status_line, "Content-Length: 4\r\n \r\n"},
        {"other transfer coding", status_line, "Transfer-Encoding: gzip\r\n"},
        {"other transfer coding and a length", status_line, "Transfer-Encoding: gzip\r\n" + length},
        {"other transfer coding in chunks", status_line, "Transfer-Encoding: gzip, chunked\r\n"},
        {"other transfer coding around chunks", status_line, "Transfer-Encoding: chunked, gzip\r\n"},
        {"other transfer coding on its own line", status_line,
         "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"},
        {"chunks and a length", status_line, "Transfer-Encoding: chunked\r\n" + length},
        {"two lengths", status_line, "Content-Length: 3\r\n" + length},
        {"length with a sign", status_line, "Content-Length: +4\r\n"},
    };
    return heads;
}

// The bytes of a response with that head. Its own fields come last.
std::string response_of(const broken_head& one, const std::string& fields) {
    const bool is_chunked = one.field_lines_.find("chunked") != std::string::npos;
    const std::string framed_body = is_chunked ? "4\r\ndone\r\n0\r\n\r\n" : body;
    return one.status_line_ + fields + one.field_lines_ + "\r\n" + framed_body;
}

using progress = http::response_parser::progress;

progress parse(http::response_parser& parser, std::string_view bytes, std::size_t piece) {
    boost::beast::flat_buffer received;
    auto reached = progress::more;
    while (!bytes.empty() && reached == progress::more) {
        const std::string_view next = bytes.substr(0, piece);
        bytes.remove_prefix(next.size());
        received.commit(boost::asio::buffer_copy(received.prepare(next.size()), boost::asio::buffer(next)));
        reached = parser.take(received);
    }
    return reached == progress::more ? parser.take_end() : reached;
}

// Whether a call failed before its time limit.
bool is_interrupted(const result<http::response>& outcome) {
    return !ok(outcome) && failure(outcome).kind_ == error_kind::interrupted;
}

struct broken_heads_fixture : gateway_process {
    std::size_t calls_ = 0;

    // Sends a request whose first response is that text. Returns the status that the client gets, which is
    // 504 if the response was held until the deadline.
    int status_after(const char* route, const std::string& text, bool open) {
        CAPTURE(std::string(route));
        CAPTURE(text);
        CAPTURE(open);
        const std::string id = "b-" + std::to_string(++calls_);
        // Sent on a connection that carried another request before. Also restores the estimate of the
        // endpoint's health.
        REQUIRE(eventually([&] { return status(request("lookup", "w" + id)) == 200; }));
        first_.set_behaviours({behaviour::complete});
        first_.set_last_reply({.text_ = text, .open_ = open});
        const auto response = call(port_, request(route, id));
        CHECK(first_.received_requests().size() == 1);
        return ok(response) ? value(response).status_ : 0;
    }
};

} // namespace

TEST_CASE("response_parser_head_is_no_valid_http_is_broken") {
    for (const broken_head& one : broken_heads()) {
        CAPTURE(std::string(one.name_));
        const std::string text = response_of(one, "A: b\r\n");
        for (const std::size_t piece : {text.size(), std::size_t(1), std::size_t(7)}) {
            CAPTURE(piece);
            http::response_parser parser(1'000);
            CHECK(parse(parser, text, piece) == progress::broken);
            CHECK_FALSE(parser.head_done_);
            CHECK(parser.body_.empty());
        }
    }
}

TEST_CASE("response_parser_head_is_valid_is_parsed_in_any_pieces") {
    const std::string blank_body = " a\r\n b\r\n\r\n c";
    const std::string responses[] = {
        "HTTP/1.1 200 \r\nContent-Length: 12\r\n\r\n" + blank_body,
        "HTTP/1.1 599 x y\r\nA:\r\nB: \t c d \t\r\nContent-Length:12\r\n\r\n" + blank_body,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\nc\r\n" + blank_body + "\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA!#$%&'*+-.^_`|~9: \x80\xff\r\n\r\n" + blank_body,
        "HTTP/1.0 200 OK\r\n\r\n" + blank_body,
    };
    for (const std::string& text : responses) {
        CAPTURE(text);
        for (std::size_t piece = 1; piece <= text.size(); ++piece) {
            http::response_parser parser(1'000);
            CHECK(parse(parser, text, piece) == progress::done);
            CHECK(parser.body_ == blank_body);
        }
    }
}

// Clients got statuses that no response has, and a stamp with a further line in it. On a connection that
// stayed open, they waited until their deadline.
TEST_CASE_FIXTURE(broken_heads_fixture,
                  "direct_path_response_head_is_no_valid_http_client_gets_502_at_once") {
    store_.drop("keyed.servers", "i-2");
    start_ready();
    const char* routes[] = {"booking", "lookup", "quote", "chat"};
    std::size_t next_route = 0;
    for (const broken_head& one : broken_heads()) {
        CAPTURE(std::string(one.name_));
        for (const bool open : {true, false}) {
            const std::string text = response_of(one, endpoint_fields);
            CHECK(status_after(routes[next_route++ % 4], text, open) == 502);
        }
    }
    for (const bool open : {true, false}) {
        // The stamp is continued, the head is another request's, or an interim response comes first.
        const std::string folded = status_line + endpoint_fields + " X: z\r\n" + length + "\r\n" + body;
        const std::string to_another =
            "HTTP/1.1 000 OK\r\nTamarackbeam-Request-Id: other\r\n" + length + "\r\n" + body;
        const std::string interim =
            "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n" + endpoint_fields + length + "\r\n" + body;
        for (const std::string& text : {folded, to_another, interim}) {
            CHECK(status_after(routes[next_route++ % 4], text, open) == 502);
        }
    }
}

// A request that may run again is sent to the other endpoint, whose response is broken too.
TEST_CASE_FIXTURE(broken_heads_fixture, "direct_path_response_head_is_no_valid_http_lookup_is_sent_again") {
    start_ready();
    for (const broken_head& one : broken_heads()) {
        CAPTURE(std::string(one.name_));
        // The retry budget allows one retry for five requests.
        for (int lookup = 0; lookup < 10; ++lookup) {
            status(request("lookup", "l-" + std::to_string(lookup)));
        }
        set_behaviours_of_both({behaviour::complete});
        const std::string text = response_of(one, endpoint_fields);
        first_.set_last_reply({.text_ = text, .open_ = true});
        second_.set_last_reply({.text_ = text, .open_ = true});
        const std::string id = "r-" + std::to_string(++calls_);
        CHECK(status(request("lookup", id)) == 502);
        CHECK(received_count() == 2);
    }
}

// The clients of the store, of engines, of the product's own interface and of the load tool.
TEST_CASE("http_clients_response_head_is_no_valid_http_call_fails_at_once") {
    constexpr std::chrono::milliseconds limit(4'000);
    fake_endpoint server("server");
    for (const broken_head& one : broken_heads()) {
        CAPTURE(std::string(one.name_));
        const std::string text = response_of(one, "A: b\r\n");
        const http::request outgoing{"GET", "/x", {{"Host", "a"}}, ""};
        for (const bool open : {true, false}) {
            CAPTURE(open);
            boost::asio::io_context context;
            bool kept_done = false;
            server.set_last_reply({.text_ = text, .open_ = open});
            const auto client =
                std::make_shared<http::kept_client>(context.get_executor(), server.address(), limit);
            client->call(outgoing, limit, [&](result<http::response> outcome) {
                CHECK(is_interrupted(outcome));
                kept_done = true;
                client->close();
            });
            context.run();
            CHECK(kept_done);
            server.set_last_reply({.text_ = text, .open_ = open});
            CHECK(is_interrupted(gateway_process::call(server.address().port(), outgoing)));
            server.set_last_reply({.text_ = text, .open_ = open});
            const auto called = harness::call(server.address().port(), {"GET", "/x", {}, ""}, limit.count());
            CHECK_FALSE(called.whole_);
            CHECK(called.elapsed_ms_ < limit.count());
        }
    }
}

// The agent of the product's own interface took the body of a failure for its engine's report.
TEST_CASE("engine_client_report_comes_with_a_failure_it_is_no_report") {
    const std::string report = R"({"engine_incarnation":1,"sequence":2,"capacity_mb":10,"highest_fence":0,)"
                               R"("newest_agent":0,"resident":[],"loading":[],"ended":[]})";
    const std::string rest = "Content-Length: " + std::to_string(report.size()) + "\r\n\r\n" + report;
    fake_endpoint engine("engine");
    const agent::engine_client client(engine.address());
    for (const char* status :
         {"200 OK", "500 Internal Server Error", "503 Service Unavailable", "204 No Content", "000 OK"}) {
        CAPTURE(std::string(status));
        engine.set_last_reply({"HTTP/1.1 " + std::string(status) + "\r\n" + rest});
        boost::asio::io_context context;
        std::optional<bool> reported;
        boost::asio::co_spawn(
            context,
            [&]() -> boost::asio::awaitable<void> {
                const auto outcome = co_await client.report();
                reported = ok(outcome);
            },
            boost::asio::detached);
        context.run();
        REQUIRE(reported);
        CHECK(*reported == std::string(status).starts_with("200"));
    }
}

} // namespace tamarack::direct
