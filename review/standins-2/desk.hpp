// A small deployment on loopback addresses for the cases 6 to 10: the platform's store, engines, and the
// project's gateways and engine agents as separate processes, started as deploy/system.toml says.
#pragma once

#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace desk {

using json = nlohmann::json;

inline std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t duration) {
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

// What was sent, answered and run, one line each, with the time since the start in ms.
class record {
public:
    explicit record(const std::string& path) : out_(path) {}

    void line(const std::string& text) {
        const std::lock_guard lock(mutex_);
        out_ << now_ms() - started_at_ << " " << text << "\n" << std::flush;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    std::int64_t started_at_ = now_ms();
};

inline sockaddr_in address_of(const std::string& ip, std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listen_on(const std::string& ip, std::uint16_t& port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = address_of(ip, port);
    if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(socket, 1024) != 0) {
        ::close(socket);
        return -1;
    }
    socklen_t length = sizeof(address);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
    port = ntohs(address.sin_port);
    return socket;
}

inline std::uint16_t free_port(const std::string& ip) {
    std::uint16_t port = 0;
    const int socket = listen_on(ip, port);
    ::close(socket);
    return port;
}

// Connects within the limit; -1 otherwise.
inline int connect_to(const std::string& ip, std::uint16_t port, int limit_ms = 1'000) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = address_of(ip, port);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        pollfd wait{socket, POLLOUT, 0};
        int error = 0;
        socklen_t length = sizeof(error);
        if (errno != EINPROGRESS || ::poll(&wait, 1, limit_ms) != 1 ||
            ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
            ::close(socket);
            return -1;
        }
    }
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return socket;
}

inline bool send_all(int socket, std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t count = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(std::size_t(count));
    }
    return true;
}

struct message {
    std::string first_line_;
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;

    std::string header(std::string_view name) const {
        for (const auto& [known, value] : headers_) {
            if (known.size() == name.size() && ::strncasecmp(known.c_str(), name.data(), name.size()) == 0) {
                return value;
            }
        }
        return {};
    }

    int status() const { return first_line_.size() > 12 ? std::atoi(first_line_.c_str() + 9) : 0; }
    std::string method() const { return first_line_.substr(0, first_line_.find(' ')); }
    std::string target() const {
        const std::size_t begin = first_line_.find(' ') + 1;
        return first_line_.substr(begin, first_line_.find(' ', begin) - begin);
    }
    std::string path() const {
        const std::string whole = target();
        return whole.substr(0, whole.find('?'));
    }
    static std::string decoded(const std::string& text) {
        std::string plain;
        for (std::size_t at = 0; at < text.size(); ++at) {
            if (text[at] == '%' && at + 2 < text.size()) {
                plain += char(std::strtoul(text.substr(at + 1, 2).c_str(), nullptr, 16));
                at += 2;
            } else {
                plain += text[at] == '+' ? ' ' : text[at];
            }
        }
        return plain;
    }
    std::string query(const std::string& name) const {
        std::istringstream pairs(target().substr(std::min(target().size(), target().find('?') + 1)));
        for (std::string pair; std::getline(pairs, pair, '&');) {
            if (pair.starts_with(name + "=")) {
                return decoded(pair.substr(name.size() + 1));
            }
        }
        return {};
    }
};

// Reads bytes until the deadline. Returns false at the end of the connection or of the time.
inline bool read_some(int socket, std::string& buffer, std::int64_t until) {
    const std::int64_t left = until - now_ms();
    pollfd wait{socket, POLLIN, 0};
    if (left <= 0 || ::poll(&wait, 1, int(left)) != 1) {
        return false;
    }
    char bytes[32 * 1024];
    const ssize_t count = ::recv(socket, bytes, sizeof(bytes), 0);
    if (count <= 0) {
        return false;
    }
    buffer.append(bytes, std::size_t(count));
    return true;
}

