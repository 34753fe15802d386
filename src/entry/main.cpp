// tamarack-entry: accepts callers' requests, routes each to an endpoint and relays the response.
#include "entry/control.hpp"
#include "tamarack/observe.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "path of the JSON settings file");

int main(int argc, char** argv) {
    gflags::SetUsageMessage("tamarack-entry --settings=FILE\n"
                            "Exit codes: 0 stopped after a signal, 1 could not listen, 2 invalid settings.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = tamarack::load_entry_settings(FLAGS_settings);
    if (!tamarack::ok(settings)) {
        std::cerr << to_string(tamarack::failure(settings)) << "\n";
        return 2;
    }
    tamarack::start_logging(tamarack::value(settings).log_level_);
    tamarack::entry::control_thread control(tamarack::value(settings));
    return control.run();
}
