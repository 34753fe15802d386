// tamarack-agent: stands beside one endpoint and is the only way to it.
#include "agent/control.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "path of the JSON settings file");

int main(int argc, char** argv) {
    gflags::SetUsageMessage("tamarack-agent --settings=FILE\n"
                            "Exit codes: 0 stopped in order, 1 could not listen, 2 wrong settings.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = tamarack::load_agent_settings(FLAGS_settings);
    if (!tamarack::ok(settings)) {
        std::cerr << to_string(tamarack::failure(settings)) << "\n";
        return 2;
    }
    tamarack::start_logging(tamarack::value(settings).log_level_);
    tamarack::agent::control control(tamarack::value(settings));
    return control.run();
}
