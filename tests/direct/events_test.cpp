#include "ctl/story.hpp"
#include "observe/uncaught.hpp"
#include "tamarack/events.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <future>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace tamarack {

namespace {

event ending(std::string_view request) {
    return {
        event_kind::ending, "gateway", "request_ended", request, {{"status", 503}, {"outcome", "too_busy"}}};
}

} // namespace

TEST_CASE("event_line_fields_are_typed_escaped_and_bounded") {
    const event one{event_kind::sending,
                    "gateway",
                    "send_ended",
                    "id\"\n",
                    {{"long", std::string(5'000, 'x')}, {"left", std::int64_t(5)}, {"budget", true}}};
    const std::string line = to_json_line(one, "gateway-1", 77);
    CHECK(line.find('\n') == std::string::npos);
    CHECK(line.size() < 1'000);
    const nlohmann::json body = nlohmann::json::parse(line);
    CHECK(body["request"] == "id\"\n");
    CHECK(body["kind"] == "sending");
    CHECK(body["left"] == 5);
    CHECK(body["budget"] == true);
    CHECK(body["at_ms"] == 77);
}

TEST_CASE("event_with_invalid_utf8_is_valid_json") {
    const event one{event_kind::ending, "gateway", "request_ended", "\xff\xfe", {{"text", "\xc3\x28"}}};
    CHECK(nlohmann::json::accept(to_json_line(one, "gateway-1", 1)));
}

TEST_CASE("event_limiter_kind_over_its_rate_limits_only_that_kind") {
    event_limiter limiter({10, 20});
    int allowed = 0;
    for (int line = 0; line < 1'000; ++line) {
        allowed += limiter.allow(event_kind::ending, 1'000 + line) ? 1 : 0;
    }
    CHECK(allowed >= 20);
    CHECK(allowed <= 31);
    CHECK(limiter.allow(event_kind::dependency, 2'000));
    const auto suppressed = limiter.take_suppressed();
    CHECK(suppressed[std::size_t(event_kind::ending)] == 1'000 - allowed);
    CHECK(limiter.take_suppressed()[std::size_t(event_kind::ending)] == 0);
}

TEST_CASE("event_log_output_not_read_does_not_block_writers") {
    std::promise<void> read;
    const std::shared_future<void> reading = read.get_future().share();
    event_log log("gateway-1", {1e9, 1e9}, [reading](const std::string&) { reading.wait(); });
    for (int line = 0; line < 50'000; ++line) {
        log.write(ending("r-1"));
    }
    read.set_value();
}

TEST_CASE("event_log_stopped_writes_queued_events") {
    std::string written;
    {
        event_log log("gateway-1", event_rate(), [&](const std::string& lines) { written += lines + "\n"; });
        log.write(ending("r-1"));
        log.write(ending("r-2"));
    }
    CHECK(written.find("r-1") != std::string::npos);
    CHECK(written.find("r-2") != std::string::npos);
}

TEST_CASE("story_of_request_includes_earlier_fleet_events_of_its_process") {
    const std::vector<std::string> lines = {
        to_json_line({event_kind::fleet_view, "gateway", "engine_down", {}, {{"endpoint", "i-1"}}},
                     "gateway-1", 9'000),
        "12.5 front " + to_json_line(ending("r-1"), "gateway-1", 10'000),
        to_json_line(ending("r-2"), "gateway-1", 9'900),
        to_json_line({event_kind::fleet_view, "gateway", "engine_down", {}, {}}, "gateway-2", 9'900),
        to_json_line({event_kind::fleet_view, "gateway", "engine_back", {}, {}}, "gateway-1", 1'000),
        "no event at all",
    };
    const auto story = ctl::select_request_lines(lines, "r-1", std::chrono::milliseconds(2'000));
    REQUIRE(story.size() == 2);
    CHECK(story[0].find("engine_down") != std::string::npos);
    CHECK(story[1].find("r-1") != std::string::npos);
    CHECK(ctl::select_request_lines(lines, "r-3", std::chrono::milliseconds(2'000)).empty());
}

// A process that ended by an exception left no line that told why.
TEST_CASE("process_exception_is_not_caught_last_line_tells_the_reason") {
    int ends[2];
    REQUIRE(::pipe(ends) == 0);
    const pid_t child = ::fork();
    if (child == 0) {
        ::dup2(ends[1], STDOUT_FILENO);
        ::close(ends[0]);
        ::close(ends[1]);
        std::signal(SIGABRT, SIG_DFL);
        log_uncaught_errors("gateway-1");
        std::thread([] { throw std::runtime_error("odd \xff"); }).join();
        std::_Exit(0);
    }
    ::close(ends[1]);
    std::string output;
    char bytes[512];
    for (ssize_t count = 0; (count = ::read(ends[0], bytes, sizeof(bytes))) > 0;) {
        output.append(bytes, std::size_t(count));
    }
    ::close(ends[0]);
    int status = 0;
    ::waitpid(child, &status, 0);
    CHECK(WIFSIGNALED(status));
    CHECK(output.find(
              R"("process":"gateway-1","kind":"process","part":"process","decision":"uncaught_error")") !=
          std::string::npos);
    CHECK(output.find("odd ") != std::string::npos);
}

} // namespace tamarack
