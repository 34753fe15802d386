// Endpoints that stop in the middle of a response's head or of a frame and close the connection.
#include "direct/gateway_process.hpp"
#include "direct/watched_link.hpp"
#include "http/kept_client.hpp"
#include "http/message_parser.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace tamarack::direct {

namespace {

struct framing_case {
    const char* name_;
    std::string head_; // head without its last line break
    std::string body_;
};

std::vector<framing_case> framing_cases(const std::string& version, const std::string& fields) {
    const std::string begin = version + " 200 OK\r\n" + fields;
    return {
        {"length", begin + "Content-Length: 4\r\n", "done"},
        {"length 0", begin + "Content-Length: 0\r\n", ""},
        {"length first", version + " 200 OK\r\nContent-Length: 4\r\n" + fields, "done"},
        {"chunks", begin + "Transfer-Encoding: chunked\r\n", "4\r\ndone\r\n0\r\n\r\n"},
        {"end of the connection", begin, "done"},
        {"after an interim response", "HTTP/1.1 103 Early Hints\r\n" + fields + "\r\n" + begin, "done"},
    };
}

http::response_parser::progress parse_until_end(http::response_parser& parser, const std::string& bytes) {
    boost::beast::flat_buffer received;
    received.commit(boost::asio::buffer_copy(received.prepare(bytes.size()), boost::asio::buffer(bytes)));
    const auto progress = parser.take(received);
    return progress == http::response_parser::progress::more ? parser.take_end() : progress;
}

// Where the head of the final response begins.
std::size_t final_head(const framing_case& one) {
    const std::size_t interim_end = one.head_.find("\r\n\r\n");
    return interim_end == std::string::npos ? 0 : interim_end + 4;
}

const std::string endpoint_fields = "Tamarackbeam-Request-Id: ID\r\nTamarackbeam-Server-Stamp: s\r\n";
const std::string stream_type = "Content-Type: text/event-stream\r\n";
const std::string first_events = "id: 1\ndata: word\n\nid: 2\ndata: word\n\n";

struct cut_responses : gateway_process {
    std::size_t cuts_ = 0;

    cut_responses() {
        store_.drop("keyed.servers", "i-2");
        start_ready();
    }

    // Answers the next request with that text and ends the connection. The client must be told that its
    // response failed. `reused` has the request sent on a connection that carried another one before.
    void check(const char* route, const std::string& text, bool reset, bool reused) {
        CAPTURE(std::string(route));
        CAPTURE(text);
        CAPTURE(reset);
        CAPTURE(reused);
        const std::string id = "c-" + std::to_string(++cuts_);
        if (reused) {
            // Also restores the estimate of the endpoint's health.
            REQUIRE(eventually([&] { return status(request("lookup", "w" + id)) == 200; }));
        }
        first_.set_behaviours({behaviour::complete});
        first_.set_last_reply({text, reset});
        const auto response = call(port_, request(route, id));
        CHECK((!ok(response) || value(response).status_ == 502));
        CHECK((!ok(response) || value(response).body_.empty()));
        CHECK(first_.received_requests().size() == 1);
    }
};

} // namespace

