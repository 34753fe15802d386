#include "direct/platform_stand_ins.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tamarack::direct {

namespace {

constexpr auto loopback = INADDR_LOOPBACK;

std::string big_endian(std::uint64_t number, int bytes) {
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text.push_back(char(number >> shift));
    }
    return text;
}

std::string base64(const std::string& bytes) {
    namespace codec = boost::beast::detail::base64;
    std::string text(codec::encoded_size(bytes.size()), '\0');
    text.resize(codec::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

// A JSON string that holds the bytes as they are, also where they are not UTF-8.
std::string json_string(const std::string& bytes) {
    std::string text = "\"";
    for (const char byte : bytes) {
        char escaped[8];
        std::snprintf(escaped, sizeof(escaped), "\\u%04x", unsigned(std::uint8_t(byte)));
        const bool plain = std::uint8_t(byte) >= 0x20 && byte != '"' && byte != '\\';
        text += plain ? std::string(1, byte) : escaped;
    }
    return text + "\"";
}

std::string header_value(const std::string& request, const std::string& name) {
    const std::size_t at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

std::string event(int id) {
    return "id: " + std::to_string(id) + "\ndata: word\n\n";
}

std::string chunk(const std::string& bytes) {
    char length[24];
    std::snprintf(length, sizeof(length), "%zx\r\n", bytes.size());
    return length + bytes + "\r\n";
}

} // namespace

fake_store::fake_store()
    : context_(1),
      server_(context_, http::server_limits(),
              [this](http::exchange& current) -> http::awaitable<void> { co_await handle(current); }) {
    server_.listen({boost::asio::ip::address_v4::loopback(), 0});
    thread_ = std::thread([this] { context_.run(); });
}

fake_store::~fake_store() {
    context_.stop();
    thread_.join();
}

boost::asio::ip::tcp::endpoint fake_store::address() const {
    return {boost::asio::ip::address_v4::loopback(), server_.port()};
}

void fake_store::put(const std::string& topic, const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    topics_[topic].push_back({key, value, std::chrono::steady_clock::now()});
}

void fake_store::drop(const std::string& topic, const std::string& key) {
    const std::lock_guard lock(mutex_);
    topics_[topic].push_back({key, std::nullopt, std::chrono::steady_clock::now()});
}

void fake_store::set_refused_after(std::string key) {
    const std::lock_guard lock(mutex_);
    refused_after_ = std::move(key);
}

void fake_store::set_refused_key(std::string key) {
    const std::lock_guard lock(mutex_);
    refused_key_ = std::move(key);
}

void fake_store::roll_back(const std::string& topic, std::size_t count) {
    const std::lock_guard lock(mutex_);
    auto& records = topics_[topic];
    records.resize(records.size() - count);
    ++era_;
}

void fake_store::return_from_copy(std::chrono::milliseconds age) {
    const auto copied_at = std::chrono::steady_clock::now() - age;
    const std::lock_guard lock(mutex_);
    for (auto& [name, records] : topics_) {
        std::erase_if(records, [&](const record& one) { return one.written_at_ > copied_at; });
    }
    ++era_;
}

http::awaitable<void> fake_store::handle(http::exchange& current) {
    ++calls_;
    const http::request& call = current.incoming();
    const bool reads = call.path() == "/api/log-read";
    const fault active = fault_;
    http::response answer;
    if (active == fault::silent) {
        boost::asio::steady_timer timer(context_, std::chrono::hours(1));
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    if (active == fault::busy) {
        answer = http::json_response(503, "{}");
    } else if (active == fault::limited) {
        answer = http::json_response(429, "{}");
    } else if (active == fault::expired && reads) {
        answer = http::json_response(410, "{\"first\":1}");
    } else {
        if (reads) {
            co_await wait_for_record(call);
        }
        const bool appends = call.path() == "/api/log-append";
        answer = reads ? read(call) : appends ? append(call) : newest(call);
    }
    if (active == fault::truncated && answer.body_.size() > 3) {
        answer.body_.resize(answer.body_.size() - 3);
    }
    answer.headers_.push_back({"Store-Era", std::to_string(era_)});
    co_await current.reply(std::move(answer));
    const std::lock_guard lock(mutex_);
    ++calls_by_topic_[std::string(call.query("topic").value_or(""))];
}

int fake_store::calls(const std::string& topic) {
    const std::lock_guard lock(mutex_);
    return calls_by_topic_[topic];
}

// Waits until there is a record for the read, for at most its `wait_ms`.
http::awaitable<void> fake_store::wait_for_record(const http::request& call) {
    constexpr std::chrono::milliseconds poll_interval{5};
    const auto until =
        std::chrono::steady_clock::now() +
        std::chrono::milliseconds(std::stoul(std::string(call.query("wait_ms").value_or("0"))));
    const std::size_t from = std::stoul(std::string(call.query("from").value_or("0")));
    const std::string topic(call.query("topic").value_or(""));
    boost::asio::steady_timer timer(context_);
    while (std::chrono::steady_clock::now() < until && end_of(topic) <= from) {
        timer.expires_after(poll_interval);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

std::size_t fake_store::end_of(const std::string& topic) {
    const std::lock_guard lock(mutex_);
    return topics_[topic].size();
}

http::response fake_store::newest(const http::request& call) {
    const std::lock_guard lock(mutex_);
    const auto& records = topics_[std::string(call.query("topic").value_or(""))];
    std::map<std::string, std::pair<std::string, std::size_t>> newest;
    for (std::size_t offset = 0; offset < records.size(); ++offset) {
        if (records[offset].value_) {
            newest[records[offset].key_] = {*records[offset].value_, offset};
        } else {
            newest.erase(records[offset].key_);
        }
    }
    std::string items;
    std::size_t count = 0;
    const std::string after = call.decoded_query("after").value_or("");
    if (!after.empty() && after == refused_after_) {
        return http::json_response(400, "{}");
    }
    auto entry = newest.upper_bound(after);
    for (; entry != newest.end() && count < page_size_; ++entry, ++count) {
        const auto& [value, offset] = entry->second;
        items += (count == 0 ? "" : ",") + std::string("{\"key\":") + json_string(entry->first) +
                 ",\"value\":\"" + base64(value) + "\",\"offset\":" + std::to_string(offset) + "}";
    }
    const bool has_more = entry != newest.end();
    return http::json_response(200, "{\"items\":[" + items +
                                        "],\"has_more\":" + (has_more ? "true" : "false") +
                                        ",\"end\":" + std::to_string(records.size()) + "}");
}

http::response fake_store::read(const http::request& call) {
    const std::lock_guard lock(mutex_);
    const auto& records = topics_[std::string(call.query("topic").value_or(""))];
    const std::size_t from = std::stoul(std::string(call.query("from").value_or("0")));
    if (from > records.size()) {
        return http::json_response(410, "{\"first\":0}");
    }
    std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
    for (std::size_t offset = from; offset < records.size(); ++offset) {
        const record& current = records[offset];
        const std::string content = char(current.key_.size()) + current.key_ + current.value_.value_or("");
        body += big_endian(content.size(), 4) + content;
    }
    return {200, {}, body};
}

// Appends one record.
http::response fake_store::append(const http::request& call) {
    constexpr std::size_t length_bytes = 4;
    const std::string& body = call.body_;
    if (body.size() <= length_bytes || body.size() < length_bytes + 1 + std::uint8_t(body[length_bytes])) {
        return http::json_response(400, "{}");
    }
    const std::size_t key_length = std::uint8_t(body[length_bytes]);
    const std::string key = body.substr(length_bytes + 1, key_length);
    const std::string value = body.substr(length_bytes + 1 + key_length);
    const std::lock_guard lock(mutex_);
    if (key == refused_key_) {
        return http::json_response(400, "{}");
    }
    auto& records = topics_[std::string(call.query("topic").value_or(""))];
    records.push_back({key, value.empty() ? std::nullopt : std::optional(value)});
    return http::json_response(200, "{\"offset\":" + std::to_string(records.size() - 1) + "}");
}

fake_endpoint::fake_endpoint(std::string id) : id_(std::move(id)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(loopback);
    ::bind(listener_, reinterpret_cast<sockaddr*>(&local), sizeof(local));
    ::listen(listener_, 64);
    socklen_t length = sizeof(local);
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&local), &length);
    address_ = {boost::asio::ip::address_v4::loopback(), ntohs(local.sin_port)};
    acceptor_ = std::thread([this] { accept_all(); });
}

fake_endpoint::~fake_endpoint() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        ::shutdown(listener_, SHUT_RDWR);
        for (const int socket : sockets_) {
            ::shutdown(socket, SHUT_RDWR);
        }
    }
    acceptor_.join();
    for (std::thread& thread : threads_) {
        thread.join();
    }
    ::close(listener_);
}

void fake_endpoint::set_behaviours(std::vector<behaviour> behaviours) {
    const std::lock_guard lock(mutex_);
    behaviours_ = std::move(behaviours);
    next_ = 0;
    received_requests_.clear();
}

void fake_endpoint::set_endless(std::optional<endless_reply> reply) {
    const std::lock_guard lock(mutex_);
    endless_ = std::move(reply);
}

void fake_endpoint::send_endlessly(int socket, endless_reply reply, const std::string& request) {
    constexpr std::size_t bulk_bytes = 64 * 1024;
    ++endless_running_;
    const std::size_t id_at = reply.begin_.find("ID");
    if (id_at != std::string::npos) {
        reply.begin_.replace(id_at, 2, header_value(request, "Tamarackbeam-Request-Id"));
    }
    std::string part = reply.repeated_;
    while (reply.pause_.count() == 0 && part.size() < bulk_bytes) {
        part += reply.repeated_;
    }
    bool open = ::send(socket, reply.begin_.data(), reply.begin_.size(), MSG_NOSIGNAL) >= 0;
    while (open) {
        open = ::send(socket, part.data(), part.size(), MSG_NOSIGNAL) > 0;
        std::this_thread::sleep_for(reply.pause_);
    }
    --endless_running_;
}

void fake_endpoint::set_last_reply(last_reply reply) {
    const std::lock_guard lock(mutex_);
    last_ = std::move(reply);
}

// The last reply, if it comes before the rest of this request. Counts the request as received then.
std::optional<fake_endpoint::last_reply> fake_endpoint::take_early_reply(const std::string& received) {
    const std::lock_guard lock(mutex_);
    if (!last_ || !last_->early_) {
        return std::nullopt;
    }
    received_requests_.push_back(received);
    return std::exchange(last_, std::nullopt);
}

void fake_endpoint::send_and_close(int socket, last_reply reply, const std::string& request) {
    const std::size_t id_at = reply.text_.find("ID");
    if (id_at != std::string::npos) {
        reply.text_.replace(id_at, 2, header_value(request, "Tamarackbeam-Request-Id"));
    }
    ::send(socket, reply.text_.data(), reply.text_.size(), MSG_NOSIGNAL);
    const int enable = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
    for (const std::string& part : reply.further_) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50)); // so that it is read apart
        ::send(socket, part.data(), part.size(), MSG_NOSIGNAL);
    }
    char bytes[256];
    while (reply.open_ && ::recv(socket, bytes, sizeof(bytes), 0) > 0) {
    }
    if (reply.reset_) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50)); // so that the text is read before
        const linger at_once{1, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    }
}

