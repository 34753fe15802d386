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
    // Sends bytes on a connection of their own and returns what comes back until the other side closes.
    static std::string send_raw(std::uint16_t port, const std::string& bytes, bool half_close) {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        boost::system::error_code failed;
        socket.connect({asio::ip::make_address("127.0.0.1"), port}, failed);
        asio::write(socket, asio::buffer(bytes), failed);
        if (half_close) {
            socket.shutdown(asio::ip::tcp::socket::shutdown_send, failed);
        }
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), failed);
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

TEST_CASE_FIXTURE(input_cluster, "malformed_http_is_answered_with_a_clear_status") {
    const std::vector<bad_request> cases = {
        {"no http", "hello\r\n\r\n", "HTTP/1.1 400"},
        {"bad version", "GET / HTTP/9.9\r\n\r\n", "HTTP/1.1 400"},
        {"bad length", "POST /desk HTTP/1.1\r\nContent-Length: x\r\n\r\n", "HTTP/1.1 400"},
        {"oversized body", "POST /desk HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", "HTTP/1.1 413"},
        {"oversized header", "GET / HTTP/1.1\r\nX: " + std::string(70'000, 'x') + "\r\n\r\n", "HTTP/1.1 431"},
    };
    for (const bad_request& one : cases) {
        CAPTURE(one.name_);
        CHECK(send_raw(port("entry-1"), one.bytes_, true).starts_with(one.status_line_));
    }
    CHECK(still_serves());
}

TEST_CASE_FIXTURE(input_cluster, "faulty_request_headers_and_bodies_are_refused_with_the_remedy") {
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
    for (const caller_request& one : cases) {
        const caller_answer answer = call(port("entry-1"), one);
        CAPTURE(answer.body_);
        CHECK(answer.status_ == 400);
        CHECK(answer.outcome() == "not_run");
        CHECK(json::parse(answer.body_)["error"]["remedy"].get<std::string>().size() > 5);
    }
    CHECK(call(port("entry-1"), {"POST", "/nowhere", {}, "{}"}).status_ == 404);
    CHECK(still_serves());
    CHECK(system_.service_runs("desk").count("bad") == 0);
}

TEST_CASE_FIXTURE(input_cluster, "malformed_frames_close_their_connection_and_harm_no_other") {
    std::mt19937_64 random(9);
    const auto frame = wire::encode_frame({0, wire::hello{wire::protocol_version, "x", "entry", 1}});
    const std::string whole(frame.begin(), frame.end());
    std::vector<std::string> cases = {std::string("\xff\xff\xff\xff", 4), std::string("\0\0\0\0", 4),
                                      whole.substr(0, whole.size() - 3)};
    for (int count = 0; count < 30; ++count) {
        std::string bytes = whole;
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

TEST_CASE_FIXTURE(input_cluster, "faulty_settings_end_the_program_with_every_fault_named") {
    for (const char* program : {"/tamarack-entry", "/tamarack-agent"}) {
        process wrong(program_folder() + program, {"--settings=/nonexistent"},
                      system_.folder() + "/wrong.log");
        CHECK(wrong.wait() == 2);
    }
}

} // namespace tamarack::process_tests