// Reads one message with a length, in chunks, or without a body.
inline bool read_message(int socket, std::string& buffer, message& read, std::int64_t until) {
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!read_some(socket, buffer, until)) {
            return false;
        }
    }
    read = {};
    std::istringstream head(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    for (std::string line; std::getline(head, line);) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (read.first_line_.empty()) {
            read.first_line_ = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
            ++value;
        }
        read.headers_.emplace_back(line.substr(0, colon), line.substr(value));
    }
    if (read.header("Transfer-Encoding") == "chunked") {
        while (true) {
            std::size_t line = 0;
            while ((line = buffer.find("\r\n")) == std::string::npos) {
                if (!read_some(socket, buffer, until)) {
                    return false;
                }
            }
            const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
            while (buffer.size() < line + 2 + size + 2) {
                if (!read_some(socket, buffer, until)) {
                    return false;
                }
            }
            read.body_ += buffer.substr(line + 2, size);
            buffer.erase(0, line + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }
    const std::size_t length = std::strtoul(read.header("Content-Length").c_str(), nullptr, 10);
    while (buffer.size() < length) {
        if (!read_some(socket, buffer, until)) {
            return false;
        }
    }
    read.body_ = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

inline std::string response(int status, const std::string& headers, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Serves HTTP/1.1, one thread a connection. The handler writes the response itself and returns whether the
// connection stays open.
class server {
public:
    using handler = std::function<bool(int socket, const message& request)>;

    server(std::string ip, std::uint16_t port, handler handle)
        : ip_(std::move(ip)), port_(port), handle_(std::move(handle)) {
        listener_ = listen_on(ip_, port_);
        if (listener_ < 0) {
            std::cerr << "cannot listen on " << ip_ << "\n";
            std::exit(2);
        }
        std::thread([this] { accept_all(); }).detach();
    }

    std::uint16_t port() const { return port_; }
    std::string address() const { return ip_ + ":" + std::to_string(port_); }

private:
    void accept_all() {
        while (true) {
            const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                sleep_ms(5);
                continue;
            }
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([this, socket] {
                std::string buffer;
                message request;
                while (read_message(socket, buffer, request, now_ms() + 60'000) && handle_(socket, request)) {
                }
                ::close(socket);
            }).detach();
        }
    }

    std::string ip_;
    std::uint16_t port_;
    handler handle_;
    int listener_ = -1;
};

inline std::string base64(const std::string& bytes) {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            group = group << 8 | (at + index < bytes.size() ? std::uint8_t(bytes[at + index]) : 0);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += at + index <= bytes.size() ? digits[group >> (18 - 6 * index) & 63] : '=';
        }
    }
    return text;
}

// The platform's store: keyed topics with log-newest, log-read and log-append.
class store {
public:
    explicit store(const std::string& ip)
        : server_(ip, 0, [this](int socket, const message& call) { return handle(socket, call); }) {}

    std::string address() const { return server_.address(); }
    void set_page_size(std::size_t size) { page_size_ = size; }

    void put(const std::string& topic, const std::string& key, const std::string& value) {
        const std::lock_guard lock(mutex_);
        topics_[topic].push_back({key, value});
        changed_.notify_all();
    }

    // Removes a key, as the store does with the entry of an engine that has left.
    void drop(const std::string& topic, const std::string& key) { put(topic, key, ""); }

    int calls() const { return calls_; }
    int malformed_calls() const { return malformed_calls_; }

    // Drops the records that are not the newest of their key, as the pages allow at any time.
    void forget_history(const std::string& topic) {
        const std::lock_guard lock(mutex_);
        first_[topic] = topics_[topic].size();
    }

private:
    static std::string big_endian(std::uint64_t number, int bytes) {
        std::string text;
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
            text += char(number >> shift);
        }
        return text;
    }

    // As any server of HTTP/1.1 does, refuses a first line that is not METHOD TARGET VERSION.
    static bool is_request(const message& call) {
        return std::count(call.first_line_.begin(), call.first_line_.end(), ' ') == 2 &&
               call.first_line_.ends_with(" HTTP/1.1");
    }

    bool handle(int socket, const message& call) {
        ++calls_;
        if (!is_request(call)) {
            ++malformed_calls_;
            send_all(socket, response(400, "Connection: close\r\n", ""));
            return false;
        }
        const std::string topic = call.query("topic");
        std::unique_lock lock(mutex_);
        auto& records = topics_[topic];
        if (call.path() == "/api/log-newest") {
            std::map<std::string, std::size_t> newest;
            for (std::size_t offset = 0; offset < records.size(); ++offset) {
                newest[records[offset].first] = offset;
                if (records[offset].second.empty()) {
                    newest.erase(records[offset].first);
                }
            }
            json items = json::array();
            bool more = false;
            constexpr std::size_t most_page_bytes = 1024 * 1024; // a page has at most 500 records or 1 MB
            std::size_t page_bytes = 0;
            const std::string after = call.query("after");
            for (const auto& [key, offset] : newest) {
                if (!after.empty() && key <= after) {
                    continue;
                }
                const std::string value = base64(records[offset].second);
                page_bytes += value.size();
                if (items.size() == page_size_ || (page_bytes > most_page_bytes && !items.empty())) {
                    more = true;
                    break;
                }
                items.push_back({{"key", key}, {"value", value}, {"offset", offset}});
            }
            const json body = {{"items", items}, {"has_more", more}, {"end", records.size()}};
            lock.unlock();
            return send_all(socket, response(200, "Content-Type: application/json\r\n", body.dump()));
        }
        if (call.path() == "/api/log-read") {
            const std::size_t from = std::strtoul(call.query("from").c_str(), nullptr, 10);
            const auto wait = std::chrono::milliseconds(std::atoi(call.query("wait_ms").c_str()));
            if (from < first_[topic]) {
                const json body = {{"first", first_[topic]}};
                lock.unlock();
                return send_all(socket, response(410, "", body.dump()));
            }
            changed_.wait_for(lock, wait, [&] { return topics_[topic].size() > from; });
            std::string body = big_endian(topics_[topic].size(), 8) + big_endian(first_[topic], 8);
            for (std::size_t offset = from; offset < topics_[topic].size(); ++offset) {
                const auto& [key, value] = topics_[topic][offset];
                const std::string content = char(key.size()) + key + value;
                body += big_endian(content.size(), 4) + content;
            }
            lock.unlock();
            return send_all(socket, response(200, "Content-Type: application/octet-stream\r\n", body));
        }
        if (call.path() == "/api/log-append") {
            std::string_view rest = call.body_;
            const std::size_t offset = records.size();
            while (rest.size() > 5) {
                std::size_t length = 0;
                for (int index = 0; index < 4; ++index) {
                    length = length << 8 | std::uint8_t(rest[std::size_t(index)]);
                }
                const std::string_view content = rest.substr(4, length);
                const std::size_t key = std::uint8_t(content[0]);
                records.emplace_back(content.substr(1, key), content.substr(1 + key));
                rest.remove_prefix(4 + length);
            }
            changed_.notify_all();
            const json body = {{"offset", offset}, {"end", records.size()}};
            lock.unlock();
            return send_all(socket, response(200, "", body.dump()));
        }
        lock.unlock();
        return send_all(socket, response(404, "", "{}"));
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<std::pair<std::string, std::string>>> topics_;
    std::map<std::string, std::size_t> first_;
    std::atomic<std::size_t> page_size_ = 500;
    std::atomic<int> calls_ = 0;
    std::atomic<int> malformed_calls_ = 0;
    server server_;
};

// A process of the project, started without a shell.
class process {
public:
    process(std::vector<std::string> command, std::string log)
        : command_(std::move(command)), log_(std::move(log)) {}

    void start() {
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // it must not outlive the case, whatever ends that

            const int out = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            std::vector<char*> arguments;
            for (std::string& argument : command_) {
                arguments.push_back(argument.data());
            }
            arguments.push_back(nullptr);
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
    }

    bool running() {
        if (pid_ <= 0) {
            return false;
        }
        if (::waitpid(pid_, &status_, WNOHANG) == pid_) {
            pid_ = -1;
            return false;
        }
        return true;
    }

    void signal(int number) {
        if (running()) {
            ::kill(pid_, number);
        }
    }

    void kill() {
        if (running()) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, &status_, 0);
            pid_ = -1;
        }
    }

    pid_t pid() const { return pid_; }

    // Resident memory in MB of 2^20 bytes.
    double memory_mb() const {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
        double size = 0;
        double resident = 0;
        file >> size >> resident;
        return resident * double(::sysconf(_SC_PAGESIZE)) / (1024 * 1024);
    }

