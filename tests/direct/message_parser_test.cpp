// Parsers of requests and responses whose bytes arrive in pieces.
#include "direct/gateway_process.hpp"
#include "http/kept_client.hpp"
#include "http/message_parser.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>

namespace tamarack::http {

namespace {

const std::string request_head = "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string response_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct chunked_case {
    std::string bytes_;
    std::optional<std::string> body_; // none if malformed or unfinished
};

const std::vector<chunked_case>& chunked_cases() {
    static const std::vector<chunked_case> cases = {
        {"0\r\n\r\n", ""},
        {"000\r\n\r\n", ""},
        {"0;x\r\n\r\n", ""},
        {"0 ; x=\"y\"\r\nA: b\r\n\r\n", ""},
        {"0\r\nA: b\r\n c\r\nD:\r\n\r\n", ""},
        {"1\r\nx\r\n0\r\n\r\n", "x"},
        {"3;x=y\r\n\r\n0\r\n0A\r\n0123456789\r\n00\r\nA: b\r\n\r\n", "\r\n00123456789"},
        {"0\r\n", std::nullopt},
        {"0\r\n\r", std::nullopt},
        {"0\r\nA: b\r\n", std::nullopt},
        {"0\r\n0 OKa\r\nD\xff: m\r\n\r\n", std::nullopt},
        {"0\r\nA\r\n\r\n", std::nullopt},
        {"0\r\r\n\r\n", std::nullopt},
        {"0x\r\n\r\n", std::nullopt},
        {"0;\r\n\r\n", std::nullopt},
        {"0;x=\"\r\n\r\n\"\r\n\r\n", std::nullopt},
        {"1;x=\"\r\nx\r\n0\r\n\r\n", std::nullopt},
        {"\r\n\r\n", std::nullopt},
        {"x\r\n\r\n", std::nullopt},
        {"1\r\nxx\r\n0\r\n\r\n", std::nullopt},
        {"1\r\nx0\r\n\r\n", std::nullopt},
        {"11111111111111111\r\nx\r\n0\r\n\r\n", std::nullopt},
    };
    return cases;
}

// The message in pieces that begin at these positions.
std::vector<std::string_view> split(std::string_view message, std::size_t first, std::size_t second) {
    return {message.substr(0, first), message.substr(first, second - first), message.substr(second)};
}

std::vector<std::string_view> split_each_byte(std::string_view message) {
    std::vector<std::string_view> pieces;
    for (std::size_t at = 0; at < message.size(); ++at) {
        pieces.push_back(message.substr(at, 1));
    }
    return pieces;
}

void add(boost::beast::flat_buffer& received, std::string_view piece) {
    received.commit(boost::asio::buffer_copy(received.prepare(piece.size()), boost::asio::buffer(piece)));
}

std::optional<std::string> parse_request(const std::vector<std::string_view>& pieces) {
    boost::beast::flat_buffer received;
    request_parser parser(1'000, 1'000);
    for (const std::string_view piece : pieces) {
        add(received, piece);
        if (parser.take(received)) {
            CHECK(parser.fault() == parse_fault::none);
            return parser.request_.body_;
        }
    }
    return std::nullopt;
}

std::optional<std::string> parse_response(const std::vector<std::string_view>& pieces) {
    boost::beast::flat_buffer received;
    response_parser parser(1'000);
    for (const std::string_view piece : pieces) {
        add(received, piece);
        if (parser.take(received) == response_parser::progress::done) {
            return parser.body_;
        }
    }
    return parser.take_end() == response_parser::progress::done ? std::optional(parser.body_) : std::nullopt;
}

} // namespace

// The last chunk of an empty body in pieces failed an assertion of Beast's parser, which ended the process.
TEST_CASE("message_parser_chunked_body_in_any_pieces_is_parsed_alike") {
    for (const chunked_case& one : chunked_cases()) {
        CAPTURE(one.bytes_);
        const std::string request = request_head + one.bytes_;
        const std::string response = response_head + one.bytes_;
        CHECK(parse_request({request}) == one.body_);
        CHECK(parse_response({response}) == one.body_);
        CHECK(parse_request(split_each_byte(request)) == one.body_);
        CHECK(parse_response(split_each_byte(response)) == one.body_);
        for (std::size_t first = 0; first <= one.bytes_.size(); ++first) {
            for (std::size_t second = first; second <= one.bytes_.size(); ++second) {
                CHECK(parse_request(split(request, request_head.size() + first,
                                          request_head.size() + second)) == one.body_);
                CHECK(parse_response(split(response, response_head.size() + first,
                                           response_head.size() + second)) == one.body_);
            }
        }
    }
}

// Waiting for whole headers of chunks must not hold back data that has arrived.
TEST_CASE("message_parser_data_of_chunk_is_available_before_the_chunk_ends") {
    boost::beast::flat_buffer received;
    response_parser parser(1'000);
    add(received, response_head + "5\r\nab");
    CHECK(parser.take(received) == response_parser::progress::more);
    CHECK(parser.body_ == "ab");
    add(received, "c");
    CHECK(parser.take(received) == response_parser::progress::more);
    CHECK(parser.body_ == "abc");
}

// A response without a length ends with its connection, so a body that was too long would have become whole.
TEST_CASE("response_parser_end_after_malformed_bytes_is_broken") {
    boost::beast::flat_buffer received;
    response_parser parser(2);
    add(received, "HTTP/1.1 200 OK\r\n\r\nabc");
    CHECK(parser.take(received) == response_parser::progress::broken);
    CHECK(parser.take(received) == response_parser::progress::broken);
    CHECK(parser.take_end() == response_parser::progress::broken);
}

// The header of a chunk waits in memory until it is whole.
TEST_CASE("message_parser_endless_chunk_header_or_trailer_is_malformed") {
    for (const std::string begin : {"4;x=", "0\r\nA: ", "4", "0"}) {
        CAPTURE(begin);
        boost::beast::flat_buffer received;
        request_parser request(1'000, 1'000);
        add(received, request_head + begin + std::string(max_unparsed_bytes + 1, '0'));
        CHECK(!request.take(received));
        CHECK(request.fault() == parse_fault::malformed);
        received.clear();
        response_parser response(1'000);
        add(received, response_head + begin + std::string(max_unparsed_bytes + 1, '0'));
        CHECK(response.take(received) == response_parser::progress::broken);
    }
}

} // namespace tamarack::http

namespace tamarack::direct {

namespace {

// Sends the pieces with a pause between them, so that they are read one at a time. Returns what is answered
// until the connection ends or the first bytes have come.
std::string send_in_pieces(std::uint16_t port, const std::vector<std::string>& pieces) {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code failed;
    socket.connect({boost::asio::ip::address_v4::loopback(), port}, failed);
    socket.set_option(boost::asio::ip::tcp::no_delay(true), failed);
    for (const std::string& piece : pieces) {
        boost::asio::write(socket, boost::asio::buffer(piece), failed);
        ::usleep(50'000);
    }
    char bytes[4'096];
    const std::size_t count = socket.read_some(boost::asio::buffer(bytes), failed);
    return {bytes, count};
}

} // namespace

// One client that sent its request's last chunk in pieces ended the gateway for all.
TEST_CASE_FIXTURE(gateway_process, "client_sends_last_chunk_in_pieces_gateway_answers_and_runs_on") {
    start_ready();
    const std::string head =
        "POST /booking/x HTTP/1.1\r\nHost: shop.example\r\nTamarackbeam-Request-Id: r-1\r\n"
        "Tamarackbeam-Deadline-Ms: 1200\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string answered = send_in_pieces(port_, {head, "0\r\n", "\r", "\n"});
    CHECK(answered.starts_with("HTTP/1.1 200 "));
    CHECK(process_.running());
    CHECK(status(request("lookup", "r-2")) == 200);
}

// One endpoint that sent its response's last chunk in pieces ended the gateway for all.
TEST_CASE_FIXTURE(gateway_process, "endpoint_sends_last_chunk_in_pieces_gateway_forwards_and_runs_on") {
    store_.drop("keyed.servers", "i-2");
    start_ready();
    const std::string head =
        "HTTP/1.1 200 OK\r\nTamarackbeam-Request-Id: ID\r\nTamarackbeam-Server-Stamp: s\r\n"
        "Transfer-Encoding: chunked\r\n\r\n";
    first_.set_last_reply({head, false, {"0\r\n", "\r", "\n"}});
    CHECK(status(request("booking", "r-1")) == 200);
    CHECK(process_.running());
    first_.set_last_reply({head, false, {"0\r\n", "0", " OKa\r\nD\xff m\r\n\r\n"}});
    CHECK(status(request("booking", "r-2")) == 502);
    CHECK(process_.running());
    CHECK(status(request("lookup", "r-3")) == 200);
}

// The server of the programs' own interfaces, among them the checks of the platform and the entry's clients.
TEST_CASE_FIXTURE(gateway_process, "http_server_last_chunk_in_pieces_is_answered_and_process_runs_on") {
    start_ready();
    const std::string head = "GET /readyz HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    CHECK(send_in_pieces(admin_port_, {head, "0\r\n", "\r", "\n"}).starts_with("HTTP/1.1 200 "));
    CHECK(send_in_pieces(admin_port_, {head, "0\r\nA", "\r\n\r", "\n"}).starts_with("HTTP/1.1 400 "));
    CHECK(process_.running());
    CHECK(ready());
}

// The clients of the store, of engines and of the product's own interface.
TEST_CASE("http_clients_last_chunk_in_pieces_completes_the_response") {
    constexpr std::chrono::milliseconds limit(4'000);
    fake_endpoint server("server");
    const fake_endpoint::last_reply reply{
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false, {"0\r\n", "\r", "\n"}};
    server.set_last_reply(reply);
    const auto fetched = gateway_process::call(server.address().port(), {"GET", "/x", {{"Host", "a"}}, ""});
    REQUIRE(ok(fetched));
    CHECK(value(fetched).status_ == 200);
    server.set_last_reply(reply);
    boost::asio::io_context context;
    bool done = false;
    const auto client = std::make_shared<http::kept_client>(context.get_executor(), server.address(), limit);
    client->call({"GET", "/x", {}, ""}, limit, [&](result<http::response> outcome) {
        CHECK(ok(outcome));
        done = true;
        client->close();
    });
    context.run();
    CHECK(done);
}

// Heads of further information came to callers as the response itself, without a body.
TEST_CASE("http_fetch_interim_responses_come_first_final_response_is_returned") {
    fake_endpoint server("server");
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    const std::string last = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    const auto fetch = [&](const std::string& begin, std::vector<std::string> further) {
        server.set_last_reply({begin, false, std::move(further)});
        return gateway_process::call(server.address().port(), {"GET", "/x", {{"Host", "a"}}, ""});
    };
    for (const auto& fetched : {fetch(interim + last, {}), fetch(interim, {interim, last})}) {
        REQUIRE(ok(fetched));
        CHECK(value(fetched).status_ == 200);
        CHECK(value(fetched).body_ == "done");
    }
    CHECK_FALSE(ok(fetch(interim + interim + interim + interim + last, {})));
    CHECK_FALSE(ok(fetch(interim, {})));
}

} // namespace tamarack::direct