void fake_endpoint::set_limit(std::string per_s) {
    const std::lock_guard lock(mutex_);
    limit_ = std::move(per_s);
}

void fake_endpoint::set_headers(std::string lines) {
    const std::lock_guard lock(mutex_);
    headers_ = std::move(lines);
}

void fake_endpoint::set_body(std::string body) {
    const std::lock_guard lock(mutex_);
    body_ = std::move(body);
}

std::vector<std::string> fake_endpoint::received_requests() const {
    const std::lock_guard lock(mutex_);
    return received_requests_;
}

void fake_endpoint::accept_all() {
    while (true) {
        const int socket = ::accept(listener_, nullptr, nullptr);
        const std::lock_guard lock(mutex_);
        if (socket < 0 || stopping_) {
            return;
        }
        sockets_.push_back(socket);
        ++connections_;
        threads_.emplace_back([this, socket] { serve(socket); });
    }
}

fake_endpoint::behaviour fake_endpoint::next_behaviour() {
    const behaviour active = behaviours_[std::min(next_, behaviours_.size() - 1)];
    ++next_;
    return active;
}

void fake_endpoint::serve(int socket) {
    std::string received;
    std::string repeated; // an earlier refusal, sent before the next answer
    char bytes[4'096];
    while (true) {
        const ssize_t count = ::recv(socket, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            break;
        }
        received.append(bytes, std::size_t(count));
        const std::size_t head = received.find("\r\n\r\n");
        if (head == std::string::npos) {
            continue;
        }
        if (auto early = take_early_reply(received)) {
            send_and_close(socket, std::move(*early), received);
            break;
        }
        const std::string length = header_value(received, "Content-Length");
        const std::size_t whole = head + 4 + (length.empty() ? 0 : std::stoul(length));
        if (received.size() < whole) {
            continue;
        }
        const std::string request = received.substr(0, whole);
        received.erase(0, whole);
        behaviour selected{};
        {
            const std::lock_guard lock(mutex_);
            received_requests_.push_back(request);
            selected = next_behaviour();
        }
        std::string reply;
        std::optional<endless_reply> endless;
        std::optional<last_reply> last;
        {
            const std::lock_guard lock(mutex_);
            endless = endless_;
            last = std::exchange(last_, std::nullopt);
            reply = answer(selected, request);
        }
        if (endless) {
            send_endlessly(socket, *endless, request);
            break;
        }
        if (last) {
            send_and_close(socket, *last, request);
            break;
        }
        reply.insert(0, std::exchange(repeated, {}));
        if (selected == behaviour::refused_twice) {
            repeated = reply;
        }
        ::send(socket, reply.data(), reply.size(), MSG_NOSIGNAL);
        const bool ends = selected == behaviour::truncated || selected == behaviour::reset ||
                          selected == behaviour::garbage || selected == behaviour::truncated_stream;
        if (ends) {
            ::shutdown(socket, SHUT_RDWR);
            break;
        }
    }
    ::close(socket);
    const std::lock_guard lock(mutex_);
    std::erase(sockets_, socket);
}

std::string fake_endpoint::answer(behaviour selected, const std::string& request) const {
    const std::string id = header_value(request, "Tamarackbeam-Request-Id");
    const std::string limit_header = limit_.empty() ? "" : "Server-Limit: " + limit_ + "\r\n";
    const std::string stamp_header = "Tamarackbeam-Server-Stamp: s-" + id_ + "\r\n" + limit_header;
    const std::string id_header = "Tamarackbeam-Request-Id: " + id + "\r\n" + headers_;
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string body = "Content-Length: " + std::to_string(body_.size()) + "\r\n\r\n" + body_;
    const std::string stream = ok + id_header + stamp_header +
                               "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    switch (selected) {
    case behaviour::complete:
        return ok + id_header + stamp_header + body;
    case behaviour::other_answer_first:
        return ok + "Tamarackbeam-Request-Id: other\r\n" + stamp_header + body + ok + id_header +
               stamp_header + body;
    case behaviour::truncated:
        return ok + id_header + stamp_header + "Content-Length: 4\r\n\r\ndo";
    case behaviour::not_run:
    case behaviour::refused_twice:
        return "HTTP/1.1 503 Service Unavailable\r\n" + id_header +
               "Tamarackbeam-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    case behaviour::misdirected:
        return "HTTP/1.1 421 Misdirected Request\r\n" + id_header + "Content-Length: 0\r\n\r\n";
    case behaviour::unstamped:
        return ok + id_header + body;
    case behaviour::server_error:
        return "HTTP/1.1 500 Internal Server Error\r\n" + id_header + stamp_header + body;
    case behaviour::garbage:
        return "\x01\x02 no answer at all\r\n\r\n";
    case behaviour::reset:
    case behaviour::silent:
        return {};
    case behaviour::complete_stream:
    case behaviour::truncated_stream: {
        const std::string last = header_value(request, "Last-Event-Id");
        const int first = last.empty() ? 1 : std::stoi(last) + 1;
        std::string events;
        const int end = selected == behaviour::complete_stream ? 5 : first + 1;
        for (int event_id = first; event_id <= end; ++event_id) {
            events += chunk(event(event_id));
        }
        return stream + events + (selected == behaviour::complete_stream ? "0\r\n\r\n" : chunk("id: 99\nda"));
    }
    }
    return {};
}

} // namespace tamarack::direct