private:
    std::vector<std::string> command_;
    std::string log_;
    pid_t pid_ = -1;
    int status_ = 0;
};

// The bounds of sites/chorro-reservas.toml that the settings hold.
inline json bounds() {
    return json::parse(R"({"seed_lag_s":3,"reuse_after_s":2,"stable_window_ms":3000,"ack_ms":4000,
        "catch_up_s":4,"drain_ms":2000,"grace_s":8,"lost_ms":200,"config_ms":2000,"rollback_slack_ms":250,
        "outer_ms":5000,"budget_ratio":0.2,"budget_window_s":10,"budget_slack":56,"recover_s":12,
        "pass_ms":120,"again_s":0,"enforce_fencing":false,"lease_ms":3000,"thaw_ms":300,
        "ceiling_window_s":5,"ceiling_over":1.1})");
}

inline const json contract_parts = {"base",    "drain", "config", "cost",   "retry",
                                    "recover", "fleet", "stream", "engine", "platform"};

struct gateway {
    std::string id_;
    std::string ip_;
    std::uint16_t front_ = 0;
    std::uint16_t ready_ = 0;
    std::uint16_t control_ = 0;
    std::unique_ptr<process> process_;

    bool is_ready() const {
        const int socket = connect_to(ip_, ready_, 200);
        if (socket < 0) {
            return false;
        }
        std::string buffer;
        message answer;
        const bool answered =
            send_all(socket, "GET /api/ready HTTP/1.1\r\nHost: " + ip_ + "\r\nConnection: close\r\n\r\n") &&
            read_message(socket, buffer, answer, now_ms() + 500);
        ::close(socket);
        return answered && answer.status() == 200;
    }

