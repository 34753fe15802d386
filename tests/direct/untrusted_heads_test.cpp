// Heads of clients and endpoints with values that no sound program sends.
#include "direct/platform_stand_ins.hpp"
#include "gateway/head_rewrite.hpp"
#include "http/kept_client.hpp"
#include "http/message_parser.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

namespace tamarack::gateway {

// Found by fuzzing: the end of a connection before the first byte failed an assertion of the parser.
TEST_CASE("response_connection_ends_before_the_first_byte_is_broken") {
    http::response_parser parser(1'000);
    CHECK(parser.take_end() == http::response_parser::progress::broken);
}

// Numbers that clients send are averaged, so one that is not finite or huge would have spoiled every
// estimate.
// A record's key or a name from outside that reaches the head of a call could have added lines to it, or
// another request.
TEST_CASE("http_clients_request_that_no_head_can_hold_is_not_sent") {
    const http::request requests[] = {{"GET", "/a b", {}, ""},
                                      {"GET", "/a\r\nX: y", {}, ""},
                                      {"GET", "/a\x7f", {}, ""},
                                      {"GET", "/\xc3\xa9", {}, ""},
                                      {"GET", "", {}, ""},
                                      {"GET ", "/", {}, ""},
                                      {"GET", "/", {{"X", "a\r\nY: b"}}, ""},
                                      {"GET", "/", {{"X", std::string("a\0b", 3)}}, ""},
                                      {"GET", "/", {{"X", " a"}}, ""},
                                      {"GET", "/", {{"X:", "a"}}, ""},
                                      {"GET", "/", {{"", "a"}}, ""}};
    constexpr std::chrono::milliseconds limit(400);
    direct::fake_endpoint server("server");
    for (const http::request& outgoing : requests) {
        CAPTURE(outgoing.target_);
        boost::asio::io_context context;
        const auto client =
            std::make_shared<http::kept_client>(context.get_executor(), server.address(), limit);
        std::vector<error_kind> failures;
        client->call(outgoing, limit, [&](result<http::response> outcome) {
            failures.push_back(ok(outcome) ? error_kind::conflict : failure(outcome).kind_);
            client->close();
        });
        boost::asio::co_spawn(
            context,
            [&]() -> boost::asio::awaitable<void> {
                const auto outcome = co_await http::fetch(server.address(), outgoing, {limit, limit});
                failures.push_back(ok(outcome) ? error_kind::conflict : failure(outcome).kind_);
            },
            boost::asio::detached);
        context.run();
        CHECK(failures == std::vector<error_kind>{error_kind::invalid, error_kind::invalid});
    }
    CHECK(server.received_requests().empty());
    CHECK(http::is_valid({"GET", "/a?b=%20", {{"X", "a b\tc \xc3\xa9"}, {"Y", ""}}, ""}));
}

TEST_CASE("metadata_numbers_of_clients_are_not_finite_or_huge_are_dropped_or_cut") {
    header_names names;
    names.token_counts_ = "X-Tokens";
    names.deadline_ = "X-Left";
    names.prompt_parts_ = "X-Parts";
    struct number_case {
        const char* text_;
        double tokens_;
        std::optional<time_ms> deadline_ms_;
    };
    const number_case cases[] = {{"nan", 0, std::nullopt},      {"inf", 0, std::nullopt}, {"-5", 0, 0},
                                 {"1e300", 1e9, 1'000'000'000}, {"x", 0, std::nullopt},   {"20", 20, 20}};
    for (const number_case& one : cases) {
        CAPTURE(one.text_);
        const std::string text = one.text_;
        const http::request incoming{
            "GET", "/", {{"X-Tokens", text + "," + text}, {"X-Left", text}, {"X-Parts", "a:" + text}}, ""};
        const request_metadata metadata = parse_request_metadata(incoming, names);
        CHECK(metadata.prompt_tokens_ == one.tokens_);
        CHECK(metadata.output_tokens_ == one.tokens_);
        REQUIRE(metadata.prompt_parts_.size() == 1);
        CHECK(metadata.prompt_parts_[0].second == one.tokens_);
        CHECK(metadata.deadline_ms_ == one.deadline_ms_);
    }
}

} // namespace tamarack::gateway
