// Crowds of clients that misbehave, at a gateway with the memory and descriptors of a small machine. What is
// checked does not depend on the machine's speed: the process lives, its memory and descriptors stay bounded,
// and ordinary requests are answered while the crowd's connections are still open.
#include "direct/crowd.hpp"
#include "direct/gateway_process.hpp"

namespace tamarack::direct {

namespace {

constexpr std::int64_t memory_mb = 64;
constexpr int max_descriptors = 700;
constexpr std::size_t max_header_bytes = 16 * 1024;
constexpr std::size_t max_body_bytes = 1024 * 1024;
constexpr int crowd_size = 96;                               // connections; 1 MB each is more than the memory
constexpr int connecting_crowd_size = max_descriptors + 100; // connections

using harness::peak_kb;
// Paths of a route, of no route, and of the readiness check.
const char* path_of(int number) {
    constexpr const char* paths[] = {"/booking/x", "/nowhere/x", "/readyz"};
    return paths[number % 3];
}

std::string head_of(int number, const std::string& fields) {
    return std::string("POST ") + path_of(number) +
           " HTTP/1.1\r\nHost: shop.example\r\nTamarackbeam-Request-Id: m-" + std::to_string(number) +
           "\r\nTamarackbeam-Deadline-Ms: 1200\r\n" + fields + "\r\n";
}

std::string body_that_stops_short(int number) {
    return head_of(number, "Content-Length: " + std::to_string(max_body_bytes) + "\r\n") +
           std::string(max_body_bytes - 1, 'x');
}

std::string chunks(std::size_t chunk_bytes, std::size_t total) {
    char length[24];
    std::snprintf(length, sizeof(length), "%zx\r\n", chunk_bytes);
    const std::string one = length + std::string(chunk_bytes, 'x') + "\r\n";
    std::string all;
    for (std::size_t bytes = 0; bytes + chunk_bytes <= total; bytes += chunk_bytes) {
        all += one;
    }
    return all;
}

std::string short_fields(std::size_t bytes) {
    std::string fields;
    while (fields.size() + 4 <= bytes) {
        fields += "a:\r\n";
    }
    return fields;
}

struct misbehaving_clients : gateway_process {
    std::uint16_t peers_port_ = free_port();
    crowd crowd_;
    int most_descriptors_ = 0;
    int calls_ = 0;

    misbehaving_clients() {
        further_settings_ = {{"memory_mb", memory_mb},
                             {"max_descriptors", max_descriptors},
                             {"peers", "127.0.0.1:" + std::to_string(peers_port_)}};
        store_.put("keyed.op", "config", configuration_text(4, max_header_bytes, max_body_bytes));
        for (const fake_endpoint* one : {&first_, &second_}) {
            store_.put("keyed.servers", one->id(), endpoint_text(*one, "ready", crowd_size));
        }
        start_ready();
    }

    void count_descriptors() {
        std::error_code ignored;
        const std::filesystem::path folder = "/proc/" + std::to_string(process_.pid()) + "/fd";
        const auto open = std::distance(std::filesystem::directory_iterator(folder, ignored),
                                        std::filesystem::directory_iterator());
        most_descriptors_ = std::max(most_descriptors_, int(open));
    }

    void play(const std::vector<client_plan>& plans) {
        crowd_.play(plans, [this] { count_descriptors(); });
        wait_until_idle(process_.pid(), [this] { count_descriptors(); });
    }

    void play(int count, const std::function<client_plan(int)>& plan) {
        std::vector<client_plan> plans;
        for (int number = 0; number < count; ++number) {
            plans.push_back(plan(number));
        }
        play(plans);
    }

    // The crowd's connections are still open.
    void check() {
        count_descriptors();
        CHECK(process_.running());
        CHECK(eventually([&] { return status(request("lookup", "l-" + std::to_string(++calls_))) == 200; }));
        CHECK(eventually([&] { return status(request("booking", "b-" + std::to_string(++calls_))) == 200; }));
        CHECK(eventually([&] { return ready(); }));
        CHECK(peak_kb(process_.pid()) <= memory_mb * 1024);
        CHECK(most_descriptors_ <= max_descriptors);
        CHECK(process_.running());
    }

    void set_answer_bytes(std::size_t bytes) {
        first_.set_body(std::string(bytes, 'y'));
        second_.set_body(std::string(bytes, 'y'));
    }