    bool wait_ready(std::int64_t limit_ms = 15'000) const {
        for (const std::int64_t until = now_ms() + limit_ms; now_ms() < until;) {
            if (is_ready()) {
                return true;
            }
            sleep_ms(100);
        }
        return false;
    }
};

// The directory of a run and the commands of the deploy file. `run.sh` starts a case in the root of the
// repository with the path of the case's folder.
struct deployment {
    std::string case_folder_;
    std::string work_;
    record record_;
    bool trouble_;
    store store_{"127.0.0.1"};
    std::vector<std::unique_ptr<gateway>> gateways_;
    std::vector<std::unique_ptr<process>> agents_;
    std::uint16_t agent_port_ = 0;

    explicit deployment(const std::string& case_folder)
        : case_folder_(case_folder), work_(make_folder()), record_(case_folder + "/record.txt"),
          trouble_(std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0") {
        std::signal(SIGPIPE, SIG_IGN);
    }

    // Ends all processes and this one. The threads of the stand-ins run until then.
    [[noreturn]] void finish(int code) {
        for (auto& one : gateways_) {
            one->process_->kill();
        }
        for (auto& one : agents_) {
            one->kill();
        }
        std::error_code ignored;
        std::filesystem::remove_all(work_, ignored);
        std::_Exit(code);
    }

    static std::string make_folder() {
        std::string name = (std::filesystem::temp_directory_path() / "tamarack-review-XXXXXX").string();
        return ::mkdtemp(name.data()) == nullptr ? "/tmp" : name;
    }

    static bool built() {
        return std::filesystem::exists("target/tamarack-gateway") &&
               std::filesystem::exists("target/tamarack-engine-agent");
    }

    void write(const std::string& path, const json& content) { std::ofstream(path) << content.dump(1); }

