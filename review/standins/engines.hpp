// Stand-ins for the two kinds of endpoints.
#pragma once

#include "standins.hpp"

namespace review {

inline std::string entry_text(const std::string& service, const std::string& address,
                              const std::string& state, std::int64_t born, std::int64_t sequence,
                              const std::string& models) {
    return "{\"service\":\"" + service + "\",\"address\":\"" + address +
           "\",\"zone\":\"z1\",\"version\":1,\"slots\":64,\"state\":\"" + state +
           "\",\"cold_ms\":0,\"born\":" + std::to_string(born) + ",\"sequence\":" + std::to_string(sequence) +
           ",\"models\":[" + models + "]}";
}

// What all endpoints do: a heartbeat, the check of the instance id, and the note of what has run.
class endpoint {
public:
    endpoint(record_file& record, store& platform, std::string service, std::string id, std::string ip,
             std::string models = "", int port = 0, std::int64_t clock_error_ms = 0)
        : record_(record), platform_(platform), service_(std::move(service)), id_(std::move(id)),
          ip_(std::move(ip)), models_(std::move(models)), born_(unix_ms() + clock_error_ms),
          server_(ip_, port, [this](int socket, const message& call) { return answer(socket, call); }) {
        beat("ready");
        std::thread([this] {
            while (beating_) {
                sleep_ms(1'200);
                const std::lock_guard lock(mutex_);
                if (beating_) {
                    write_entry();
                }
            }
        }).detach();
    }
    virtual ~endpoint() = default;

    // Reports a new state at once.
    void beat(const std::string& state) {
        const std::lock_guard lock(mutex_);
        state_ = state;
        write_entry();
    }

    // Ends as a crashed process: no heartbeat, no connections.
    void crash() {
        beating_ = false;
        server_.stop();
    }

    // Leaves in order: removes its entry, and ends.
    void leave() {
        {
            const std::lock_guard lock(mutex_);
            beating_ = false;
            platform_.put("keyed.servers", id_, std::nullopt);
        }
        server_.stop();
    }

private:
    void write_entry() {
        const std::string address = ip_ + ":" + std::to_string(server_.port());
        platform_.put("keyed.servers", id_,
                      entry_text(service_, address, state_, born_, ++sequence_, models_));
    }

public:
    int port() const { return server_.port(); }
    const std::string& ip() const { return ip_; }
    const std::string& id() const { return id_; }

    // Requests that arrived later than this.
    int arrived_since(std::int64_t from) {
        const std::lock_guard lock(mutex_);
        return int(std::count_if(arrivals_.begin(), arrivals_.end(),
                                 [&](const auto& one) { return one.first > from; }));
    }

    // Adds how often each request has run here.
    void count_runs(std::map<std::string, int>& runs) {
        const std::lock_guard lock(mutex_);
        for (const auto& [at, request] : arrivals_) {
            ++runs[request];
        }
    }

    bool has_run(const std::string& request_id) {
        const std::lock_guard lock(mutex_);
        return ran_.contains(request_id);
    }

protected:
    virtual bool run(int socket, const message& call) = 0;
    virtual bool other(int socket, const message& call) {
        (void)call;
        return write_all(socket, reply_text(404, "", "{}"));
    }

    std::string head(const message& call) const {
        return "Tamarackbeam-Request-Id: " + call.header("Tamarackbeam-Request-Id") +
               "\r\nTamarackbeam-Server-Stamp: stamp-" + id_ + "\r\nTamarackbeam-Instance-Id: " + id_ +
               "\r\n";
    }

    record_file& record_;
    store& platform_;
    const std::string service_;
    const std::string id_;
    const std::string ip_;
    const std::string models_;
    std::int64_t born_;

private:
    bool answer(int socket, const message& call) {
        const std::string request = call.header("Tamarackbeam-Request-Id");
        if (request.empty()) {
            return other(socket, call);
        }
        const std::string expected = call.header("Tamarackbeam-Expect-Instance");
        if (!expected.empty() && expected != id_) {
            return write_all(socket, reply_text(421,
                                                "Tamarackbeam-Not-Run: 1\r\nTamarackbeam-Request-Id: " +
                                                    request + "\r\nTamarackbeam-Instance-Id: " + id_ + "\r\n",
                                                "{}"));
        }
        {
            const std::lock_guard lock(mutex_);
            ran_.insert(request);
            arrivals_.emplace_back(now_ms(), request);
        }
        record_.line("engine " + id_ + " runs " + request);
        return run(socket, call);
    }

    std::mutex mutex_;
    std::set<std::string> ran_;
    std::vector<std::pair<std::int64_t, std::string>> arrivals_;
    std::atomic<std::int64_t> sequence_ = 0;
    std::atomic<bool> beating_ = true;
    std::string state_ = "ready";
    server server_;
};

// Answers each request after some work.
class application : public endpoint {
public:
    application(record_file& record, store& platform, std::string service, std::string id, std::string ip,
                int work_ms, std::size_t answer_bytes, int port = 0, std::int64_t clock_error_ms = 0)
        : endpoint(record, platform, std::move(service), std::move(id), std::move(ip), "", port,
                   clock_error_ms),
          work_ms_(work_ms), answer_bytes_(answer_bytes) {}

