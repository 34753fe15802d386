#include "http/message_parser.hpp"

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cctype>

namespace tamarack::http {

namespace bhttp = boost::beast::http;

namespace {

constexpr int http_1_1 = 11;

// Statuses have a class of 1 to 5 (RFC 9110, section 15).
constexpr int first_status = 100;
constexpr int last_status = 599;

// No request asks for another protocol, so no response can change to one.
constexpr int status_switching_protocols = 101;

char lower(char letter) {
    return char(std::tolower(static_cast<unsigned char>(letter)));
}

std::size_t count_headers(const std::vector<header>& headers, std::string_view name) {
    return std::size_t(std::count_if(headers.begin(), headers.end(),
                                     [&](const header& one) { return same_name(one.name_, name); }));
}

// Whether the body has another transfer coding than chunks, which this library does not decode.
bool has_unknown_coding(const std::vector<header>& headers) {
    const header* coding = find_header(headers, "Transfer-Encoding");
    return coding != nullptr &&
           (count_headers(headers, "Transfer-Encoding") > 1 || !same_name(coding->value_, "chunked"));
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

constexpr std::string_view line_break = "\r\n";
constexpr std::string_view trailer_end = "\r\n\r\n";

// Whether a line of a head begins with a blank. The text begins with a line and may go on after the head.
// Beast joins such a line to the value before it, which a server may do (RFC 9112, section 5.2). The value of
// a response is to be returned unchanged.
bool has_folded_line(std::string_view text) {
    constexpr std::string_view blanks = " \t";
    std::size_t line_begin = 0;
    while (line_begin < text.size() && !text.substr(line_begin).starts_with(line_break)) {
        if (blanks.find(text[line_begin]) != std::string_view::npos) {
            return true;
        }
        const std::size_t line_end = text.find(line_break, line_begin);
        if (line_end == std::string_view::npos) {
            return false;
        }
        line_begin = line_end + line_break.size();
    }
    return false;
}

// Whether a chunk's header line names the size 0. A trailer follows it then.
bool is_last_chunk(std::string_view line) {
    const std::size_t size_end = line.find_first_not_of('0');
    constexpr std::string_view before_extension = " \t;";
    return size_end != 0 && !line.empty() &&
           (size_end == std::string_view::npos ||
            before_extension.find(line[size_end]) != std::string_view::npos);
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

template <bool IsRequest>
boost::beast::error_code incremental_parser<IsRequest>::feed(boost::beast::flat_buffer& received) {
    if (failed_) {
        return failed_;
    }
    const error_code failed = parse_received(received);
    if (failed && failed != bhttp::error::need_more) {
        failed_ = failed;
    }
    return failed;
}

template <bool IsRequest>
boost::beast::error_code incremental_parser<IsRequest>::parse_received(boost::beast::flat_buffer& received) {
    while (!this->is_done()) {
        const std::string_view bytes(static_cast<const char*>(received.data().data()), received.size());
        if (bytes.empty()) {
            return bhttp::error::need_more;
        }
        if (awaits_chunk_header(bytes)) {
            // Beast bounds only the head.
            return bytes.size() > max_unparsed_bytes ? bhttp::error::bad_chunk : bhttp::error::need_more;
        }
        const bool in_body = this->is_header_done();
        if (!IsRequest && !in_body && has_folded_line(bytes)) {
            return bhttp::error::bad_field;
        }
        error_code failed;
        received.consume(this->put(received.data(), failed));
        if (failed) {
            const bool unfinished = in_body && failed == bhttp::error::need_more;
            return unfinished ? error_code(bhttp::error::bad_chunk) : failed;
        }
    }
    return {};
}

// Whether the header of a chunk comes next and a part of it is still missing.
template <bool IsRequest>
bool incremental_parser<IsRequest>::awaits_chunk_header(std::string_view received) {
    if (!this->is_header_done() || !this->chunked() || chunk_left_ > 0) {
        return false;
    }
    if (line_end_ == std::string_view::npos) {
        line_end_ = received.find(line_break, searched_);
        if (line_end_ == std::string_view::npos) {
            searched_ = std::max(searched_, received.size() - 1);
            return true;
        }
        searched_ = line_end_;
    }
    if (!is_last_chunk(received.substr(line_begin_, line_end_ - line_begin_))) {
        return false;
    }
    if (received.find(trailer_end, searched_) != std::string_view::npos) {
        return false;
    }
    searched_ = std::max(searched_, received.size() - (trailer_end.size() - 1));
    return true;
}

template <bool IsRequest>
void incremental_parser<IsRequest>::on_chunk_header_impl(std::uint64_t size, string_view, error_code&) {
    chunk_left_ = size;
    line_begin_ = line_break.size();
    line_end_ = std::string_view::npos;
    searched_ = line_begin_;
}

template <bool IsRequest>
std::size_t incremental_parser<IsRequest>::on_chunk_body_impl(std::uint64_t left, string_view body,
                                                              error_code& failed) {
    chunk_left_ = left - body.size();
    return this->on_body_impl(body, failed);
}

template class incremental_parser<true>;
template class incremental_parser<false>;

request_parser::request_parser(std::size_t header_limit, std::size_t body_limit) {
    this->header_limit(std::uint32_t(header_limit));
    this->body_limit(body_limit);
}

bool request_parser::take(boost::beast::flat_buffer& received) {
    begun_ = begun_ || received.size() > 0;
    const error_code failed = feed(received);
    if (failed && failed != bhttp::error::need_more) {
        fault_ = fault_of(failed);
    }
    return !failed;
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
    const bool framed_twice = count_headers(request_.headers_, "Content-Length") > 1 ||
                              (find_header(request_.headers_, "Transfer-Encoding") != nullptr &&
                               find_header(request_.headers_, "Content-Length") != nullptr);
    if (framed_twice || has_unknown_coding(request_.headers_) ||
        count_headers(request_.headers_, "Host") != 1) {
        failed = bhttp::error::bad_field;
    }
}

std::size_t request_parser::on_body_impl(string_view body, error_code&) {
    request_.body_.append(body.data(), body.size());
    return body.size();
}

response_parser::response_parser(std::size_t body_limit) {
    this->body_limit(body_limit);
}

response_parser::progress response_parser::take(boost::beast::flat_buffer& received) {
    const error_code failed = feed(received);
    if (failed == bhttp::error::need_more) {
        return received.size() > max_unparsed_bytes ? progress::broken : progress::more;
    }
    return failed ? progress::broken : progress::done;
}

response_parser::progress response_parser::take_end() {
    if (failed() || !got_some()) {
        return progress::broken; // the parser takes no end before the first byte
    }
    if (is_done()) {
        return progress::done;
    }
    error_code ended;
    put_eof(ended);
    return !ended && is_done() ? progress::done : progress::broken;
}

void response_parser::on_response_impl(int status, string_view, int, error_code& failed) {
    const bool in_class = status >= first_status && status <= last_status;
    if (!in_class || status == status_switching_protocols) {
        failed = bhttp::error::bad_status;
        return;
    }
    status_ = status;
}

void response_parser::on_field_impl(bhttp::field, string_view name, string_view value, error_code&) {
    if (!head_done_) {
        headers_.push_back({std::string(name), std::string(value)});
    }
}

void response_parser::on_header_impl(error_code& failed) {
    if (has_unknown_coding(headers_)) {
        failed = bhttp::error::bad_transfer_encoding;
        return;
    }
    head_done_ = true;
}

std::size_t response_parser::on_body_impl(string_view body, error_code&) {
    body_.append(body.data(), body.size());
    return body.size();
}

} // namespace tamarack::http
