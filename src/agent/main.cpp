// tamarack-agent: runs next to one endpoint; all requests to the endpoint go through it.
#include "agent/control.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "path of the JSON settings file");

int main(int argc, char** argv) {
    gflags::SetUsageMessage("tamarack-agent --settings=FILE\n"
                            "Exit codes: 0 normal exit, 1 cannot listen, 2 invalid settings.");
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
