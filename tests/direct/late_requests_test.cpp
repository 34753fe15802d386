// Requests that come late in the grace time of a gateway that is told to end, or are in service at its end.
#include "direct/gateway_process.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <thread>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace tamarack::direct {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

struct client_reply {
    std::string text_;
    time_ms ended_at_ = 0; // the last byte, or the end of the connection

    bool has_status(int status) const { return text_.starts_with("HTTP/1.1 " + std::to_string(status)); }

    // Whether it says that the request has not run, and sends the client to another process.
    bool is_refusal() const {
        return has_status(503) && text_.find("Retry-After: ") != std::string::npos &&
               text_.find("Connection: close\r\n") != std::string::npos;
    }
};

struct ending_gateway : gateway_process {
    asio::io_context context_;
    time_ms grace_ms_ = 0;
    time_ms told_at_ = 0;

    void start_with_grace(time_ms grace_ms) {
        grace_ms_ = grace_ms;
        further_settings_ = {{"shutdown_grace_s", double(grace_ms) / 1'000}};
        start_ready();
    }

    void tell_to_end() {
        told_at_ = steady_now_ms();
        process_.signal(SIGTERM);
    }

    void wait_until(time_ms after_told_ms) const {
        std::this_thread::sleep_for(std::chrono::milliseconds(told_at_ + after_told_ms - steady_now_ms()));
    }

    tcp::socket open() {
        tcp::socket socket(context_);
        socket.connect({asio::ip::address_v4::loopback(), port_});
        return socket;
    }

    // A client that does not read a large response, so that the process has a request in service up to its
    // exit.
    tcp::socket hold() {
        set_bodies(std::string(2'500'000, 'y'));
        tcp::socket socket(context_);
        socket.open(tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(16 * 1024));
        constexpr int segment_bytes = 1'400;
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof(segment_bytes));
        socket.connect({asio::ip::address_v4::loopback(), port_});
        send(socket, text("lookup", "held", 1'200));
        REQUIRE(eventually([&] { return socket.available() > 0; }));
        set_bodies("done");
        set_behaviours_of_both({behaviour::complete});
        return socket;
    }

    void set_bodies(const std::string& body) {
        first_.set_body(body);
        second_.set_body(body);
    }

    static std::string text(const std::string& route, const std::string& id, time_ms deadline_ms) {
        const http::request made = request(route, id);
        return made.method_ + " " + made.target_ +
               " HTTP/1.1\r\nHost: shop.example\r\nTamarackbeam-Request-Id: " + id +
               "\r\nTamarackbeam-Deadline-Ms: " + std::to_string(deadline_ms) +
               "\r\nContent-Length: " + std::to_string(made.body_.size()) + "\r\n\r\n" + made.body_;
    }

    static void send(tcp::socket& socket, std::string_view text) { asio::write(socket, asio::buffer(text)); }

    static client_reply read(tcp::socket& socket) {
        client_reply reply;
        boost::system::error_code ended;
        std::string part(4'096, '\0');
        while (!ended) {
            reply.text_.append(part.data(), socket.read_some(asio::buffer(part), ended));
        }
        reply.ended_at_ = steady_now_ms();
        return reply;
    }

    // Sends the requests in two parts: the first before the gateway closes idle connections, the rest late.
    // Returns the replies.
    std::vector<client_reply> send_late(const std::vector<std::string>& requests, time_ms rest_after_ms) {
        constexpr time_ms begun_after_ms = 2'000;
        constexpr std::size_t first_bytes = 40;
        std::vector<tcp::socket> sockets;
        for (std::size_t index = 0; index < requests.size(); ++index) {
            sockets.push_back(open());
        }
        wait_until(begun_after_ms);
        for (std::size_t index = 0; index < requests.size(); ++index) {
            send(sockets[index], std::string_view(requests[index]).substr(0, first_bytes));
        }
        wait_until(rest_after_ms);
        for (std::size_t index = 0; index < requests.size(); ++index) {
            send(sockets[index], std::string_view(requests[index]).substr(first_bytes));
        }
        return read_all(sockets);
    }

    static std::vector<client_reply> read_all(std::vector<tcp::socket>& sockets) {
        std::vector<client_reply> replies(sockets.size());
        std::vector<std::thread> readers;
        for (std::size_t index = 0; index < sockets.size(); ++index) {
            readers.emplace_back([&, index] { replies[index] = read(sockets[index]); });
        }
        for (std::thread& reader : readers) {
            reader.join();
        }
        return replies;
    }
};

} // namespace

// LOST: a request whose last part came late in the grace time was sent to an endpoint that took longer than
// what was left, and its connection was closed without a response.
TEST_CASE_FIXTURE(ending_gateway,
                  "late_request_may_outlast_the_process_is_refused_unsent_or_answered_in_time") {
    constexpr time_ms rest_after_ms = 3'650;
    constexpr time_ms prompt_ms = 300;
    start_with_grace(5'000);
    auto held = hold();
    set_behaviours_of_both({behaviour::silent});
    tell_to_end();
    const auto replies = send_late({text("booking", "r-1", 1'200), text("quote", "r-2", 1'200),
                                    text("chat", "r-3", 1'200), text("lookup", "r-4", 1'200)},
                                   rest_after_ms);
    for (std::size_t index = 0; index < 3; ++index) {
        CAPTURE(index);
        CHECK(replies[index].is_refusal());
        CHECK(replies[index].ended_at_ - told_at_ < rest_after_ms + prompt_ms);
    }
    // It may be repeated, so it was sent, since its route's objective is shorter than what was left.
    CHECK(replies[3].has_status(504));
    CHECK(received_count() == 1);
    CHECK(process_.wait() == 0);
    CHECK(steady_now_ms() - told_at_ < grace_ms_);
}

TEST_CASE_FIXTURE(ending_gateway, "late_request_ends_before_the_process_by_its_deadline_is_served") {
    start_with_grace(5'000);
    auto held = hold();
    tell_to_end();
    const auto replies = send_late({text("booking", "r-1", 500), text("lookup", "r-2", 1'200)}, 3'400);
    for (const client_reply& one : replies) {
        CHECK(one.has_status(200));
    }
}

// New connections come to the gateway until the platform has seen twice that it is not ready.
TEST_CASE_FIXTURE(ending_gateway,
                  "request_that_comes_early_in_the_grace_time_is_served_whatever_its_deadline") {
    start_with_grace(3'800); // after 2.6 s, less is left than the deadline
    auto held = hold();
    tell_to_end();
    for (const time_ms after_ms : {100, 900, 1'700}) {
        wait_until(after_ms);
        for (const char* route : {"lookup", "booking"}) {
            CAPTURE(after_ms);
            auto socket = open();
            send(socket, text(route, std::string(route) + std::to_string(after_ms), 1'500));
            CHECK(read(socket).has_status(200));
        }
    }
}

// LOST: what was in service at the end of the grace time was cut off without a response.
TEST_CASE_FIXTURE(ending_gateway, "request_in_service_when_the_grace_time_ends_gets_a_last_response") {
    start_with_grace(2'000);
    set_behaviours_of_both({behaviour::silent});
    std::vector<tcp::socket> sockets;
    int number = 0;
    for (const char* route : {"booking", "lookup", "quote", "chat"}) {
        sockets.push_back(open());
        send(sockets.back(), text(route, "r-" + std::to_string(++number), 1'500));
    }
    REQUIRE(eventually([&] { return received_count() >= 4; }));
    tell_to_end();
    for (const client_reply& one : read_all(sockets)) {
        CHECK(one.has_status(504));
        CHECK(one.text_.find("Connection: close\r\n") != std::string::npos);
        CHECK(one.ended_at_ - told_at_ < grace_ms_);
    }
    CHECK(process_.wait() == 0);
    CHECK(steady_now_ms() - told_at_ < grace_ms_);
}

// A stream whose process ends must not look complete.
TEST_CASE_FIXTURE(ending_gateway, "stream_in_service_when_the_grace_time_ends_is_incomplete") {
    const std::string event = "id: 1\ndata: a\n\n";
    const fake_endpoint::endless_reply reply{
        "HTTP/1.1 200 OK\r\nTamarackbeam-Request-Id: ID\r\nTamarackbeam-Server-Stamp: s\r\nContent-Type: "
        "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" +
            event + "\r\n",
        "1\r\nx\r\n", std::chrono::milliseconds(20)};
    start_with_grace(2'000);
    first_.set_endless(reply);
    second_.set_endless(reply);
    auto socket = open();
    send(socket, text("quote", "r-1", 1'500));
    REQUIRE(eventually([&] { return received_count() == 1; }));
    tell_to_end();
    const client_reply received = read(socket);
    CHECK(received.has_status(200));
    CHECK(received.text_.find("data: a") != std::string::npos);
    CHECK(received.text_.find("\r\n0\r\n") == std::string::npos);
    CHECK(received.ended_at_ - told_at_ < grace_ms_);
    CHECK(process_.wait() == 0);
}

// The connection of a client that was still sending its request was closed without a response when nothing
// else was in service.
TEST_CASE_FIXTURE(ending_gateway, "request_not_received_whole_when_the_gateway_exits_is_refused") {
    start_with_grace(8'000);
    tell_to_end();
    wait_until(500);
    auto socket = open();
    send(socket, text("booking", "r-1", 1'200).substr(0, 40));
    CHECK(read(socket).is_refusal());
    CHECK(process_.wait() == 0);
    CHECK(steady_now_ms() - told_at_ < 4'000);
}

} // namespace tamarack::direct
