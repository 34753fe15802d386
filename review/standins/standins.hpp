// Stand-ins for the platform's store, for endpoints and for clients, and the start of the project's programs.
// All of it uses blocking sockets on loopback addresses, one thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;

inline std::int64_t now_ms() {
    static const auto start = clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - start).count();
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t duration) {
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

// ---- The record of what was sent, answered and run ----

class record_file {
public:
    explicit record_file(const std::string& path) : file_(path) {}
    void line(const std::string& text) {
        const std::lock_guard lock(mutex_);
        file_ << now_ms() << " " << text << "\n" << std::flush;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

// ---- Sockets ----

inline sockaddr_in address_of(const std::string& ip, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(std::uint16_t(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listen_on(const std::string& ip, int port = 0) {
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = address_of(ip, port);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(listener, 512) != 0) {
        ::close(listener);
        return -1;
    }
    return listener;
}

inline int port_of(int socket) {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

// A port that is free on all the addresses, below those that the kernel gives to outgoing connections.
inline int free_port(const std::vector<std::string>& ips) {
    static int next = int(::getpid() * 37 % 9'000);
    while (true) {
        next = (next + 1) % 9'000;
        const int port = 20'000 + next;
        bool free = true;
        for (const std::string& ip : ips) {
            const int socket = listen_on(ip, port);
            free = free && socket >= 0;
            if (socket >= 0) {
                ::close(socket);
            }
        }
        if (free) {
            return port;
        }
    }
}

inline int connect_to(
    const std::string& ip, int port, const std::function<void(int)>& prepare = [](int) {}) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    prepare(socket);
    const sockaddr_in address = address_of(ip, port);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(socket);
        return -1;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return socket;
}

inline bool write_all(int socket, std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t count = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(std::size_t(count));
    }
    return true;
}

// Whether the peer has closed or reset the connection. Nothing is read.
inline bool peer_gone(int socket) {
    char byte = 0;
    const ssize_t count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

// ---- Messages ----

struct message {
    std::string first_line_;
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;

    std::string header(std::string_view name) const {
        for (const auto& [key, value] : headers_) {
            if (key.size() == name.size() && ::strncasecmp(key.data(), name.data(), name.size()) == 0) {
                return value;
            }
        }
        return {};
    }
    std::string method() const { return first_line_.substr(0, first_line_.find(' ')); }
    std::string target() const {
        const std::size_t begin = first_line_.find(' ') + 1;
        return first_line_.substr(begin, first_line_.find(' ', begin) - begin);
    }
    std::string path() const {
        const std::string whole = target();
        return whole.substr(0, whole.find('?'));
    }
    std::string query(const std::string& name) const {
        const std::string whole = "&" + target().substr(std::min(target().size(), path().size() + 1));
        const std::size_t at = whole.find("&" + name + "=");
        if (at == std::string::npos) {
            return {};
        }
        const std::size_t begin = at + name.size() + 2;
        return whole.substr(begin, whole.find('&', begin) - begin);
    }
    int status() const { return first_line_.size() < 12 ? 0 : std::atoi(first_line_.c_str() + 9); }
};

// Reads messages from a connection. `on_bytes` is called with each piece of a body as it arrives.
class reader {
public:
    explicit reader(int socket) : socket_(socket) {}

    std::function<void(std::string_view)> on_bytes_;
    std::function<void()> before_read_; // for clients that read slowly
    std::size_t read_size_ = 64 * 1024;

    // Reads the next message. Returns whether it was complete; `begun` tells whether its head was.
    bool read(message& result, bool* begun = nullptr) {
        result = message();
        std::size_t end = 0;
        while ((end = received_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill()) {
                return false;
            }
        }
        parse_head(received_.substr(0, end), result);
        received_.erase(0, end + 4);
        if (begun != nullptr) {
            *begun = true;
        }
        const std::string length = result.header("Content-Length");
        if (result.header("Transfer-Encoding") == "chunked") {
            return read_chunks(result);
        }
        return length.empty() || take(std::stoul(length), result);
    }

private:
    bool fill() {
        if (before_read_) {
            before_read_();
        }
        std::vector<char> buffer(read_size_);
        const ssize_t count = ::recv(socket_, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            return false;
        }
        received_.append(buffer.data(), std::size_t(count));
        return true;
    }

    static void parse_head(const std::string& head, message& result) {
        std::size_t begin = 0;
        bool first = true;
        while (begin <= head.size()) {
            const std::size_t end = std::min(head.find("\r\n", begin), head.size());
            const std::string line = head.substr(begin, end - begin);
            begin = end + 2;
            if (first) {
                result.first_line_ = line;
                first = false;
                continue;
            }
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                std::size_t value = colon + 1;
                while (value < line.size() && line[value] == ' ') {
                    ++value;
                }
                result.headers_.emplace_back(line.substr(0, colon), line.substr(value));
            }
        }
    }

    bool take(std::size_t length, message& result) {
        while (length > 0) {
            if (received_.empty() && !fill()) {
                return false;
            }
            const std::size_t part = std::min(length, received_.size());
            if (on_bytes_) {
                on_bytes_(std::string_view(received_).substr(0, part));
            }
            result.body_.append(received_, 0, part);
            received_.erase(0, part);
            length -= part;
        }
        return true;
    }

    bool read_chunks(message& result) {
        while (true) {
            std::size_t end = 0;
            while ((end = received_.find("\r\n")) == std::string::npos) {
                if (!fill()) {
                    return false;
                }
            }
            const std::size_t length = std::strtoul(received_.c_str(), nullptr, 16);
            received_.erase(0, end + 2);
            message ignored;
            if (!take(length, length > 0 ? result : ignored)) {
                return false;
            }
            while (received_.size() < 2) {
                if (!fill()) {
                    return false;
                }
            }
            received_.erase(0, 2);
            if (length == 0) {
                return true;
            }
        }
    }

    int socket_;
    std::string received_;
};

inline std::string reply_text(int status, const std::string& headers, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Serves each connection in a thread; `handle` answers one request and returns whether to go on.
class server {
public:
    using handler = std::function<bool(int socket, const message& request)>;

    server(const std::string& ip, int port, handler handle)
        : handle_(std::move(handle)), listener_(listen_on(ip, port)), port_(port_of(listener_)) {
        std::thread([this] { accept_all(); }).detach();
    }

    int port() const { return port_; }

    // Stops listening and resets all connections, as a process that ends.
    void stop() {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        ::shutdown(listener_, SHUT_RDWR);
        ::close(listener_);
        for (const int socket : open_) {
            const linger reset{1, 0};
            ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            ::shutdown(socket, SHUT_RDWR);
        }
    }

private:
    void accept_all() {
        while (true) {
            const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                return;
            }
            {
                const std::lock_guard lock(mutex_);
                if (stopped_) {
                    ::close(socket);
                    return;
                }
                open_.insert(socket);
            }
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([this, socket] { serve(socket); }).detach();
        }
    }

    void serve(int socket) {
        reader input(socket);
        message request;
        while (input.read(request) && handle_(socket, request)) {
        }
        const std::lock_guard lock(mutex_);
        open_.erase(socket);
        ::close(socket);
    }

    handler handle_;
    int listener_;
    int port_;
    std::mutex mutex_;
    std::set<int> open_;
    bool stopped_ = false;
};

// ---- The platform's store ----

inline std::string base64(const std::string& bytes) {
    static const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        unsigned group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            group = group * 256 + (at + index < bytes.size() ? std::uint8_t(bytes[at + index]) : 0);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += at + index > bytes.size() ? '=' : letters[(group >> (6 * (3 - index))) & 63];
        }
    }
    return text;
}

inline std::string big_endian(std::uint64_t number, int bytes) {
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text.push_back(char(number >> shift));
    }
    return text;
}

// A keyed log. Reads wait for a record if they ask to.
class store {
public:
    store()
        : server_("127.0.0.1", 0, [this](int socket, const message& call) { return answer(socket, call); }) {}

    int port() const { return server_.port(); }

    // Writes a record; one without a value removes its key.
    void put(const std::string& topic, const std::string& key, std::optional<std::string> value) {
        const std::lock_guard lock(mutex_);
        topics_[topic].push_back({key, std::move(value)});
        changed_.notify_all();
    }

private:
    struct entry {
        std::string key_;
        std::optional<std::string> value_;
    };

    bool answer(int socket, const message& call) {
        sleep_ms(4); // the time of the deployments' sheets
        std::string body;
        if (call.path() == "/api/log-newest") {
            body = newest(call);
        } else if (call.path() == "/api/log-read") {
            body = read(call);
        } else if (call.path() == "/api/log-append") {
            body = append(call);
        } else {
            return write_all(socket, reply_text(404, "", "{}"));
        }
        return write_all(socket, reply_text(200, "Content-Type: application/json\r\n", body));
    }

    std::string newest(const message& call) {
        const std::lock_guard lock(mutex_);
        const auto& entries = topics_[call.query("topic")];
        std::map<std::string, std::pair<std::string, std::size_t>> newest;
        for (std::size_t offset = 0; offset < entries.size(); ++offset) {
            if (entries[offset].value_) {
                newest[entries[offset].key_] = {*entries[offset].value_, offset};
            } else {
                newest.erase(entries[offset].key_);
            }
        }
        std::string items;
        for (const auto& [key, value] : newest) {
            items += (items.empty() ? "" : ",") + ("{\"key\":\"" + key) + "\",\"value\":\"" +
                     base64(value.first) + "\",\"offset\":" + std::to_string(value.second) + "}";
        }
        return "{\"items\":[" + items + "],\"has_more\":false,\"end\":" + std::to_string(entries.size()) +
               "}";
    }

    std::string read(const message& call) {
        std::unique_lock lock(mutex_);
        const auto& entries = topics_[call.query("topic")];
        const std::size_t from = std::strtoul(call.query("from").c_str(), nullptr, 10);
        const int wait = std::atoi(call.query("wait_ms").c_str());
        changed_.wait_for(lock, std::chrono::milliseconds(wait), [&] { return entries.size() > from; });
        std::string body = big_endian(entries.size(), 8) + big_endian(0, 8);
        for (std::size_t offset = from; offset < entries.size(); ++offset) {
            const entry& one = entries[offset];
            const std::string content = char(one.key_.size()) + one.key_ + one.value_.value_or("");
            body += big_endian(content.size(), 4) + content;
        }
        return body;
    }

    std::string append(const message& call) {
        const std::string& body = call.body_;
        if (body.size() < 6) {
            return "{}";
        }
        const std::size_t length = std::uint8_t(body[4]);
        const std::string value = body.substr(5 + length);
        put(call.query("topic"), body.substr(5, length), value.empty() ? std::nullopt : std::optional(value));
        const std::lock_guard lock(mutex_);
        const std::size_t end = topics_[call.query("topic")].size();
        return "{\"offset\":" + std::to_string(end - 1) + ",\"end\":" + std::to_string(end) + "}";
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<entry>> topics_;
    server server_;
};

// ---- The project's programs ----

class program {
public:
    program() = default;
    program(std::string path, std::string settings, std::string log)
        : path_(std::move(path)), settings_(std::move(settings)), log_(std::move(log)) {}

    void start() {
        pid_ = ::fork();
        if (pid_ == 0) {
            const int output = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(output, 1);
            ::dup2(output, 2);
            const std::string argument = "--settings=" + settings_;
            ::execl(path_.c_str(), path_.c_str(), argument.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }

    void start_again() {
        ended_ = false;
        status_ = 0;
        start();
    }

    void signal(int number) const { ::kill(pid_, number); }

    pid_t pid() const { return pid_; }

    // Whether it still runs; `end_text` then tells how it ended.
    bool running() {
        if (pid_ <= 0 || ended_) {
            return false;
        }
        ended_ = ::waitpid(pid_, &status_, WNOHANG) == pid_;
        return !ended_;
    }

    std::string end_text() const {
        return WIFSIGNALED(status_) ? "ended by signal " + std::to_string(WTERMSIG(status_))
                                    : "exited with " + std::to_string(WEXITSTATUS(status_));
    }
    bool crashed() const { return ended_ && WIFSIGNALED(status_); }

    void end() {
        if (running()) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, &status_, 0);
            ended_ = true;
        }
    }

private:
    std::string path_;
    std::string settings_;
    std::string log_;
    pid_t pid_ = -1;
    int status_ = 0;
    bool ended_ = false;
};

inline std::string write_file(const std::string& path, const std::string& text) {
    std::ofstream(path) << text;
    return path;
}

// A temporary folder that is removed at the end.
class folder {
public:
    folder() {
        char name[] = "/tmp/tamarack-review-XXXXXX";
        path_ = ::mkdtemp(name);
    }
    ~folder() { std::filesystem::remove_all(path_); }
    const std::string& path() const { return path_; }

private:
    std::string path_;
};

// A gateway with the settings that `deploy/gateway.json` gives it in the small deployments.
struct gateway {
    std::string id_;
    int port_ = 0;
    int admin_port_ = 0;
    program process_;

    gateway(const folder& at, const std::string& id, const store& platform, int agent_port)
        : id_(id), port_(free_port({"127.0.0.1"})), admin_port_(free_port({"127.0.0.1"})) {
        const std::string local = "127.0.0.1:";
        const std::string text =
            "{\"id\": \"" + id + "\", \"data_centre\": \"z1\", \"listen\": \"" + local +
            std::to_string(port_) + "\", \"admin\": \"" + local + std::to_string(admin_port_) +
            "\", \"metrics\": \"" + local + std::to_string(free_port({"127.0.0.1"})) + "\", \"store\": \"" +
            local + std::to_string(platform.port()) + "\", \"peers\": \"" + local +
            std::to_string(free_port({"127.0.0.1"})) +
            "\", \"seeds\": [], \"ready_path\": \"/api/ready\", \"agent_port\": " +
            std::to_string(agent_port) +
            ", \"shutdown_grace_s\": 8, \"retry_ratio\": 0.2, \"retry_slack\": 56, \"retry_window_s\": 10, "
            "\"load_window_s\": 5}";
        process_ = program("target/tamarack-gateway", write_file(at.path() + "/" + id + ".json", text),
                           at.path() + "/" + id + ".log");
    }

    bool ready() const {
        const int socket = connect_to("127.0.0.1", admin_port_);
        if (socket < 0) {
            return false;
        }
        write_all(socket, "GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        message answer;
        const bool complete = reader(socket).read(answer);
        ::close(socket);
        return complete && answer.status() == 200;
    }

    bool wait_until_ready() {
        for (int poll = 0; poll < 200; ++poll) {
            if (ready()) {
                return true;
            }
            sleep_ms(50);
        }
        return false;
    }
};

inline std::string request_text(const std::string& path, const std::string& id, const std::string& extra,
                                int deadline_ms, const std::string& body = "body") {
    return "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nTamarackbeam-Request-Id: " + id +
           "\r\nTamarackbeam-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + extra +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline bool troubled() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline std::string route_text(const std::string& name, const std::string& kind, const std::string& service,
                              int timeout_ms, int objective_ms, bool resumes) {
    return "{\"name\":\"" + name + "\",\"host\":\"shop.example\",\"path_prefix\":\"/" + name +
           "/\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + std::to_string(timeout_ms) +
           ",\"target_latency_ms\":" + std::to_string(objective_ms) +
           ",\"gap_aim_ms\":300,\"priority\":1,\"max_attempts\":2,\"service\":\"" + service +
           "\",\"can_resume\":" + (resumes ? "true" : "false") + "}";
}

} // namespace review
