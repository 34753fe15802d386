#include "http/message_parser.hpp"

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cctype>

namespace tamarack::http {

namespace bhttp = boost::beast::http;

namespace {

constexpr int http_1_1 = 11;

char lower(char letter) {
    return char(std::tolower(static_cast<unsigned char>(letter)));
}

std::size_t count_headers(const std::vector<header>& headers, std::string_view name) {
    return std::size_t(std::count_if(headers.begin(), headers.end(),
                                     [&](const header& one) { return same_name(one.name_, name); }));
}

// Memory that a string allocates beside the object itself. Short ones allocate none.
std::size_t allocated_bytes(const std::string& text) {
    static const std::size_t in_place = std::string().capacity();
    return text.capacity() > in_place ? text.capacity() : 0;
}

parse_fault fault_of(const boost::beast::error_code& failed) {
    if (failed == bhttp::error::header_limit) {
        return parse_fault::header_too_large;
    }
    if (failed == bhttp::error::body_limit) {
        return parse_fault::body_too_large;
    }
    return parse_fault::malformed;
}

} // namespace

bool same_name(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(),
                      [](char one, char other) { return lower(one) == lower(other); });
}

const header* find_header(const std::vector<header>& headers, std::string_view name) {
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [&](const header& one) { return same_name(one.name_, name); });
    return found == headers.end() ? nullptr : &*found;
}

request_parser::request_parser(std::size_t header_limit, std::size_t body_limit) {
    this->header_limit(std::uint32_t(header_limit));
    this->body_limit(body_limit);
    eager(true);
}

bool request_parser::take(boost::beast::flat_buffer& received) {
    while (received.size() > 0 && !is_done()) {
        begun_ = true;
        boost::beast::error_code failed;
        const std::size_t used = put(received.data(), failed);
        received.consume(used);
        if (failed == bhttp::error::need_more) {
            // The parser itself bounds only the head.
            if (is_header_done() && received.size() > max_unparsed_bytes) {
                fault_ = parse_fault::malformed;
            }
            return false;
        }
        if (failed) {
            fault_ = fault_of(failed);
            return false;
        }
    }
    return is_done();
}

bool request_parser::expects_continue() const {
    const header* expect = find_header(request_.headers_, "Expect");
    return expect != nullptr && same_name(expect->value_, "100-continue");
}

void request_parser::on_request_impl(bhttp::verb, string_view method, string_view target, int version,
                                     error_code& failed) {
    request_.method_ = std::string(method);
    request_.target_ = std::string(target);
    version_ = version;
    if (version != http_1_1 && version != 10) {
        failed = bhttp::error::bad_version;
    }
}

void request_parser::on_field_impl(bhttp::field, string_view name, string_view value, error_code&) {
    if (!in_trailer_) {
        request_.headers_.push_back({std::string(name), std::string(value)});
    }
}

void request_parser::on_header_impl(error_code& failed) {
    in_trailer_ = true;
    head_bytes_ = request_.target_.capacity() + request_.headers_.capacity() * sizeof(header);
    for (const header& one : request_.headers_) {
        head_bytes_ += allocated_bytes(one.name_) + allocated_bytes(one.value_);
    }
    const header* encoding = find_header(request_.headers_, "Transfer-Encoding");
    const bool framed_twice =
        count_headers(request_.headers_, "Transfer-Encoding") > 1 ||
        count_headers(request_.headers_, "Content-Length") > 1 ||
        (encoding != nullptr && find_header(request_.headers_, "Content-Length") != nullptr);
    const bool unknown_encoding = encoding != nullptr && !same_name(encoding->value_, "chunked");
    if (framed_twice || unknown_encoding || count_headers(request_.headers_, "Host") != 1) {
        failed = bhttp::error::bad_field;
    }
}

std::size_t request_parser::on_body_impl(string_view body, error_code&) {
    request_.body_.append(body.data(), body.size());
    return body.size();
}

std::size_t request_parser::on_chunk_body_impl(std::uint64_t, string_view body, error_code& failed) {
    return on_body_impl(body, failed);
}

response_parser::response_parser(std::size_t body_limit) {
    this->body_limit(body_limit);
    eager(true);
}

response_parser::progress response_parser::take(boost::beast::flat_buffer& received) {
    while (received.size() > 0 && !is_done()) {
        boost::beast::error_code failed;
        const std::size_t used = put(received.data(), failed);
        received.consume(used);
        if (failed == bhttp::error::need_more) {
            return received.size() > max_unparsed_bytes ? progress::broken : progress::more;
        }
        if (failed) {
            return progress::broken;
        }
    }
    return is_done() ? progress::done : progress::more;
}

response_parser::progress response_parser::take_end() {
    if (is_done()) {
        return progress::done;
    }
    if (!got_some()) {
        return progress::broken; // the parser takes no end before the first byte
    }
    boost::beast::error_code failed;
    put_eof(failed);
    return !failed && is_done() ? progress::done : progress::broken;
}

void response_parser::on_response_impl(int status, string_view, int, error_code&) {
    status_ = status;
}

void response_parser::on_field_impl(bhttp::field, string_view name, string_view value, error_code&) {
    if (!head_done_) {
        headers_.push_back({std::string(name), std::string(value)});
    }
}

void response_parser::on_header_impl(error_code&) {
    head_done_ = true;
}

std::size_t response_parser::on_body_impl(string_view body, error_code&) {
    body_.append(body.data(), body.size());
    return body.size();
}

std::size_t response_parser::on_chunk_body_impl(std::uint64_t, string_view body, error_code& failed) {
    return on_body_impl(body, failed);
}

} // namespace tamarack::http
