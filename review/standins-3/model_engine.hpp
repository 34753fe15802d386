// Stand-in of a model engine that takes orders from the agent on its machine.
#pragma once

#include "standins.hpp"

#include <random>
#include <set>
#include <utility>

namespace review {

// The value of a field of a flat JSON object, without quotes; empty if there is none.
inline std::string json_field(const std::string& text, const std::string& name) {
    const std::size_t at = text.find("\"" + name + "\":");
    if (at == std::string::npos) {
        return {};
    }
    std::size_t begin = at + name.size() + 3;
    const bool quoted = text[begin] == '"';
    begin += quoted ? 1 : 0;
    return text.substr(begin, text.find_first_of(quoted ? "\"" : ",}", begin) - begin);
}

// Starts empty each time, under the same id, and counts its orders anew. One order for a model at a time;
// adapters are loaded at once.
class model_engine {
public:
    static constexpr int load_ms = 800;
    static constexpr int adapter_slots = 8;

    model_engine(std::string id, std::uint16_t port, store& platform, record_file& record)
        : id_(std::move(id)), port_(port), platform_(platform), record_(record) {
        std::thread([this] { renew_entry(); }).detach();
    }

    void start() {
        const std::lock_guard lock(mutex_);
        using namespace std::chrono;
        born_ = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
        ++starts_;
        accepted_ = 0;
        models_.clear();
        adapters_.clear();
        loading_.clear();
        listening_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int enabled = 1;
        ::setsockopt(listening_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
        const sockaddr_in address = loopback(port_);
        if (::bind(listening_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
            ::listen(listening_, 256) != 0) {
            std::perror("engine");
            ::_exit(2);
        }
        std::thread([this, socket = listening_] { accept(socket); }).detach();
        record_.write(id_ + " starts, born " + std::to_string(born_));
        write_entry();
    }

    // Ends its connections and refuses further ones.
    void crash() {
        const std::lock_guard lock(mutex_);
        record_.write(id_ + " crashes");
        ::shutdown(listening_, SHUT_RDWR);
        ::close(listening_);
        listening_ = -1;
        for (const int one : connections_) {
            const linger reset{1, 0};
            ::setsockopt(one, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            ::shutdown(one, SHUT_RDWR);
        }
    }

    // From now on, this share of the orders gets no answer and is carried out 2 to 12 s later.
    void set_late_share(double share) { late_share_ = share; }

    // Orders that arrived since this time, and those of them that name another start of the engine.
    std::pair<int, int> orders_since(std::int64_t from) {
        const std::lock_guard lock(mutex_);
        int all = 0;
        int stale = 0;
        for (const auto& [at, is_stale] : order_times_) {
            all += at >= from ? 1 : 0;
            stale += at >= from && is_stale ? 1 : 0;
        }
        return {all, stale};
    }

private:
    void write_entry() {
        platform_.put(
            "keyed.servers", id_,
            "{\"service\":\"models\",\"address\":\"127.0.0.1:" + std::to_string(port_) +
                "\",\"zone\":\"zone-a\",\"version\":\"1\",\"slots\":64,\"state\":\"ready\",\"cold_ms\":0," +
                "\"sequence\":" + std::to_string(++heartbeats_) + ",\"born\":" + std::to_string(born_) +
                ",\"models\":" + models_text() + "}");
    }

    void renew_entry() {
        constexpr int heartbeat_ms = 1'200;
        while (true) {
            sleep_ms(heartbeat_ms);
            const std::lock_guard lock(mutex_);
            if (listening_ >= 0) {
                write_entry();
            }
        }
    }

    std::string models_text() const {
        std::string text;
        for (const std::string& model : models_) {
            std::string names;
            for (const std::string& adapter : adapters_) {
                if (adapter.starts_with(model + "/")) {
                    names += (names.empty() ? "\"" : ",\"") + adapter.substr(model.size() + 1) + "\"";
                }
            }
            text += (text.empty() ? "" : ",") + std::string("{\"name\":\"") + model +
                    "\",\"version\":1,\"adapters\":[" + names + "]}";
        }
        return "[" + text + "]";
    }

    void accept(int listening) {
        while (true) {
            const int connection = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0) {
                return;
            }
            {
                const std::lock_guard lock(mutex_);
                connections_.insert(connection);
            }
            std::thread([this, connection] {
                serve(connection);
                const std::lock_guard lock(mutex_);
                connections_.erase(connection);
                ::close(connection);
            }).detach();
        }
    }

    void serve(int connection) {
        std::string received;
        char buffer[16 * 1024];
        while (true) {
            if (const auto head = take_head(received)) {
                while (received.size() < head->content_length()) {
                    const ssize_t count = ::recv(connection, buffer, sizeof(buffer), 0);
                    if (count <= 0) {
                        return;
                    }
                    received.append(buffer, std::size_t(count));
                }
                const std::string body = received.substr(0, head->content_length());
                received.erase(0, body.size());
                const std::string answer = answer_to(*head, body);
                if (answer.empty() || !send_all(connection, answer)) {
                    // Nothing more comes on a connection on which an answer is missing.
                    while (::recv(connection, buffer, sizeof(buffer), 0) > 0) {
                    }
                    return;
                }
                continue;
            }
            const ssize_t count = ::recv(connection, buffer, sizeof(buffer), 0);
            if (count <= 0) {
                return;
            }
            received.append(buffer, std::size_t(count));
        }
    }

    static std::string plain(int status, const std::string& fields, const std::string& body) {
        return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    // The answer to a call; empty if there is to be none.
    std::string answer_to(const message_head& head, const std::string& body) {
        if (head.target() == "/api/report") {
            const std::lock_guard lock(mutex_);
            return plain(200, "Content-Type: application/json\r\n", report());
        }
        if (head.target() == "/api/order") {
            return answer_order(head.field("tamarackbeam-expect-instance"), body);
        }
        const std::string request = head.field("tamarackbeam-request-id");
        const std::string named = head.field("tamarackbeam-model");
        const std::string model = named.substr(0, named.find('/'));
        const std::lock_guard lock(mutex_);
        const bool holds = models_.contains(model) && (named == model || adapters_.contains(named));
        if (head.field("tamarackbeam-expect-instance") != id_ || !holds) {
            return plain(
                421, "Tamarackbeam-Request-Id: " + request + "\r\nTamarackbeam-Instance-Id: " + id_ + "\r\n",
                "");
        }
        record_.write(id_ + " runs " + request);
        return plain(200,
                     "Content-Type: text/event-stream\r\nTamarackbeam-Request-Id: " + request +
                         "\r\nTamarackbeam-Server-Stamp: stamp-" + id_ + "\r\n",
                     "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
    }

    std::string report() const {
        return "{\"stage\":\"hybrid\",\"state\":\"ready\",\"models\":" + models_text() +
               ",\"busy\":" + (loading_.empty() ? "false" : "true") +
               ",\"sequence\":" + std::to_string(accepted_) +
               ",\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":172179,\"handles\":0,\"born\":" +
               std::to_string(born_) +
               ",\"coming\":[],\"runs\":[],\"at_hand\":{\"in_memory\":[],\"on_disk\":[\"m0\"]}}";
    }

    std::string answer_order(const std::string& instance, const std::string& body) {
        std::unique_lock lock(mutex_);
        const bool is_stale = json_field(body, "fence") != std::to_string(born_);
        order_times_.emplace_back(now_ms(), is_stale);
        const bool late = std::uniform_real_distribution<>(0, 1)(random_) < late_share_;
        const int status = late ? 0 : carry_out(instance, body);
        record_.write(id_ + " gets the order " + body + (is_stale ? " for an earlier start" : "") +
                      ", count " + std::to_string(accepted_) + ", answers " +
                      (late ? "nothing" : std::to_string(status)));
        if (!late) {
            return plain(status, "", "{}");
        }
        const int delay_ms = std::uniform_int_distribution<>(2'000, 12'000)(random_);
        std::thread([this, delay_ms, instance, body, start = starts_] {
            sleep_ms(delay_ms);
            const std::lock_guard late_lock(mutex_);
            if (start == starts_) { // what an engine has accepted ends with it
                carry_out(instance, body);
            }
        }).detach();
        return {};
    }

    int carry_out(const std::string& instance, const std::string& body) {
        if (instance != id_) {
            return 421;
        }
        const std::string model = json_field(body, "model");
        const std::string adapter = json_field(body, "adapter");
        const bool load = json_field(body, "op") == "load";
        const std::string named = adapter.empty() ? model : model + "/" + adapter;
        if (json_field(body, "expected") != std::to_string(accepted_) || !loading_.empty()) {
            return 409;
        }
        const std::set<std::string>& held = adapter.empty() ? models_ : adapters_;
        if (held.contains(named) == load) {
            return 200;
        }
        if (!adapter.empty() && load &&
            (!models_.contains(model) || int(adapters_.size()) >= adapter_slots)) {
            return 400;
        }
        ++accepted_;
        if (!adapter.empty()) {
            if (load) {
                adapters_.insert(named);
            } else {
                adapters_.erase(named);
            }
            return load ? 202 : 200;
        }
        if (!load) {
            models_.erase(model);
            return 202;
        }
        loading_ = model;
        std::thread([this, start = starts_] {
            sleep_ms(load_ms);
            const std::lock_guard lock(mutex_);
            if (start == starts_) {
                models_.insert(std::exchange(loading_, {}));
                write_entry();
            }
        }).detach();
        return 202;
    }

    const std::string id_;
    const std::uint16_t port_;
    store& platform_;
    record_file& record_;
    std::mutex mutex_;
    std::int64_t born_ = 0;
    int starts_ = 0;
    int heartbeats_ = 0;
    std::int64_t accepted_ = 0; // orders since its start
    std::set<std::string> models_;
    std::set<std::string> adapters_; // MODEL/NAME
    std::string loading_;
    int listening_ = -1;
    std::set<int> connections_;
    std::atomic<double> late_share_ = 0;
    std::mt19937 random_{std::random_device()()};
    std::vector<std::pair<std::int64_t, bool>> order_times_;
};

} // namespace review
