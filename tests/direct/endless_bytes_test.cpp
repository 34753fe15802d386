// Endpoints, agents and stores that send bytes without end, fast and slowly.
#include "direct/engine_agent_process.hpp"
#include "direct/gateway_process.hpp"
#include "direct/watched_link.hpp"
#include "http/kept_client.hpp"
#include "platform/decode.hpp"
#include "platform/relay.hpp"

#include <thread>

namespace tamarack::direct {

using harness::peak_kb;

namespace {

constexpr time_ms deadline_ms = 1'200; // of the requests of `gateway_process`
constexpr time_ms margin_ms = 700;
constexpr std::int64_t max_growth_kb = 96 * 1024; // a gateway has 260 MB

const std::string head = "HTTP/1.1 200 OK\r\nTamarackbeam-Request-Id: ID\r\nTamarackbeam-Server-Stamp: s\r\n";
const std::string stream_head =
    head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

struct endless_case {
    const char* name_;
    const char* route_;
    std::string begin_;
    std::string repeated_;
    int status_; // that the client gets, or 0 for a stream that breaks off; 504 may come in place of 502
};

const std::vector<endless_case>& endless_cases() {
    static const std::vector<endless_case> cases = {
        {"status line", "booking", "HTTP/1.1 200 ", "O", 502},
        {"header", "booking", "HTTP/1.1 200 OK\r\nX-Long: ", "x", 502},
        {"headers", "booking", head, "X-More: x\r\n", 502},
        {"interim responses", "booking", "", "HTTP/1.1 103 Early Hints\r\n\r\n", 502},
        {"chunk extension", "booking", head + "Transfer-Encoding: chunked\r\n\r\n4;x=", "x", 502},
        {"trailer", "booking", head + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Trailer: ", "x",
         502},
        {"trailers", "booking", head + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n",
         "X-Trailer: x\r\n", 502},
        {"body without length", "booking", head + "\r\n", "x", 502},
        {"body with a large length", "booking", head + "Content-Length: 99999999999\r\n\r\n", "x", 502},
        {"bytes past the body", "booking", head + "Content-Length: 4\r\n\r\ndone", "x", 200},
        {"response to another request", "booking",
         "HTTP/1.1 200 OK\r\nTamarackbeam-Request-Id: other\r\n\r\n", "x", 502},
        {"one event", "quote", stream_head + "ffffffff\r\nid: 1\ndata: ", "x", 0},
        {"chunks of one event", "quote", stream_head + "6\r\nid: 1\n\r\n", "1\r\nx\r\n", 0},
    };
    return cases;
}

struct endless_fixture : gateway_process {
    endless_fixture() {
        store_.drop("keyed.servers", "i-2");
        start_ready();
    }