    // Adds a machine with the agent of the engine at `ip:app`. Call it before `add_gateway`, since the
    // agents' port is the same on all machines.
    void add_agent(const std::string& ip, std::uint16_t app) {
        if (agent_port_ == 0) {
            agent_port_ = free_port(ip);
        }
        const std::string id = "side-" + std::to_string(agents_.size() + 1);
        const json settings = {{"id", id},
                               {"listen", ip + ":" + std::to_string(agent_port_)},
                               {"metrics", ip + ":" + std::to_string(free_port(ip))},
                               {"engine", ip + ":" + std::to_string(app)},
                               {"contract_parts", contract_parts},
                               {"contract_bounds", bounds()}};
        write(work_ + "/" + id + ".json", settings);
        agents_.push_back(
            std::make_unique<process>(std::vector<std::string>{"target/tamarack-engine-agent",
                                                               "--settings=" + work_ + "/" + id + ".json"},
                                      work_ + "/" + id + ".log"));
        agents_.back()->start();
    }

    void add_gateway(const std::string& ip, std::int64_t memory_mb = 260, std::int64_t descriptors = 4'100) {
        auto one = std::make_unique<gateway>();
        one->id_ = "front-" + std::to_string(gateways_.size() + 1);
        one->ip_ = ip;
        one->front_ = free_port(ip);
        one->ready_ = free_port(ip);
        one->control_ = free_port(ip);
        json seeds = json::array();
        for (const auto& other : gateways_) {
            seeds.push_back(other->ip_ + ":" + std::to_string(other->control_));
        }
        const json settings = {{"id", one->id_},
                               {"data_centre", "mvd-a"},
                               {"listen", ip + ":" + std::to_string(one->front_)},
                               {"admin", ip + ":" + std::to_string(one->ready_)},
                               {"metrics", ip + ":" + std::to_string(free_port(ip))},
                               {"store", store_.address()},
                               {"peers", ip + ":" + std::to_string(one->control_)},
                               {"seeds", seeds},
                               {"ready_path", "/api/ready"},
                               {"agent_port", agent_port_ == 0 ? 7'380 : agent_port_},
                               {"memory_mb", memory_mb},
                               {"max_descriptors", descriptors},
                               {"shutdown_grace_s", 8},
                               {"retry_ratio", 0.2},
                               {"retry_slack", 56},
                               {"retry_window_s", 10},
                               {"load_window_s", 5},
                               {"contract_parts", contract_parts},
                               {"contract_bounds", bounds()}};
        const std::string path = work_ + "/" + one->id_ + ".json";
        write(path, settings);
        one->process_ = std::make_unique<process>(
            std::vector<std::string>{"target/tamarack-gateway", "--settings=" + path},
            work_ + "/" + one->id_ + ".log");
        one->process_->start();
        gateways_.push_back(std::move(one));
    }
};

inline json route(const std::string& name, const std::string& kind, const std::string& service,
                  int timeout_ms, int objective_ms, int attempts, bool resumable = false) {
    json one = {{"name", name},
                {"host", "shop.example"},
                {"path_prefix", "/" + name + "/"},
                {"kind", kind},
                {"timeout_ms", timeout_ms},
                {"target_latency_ms", objective_ms},
                {"priority", 1},
                {"service", service},
                {"max_attempts", attempts},
                {"sticky", kind == "stream"},
                {"can_resume", resumable}};
    if (kind == "stream") {
        one["gap_aim_ms"] = 300;
    }
    return one;
}

// The limits that the site's configs name.
inline json limits() {
    return {{"max_header_bytes", 16'384},
            {"max_body_bytes", 4'194'304},
            {"header_timeout_ms", 3'000},
            {"idle_timeout_ms", 15'000}};
}

inline json registry_entry(const std::string& service, const std::string& address, int slots,
                           std::int64_t born, const std::string& state = "ready", std::int64_t sequence = 1) {
    return {{"service", service}, {"address", address}, {"zone", "mvd-a"},
            {"version", "v1"},    {"slots", slots},     {"state", state},
            {"cold_ms", 0},       {"born", born},       {"sequence", sequence}};
}

} // namespace desk

namespace desk {

// A model engine as the pages describe it: reports, orders, and streams of events. It holds `m0` from the
// start; a load of another model takes `load_ms`.
class model_engine {
public:
    model_engine(std::string id, const std::string& ip, record& log, std::int64_t load_ms = 4'000)
        : id_(std::move(id)), log_(log), load_ms_(load_ms),
          server_(ip, 0, [this](int socket, const message& call) { return handle(socket, call); }) {}

    std::uint16_t port() const { return server_.port(); }
    const std::string& id() const { return id_; }

    void announce(store& to, const std::string& service) {
        const std::lock_guard lock(mutex_);
        json entry = registry_entry(service, server_.address(), 64, born_, "ready", ++beats_);
        entry["models"] = models();
        to.put("keyed.servers", id_, entry.dump());
    }

    int events_ = 4;             // of a stream
    std::int64_t pause_ms_ = 20; // before each event

private:
    json models() const {
        json all = json::array();
        for (const std::string& name : held_) {
            json adapters = json::array();
            for (const auto& [model, adapter] : adapters_) {
                if (model == name) {
                    adapters.push_back(adapter);
                }
            }
            all.push_back({{"name", name}, {"version", 1}, {"adapters", adapters}});
        }
        return all;
    }

    bool handle(int socket, const message& call) {
        if (call.path() == "/healthz") {
            return send_all(socket, response(200, "Tamarackbeam-Instance-Id: " + id_ + "\r\n", ""));
        }
        if (call.path() == "/api/report") {
            const std::lock_guard lock(mutex_);
            const json body = {
                {"stage", "hybrid"}, {"state", "ready"},
                {"born", born_},     {"models", models()},
                {"busy", busy_},     {"sequence", accepted_},
                {"queued", 0},       {"running", running_.load()},
                {"kv_used", 0},      {"kv_total", 157'324},
                {"handles", 0},      {"at_hand", {{"in_memory", json::array()}, {"on_disk", json::array()}}}};
            return send_all(socket, response(200, "Content-Type: application/json\r\n", body.dump()));
        }
        const std::string expected = call.header("Tamarackbeam-Expect-Instance");
        if (!expected.empty() && expected != id_) {
            return reject(socket, call, 421);
        }
        if (call.path() == "/api/order") {
            return take_order(socket, call);
        }
        return stream(socket, call);
    }

    bool reject(int socket, const message& call, int status) {
        return send_all(
            socket, response(status,
                             "Tamarackbeam-Request-Id: " + call.header("Tamarackbeam-Request-Id") +
                                 "\r\nTamarackbeam-Instance-Id: " + id_ + "\r\nTamarackbeam-Not-Run: 1\r\n",
                             ""));
    }

    bool take_order(int socket, const message& call) {
        const json order = json::parse(call.body_, nullptr, false);
        const std::string model = order.value("model", "");
        const std::string adapter = order.value("adapter", "");
        std::unique_lock lock(mutex_);
        log_.line("order at " + id_ + " " + call.body_);
        if (!adapter.empty() && (!held_.contains(model) || !known_adapters_.contains(adapter))) {
            lock.unlock();
            return send_all(socket, response(400, "", "{}"));
        }
        if (busy_ || order.value("expected", accepted_) != accepted_) {
            lock.unlock();
            return send_all(socket, response(409, "", "{}"));
        }
        ++accepted_;
        if (!adapter.empty()) {
            order.value("op", "") == "load" ? void(adapters_.insert({model, adapter}))
                                            : void(adapters_.erase({model, adapter}));
            lock.unlock();
            return send_all(socket, response(202, "", "{}"));
        }
        if (order.value("op", "") == "unload") {
            held_.erase(model);
            lock.unlock();
            return send_all(socket, response(202, "", "{}"));
        }
        busy_ = true;
        lock.unlock();
        std::thread([this, model] {
            sleep_ms(load_ms_);
            const std::lock_guard done(mutex_);
            held_.insert(model);
            busy_ = false;
        }).detach();
        return send_all(socket, response(202, "", "{}"));
    }

    bool stream(int socket, const message& call) {
        const std::string request = call.header("Tamarackbeam-Request-Id");
        const std::string named = call.header("Tamarackbeam-Model");
        const std::string model = named.substr(0, named.find('/'));
        {
            const std::lock_guard lock(mutex_);
            const bool has_adapter =
                named == model || adapters_.contains({model, named.substr(model.size() + 1)});
            if (!held_.contains(model) || !has_adapter) {
                return reject(socket, call, 421);
            }
        }
        log_.line("run " + request + " at " + id_);
        ++running_;
        const std::string last = call.header("Last-Event-Id");
        bool open = send_all(socket, "HTTP/1.1 200 OK\r\nTamarackbeam-Request-Id: " + request +
                                         "\r\nTamarackbeam-Server-Stamp: " + id_ +
                                         "\r\nContent-Type: text/event-stream\r\n"
                                         "Transfer-Encoding: chunked\r\n\r\n");
        for (int event = std::atoi(last.c_str()) + 1; open && event <= events_; ++event) {
            sleep_ms(pause_ms_);
            const std::string text = "id: " + std::to_string(event) + "\ndata: x\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
            open = send_all(socket, size + text + "\r\n");
        }
        --running_;
        return open && send_all(socket, "0\r\n\r\n");
    }

    std::string id_;
    record& log_;
    std::int64_t load_ms_;
    std::mutex mutex_;
    std::set<std::string> held_ = {"m0"};
    std::set<std::string> known_adapters_ = {"a1", "a2", "a3", "a4"}; // of each model
    std::set<std::pair<std::string, std::string>> adapters_;          // with their models
    std::int64_t born_ = unix_ms();
    std::int64_t accepted_ = 0;
    std::int64_t beats_ = 0;
    bool busy_ = false;
    std::atomic<int> running_ = 0;
    server server_;
};

// A plain service that counts its runs and answers after `work_ms_`.
class plain_engine {
public:
    plain_engine(std::string id, const std::string& ip, record& log)
        : id_(std::move(id)), log_(log),
          server_(ip, 0, [this](int socket, const message& call) { return handle(socket, call); }) {}

    void announce(store& to, const std::string& service, const std::string& state = "ready") {
        to.put("keyed.servers", id_,
               registry_entry(service, server_.address(), 6, born_, state, ++beats_).dump());
    }

    const std::string& id() const { return id_; }
    std::atomic<std::int64_t> work_ms_ = 15;
    std::map<std::string, int> runs() {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

private:
    bool handle(int socket, const message& call) {
        if (call.path() == "/healthz") {
            return send_all(socket, response(200, "Tamarackbeam-Instance-Id: " + id_ + "\r\n", ""));
        }
        const std::string request = call.header("Tamarackbeam-Request-Id");
        const std::string expected = call.header("Tamarackbeam-Expect-Instance");
        const std::string echo = "Tamarackbeam-Request-Id: " + request + "\r\n";
        if (!expected.empty() && expected != id_) {
            return send_all(socket, response(421, echo + "Tamarackbeam-Not-Run: 1\r\n", ""));
        }
        {
            const std::lock_guard lock(mutex_);
            ++runs_[request];
        }
        log_.line("run " + request + " at " + id_);
        sleep_ms(work_ms_);
        return send_all(
            socket,
            response(200, echo + "Tamarackbeam-Server-Stamp: " + id_ + "\r\nKeep-Alive: timeout=10\r\n",
                     "answer to " + request));
    }

    std::string id_;
    record& log_;
    std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::int64_t born_ = unix_ms();
    std::int64_t beats_ = 0;
    server server_;
};

// The heartbeats of engines, which write their entries about every 1,200 ms.
inline void beat(std::function<void()> announce_all) {
    announce_all();
    std::thread([announce_all] {
        while (true) {
            sleep_ms(1'200);
            announce_all();
        }
    }).detach();
}

} // namespace desk
