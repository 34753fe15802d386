// Startup shared by the gateway and the engine agent: flags, settings, logging and exit codes.
#pragma once

#include "observe/uncaught.hpp"
#include "tamarack/events.hpp"
#include "tamarack/observe.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DECLARE_string(settings);

namespace tamarack {

// Loads the settings file given by `--settings` and runs `body` with the settings and an event log. `load`
// maps a path to a result whose value has a member `id_`. Returns the exit code.
template <typename Load, typename Body>
int run_program(int argc, char** argv, const char* name, Load load, Body body) {
    constexpr int exit_invalid_settings = 2;
    // By default, a SIGHUP that arrives before its handler is installed would end the process.
    std::signal(SIGHUP, SIG_IGN);
    gflags::SetUsageMessage(std::string(name) +
                            " --settings=FILE\n"
                            "Exit codes: 0 stopped in order, 1 could not listen, 2 wrong settings.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = load(FLAGS_settings);
    if (!ok(settings)) {
        std::cerr << to_string(failure(settings)) << "\n";
        return exit_invalid_settings;
    }
    start_logging("info");
    log_uncaught_errors(value(settings).id_);
    event_log events(value(settings).id_, event_rate(), standard_output_sink());
    return body(value(settings), events);
}

} // namespace tamarack