    void check(const endless_case& one, std::chrono::milliseconds pause) {
        CAPTURE(std::string(one.name_));
        CAPTURE(pause.count());
        first_.set_endless(fake_endpoint::endless_reply{one.begin_, one.repeated_, pause});
        const time_ms began = steady_now_ms();
        const int answered = status(request(one.route_, "r-" + std::to_string(began)));
        const bool expected = answered == one.status_ || (one.status_ == 502 && answered == 504) ||
                              (one.status_ == 0 && (answered == 502 || answered == 504));
        CHECK(expected);
        CAPTURE(answered);
        CHECK(steady_now_ms() - began <= deadline_ms + margin_ms);
        CHECK(eventually([&] { return first_.endless_running() == 0; }));
        CHECK(steady_now_ms() - began <= deadline_ms + 2 * margin_ms);
    }
};

} // namespace

// Heads, chunk extensions and events without end filled the memory of a gateway.
TEST_CASE_FIXTURE(endless_fixture,
                  "direct_path_endpoint_sends_bytes_without_end_memory_and_time_are_bounded") {
    const std::int64_t before_kb = peak_kb(process_.pid());
    for (const endless_case& one : endless_cases()) {
        check(one, std::chrono::milliseconds(0));
        check(one, std::chrono::milliseconds(10));
    }
    CHECK(peak_kb(process_.pid()) - before_kb <= max_growth_kb);
    CHECK(process_.running());
}

TEST_CASE_FIXTURE(endless_fixture, "direct_path_many_endless_bodies_at_once_share_bounded_memory") {
    const std::int64_t before_kb = peak_kb(process_.pid());
    first_.set_endless(fake_endpoint::endless_reply{head + "\r\n", "x", {}});
    std::vector<std::thread> clients;
    for (int number = 0; number < 8; ++number) {
        clients.emplace_back([this, number] { status(request("booking", "r-" + std::to_string(number))); });
    }
    for (std::thread& one : clients) {
        one.join();
    }
    CHECK(peak_kb(process_.pid()) - before_kb <= 2 * max_growth_kb);
    CHECK(process_.running());
}

TEST_CASE_FIXTURE(gateway_process, "direct_path_endpoint_sends_bytes_without_end_others_are_preferred_then") {
    start_ready();
    first_.set_endless(fake_endpoint::endless_reply{head + "\r\n", "x", {}});
    REQUIRE(eventually([&] {
        status(request("lookup", "probe"));
        return !first_.received_requests().empty();
    }));
    const std::size_t before = first_.received_requests().size();
    for (int lookup = 0; lookup < 10; ++lookup) {
        CHECK(status(request("lookup", "r-" + std::to_string(lookup))) == 200);
    }
    CHECK(first_.received_requests().size() <= before + 1);
}

// The clients of the store, of engine reports and of the product's own interface.
TEST_CASE("http_clients_server_sends_bytes_without_end_call_fails_in_time_and_memory_is_bounded") {
    constexpr std::chrono::milliseconds limit(400);
    constexpr time_ms latest_ms = 1'500;
    const std::int64_t before_kb = peak_kb(::getpid());
    for (const endless_case& one : endless_cases()) {
        for (const int pause_ms : {0, 10}) {
            CAPTURE(std::string(one.name_));
            CAPTURE(pause_ms);
            fake_endpoint server("server");
            server.set_endless(
                fake_endpoint::endless_reply{one.begin_, one.repeated_, std::chrono::milliseconds(pause_ms)});
            const http::request outgoing{"GET", "/x", {}, ""};
            const time_ms began = steady_now_ms();
            boost::asio::io_context context;
            bool kept_done = false;
            bool fetch_done = false;
            const bool complete = one.status_ == 200;
            const auto client =
                std::make_shared<http::kept_client>(context.get_executor(), server.address(), limit);
            client->call(outgoing, limit, [&](result<http::response> outcome) {
                CHECK(ok(outcome) == complete);
                kept_done = true;
                client->close();
            });
            boost::asio::co_spawn(
                context,
                [&]() -> boost::asio::awaitable<void> {
                    const auto outcome = co_await http::fetch(server.address(), outgoing, {limit, limit});
                    CHECK((!ok(outcome) || complete || value(outcome).status_ < 200));
                    fetch_done = true;
                },
                boost::asio::detached);
            context.run();
            CHECK((kept_done && fetch_done));
            CHECK(steady_now_ms() - began <= latest_ms);
            CHECK(gateway_process::eventually([&] { return server.endless_running() == 0; }));
        }
    }
    CHECK(peak_kb(::getpid()) - before_kb <= max_growth_kb);
}

// Frames between gateways and agents have a length, which may be too large or never be filled.
TEST_CASE("link_peer_sends_bytes_without_end_is_closed_with_bounded_memory") {
    const std::string largest_frame("\x00\x00\x20\x00", 4); // 2 MB
    const std::string too_large("\xff\xff\xff\x7f", 4);
    const std::int64_t before_kb = peak_kb(::getpid());
    for (const std::string& begin : {largest_frame, too_large, std::string()}) {
        CAPTURE(begin.size());
        fake_endpoint server("agent");
        server.set_endless(fake_endpoint::endless_reply{begin, "x", {}});
        watched_link link(server);
        link.run();
        CHECK(link.closed_);
        CHECK(link.frames_ == 0);
        CHECK(gateway_process::eventually([&] { return server.endless_running() == 0; }));
    }
    CHECK(peak_kb(::getpid()) - before_kb <= max_growth_kb);
}

namespace {

// A JSON document of nearly 8 MB, the longest answer that is read, of one repeated value.
std::string document_of(const std::string& field, const std::string& one) {
    constexpr std::size_t size = 8'000'000;
    std::string document = "{\"end\":1,\"" + field + "\":[" + one;
    while (document.size() < size) {
        document += "," + one;
    }
    return document + "]}";
}

constexpr const char* small_values[] = {"[]", "{}", "\"\"", "0", "{\"\":[]}", "[[]]"};

} // namespace

// The parsed form of many small values takes several times the memory of their bytes: an engine's report of
// 8 MB took over the memory of its agent's machine.
TEST_CASE("agent_process_engine_reports_very_many_values_memory_is_bounded") {
    // A third of the 192 MB that the machine of an agent has.
    constexpr std::int64_t max_agent_growth_kb = 64 * 1024;
    fake_endpoint engine("i-1");
    engine.set_body(document_of("models", small_values[0]));
    engine_agent_process agent(
        nlohmann::json{{"engine", "127.0.0.1:" + std::to_string(engine.address().port())}});
    const std::int64_t before_kb = peak_kb(agent.agent_.pid());
    for (const char* one : small_values) {
        CAPTURE(one);
        engine.set_body(document_of("models", one));
        engine.set_behaviours({behaviour::complete});
        CHECK(gateway_process::eventually([&] { return engine.received_requests().size() > 4; }));
        CHECK(peak_kb(agent.agent_.pid()) - before_kb <= max_agent_growth_kb);
    }
    CHECK(agent.agent_.running());
}

TEST_CASE("documents_of_very_many_values_are_refused_with_bounded_memory") {
    const std::int64_t before_kb = peak_kb(::getpid());
    for (const char* one : small_values) {
        CAPTURE(one);
        CHECK_FALSE(ok(platform::decode_newest(document_of("items", one))));
        CHECK_FALSE(ok(platform::decode_report(document_of("runs", one))));
        CHECK_FALSE(ok(platform::decode_endpoint("i", document_of("models", one))));
        CHECK_FALSE(ok(platform::decode_configuration(document_of("routes", one))));
    }
    const std::string empty_arrays =
        std::string("\x81\x9a\x00\x1e\x84\x80", 6) + std::string(2'000'000, '\x80');
    CHECK_FALSE(ok(platform::decode_relay(empty_arrays)));
    CHECK(peak_kb(::getpid()) - before_kb <= max_growth_kb);
}

} // namespace tamarack::direct