// A head without its end must not be taken for one with fewer fields, and so for a response without a body.
TEST_CASE("response_parser_connection_ends_at_each_byte_of_the_head_is_broken") {
    for (const std::string version : {"HTTP/1.1", "HTTP/1.0"}) {
        for (const framing_case& one : framing_cases(version, endpoint_fields)) {
            CAPTURE(std::string(one.name_));
            const std::string head = one.head_.substr(final_head(one)) + "\r\n";
            for (std::size_t size = 0; size < head.size(); ++size) {
                CAPTURE(size);
                http::response_parser parser(1'000);
                CHECK(parse_until_end(parser, head.substr(0, size)) ==
                      http::response_parser::progress::broken);
                CHECK_FALSE(parser.head_done_);
            }
            http::response_parser parser(1'000);
            CHECK(parse_until_end(parser, head + one.body_) == http::response_parser::progress::done);
            CHECK(parser.head_done_);
        }
    }
}

// The clients of the store, of engines and of the product's own interface.
TEST_CASE("http_clients_connection_ends_at_each_byte_of_the_head_call_fails") {
    constexpr std::chrono::milliseconds limit(4'000);
    fake_endpoint server("server");
    for (const std::string version : {"HTTP/1.1", "HTTP/1.0"}) {
        for (const framing_case& one : framing_cases(version, "A: b\r\n")) {
            CAPTURE(std::string(one.name_));
            const std::string head = one.head_ + "\r\n";
            for (std::size_t size = final_head(one); size < head.size(); ++size) {
                CAPTURE(size);
                const bool reset = size % 16 == 0;
                const http::request outgoing{"GET", "/x", {}, ""};
                boost::asio::io_context context;
                bool kept_done = false;
                server.set_last_reply({head.substr(0, size), reset});
                const auto client =
                    std::make_shared<http::kept_client>(context.get_executor(), server.address(), limit);
                client->call(outgoing, limit, [&](result<http::response> outcome) {
                    CHECK_FALSE(ok(outcome));
                    kept_done = true;
                    client->close();
                });
                context.run();
                CHECK(kept_done);
                server.set_last_reply({head.substr(0, size), reset});
                const auto fetched =
                    gateway_process::call(server.address().port(), {"GET", "/x", {{"Host", "a"}}, ""});
                CHECK_FALSE(ok(fetched));
            }
        }
    }
}

// Clients got an empty or short 200, framed as whole.
TEST_CASE_FIXTURE(cut_responses, "direct_path_connection_ends_at_each_byte_of_the_head_client_gets_502") {
    for (const framing_case& one : framing_cases("HTTP/1.1", endpoint_fields)) {
        CAPTURE(std::string(one.name_));
        const std::string head = one.head_ + "\r\n";
        for (std::size_t size = final_head(one); size < head.size(); ++size) {
            const char* routes[] = {"booking", "lookup", "quote", "chat"};
            check(routes[size % 4], head.substr(0, size), false, size % 3 != 0);
        }
    }
}

TEST_CASE_FIXTURE(cut_responses, "direct_path_connection_ends_in_each_line_of_the_head_client_gets_502") {
    for (const std::string version : {"HTTP/1.1", "HTTP/1.0"}) {
        for (const framing_case& one : framing_cases(version, endpoint_fields + stream_type)) {
            CAPTURE(std::string(one.name_));
            const std::string head = one.head_ + "\r\n";
            for (std::size_t end = head.find("\r\n", final_head(one)); end + 2 < head.size();
                 end = head.find("\r\n", end + 2)) {
                for (const char* route : {"booking", "lookup", "quote", "chat"}) {
                    check(route, head.substr(0, end + 2), false, true);
                    check(route, head.substr(0, end + 3), end % 2 == 0, true);
                }
            }
        }
    }
}

// The response that resumes a stream is cut in its head: the stream must not end as whole.
TEST_CASE_FIXTURE(gateway_process,
                  "direct_path_head_of_resumed_stream_cut_at_each_byte_client_sees_a_broken_stream") {
    // The gateway chooses the endpoint at random, so the case is repeated until the right one begins.
    constexpr int max_tries = 20;
    constexpr int lookups = 10; // of which each allows a part of a retry
    start_ready();
    const std::string head = "HTTP/1.1 200 OK\r\n" + stream_type + endpoint_fields + "Server: s\r\n";
    for (std::size_t size = 0; size < head.size() + 2; ++size) {
        CAPTURE(size);
        bool resumed = false;
        for (int attempt = 0; attempt < max_tries && !resumed; ++attempt) {
            for (int lookup = 0; lookup < lookups; ++lookup) {
                status(request("lookup", "l-" + std::to_string(lookup)));
            }
            set_behaviours_of_both({behaviour::complete_stream});
            fake_endpoint& beginning = attempt % 2 == 0 ? first_ : second_;
            fake_endpoint& resuming = attempt % 2 == 0 ? second_ : first_;
            beginning.set_last_reply({head + "\r\n" + first_events + "id: 3\nda"});
            resuming.set_last_reply({(head + "\r\n").substr(0, size)});
            const auto response = call(port_, request("chat", "s-" + std::to_string(size)));
            CHECK((!ok(response) || value(response).status_ == 502));
            const auto received = resuming.received_requests();
            resumed = received.size() == 1 && received[0].find("Last-Event-Id: 2") != std::string::npos;
            set_behaviours_of_both({behaviour::complete});
        }
        CHECK(resumed);
    }
}

// A client of HTTP/1.0 has no chunks, and would take an end in order for the end of its stream.
TEST_CASE_FIXTURE(gateway_process, "direct_path_stream_is_cut_http_1_0_client_sees_a_reset") {
    start_ready();
    for (const behaviour reply : {behaviour::complete_stream, behaviour::truncated_stream}) {
        set_behaviours_of_both({reply});
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        socket.connect({boost::asio::ip::address_v4::loopback(), port_});
        const std::string_view request = "POST /quote/x HTTP/1.0\r\nHost: shop.example\r\n"
                                         "Tamarackbeam-Request-Id: r-1\r\nTamarackbeam-Deadline-Ms: 1200\r\n"
                                         "Content-Length: 4\r\n\r\nbody";
        boost::asio::write(socket, boost::asio::buffer(request));
        std::string received;
        boost::system::error_code ended;
        boost::asio::read(socket, boost::asio::dynamic_buffer(received), ended);
        const bool whole = reply == behaviour::complete_stream;
        CAPTURE(ended.message());
        CHECK((ended == boost::asio::error::eof) == whole);
        CHECK((!whole || received.ends_with("id: 5\ndata: word\n\n")));
    }
}

// Seeds, peers and agents send frames with a length.
TEST_CASE("link_connection_ends_at_each_byte_of_a_frame_only_whole_frames_are_handled") {
    links::store_relay relay;
    relay.bytes = {1, 2, 3};
    const std::string frame = links::encode(links::make_frame(std::move(relay)));
    for (std::size_t size = 0; size < frame.size(); ++size) {
        CAPTURE(size);
        fake_endpoint server("seed");
        server.set_last_reply({frame + frame.substr(0, size), size % 16 == 0});
        watched_link link(server);
        link.run();
        CHECK(link.closed_);
        CHECK(link.frames_ == 1);
    }
}

} // namespace tamarack::direct