    std::vector<client_plan> bodies_that_stop_short(int count, std::size_t piece) {
        std::vector<client_plan> plans;
        for (int number = 0; number < count; ++number) {
            plans.push_back({port_, share(body_that_stops_short(number)), piece});
        }
        return plans;
    }

    std::vector<client_plan> pipelines(int count, int requests) {
        std::string all;
        for (int number = 0; number < requests; ++number) {
            all += "GET /lookup/x HTTP/1.1\r\nHost: shop.example\r\nTamarackbeam-Request-Id: p-" +
                   std::to_string(number) + "\r\nTamarackbeam-Deadline-Ms: 1200\r\n\r\n";
        }
        return std::vector<client_plan>(std::size_t(count), client_plan{port_, share(all)});
    }

    std::vector<client_plan> readers(int count, std::size_t read_per_round) {
        std::vector<client_plan> plans;
        for (int number = 0; number < count; ++number) {
            plans.push_back({port_,
                             share("GET /lookup/x HTTP/1.1\r\nHost: shop.example\r\n"
                                   "Tamarackbeam-Request-Id: s-" +
                                   std::to_string(number) + "\r\nTamarackbeam-Deadline-Ms: 1200\r\n\r\n"),
                             1, read_per_round});
        }
        return plans;
    }
};

} // namespace

// Bodies that were held until their end came filled the memory.
TEST_CASE_FIXTURE(misbehaving_clients,
                  "misbehaving_clients_bodies_in_one_piece_stop_short_memory_is_bounded") {
    play(bodies_that_stop_short(crowd_size, max_body_bytes * 2));
    check();
}

TEST_CASE_FIXTURE(misbehaving_clients,
                  "misbehaving_clients_bodies_in_small_pieces_stop_short_memory_is_bounded") {
    play(bodies_that_stop_short(crowd_size, 2 * 1024));
    check();
}

TEST_CASE_FIXTURE(misbehaving_clients, "misbehaving_clients_bodies_in_chunks_stop_short_memory_is_bounded") {
    const std::string body = chunks(64, max_body_bytes - 1);
    play(crowd_size, [&](int number) {
        return client_plan{port_, share(head_of(number, "Transfer-Encoding: chunked\r\n") + body)};
    });
    check();
}

// Each byte of these bodies comes in a chunk of its own.
TEST_CASE_FIXTURE(misbehaving_clients, "misbehaving_clients_chunks_of_one_byte_memory_is_bounded") {
    const std::string body = chunks(1, 64 * 1024);
    play(crowd_size, [&](int number) {
        return client_plan{port_, share(head_of(number, "Transfer-Encoding: chunked\r\n") + body)};
    });
    check();
}

// The header of a chunk had no bound.
TEST_CASE_FIXTURE(misbehaving_clients, "misbehaving_clients_chunk_headers_without_end_memory_is_bounded") {
    const std::string body = "4;x=" + std::string(max_body_bytes, 'x');
    play(crowd_size, [&](int number) {
        return client_plan{port_, share(head_of(number, "Transfer-Encoding: chunked\r\n") + body)};
    });
    check();
}

TEST_CASE_FIXTURE(misbehaving_clients, "misbehaving_clients_bodies_far_over_the_limit_memory_is_bounded") {
    const std::string body(4 * max_body_bytes, 'x');
    const std::string chunked = chunks(64 * 1024, 4 * max_body_bytes);
    play(crowd_size, [&](int number) {
        return client_plan{port_, share(number % 2 == 0
                                            ? head_of(number, "Content-Length: 1000000000\r\n") + body
                                            : head_of(number, "Transfer-Encoding: chunked\r\n") + chunked)};
    });
    check();
}

// A field of 4 bytes costs many times as much once it is parsed.
TEST_CASE_FIXTURE(misbehaving_clients, "misbehaving_clients_very_many_short_fields_memory_is_bounded") {
    const std::string fields = short_fields(max_header_bytes - 1'024) + "Content-Length: 1000\r\n";
    play(3 * crowd_size, [&](int number) { return client_plan{port_, share(head_of(number, fields))}; });
    check();
}

// Answers were queued without bound for a client that sends on and does not read.
TEST_CASE_FIXTURE(misbehaving_clients, "misbehaving_clients_pipelines_without_reading_memory_is_bounded") {
    set_answer_bytes(64 * 1024);
    play(pipelines(crowd_size / 2, 200));
    check();
}

// Complete answers were queued for clients that do not read.
TEST_CASE_FIXTURE(misbehaving_clients, "misbehaving_clients_answers_are_not_read_memory_is_bounded") {
    set_answer_bytes(max_body_bytes);
    play(readers(crowd_size, 0));
    set_answer_bytes(4);
    check();
}

TEST_CASE_FIXTURE(misbehaving_clients, "misbehaving_clients_answers_are_read_slowly_memory_is_bounded") {
    set_answer_bytes(max_body_bytes);
    play(readers(crowd_size, 1));
    set_answer_bytes(4);
    check();
}

// Connections that send a part of a head, or nothing, took all descriptors.
TEST_CASE_FIXTURE(misbehaving_clients, "misbehaving_clients_slow_heads_descriptors_are_bounded") {
    play(connecting_crowd_size, [&](int number) {
        return client_plan{
            port_,
            share(number % 2 == 0 ? std::string("GET /lookup/x HTTP/1.1\r\nHost: sh") : std::string("G")), 1};
    });
    check();
}

TEST_CASE_FIXTURE(misbehaving_clients, "misbehaving_clients_at_the_ready_port_memory_is_bounded") {
    std::vector<client_plan> plans = bodies_that_stop_short(crowd_size, max_body_bytes * 2);
    for (client_plan& plan : plans) {
        plan.port_ = admin_port_;
    }
    play(plans);
    check();
}

TEST_CASE_FIXTURE(misbehaving_clients, "misbehaving_clients_at_the_ready_port_descriptors_are_bounded") {
    play(connecting_crowd_size, [&](int) {
        return client_plan{admin_port_, share("GET /readyz HTTP/1.1\r\nHost: sh"), 8};
    });
    check();
}

TEST_CASE_FIXTURE(misbehaving_clients, "misbehaving_clients_at_the_metrics_port_memory_is_bounded") {
    std::vector<client_plan> plans = bodies_that_stop_short(crowd_size, max_body_bytes * 2);
    for (client_plan& plan : plans) {
        plan.port_ = metrics_port_;
    }
    play(plans);
    check();
}

// Frames between processes may announce 2 MB each and never be filled.
TEST_CASE_FIXTURE(misbehaving_clients, "misbehaving_clients_at_the_peers_port_memory_is_bounded") {
    const shared_text frame = share(unfinished_frame());
    play(crowd_size, [&](int) { return client_plan{peers_port_, frame}; });
    check();
}

TEST_CASE_FIXTURE(misbehaving_clients, "misbehaving_clients_at_the_peers_port_descriptors_are_bounded") {
    const shared_text length = share(unfinished_frame().substr(0, 4));
    play(connecting_crowd_size, [&](int) { return client_plan{peers_port_, length}; });
    check();
}

TEST_CASE_FIXTURE(misbehaving_clients, "misbehaving_clients_of_all_kinds_at_once_memory_is_bounded") {
    set_answer_bytes(max_body_bytes);
    std::vector<client_plan> plans = bodies_that_stop_short(crowd_size / 2, 64 * 1024);
    const std::string fields = short_fields(max_header_bytes - 1'024) + "Content-Length: 1000\r\n";
    const std::string body = chunks(1, 64 * 1024);
    for (int number = 0; number < crowd_size / 2; ++number) {
        plans.push_back({port_, share(head_of(number, fields))});
        plans.push_back({port_, share(head_of(number, "Transfer-Encoding: chunked\r\n") + body)});
        plans.push_back({port_, share("G"), 1});
        plans.push_back({admin_port_, share(body_that_stops_short(number))});
    }
    for (const auto& more : {pipelines(crowd_size / 2, 200), readers(crowd_size / 2, 0)}) {
        plans.insert(plans.end(), more.begin(), more.end());
    }
    play(plans);
    set_answer_bytes(4);
    check();
}

// A limit must not refuse what the configuration allows.
TEST_CASE_FIXTURE(misbehaving_clients, "misbehaving_clients_absent_the_largest_request_is_served") {
    http::request largest = request("booking", "largest");
    largest.body_ = std::string(max_body_bytes, 'x');
    CHECK(status(largest) == 200);
    http::request fields = request("lookup", "fields");
    for (std::size_t bytes = 0; bytes < max_header_bytes - 1'024; bytes += 6) {
        fields.headers_.push_back({"a", "b"});
    }
    CHECK(status(fields) == 200);
}

} // namespace tamarack::direct