    // Requests take this many times as long from now on.
    void set_slowness(int factor) { slowness_ = factor; }

protected:
    bool run(int socket, const message& call) override {
        sleep_ms(work_ms_ * slowness_);
        return write_all(socket, reply_text(200, head(call), std::string(answer_bytes_, 'x')));
    }

private:
    const int work_ms_;
    std::atomic<int> slowness_ = 1;
    const std::size_t answer_bytes_;
};

// Streams events as it generates them. It holds one model and takes no orders.
class model_engine : public endpoint {
public:
    struct shape {
        int events_ = 49;
        int interval_ms_ = 20;
        std::size_t event_bytes_ = 360;
    };

    model_engine(record_file& record, store& platform, std::string service, std::string id, std::string ip,
                 std::function<shape(const message&)> shape_of)
        : endpoint(record, platform, std::move(service), std::move(id), std::move(ip),
                   "{\"name\":\"m0\",\"version\":1,\"adapters\":[]}"),
          shape_of_(std::move(shape_of)) {}

protected:
    bool run(int socket, const message& call) override {
        const shape wanted = shape_of_(call);
        ++running_;
        bool alive =
            write_all(socket, "HTTP/1.1 200 OK\r\n" + head(call) +
                                  "Tamarackbeam-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n");
        for (int number = 1; alive && number <= wanted.events_; ++number) {
            sleep_ms(wanted.interval_ms_);
            std::string event = "id: " + std::to_string(number) + "\ndata: ";
            event += std::string(wanted.event_bytes_ - event.size() - 2, 'x') + "\n\n";
            char length[24];
            std::snprintf(length, sizeof(length), "%zx\r\n", event.size());
            std::string chunk = length + event + "\r\n";
            if (number == wanted.events_) {
                chunk += "0\r\n\r\n";
            }
            alive = !peer_gone(socket) && write_all(socket, chunk);
        }
        --running_;
        return alive;
    }

    bool other(int socket, const message& call) override {
        if (call.path() != "/api/report") {
            return write_all(socket, reply_text(409, "", "{}"));
        }
        const std::string body =
            "{\"stage\":\"hybrid\",\"state\":\"ready\",\"born\":" + std::to_string(born_) + ",\"models\":[" +
            models_ + "],\"busy\":false,\"sequence\":0,\"queued\":0,\"running\":" + std::to_string(running_) +
            ",\"kv_used\":0,\"kv_total\":157324,\"handles\":0,\"at_hand\":{\"in_memory\":[],"
            "\"on_disk\":[\"m0\"]}}";
        return write_all(socket, reply_text(200, "Content-Type: application/json\r\n", body));
    }

private:
    std::function<shape(const message&)> shape_of_;
    std::atomic<int> running_ = 0;
};

// The agent beside a model engine, at the engine's address and the port that all agents have.
inline program start_agent(const folder& at, const endpoint& engine, int agent_port) {
    const std::string text = "{\"id\": \"side-" + engine.id() + "\", \"listen\": \"" + engine.ip() + ":" +
                             std::to_string(agent_port) + "\", \"metrics\": \"" + engine.ip() + ":" +
                             std::to_string(free_port({engine.ip()})) + "\", \"engine\": \"" + engine.ip() +
                             ":" + std::to_string(engine.port()) + "\"}";
    program agent("target/tamarack-engine-agent",
                  write_file(at.path() + "/side-" + engine.id() + ".json", text),
                  at.path() + "/side-" + engine.id() + ".log");
    agent.start();
    return agent;
}

inline std::string configuration_text(const std::string& routes) {
    return "{\"version\":3,\"routes\":[" + routes +
           "],\"services\":[{\"name\":\"booking-core\",\"health_path\":\"/healthz\",\"max_connections\":110},"
           "{\"name\":\"advisor-models\",\"health_path\":\"/healthz\",\"max_connections\":370,\"engine\":{"
           "\"slots\":64,\"kv_tokens\":157324,\"weights_mb\":220000,\"adapter_slots\":8,\"loads_per_s\":1.5,"
           "\"models\":[{\"name\":\"m0\",\"weights_mb\":72700,\"load_time_s\":4.2,\"warm_s\":0.4,\"disk_s\":"
           "0.84,"
           "\"adapters\":0,\"adapter_mb\":66}]}}],\"limits\":{\"max_header_bytes\":16384,"
           "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

} // namespace review
