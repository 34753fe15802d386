// Another writer has put entries that cannot be read among those of the engines. An engine then leaves: its
// entry is removed, and it serves for some seconds more, as the pages say.
#include "../standins-2/desk.hpp"

using namespace desk;

namespace {

constexpr int other_entries = 5;
constexpr std::size_t other_bytes = 250'000; // of one value; a record may have 262,144
constexpr int callers = 6;
constexpr std::int64_t drain_ms = 2'000;
constexpr std::int64_t lingers_ms = 8'000; // time for which the engine serves after its entry is gone

std::string unreadable_bytes(int number) {
    std::string bytes;
    std::uint32_t state = 12'345U + std::uint32_t(number);
    while (bytes.size() < other_bytes) {
        state = state * 1'664'525U + 1'013'904'223U;
        bytes += char(state >> 24);
    }
    return bytes;
}

} // namespace

int main(int argc, char** argv) {
    if (argc < 2 || !deployment::built()) {
        return 2;
    }
    deployment& run = *new deployment(argv[1]);
    auto* const leaving = new plain_engine("i-1f3a91c2", "127.0.0.41", run.record_);
    auto* const second = new plain_engine("i-9c41d07b", "127.0.0.42", run.record_);
    auto* const third = new plain_engine("i-d2e35f68", "127.0.0.43", run.record_);
    const json config = {
        {"version", 3},
        {"routes", {route("confirm", "unsafe", "reservas", 1'000, 100, 1)}},
        {"services", {{{"name", "reservas"}, {"health_path", "/healthz"}, {"max_connections", 110}}}},
        {"limits", limits()}};
    run.store_.put("keyed.op", "config", config.dump());
    for (int number = 1; run.trouble_ && number <= other_entries; ++number) {
        const std::string key = "i-7f3a91c2 copy " + std::to_string(number);
        run.store_.put("keyed.servers", key, unreadable_bytes(number));
        run.record_.line("another writer puts \"" + key + "\", " + std::to_string(other_bytes) + " bytes");
    }
    auto* const has_left = new std::atomic<bool>(false);
    beat([&run, leaving, second, third, has_left] {
        if (!*has_left) {
            leaving->announce(run.store_, "reservas");
        }
        second->announce(run.store_, "reservas");
        third->announce(run.store_, "reservas");
    });
    run.add_gateway("127.0.0.11");
    const gateway& at = *run.gateways_[0];
    if (!at.wait_ready()) {
        std::cerr << "the gateway did not become ready\n";
        run.finish(2);
    }
    // Beyond `stable_window_ms` after the start, so that the gateway is in touch.
    sleep_ms(4'000);

    std::atomic<bool> stop = false;
    std::atomic<int> sent = 0;
    std::mutex mutex;
    std::map<std::string, std::int64_t> sent_at;
    std::map<int, int> statuses;
    std::vector<std::thread> threads;
    for (int number = 0; number < callers; ++number) {
        threads.emplace_back([&, number] {
            for (int count = 0; !stop; ++count) {
                const std::string id = "b-" + std::to_string(number) + "-" + std::to_string(count);
                const int socket = connect_to(at.ip_, at.front_, 500);
                {
                    const std::lock_guard lock(mutex);
                    sent_at[id] = now_ms();
                }
                run.record_.line("send " + id);
                ++sent;
                std::string buffer;
                message answer;
                const bool answered =
                    socket >= 0 &&
                    send_all(socket,
                             "POST /confirm/x HTTP/1.1\r\nHost: shop.example\r\nTamarackbeam-Request-Id: " +
                                 id + "\r\nTamarackbeam-Deadline-Ms: 1000\r\nConnection: close\r\n" +
                                 "Content-Length: 4\r\n\r\nbook") &&
                    read_message(socket, buffer, answer, now_ms() + 2'000);
                run.record_.line("end " + id + " " +
                                 (answered ? std::to_string(answer.status()) : "no answer"));
                {
                    const std::lock_guard lock(mutex);
                    ++statuses[answered ? answer.status() : 0];
                }
                ::close(socket);
                sleep_ms(100);
            }
        });
    }
    sleep_ms(2'000);

    *has_left = true;
    sleep_ms(50);
    run.store_.drop("keyed.servers", leaving->id());
    const std::int64_t left_at = now_ms(); // the store has answered: this is the acknowledgement
    run.record_.line("the entry of " + leaving->id() + " is removed");
    sleep_ms(lingers_ms);
    stop = true;
    for (std::thread& one : threads) {
        one.join();
    }

    const auto runs_there = leaving->runs();
    int late = 0;
    int in_time = 0;
    for (const auto& [id, at_ms] : sent_at) {
        if (runs_there.contains(id)) {
            (at_ms > left_at + drain_ms ? late : in_time) += 1;
        }
    }
    std::ostringstream summary;
    summary << "bookings sent " << sent << ", run at the engine that left " << in_time
            << " and, sent later than " << drain_ms << " ms after its entry was removed, " << late
            << "; at the others " << second->runs().size() + third->runs().size() << "; answers";
    for (const auto& [status, count] : statuses) {
        summary << " " << status << ": " << count;
    }
    summary << "; calls to the store " << run.store_.calls() << ", of them malformed "
            << run.store_.malformed_calls();
    const bool broken = late > 0;
    run.record_.line(summary.str());
    run.record_.line(broken ? "DRAIN is broken" : "DRAIN holds");
    std::cout << summary.str() << std::endl;
    run.finish(broken ? 1 : 0);
}
