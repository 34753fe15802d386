// tamarack-load: sends requests at a fixed rate, whatever the answers, and reports by class what became of
// them.
#include "harness/cluster.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <random>

DEFINE_string(ports, "", "ports of the entries on the loopback address, separated by commas");
DEFINE_string(models, "", "models to ask for, separated by commas; the first is asked for most often");
DEFINE_double(rate, 50.0, "requests in one second");
DEFINE_int32(seconds, 10, "how long requests are sent");
DEFINE_int32(tokens, 16, "tokens of each answer");
DEFINE_double(deferrable, 0.1, "fraction of requests of the deferrable class");
DEFINE_int64(deadline_ms, 5'000, "deadline of interactive requests");
DEFINE_int64(deferrable_deadline_ms, 60'000, "deadline of deferrable requests");
DEFINE_int32(seed, 1, "seed of the arrivals and the choice of models");
DEFINE_bool(stream, true, "ask for streamed answers");

namespace {

using namespace tamarack;
using namespace tamarack::harness;

struct class_report {
    std::vector<std::int64_t> latencies_ms_; // of whole answers
    std::int64_t in_time_ = 0;
    std::map<std::string, std::int64_t> outcomes_;
};

std::int64_t percentile(std::vector<std::int64_t>& values, double fraction) {
    if (values.empty()) {
        return -1;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, std::size_t(fraction * double(values.size())))];
}

struct planned_request {
    std::uint16_t port_;
    std::string class_;
    std::int64_t deadline_ms_;
    caller_request request_;
};

planned_request plan_request(std::mt19937_64& random, const std::vector<std::string>& ports,
                             const std::vector<std::string>& models, std::int64_t number) {
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    // Half of the requests ask for the first model, a quarter for the second, and so on.
    std::size_t model = 0;
    while (model + 1 < models.size() && uniform(random) < 0.5) {
        ++model;
    }
    const bool deferrable = uniform(random) < FLAGS_deferrable;
    planned_request planned;
    planned.port_ = std::uint16_t(std::stoi(ports[std::size_t(number) % ports.size()]));
    planned.class_ = deferrable ? "deferrable" : "interactive";
    planned.deadline_ms_ = deferrable ? FLAGS_deferrable_deadline_ms : FLAGS_deadline_ms;
    planned.request_ =
        completion(models[model], "load " + std::to_string(number), FLAGS_tokens, FLAGS_stream);
    planned.request_.headers_.push_back({"Tamarack-Class", planned.class_});
    planned.request_.headers_.push_back({"Tamarack-Deadline-Ms", std::to_string(planned.deadline_ms_)});
    return planned;
}

boost::asio::awaitable<void> send_one(planned_request planned, std::map<std::string, class_report>& reports) {
    caller_answer answer;
    co_await exchange(planned.port_, planned.request_, planned.deadline_ms_ + 10'000, answer);
    class_report& report = reports[planned.class_];
    const bool whole = answer_text(answer) == expected_text(planned.request_);
    ++report.outcomes_[whole ? "answered" : answer.outcome() == "answered" ? "wrong" : answer.outcome()];
    if (whole) {
        report.latencies_ms_.push_back(answer.elapsed_ms_);
        report.in_time_ += answer.elapsed_ms_ <= planned.deadline_ms_ ? 1 : 0;
    }
}

boost::asio::awaitable<void> send_all(std::vector<std::string> ports, std::vector<std::string> models,
                                      std::map<std::string, class_report>& reports) {
    std::mt19937_64 random{std::uint64_t(FLAGS_seed)};
    std::exponential_distribution<double> gap(FLAGS_rate);
    const auto executor = co_await boost::asio::this_coro::executor;
    boost::asio::steady_timer timer(executor);
    const auto began = std::chrono::steady_clock::now();
    double at_seconds = 0.0;
    for (std::int64_t number = 0; at_seconds < FLAGS_seconds; ++number) {
        at_seconds += gap(random);
        timer.expires_at(began + std::chrono::microseconds(std::int64_t(at_seconds * 1e6)));
        co_await timer.async_wait(boost::asio::use_awaitable);
        planned_request planned = plan_request(random, ports, models, number);
        boost::asio::co_spawn(executor, send_one(std::move(planned), reports), boost::asio::detached);
    }
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage(
        "tamarack-load --ports=P,P --models=M,M [flags]\n"
        "Prints one JSON object. Exit codes: 0 no wrong or cut answer, 1 there was one, 2 usage.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<std::string> ports = split_list(FLAGS_ports);
    const std::vector<std::string> models = split_list(FLAGS_models);
    if (ports.empty() || models.empty()) {
        std::cerr << "give --ports and --models\n";
        return 2;
    }
    std::map<std::string, class_report> reports;
    boost::asio::io_context context(1);
    boost::asio::co_spawn(context, send_all(ports, models, reports), boost::asio::detached);
    context.run();
    json printed = json::object();
    std::int64_t bad = 0;
    for (auto& [name, report] : reports) {
        std::int64_t total = 0;
        for (const auto& [outcome, count] : report.outcomes_) {
            total += count;
        }
        bad += report.outcomes_["wrong"] + report.outcomes_["cut"];
        printed[name] = {{"requests", total},
                         {"outcomes", report.outcomes_},
                         {"attainment", total == 0 ? 0.0 : double(report.in_time_) / double(total)},
                         {"p50_ms", percentile(report.latencies_ms_, 0.50)},
                         {"p95_ms", percentile(report.latencies_ms_, 0.95)},
                         {"p99_ms", percentile(report.latencies_ms_, 0.99)}};
    }
    std::cout << printed.dump(2) << "\n";
    return bad == 0 ? 0 : 1;
}
