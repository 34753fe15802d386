// Callers whose requests are within the limits and consist of very many short fields, half of them named in
// the Connection header. Ordinary callers look up and book meanwhile. The gateway has the processor of a
// `front` machine: 0.19 of a core, as a usage cap.
#include "../standins-2/desk.hpp"

using namespace desk;

namespace {

constexpr int crowd_size = 160; // callers at the one gateway that is watched
constexpr int ordinary_callers = 12;
constexpr double cpu_share = 0.19;        // of a `front` machine
constexpr std::int64_t crowd_ms = 20'000; // time for which the crowd calls
constexpr std::int64_t route_timeout_ms = 1'000;
constexpr std::int64_t allowed_late_ms = 500; // time after the route's timeout within which the answer is due
constexpr std::int64_t listen_ms = 8'000;     // longest wait of the ordinary callers for an answer

// Fields within the limit of 16,384 bytes.
std::string many_fields(bool many) {
    std::string fields = "Connection: a";
    for (int number = 1; many && number < 3'900; ++number) {
        fields += std::string(",") + char('a' + number % 13);
    }
    fields += "\r\n";
    for (int number = 0; number < (many ? 1'900 : 1); ++number) {
        fields += std::string(1, char('n' + number % 13)) + ":\r\n";
    }
    return fields;
}

// Processor time that all threads of a process have used, in ms.
double processor_ms(pid_t pid) {
    double used = 0;
    std::error_code ignored;
    for (const auto& task :
         std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task", ignored)) {
        std::ifstream file(task.path() / "schedstat");
        double on_cpu_ns = 0;
        file >> on_cpu_ns;
        used += on_cpu_ns / 1e6;
    }
    return used;
}

// A usage cap: the process runs until its share of a tenth of a second is used, and then not at all for the
// rest of it.
void cap_usage(process& one, double cpu_share, std::atomic<bool>& stop) {
    constexpr std::int64_t period_ms = 100;
    while (!stop) {
        const std::int64_t period_ends = now_ms() + period_ms;
        const double before = processor_ms(one.pid());
        bool stopped = false;
        while (now_ms() < period_ends) {
            if (!stopped && processor_ms(one.pid()) - before >= cpu_share * double(period_ms)) {
                one.signal(SIGSTOP);
                stopped = true;
            }
            sleep_ms(1);
        }
        if (stopped) {
            one.signal(SIGCONT);
        }
    }
}

struct counts {
    std::atomic<int> sent = 0;
    std::atomic<int> answered = 0; // within the route's timeout
    std::atomic<int> open_at_timeout = 0;
    std::atomic<int> late = 0; // of these, without an answer half a second later
    std::atomic<std::int64_t> longest_ms = 0;
};

void call(const gateway& at, int number, std::atomic<bool>& stop, counts& result, record& log) {
    int socket = -1;
    std::string buffer;
    for (int count = 0; !stop; ++count) {
        if (socket < 0) {
            buffer.clear();
            socket = connect_to(at.ip_, at.front_, 1'000);
            if (socket < 0) {
                continue;
            }
        }
        const bool books = number % 2 == 0;
        const std::string id =
            std::string(books ? "b-" : "l-") + std::to_string(number) + "-" + std::to_string(count);
        const std::string head = books ? "POST /confirm/x" : "GET /lookup/x";
        const std::int64_t sent_at = now_ms();
        log.line("send " + id);
        ++result.sent;
        message answer;
        const bool answered =
            send_all(socket, head + " HTTP/1.1\r\nHost: shop.example\r\nTamarackbeam-Request-Id: " + id +
                                 "\r\nTamarackbeam-Deadline-Ms: 1000\r\n" +
                                 (books ? "Content-Length: 4\r\n\r\nbook" : "\r\n")) &&
            read_message(socket, buffer, answer, sent_at + listen_ms);
        const std::int64_t took = now_ms() - sent_at;
        log.line("end " + id + " " + (answered ? std::to_string(answer.status()) : "no answer") + " after " +
                 std::to_string(took) + " ms");
        result.longest_ms = std::max<std::int64_t>(result.longest_ms, took);
        result.answered += answered && took <= route_timeout_ms ? 1 : 0;
        if (took > route_timeout_ms) {
            ++result.open_at_timeout;
            result.late += took > route_timeout_ms + allowed_late_ms ? 1 : 0;
        }
        if (!answered || answer.header("Connection") == "close") {
            ::close(socket);
            socket = -1;
        }
        sleep_ms(20);
    }
    if (socket >= 0) {
        ::close(socket);
    }
}

} // namespace

int main(int argc, char** argv) {
    if (argc < 2 || !deployment::built()) {
        return 2;
    }
    deployment& run = *new deployment(argv[1]);
    auto* const first = new plain_engine("i-s1", "127.0.0.41", run.record_);
    auto* const second = new plain_engine("i-s2", "127.0.0.42", run.record_);
    const json config = {
        {"version", 3},
        {"routes",
         {route("lookup", "safe", "reservas", route_timeout_ms, 100, 2),
          route("confirm", "unsafe", "reservas", route_timeout_ms, 100, 1)}},
        {"services", {{{"name", "reservas"}, {"health_path", "/healthz"}, {"max_connections", 110}}}},
        {"limits", limits()}};
    run.store_.put("keyed.op", "config", config.dump());
    beat([&, first, second] {
        first->announce(run.store_, "reservas");
        second->announce(run.store_, "reservas");
    });
    run.add_gateway("127.0.0.11");
    if (!run.gateways_[0]->wait_ready()) {
        std::cerr << "the gateway did not become ready\n";
        run.finish(2);
    }
    const gateway& at = *run.gateways_[0];
    std::atomic<bool> stop = false;
    counts ordinary;
    std::vector<std::thread> threads;
    threads.emplace_back([&] { cap_usage(*at.process_, cpu_share, stop); });
    // Beyond `stable_window_ms` after the start, so that the gateway is in touch.
    sleep_ms(4'000);
    for (int number = 0; number < ordinary_callers; ++number) {
        threads.emplace_back([&, number] { call(at, number, stop, ordinary, run.record_); });
    }
    sleep_ms(2'000);

    const std::string fields = many_fields(run.trouble_);
    std::atomic<int> crowd_sent = 0;
    std::atomic<int> crowd_answered = 0;
    for (int number = 0; number < crowd_size; ++number) {
        threads.emplace_back([&, number] {
            int socket = -1;
            std::string buffer;
            for (int count = 0; !stop; ++count) {
                if (socket < 0) {
                    buffer.clear();
                    socket = connect_to(at.ip_, at.front_, 1'000);
                    if (socket < 0) {
                        continue;
                    }
                }
                message answer;
                ++crowd_sent;
                if (!send_all(socket,
                              "GET /lookup/x HTTP/1.1\r\nHost: shop.example\r\nTamarackbeam-Request-Id: c-" +
                                  std::to_string(number) + "-" + std::to_string(count) +
                                  "\r\nTamarackbeam-Deadline-Ms: 1000\r\n" + fields + "\r\n") ||
                    !read_message(socket, buffer, answer, now_ms() + listen_ms)) {
                    ::close(socket);
                    socket = -1;
                    continue;
                }
                ++crowd_answered;
                if (answer.header("Connection") == "close") {
                    ::close(socket);
                    socket = -1;
                }
                sleep_ms(200);
            }
            if (socket >= 0) {
                ::close(socket);
            }
        });
    }
    run.record_.line("crowd: " + std::to_string(crowd_size) + " callers, each head of " +
                     std::to_string(fields.size()) + " bytes of fields");
    sleep_ms(crowd_ms);
    stop = true;
    for (std::thread& one : threads) {
        one.join();
    }
    std::ostringstream summary;
    summary << "crowd sent " << crowd_sent << ", answered " << crowd_answered << "; ordinary sent "
            << ordinary.sent << ", answered within the timeout " << ordinary.answered
            << ", unanswered at the timeout " << ordinary.open_at_timeout << ", of them without an answer "
            << allowed_late_ms << " ms later " << ordinary.late << ", longest " << ordinary.longest_ms
            << " ms";
    const bool broken = ordinary.open_at_timeout > 0 && 2 * ordinary.late > ordinary.open_at_timeout;
    run.record_.line(summary.str());
    run.record_.line(broken ? "CONFIG is broken" : "CONFIG holds");
    std::cout << summary.str() << std::endl;
    run.finish(broken ? 1 : 0);
}
