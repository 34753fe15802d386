// Incremental parsers for HTTP/1.1 messages, based on Beast's parser.
#pragma once

#include "tamarack/http.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace tamarack::http {

// Whether two header names are the same, ignoring case.
bool same_name(std::string_view left, std::string_view right);

// The first header with that name, or null.
const header* find_header(const std::vector<header>& headers, std::string_view name);

// Most received bytes that may wait for the end of a chunk's header or a trailer, and of a response's head.
inline constexpr std::size_t max_unparsed_bytes = 64 * 1024;

// Why a request was rejected. The value is the status code of the response.
enum class parse_fault {
    none = 0,
    malformed = 400,
    body_too_large = 413,
    header_too_large = 431,
};

// Beast's parser, fed as bytes arrive. The header of a chunk, and of the last chunk with its trailer, is
// handed over only whole: where Beast goes on with a part of one, it asserts what the sender decides.
template <bool IsRequest>
class incremental_parser : public boost::beast::http::basic_parser<IsRequest> {
protected:
    using string_view = boost::beast::string_view;
    using error_code = boost::beast::error_code;

    incremental_parser() { this->eager(false); }

    // Consumes received bytes. Fails with `need_more` until the message is complete. Any other failure is
    // final.
    error_code feed(boost::beast::flat_buffer& received);

    bool failed() const { return bool(failed_); }

private:
    error_code parse_received(boost::beast::flat_buffer& received);
    bool awaits_chunk_header(std::string_view received);
    void on_chunk_header_impl(std::uint64_t size, string_view, error_code&) override;
    std::size_t on_chunk_body_impl(std::uint64_t left, string_view body, error_code& failed) override;

    error_code failed_;
    std::uint64_t chunk_left_ = 0; // bytes of the current chunk that have not arrived
    // Positions in the received bytes, which begin with the line break that ends the previous chunk.
    std::size_t line_begin_ = 0;
    std::size_t line_end_ = std::string_view::npos;
    std::size_t searched_ = 0;
};

extern template class incremental_parser<true>;
extern template class incremental_parser<false>;

// Parses one request. Ambiguous framing is rejected to prevent request smuggling.
class request_parser : public incremental_parser<true> {
public:
    request_parser(std::size_t header_limit, std::size_t body_limit);

    // Consumes received bytes. Returns true once the request is complete.
    bool take(boost::beast::flat_buffer& received);

    parse_fault fault() const { return fault_; }
    bool begun() const { return begun_; }
    bool expects_continue() const;

    // Memory that the parsed parts of the request take, in bytes.
    std::size_t held_bytes() const { return head_bytes_ + request_.body_.size(); }

    // Whether the client accepts chunked responses.
    bool is_http_1_1() const { return version_ == 11; }

    request request_;

private:
    void on_request_impl(boost::beast::http::verb, string_view method, string_view target, int version,
                         error_code& failed) override;
    void on_response_impl(int, string_view, int, error_code&) override {}
    void on_field_impl(boost::beast::http::field, string_view name, string_view value,
                       error_code& failed) override;
    void on_header_impl(error_code& failed) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) override {}
    std::size_t on_body_impl(string_view body, error_code&) override;
    void on_finish_impl(error_code&) override {}

    parse_fault fault_ = parse_fault::none;
    bool begun_ = false;
    int version_ = 0;
    bool in_trailer_ = false;
    std::size_t head_bytes_ = 0;
};

// Most interim responses (1xx) before the final one.
inline constexpr int max_interim_responses = 3;

// Parses one response. Its status is 100 or 102 to 599, its head has no folded lines, and its body has no
// transfer coding but chunks. The body is appended to `body_`, from which the owner may remove data.
class response_parser : public incremental_parser<false> {
public:
    explicit response_parser(std::size_t body_limit);

    enum class progress { more, done, broken };

    progress take(boost::beast::flat_buffer& received);

    // Handles the end of the connection, which completes a response without a length.
    progress take_end();

    int status_ = 0;
    bool head_done_ = false;
    std::vector<header> headers_;
    std::string body_;

private:
    void on_request_impl(boost::beast::http::verb, string_view, string_view, int, error_code&) override {}
    void on_response_impl(int status, string_view, int, error_code&) override;
    void on_field_impl(boost::beast::http::field, string_view name, string_view value, error_code&) override;
    void on_header_impl(error_code&) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) override {}
    std::size_t on_body_impl(string_view body, error_code&) override;
    void on_finish_impl(error_code&) override {}
};

} // namespace tamarack::http
