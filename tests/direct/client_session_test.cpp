// One client connection in this process: what it reads, in which order requests start, and what it writes.
#include "gateway/client_session.hpp"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

namespace tamarack::gateway {

namespace asio = boost::asio;

namespace {

// A request in service. The test sends its response.
struct started_request : running_request {
    http::request incoming_;
    std::shared_ptr<response_sink> sink_;
    bool client_gone_ = false;
    int writes_completed_ = 0;

    void on_client_disconnected() override { client_gone_ = true; }
    void on_write_completed() override { ++writes_completed_; }
    void refuse_if_unsent() override {}
    void end_before_exit() override {}
    void end_if_quarantined() override {}
};

struct session_fixture {
    asio::io_context context_;
    memory::account memory_{memory::limits_for(64 * 1024 * 1024, 1'000), [](memory::pool) {}};
    std::vector<char> read_buffer_ = std::vector<char>(16 * 1024);
    fleet::client_limits limits_;
    std::vector<std::shared_ptr<started_request>> started_;
    int in_service_ = 0;

    // Whether no request was in service at some moment after the process had been told to end.
    bool was_idle_ = false;

    bool shutting_down_ = false;
    bool closed_ = false;
    session_context shared_{memory_,
                            read_buffer_,
                            [this] { return limits_; },
                            [this](std::shared_ptr<response_sink> sink, http::request incoming) {
                                started_.push_back(std::make_shared<started_request>());
                                started_.back()->incoming_ = std::move(incoming);
                                started_.back()->sink_ = std::move(sink);
                                return started_.back();
                            },
                            [this] { return shutting_down_; },
                            [this](int change) {
                                in_service_ += change;
                                was_idle_ = was_idle_ || (shutting_down_ && in_service_ == 0);
                            },
                            [this](const std::shared_ptr<client_session>&) { closed_ = true; }};
    asio::ip::tcp::socket client_{context_};
    std::shared_ptr<client_session> session_;
    std::string received_;

    // `window_bytes` limits what the kernel takes for a client that does not read; 0 leaves it to the system.
    explicit session_fixture(int window_bytes = 0) {
        asio::ip::tcp::acceptor acceptor(context_, {asio::ip::address_v4::loopback(), 0});
        client_.open(asio::ip::tcp::v4());
        if (window_bytes > 0) {
            client_.set_option(asio::socket_base::receive_buffer_size(window_bytes));
        }
        client_.connect(acceptor.local_endpoint());
        client_.non_blocking(true);
        asio::ip::tcp::socket accepted = acceptor.accept();
        if (window_bytes > 0) {
            accepted.set_option(asio::socket_base::send_buffer_size(window_bytes));
        }
        session_ = std::make_shared<client_session>(std::move(accepted), shared_);
        session_->start();
    }

    ~session_fixture() {
        session_->close();
        started_.clear();
        context_.poll();
    }

    void send(std::string_view bytes) {
        boost::system::error_code failed;
        while (!bytes.empty() && (!failed || failed == asio::error::would_block)) {
            bytes.remove_prefix(client_.write_some(asio::buffer(bytes), failed));
            run();
        }
    }

    void run() {
        context_.restart();
        context_.poll();
    }

    void read() {
        char bytes[16 * 1024];
        boost::system::error_code failed;
        while (!failed) {
            received_.append(bytes, client_.read_some(asio::buffer(bytes), failed));
        }
    }

    // Runs until the condition holds, for at most a few seconds.
    template <typename Condition>
    bool run_until(Condition condition, bool reads = true) {
        constexpr int max_polls = 4'000;
        for (int poll = 0; poll < max_polls; ++poll) {
            run();
            if (reads) {
                read();
            }
            if (condition()) {
                return true;
            }
            ::usleep(500);
        }
        return false;
    }
};

std::string chunked(const std::string& body, std::mt19937_64& random) {
    std::string encoded;
    std::size_t at = 0;
    while (at < body.size()) {
        const std::size_t count = std::min<std::size_t>(1 + random() % 40, body.size() - at);
        char length[24];
        std::snprintf(length, sizeof(length), "%zx\r\n", count);
        encoded += length + body.substr(at, count) + "\r\n";
        at += count;
    }
    return encoded + "0\r\n\r\n";
}

std::string get_request(int number) {
    return "GET /r/" + std::to_string(number) + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

} // namespace

// TWICE, MIXED: bytes of a request that had been served were parsed again, since a read into their buffer was
// pending while the next request was taken from it. Lookups, bodies by length and in chunks come in random
// splits, while responses come at random times.
TEST_CASE("session_random_pipelines_in_random_pieces_each_request_starts_once_and_in_order") {
    CHECK(rc::check([](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        session_fixture one;
        const int count = 1 + int(random() % 12);
        std::string bytes;
        std::vector<std::string> bodies;
        for (int number = 0; number < count; ++number) {
            const int kind = int(random() % 3);
            const std::string body(kind == 0 ? 0 : random() % (random() % 8 == 0 ? 60'000 : 300),
                                   char('a' + number));
            bodies.push_back(body);
            const std::string start =
                (kind == 0 ? "GET /r/" : "POST /r/") + std::to_string(number) + " HTTP/1.1\r\nHost: a\r\n";
            bytes +=
                start + (kind == 0   ? "\r\n"
                         : kind == 1 ? "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body
                                     : "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, random));
        }
        std::string expected;
        std::size_t answered = 0;
        std::size_t sent = 0;
        const std::size_t largest_piece = random() % 2 == 0 ? 40 : 30'000;
        const auto answer_one = [&] {
            if (answered < one.started_.size()) {
                const std::string body = "answer " + std::to_string(answered);
                one.started_[answered]->sink_->send_response(200, {}, body);
                expected +=
                    "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
                ++answered;
            }
        };
        int idle = 0;
        while ((sent < bytes.size() || answered < std::size_t(count)) && idle < 4'000) {
            const std::size_t piece = std::min(1 + random() % largest_piece, bytes.size() - sent);
            boost::system::error_code blocked;
            sent += one.client_.write_some(asio::buffer(bytes.data() + sent, piece), blocked);
            one.run();
            if (random() % 3 == 0) {
                answer_one();
            }
            if (random() % 2 == 0) {
                one.run();
            }
            if (sent == bytes.size() && answered == one.started_.size()) {
                ::usleep(200);
                ++idle;
            }
        }
        one.run_until([&] { return one.received_.size() >= expected.size(); });
        RC_ASSERT(one.started_.size() == std::size_t(count));
        for (int number = 0; number < count; ++number) {
            RC_ASSERT(one.started_[std::size_t(number)]->incoming_.target_ == "/r/" + std::to_string(number));
            RC_ASSERT(one.started_[std::size_t(number)]->incoming_.body_ == bodies[std::size_t(number)]);
        }
        RC_ASSERT(one.received_ == expected);
        RC_ASSERT(one.in_service_ == 0);
        RC_ASSERT(one.memory_.held(memory::pool::in_service) == 0);
        RC_ASSERT(one.memory_.held(memory::pool::receiving) == 0);
    }));
}

// A client that sends ahead and does not read made the gateway hold all of its responses.
TEST_CASE("session_client_does_not_read_next_request_waits_until_the_response_is_written") {
    session_fixture one(4'096);
    one.send(get_request(0) + get_request(1) + get_request(2));
    REQUIRE(one.run_until([&] { return one.started_.size() == 1; }));
    const std::string body(2 * 1024 * 1024, 'x');
    one.started_[0]->sink_->send_response(200, {}, body);
    CHECK_FALSE(one.run_until([&] { return one.started_.size() > 1; }, false));
    CHECK(one.memory_.held(memory::pool::responses) >= body.size());
    CHECK(one.in_service_ == 1);
    CHECK(one.run_until([&] { return one.started_.size() == 2; }));
    CHECK(one.memory_.held(memory::pool::responses) == 0);
}

// LOST: a process that ends counted a request as done before its response was written.
TEST_CASE("session_response_is_not_written_yet_request_counts_as_in_service") {
    session_fixture one(4'096);
    one.send(get_request(0));
    REQUIRE(one.run_until([&] { return one.started_.size() == 1; }));
    CHECK(one.in_service_ == 1);
    one.started_[0]->sink_->send_response(200, {}, std::string(1024 * 1024, 'x'));
    CHECK_FALSE(one.run_until([&] { return one.in_service_ == 0; }, false));
    CHECK(one.run_until([&] { return one.in_service_ == 0; }));
}

TEST_CASE("session_client_leaves_before_the_response_is_written_nothing_is_held") {
    session_fixture one(4'096);
    one.send(get_request(0));
    REQUIRE(one.run_until([&] { return one.started_.size() == 1; }));
    one.started_[0]->sink_->begin_stream(200, {});
    one.started_[0]->sink_->send_data(std::string(1024 * 1024, 'x'));
    one.client_.close();
    CHECK(one.run_until([&] { return one.closed_; }, false));
    CHECK(one.started_[0]->client_gone_);
    CHECK(one.in_service_ == 0);
    for (std::size_t index = 0; index < memory::pool_count; ++index) {
        CHECK(one.memory_.held(memory::pool(index)) == 0);
    }
}

// LOST: after SIGTERM, requests that had been read whole behind the one in service got no answer. The process
// also took a connection between two of them for idle.
TEST_CASE("session_process_is_told_to_end_each_request_that_was_read_whole_is_answered_in_order") {
    const std::string partial[] = {"", "GET /r/",
                                   "POST /r/ HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf"};
    enum class told { before_response, after_head, after_first_response };
    for (const told when : {told::before_response, told::after_head, told::after_first_response}) {
        for (const int ahead : {0, 1, 5}) {
            for (const std::string& rest : partial) {
                CAPTURE(int(when));
                CAPTURE(ahead);
                CAPTURE(rest);
                session_fixture one;
                std::string pipeline;
                for (int number = 0; number <= ahead; ++number) {
                    pipeline += get_request(number);
                }
                one.send(pipeline + rest);
                REQUIRE(one.run_until([&] { return one.started_.size() == 1; }));
                one.shutting_down_ = when == told::before_response;
                for (int number = 0; number <= ahead; ++number) {
                    REQUIRE(one.run_until([&] { return one.started_.size() == std::size_t(number) + 1; }));
                    const auto request = one.started_[std::size_t(number)];
                    CHECK(request->incoming_.target_ == "/r/" + std::to_string(number));
                    CHECK_FALSE(one.was_idle_);
                    if (when == told::after_head && number == 0) {
                        request->sink_->begin_stream(200, {});
                        one.shutting_down_ = true;
                        request->sink_->end_stream();
                    } else {
                        request->sink_->send_response(200, {}, "");
                    }
                    if (when == told::after_first_response) {
                        one.shutting_down_ = true;
                    }
                }
                const bool ends = when != told::after_first_response || ahead > 0;
                CHECK(one.run_until([&] { return one.in_service_ == 0 || !ends; }));
                std::size_t answers = 0;
                for (std::size_t at = 0; (at = one.received_.find("HTTP/1.1 200", at)) != std::string::npos;
                     ++at) {
                    ++answers;
                }
                CHECK(answers == std::size_t(ahead) + 1);
                CHECK(one.started_.size() == std::size_t(ahead) + 1);
                const std::size_t close_at = one.received_.find("Connection: close");
                const bool in_last =
                    close_at == std::string::npos || close_at > one.received_.rfind("HTTP/1.1 200");
                CHECK(in_last);
                const bool told_of_close = close_at != std::string::npos;
                CHECK(told_of_close == (ends && (when != told::after_head || ahead > 0)));
                CHECK(one.run_until([&] { return one.closed_ == ends; }));
            }
        }
    }
}

// A request that is refused for want of memory has not run and may come again.
TEST_CASE("session_request_is_evicted_while_it_is_received_client_gets_503_and_the_connection_ends") {
    session_fixture one;
    one.send("POST /r/0 HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + std::string(50'000, 'x'));
    REQUIRE(one.run_until([&] { return one.session_->evictable(memory::pool::receiving).has_value(); }));
    CHECK(one.session_->evictable(memory::pool::receiving)->bytes_ >= 50'000);
    one.session_->evict(memory::pool::receiving);
    CHECK(one.memory_.held(memory::pool::receiving) == 0);
    CHECK(one.run_until([&] { return one.closed_; }));
    CHECK(one.received_.starts_with("HTTP/1.1 503 "));
    CHECK(one.received_.find("Retry-After: ") != std::string::npos);
    CHECK(one.received_.find("Connection: close") != std::string::npos);
    CHECK(one.started_.empty());
}

TEST_CASE("session_no_memory_for_a_large_request_beside_others_client_gets_503_and_may_go_on") {
    session_fixture one;
    const std::size_t limit = one.memory_.allowed().of(memory::pool::in_service);
    {
        memory::charge others(one.memory_, memory::pool::in_service);
        others.set(limit);
        one.send("POST /r/0 HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" +
                 std::string(100'000, 'x'));
        CHECK(one.run_until([&] { return one.received_.find("\r\n\r\n") != std::string::npos; }));
        CHECK(one.received_.starts_with("HTTP/1.1 503 "));
        CHECK(one.started_.empty());
    }
    one.send(get_request(1));
    CHECK(one.run_until([&] { return one.started_.size() == 1; }));
}

// The header of a chunk and a trailer had no bound.
TEST_CASE("session_chunk_header_or_trailer_without_end_client_gets_400") {
    for (const char* begin : {"4;x=", "4\r\nbody\r\n0\r\nX-Trailer: "}) {
        session_fixture one;
        one.send(std::string("POST /r/0 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n") + begin +
                 std::string(100'000, 'x'));
        CHECK(one.run_until([&] { return one.closed_; }));
        CHECK(one.received_.starts_with("HTTP/1.1 400 "));
        CHECK(one.started_.empty());
    }
}

// A time limit that passed as bytes arrived ended what had begun with these bytes.
TEST_CASE("session_idle_limit_passes_as_request_begins_request_is_read") {
    session_fixture one;
    one.send(get_request(1));
    REQUIRE(one.run_until([&] { return one.started_.size() == 1; }));
    one.limits_.idle_ms_ = 400;
    one.started_.back()->sink_->send_response(200, {}, "a");
    REQUIRE(one.run_until([&] { return one.received_.ends_with("a"); }));
    // The limit and the bytes are found by the same poll.
    ::usleep(500'000);
    one.send("GET /r/2 HTTP/1.1\r\n");
    one.send("Host: a\r\n\r\n");
    CHECK(one.run_until([&] { return one.started_.size() == 2; }));
}

TEST_CASE("session_header_limit_passes_as_request_is_rejected_client_may_read_the_response") {
    session_fixture one;
    one.limits_.header_ms_ = 400;
    one.send("GET /r/1 HTTP/1.1\r\n");
    ::usleep(500'000);
    one.send("no header\r\n\r\n");
    REQUIRE(one.run_until([&] { return one.received_.starts_with("HTTP/1.1 400 "); }));
    CHECK_FALSE(one.closed_);
}

// Held before: a session keeps its connection and its bytes until a write has ended.
TEST_CASE("session_closed_between_two_parts_of_a_response_write_ends") {
    constexpr std::size_t response_bytes = 32 * 1024 * 1024;
    session_fixture one;
    one.send(get_request(1));
    REQUIRE(one.run_until([&] { return one.started_.size() == 1; }));
    one.started_.back()->sink_->send_response(200, {}, std::string(response_bytes, 'x'));
    one.run();
    one.read();
    one.received_.clear();
    while (one.received_.empty()) {
        one.context_.restart();
        one.context_.poll_one();
        one.read();
    }
    one.session_->close();
    one.run();
    CHECK(one.closed_);
    CHECK(one.run_until([&] { return one.memory_.held(memory::pool::responses) == 0; }));
    CHECK(one.received_.size() < response_bytes / 2);
}

} // namespace tamarack::gateway
