// tamarack-gateway: takes clients' requests, finds their route and an endpoint, and relays the answer.
#include "gateway/control.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(settings, "", "path of the JSON settings file");

int main(int argc, char** argv) {
    std::signal(SIGHUP, SIG_IGN); // ends the process by default, and may come before it is watched
    gflags::SetUsageMessage("tamarack-gateway --settings=FILE\n"
                            "Exit codes: 0 stopped in order, 1 could not listen, 2 wrong settings.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = tamarack::load_gateway_settings(FLAGS_settings);
    if (!tamarack::ok(settings)) {
        std::cerr << to_string(tamarack::failure(settings)) << "\n";
        return 2;
    }
    tamarack::start_logging("info");
    tamarack::event_log events(tamarack::value(settings).id_, tamarack::event_rate(),
                               tamarack::standard_output_sink());
    tamarack::gateway::control control(tamarack::value(settings), FLAGS_settings, events);
    return control.run();
}
