// libFuzzer target: the parsers of requests and responses, and the reader of event streams, with bytes that
// come in pieces. The first byte of the input chooses what is parsed, the second the size of the pieces.
#include "gateway/event_splitter.hpp"
#include "http/message_parser.hpp"

#include <cstdlib>

namespace {

using namespace tamarack;

constexpr std::size_t header_limit = 4 * 1024;
constexpr std::size_t body_limit = 16 * 1024;
constexpr std::size_t most_unparsed = http::max_unparsed_bytes;
constexpr int first_status = 100;
constexpr int last_status = 599;

void require(bool holds) {
    if (!holds) {
        std::abort();
    }
}

void add(boost::beast::flat_buffer& buffer, std::string_view piece) {
    buffer.commit(boost::asio::buffer_copy(buffer.prepare(piece.size()), boost::asio::buffer(piece)));
}

// Parses pipelined requests, as a client's connection does.
void parse_requests(std::string_view bytes, std::size_t piece) {
    boost::beast::flat_buffer received;
    auto parser = std::make_unique<http::request_parser>(header_limit, body_limit);
    while (!bytes.empty()) {
        add(received, bytes.substr(0, piece));
        bytes.remove_prefix(std::min(piece, bytes.size()));
        while (parser->take(received)) {
            require(parser->fault() == http::parse_fault::none);
            require(parser->request_.body_.size() <= body_limit);
            require(parser->held_bytes() >= parser->request_.body_.size());
            require(http::find_header(parser->request_.headers_, "Host") != nullptr);
            parser = std::make_unique<http::request_parser>(header_limit, body_limit);
        }
        if (parser->fault() != http::parse_fault::none) {
            return;
        }
        require(received.size() <= most_unparsed + piece);
    }
}

// Parses one response, and the events in its body.
void parse_response(std::string_view bytes, std::size_t piece) {
    boost::beast::flat_buffer received;
    http::response_parser parser(body_limit);
    gateway::event_splitter events;
    std::string complete_events;
    while (!bytes.empty()) {
        add(received, bytes.substr(0, piece));
        bytes.remove_prefix(std::min(piece, bytes.size()));
        const auto progress = parser.take(received);
        require(parser.body_.size() <= body_limit);
        if (parser.head_done_) {
            require(parser.status_ >= first_status && parser.status_ <= last_status);
            events.append(std::exchange(parser.body_, {}), complete_events);
        }
        if (progress != http::response_parser::progress::more) {
            return;
        }
    }
    parser.take_end();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    constexpr std::size_t choice_bytes = 2;
    if (size < choice_bytes) {
        return 0;
    }
    const std::string_view bytes(reinterpret_cast<const char*>(data) + choice_bytes, size - choice_bytes);
    const std::size_t piece = 1 + std::size_t(data[1]) * 4;
    if (data[0] % 2 == 0) {
        parse_requests(bytes, piece);
    } else {
        parse_response(bytes, piece);
    }
    return 0;
}
