// tamarack-demo: both deployments of the brief as real processes on this machine, with their main promises
// shown.
#include "demo/deployments.hpp"
#include "harness/cluster.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_bool(keep, false, "leave everything running until this program is interrupted");

namespace {

using namespace tamarack;
using namespace tamarack::harness;

int broken_promises = 0;

void show(bool held, const std::string& what) {
    std::cout << (held ? "  ok      " : "  BROKEN  ") << what << std::endl;
    broken_promises += held ? 0 : 1;
}

void start_deployment(cluster& system, const std::string& prefix, const std::string& engine_pool,
                      const std::string& service_pool, const demo::deployment_size& size, bool fencing) {
    system.start_platform({}, {"--loads_per_second=20", "--model_load_ms=100"});
    for (int index = 0; index < size.engines_; ++index) {
        endpoint_options options;
        options.data_centre_ = "dc" + std::to_string(index % 4 + 1);
        options.engine_flags_ = {std::string("--fencing=") + (fencing ? "true" : "false")};
        options.agent_settings_ = {{"settle_ms", 1'000}};
        system.add_endpoint(prefix + "-engine-" + std::to_string(index), engine_pool, options);
    }
    for (int index = 0; index < size.services_; ++index) {
        endpoint_options options;
        options.engine_ = false;
        options.data_centre_ = "dc" + std::to_string(index % 4 + 1);
        system.add_endpoint(prefix + "-service-" + std::to_string(index), service_pool, options);
    }
    system.add_entry(prefix + "-entry-1");
    system.add_entry(prefix + "-entry-2");
    system.publish_list();
}

std::uint16_t entry_port(cluster& system, const std::string& id) {
    return system.entries().at(id).port_;
}

// Prints what the caller saw instead of the whole answer.
void show_unless_whole(const caller_answer& answer, const caller_request& request) {
    if (answer_text(answer) != expected_text(request)) {
        std::cout << "          status " << answer.status_ << " after " << answer.elapsed_ms_
                  << " ms, outcome " << answer.outcome() << ": " << answer.body_.substr(0, 300) << std::endl;
    }
}

void show_streaming(cluster& system, const std::string& entry, const std::string& model) {
    const caller_request request = completion(model, "What does a new fingerboard cost?", 12, true);
    const caller_answer answer = call(entry_port(system, entry), request);
    std::cout << "          " << answer_text(answer) << std::endl;
    show_unless_whole(answer, request);
    show(answer_text(answer) == expected_text(request), "a completion of " + model + " was streamed whole");
}

void show_booking(cluster& system, const std::string& prefix, const std::string& path,
                  const std::string& pool) {
    const std::string ref = prefix + "-booking-1";
    const json body = {{"ref", ref}};
    caller_request request{"POST", path, {{"Content-Type", "application/json"}}, body.dump()};
    request.headers_.push_back({"Idempotency-Key", "key-" + ref});
    request.headers_.push_back({"Idempotency-Key-Issued", std::to_string(unix_ms())});
    const caller_answer first = call(entry_port(system, prefix + "-entry-1"), request);
    const caller_answer second = call(entry_port(system, prefix + "-entry-2"), request);
    std::cout << "          first:  " << first.status_ << " " << first.body_ << "\n"
              << "          second: " << second.status_ << " " << second.body_ << std::endl;
    show(first.outcome() == "answered" && second.body_ == first.body_, "both sendings got the same answer");
    show(system.service_runs(pool)[ref] == 1, "the booking ran once");
}

void show_agent_death(cluster& system, const std::string& prefix, const std::string& model_prefix) {
    system.endpoints().at(prefix + "-engine-0").agent_.kill();
    std::vector<std::pair<std::uint16_t, caller_request>> requests;
    for (int index = 0; index < 20; ++index) {
        const std::string entry = prefix + "-entry-" + std::to_string(index % 2 + 1);
        const std::string model = model_prefix + "-" + std::to_string(index % 4);
        requests.emplace_back(entry_port(system, entry),
                              completion(model, "p" + std::to_string(index), 8, true));
    }
    const std::vector<caller_answer> answers = call_all(requests);
    int whole = 0;
    int refused = 0;
    int unknown = 0;
    for (std::size_t index = 0; index < answers.size(); ++index) {
        show_unless_whole(answers[index], requests[index].second);
        whole += answer_text(answers[index]) == expected_text(requests[index].second) ? 1 : 0;
        refused += answers[index].outcome() == "not_run" ? 1 : 0;
        unknown += answers[index].outcome() == "unknown" ? 1 : 0;
    }
    std::cout << "          " << whole << " answered whole, " << refused << " refused as not run, " << unknown
              << " with unknown outcome" << std::endl;
    show(whole + refused + unknown == int(answers.size()),
         "after an agent was killed every request got a true answer");
    system.start_agent(system.endpoints().at(prefix + "-engine-0"));
    show(system.wait_until_ready(), "a new agent took its place");
}

void show_deployment(cluster& system, const std::string& name, const std::string& prefix,
                     const demo::deployment& tables, const demo::deployment_size& size) {
    const bool fencing = prefix == "bureau";
    const std::string engine_pool = fencing ? "advisor" : "assistant";
    const std::string service_pool = fencing ? "desk" : "bays";
    const std::string model_prefix = fencing ? "luthier" : "blaster";
    std::cout << name << std::endl;
    start_deployment(system, prefix, engine_pool, service_pool, size, fencing);
    const bool accepted = system.publish(tables.routes_, tables.pools_) == 0;
    std::cout << "          " << system.ctl_output();
    show(accepted, "the tables were accepted");
    show(system.wait_until_ready(60'000), "every instance is ready and every model has its homes");
    show_streaming(system, prefix + "-entry-1", model_prefix + "-0");
    show_booking(system, prefix, fencing ? "/desk/bookings" : "/bays/reservations", service_pool);
    show_agent_death(system, prefix, model_prefix);
    show(system.overcommits() == 0, "no engine was overcommitted");
}

void keep_running(cluster& bureau, cluster& chorro) {
    for (cluster* system : {&bureau, &chorro}) {
        for (const auto& [id, node] : system->entries()) {
            std::cout << id << " listens on http://127.0.0.1:" << node.port_ << std::endl;
        }
    }
    std::cout << "Interrupt to stop." << std::endl;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("shows both deployments of the brief; exits 0 only if everything held");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const demo::deployment_size bureau_size{6, 4, 8, 30};
    const demo::deployment_size chorro_size{5, 4, 6, 20};
    cluster bureau(program_folder());
    cluster chorro(program_folder());
    show_deployment(bureau, "The Bureau (engines enforce fencing)", "bureau", demo::bureau(bureau_size),
                    bureau_size);
    show_deployment(chorro, "Chorro Austral (engines ignore fencing numbers)", "chorro",
                    demo::chorro(chorro_size), chorro_size);
    std::cout << (broken_promises == 0 ? "Everything held." : "Some promises were broken.") << std::endl;
    if (FLAGS_keep) {
        keep_running(bureau, chorro);
    }
    return broken_promises == 0 ? 0 : 1;
}
