// tamarack-gateway: accepts client requests, routes each to an endpoint and relays the response.
#include "gateway/control.hpp"
#include "observe/program.hpp"
#include "tamarack/memory.hpp"

DEFINE_string(settings, "", "path of the JSON settings file");

int main(int argc, char** argv) {
    tamarack::memory::return_freed_memory();
    return tamarack::run_program(
        argc, argv, "tamarack-gateway", tamarack::load_gateway_settings,
        [](const auto& settings, tamarack::event_log& events) {
            return tamarack::gateway::control(settings, FLAGS_settings, events).run();
        });
}
