#include "desk_cluster.hpp"

#include "tamarack/wire.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <random>

namespace tamarack::process_tests {

namespace asio = boost::asio;

namespace {

struct input_cluster : desk_cluster {
    // Sends bytes on a new connection and returns everything received until the other side closes it.
    static std::string send_raw(std::uint16_t port, const std::string& bytes, bool half_close) {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        boost::system::error_code ignored;
        socket.connect({asio::ip::make_address("127.0.0.1"), port}, ignored);
        asio::write(socket, asio::buffer(bytes), ignored);
        if (half_close) {
            socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        }
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), ignored);
        return answer;
    }

    bool still_serves() { return send("entry-1", "ref-" + std::to_string(++refs_)).outcome() == "answered"; }

    int refs_ = 0;
};

struct bad_request {
    const char* name_;
    std::string bytes_;
    const char* status_line_;
};

} // namespace

TEST_CASE_FIXTURE(input_cluster, "malformed_http_request_returns_the_matching_status") {
    const std::vector<bad_request> cases = {
        {"no http", "hello\r\n\r\n", "HTTP/1.1 400"},
        {"bad version", "GET / HTTP/9.9\r\n\r\n", "HTTP/1.1 400"},
        {"bad length", "POST /desk HTTP/1.1\r\nContent-Length: x\r\n\r\n", "HTTP/1.1 400"},
        {"oversized body", "POST /desk HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", "HTTP/1.1 413"},
        {"oversized header", "GET / HTTP/1.1\r\nX: " + std::string(70'000, 'x') + "\r\n\r\n", "HTTP/1.1 431"},
    };
    for (const bad_request& bad : cases) {
        CAPTURE(bad.name_);
        CHECK(send_raw(port("entry-1"), bad.bytes_, true).starts_with(bad.status_line_));
    }
    CHECK(still_serves());
}

TEST_CASE_FIXTURE(input_cluster, "invalid_request_headers_and_bodies_return_400_with_a_remedy") {
    const auto with_header = [](const std::string& name, const std::string& value) {
        caller_request request = booking("bad");
        request.headers_.push_back({name, value});
        return request;
    };
    const std::vector<caller_request> cases = {
        with_header("Tamarack-Class", "urgent"),
        with_header("Tamarack-Deadline-Ms", "soon"),
        with_header("Tamarack-Deadline-Ms", "0"),
        with_header("Tamarack-Tenant", std::string(300, 't')),
        with_header("Idempotency-Key", std::string(300, 'k')),
        with_header("Idempotency-Key-Issued", "-1"),
        {"POST", "/v1/chat/completions", {}, "{"},
        {"POST", "/v1/chat/completions", {}, R"({"messages":[]})"},
        {"POST", "/v1/chat/completions", {}, R"({"model":"a"})"},
        {"POST", "/v1/chat/completions", {}, R"({"model":"a","messages":[],"max_tokens":-5})"},
    };
    for (const caller_request& request : cases) {
        const caller_answer answer = call(port("entry-1"), request);
        CAPTURE(answer.body_);
        CHECK(answer.status_ == 400);
        CHECK(answer.outcome() == "not_run");
        CHECK(json::parse(answer.body_)["error"]["remedy"].get<std::string>().size() > 5);
    }
    CHECK(call(port("entry-1"), {"POST", "/nowhere", {}, "{}"}).status_ == 404);
    CHECK(still_serves());
    CHECK(system_.service_runs("desk").count("bad") == 0);
}

TEST_CASE_FIXTURE(input_cluster, "malformed_frames_close_only_their_own_connection") {
    std::mt19937_64 random(9);
    const auto frame = wire::encode_frame({0, wire::hello{wire::protocol_version, "x", "entry", 1}});
    const std::string valid(frame.begin(), frame.end());
    std::vector<std::string> cases = {std::string("\xff\xff\xff\xff", 4), std::string("\0\0\0\0", 4),
                                      valid.substr(0, valid.size() - 3)};
    for (int count = 0; count < 30; ++count) {
        std::string bytes = valid;
        for (int flip = 0; flip < 8; ++flip) {
            bytes[4 + random() % (bytes.size() - 4)] = char(random());
        }
        cases.push_back(bytes);
    }
    for (const std::string& bytes : cases) {
        for (const char* id : {"desk-a", "desk-b"}) {
            send_raw(node(id).agent_port_, bytes, true);
        }
    }
    CHECK(still_serves());
    CHECK(still_serves());
    CHECK(node("desk-a").agent_.running());
    CHECK(node("desk-b").agent_.running());
}

TEST_CASE_FIXTURE(input_cluster, "missing_settings_file_exits_with_code_2") {
    for (const char* program : {"/tamarack-entry", "/tamarack-agent"}) {
        process program_run(program_folder() + program, {"--settings=/nonexistent"},
                            system_.folder() + "/wrong.log");
        CHECK(program_run.wait() == 2);
    }
}

} // namespace tamarack::process_tests
