// tamarack-engine-agent runs next to one engine and is the only process that sends it orders.
#include "engine_agent/agent.hpp"
#include "observe/program.hpp"

DEFINE_string(settings, "", "path of the JSON settings file");

int main(int argc, char** argv) {
    return tamarack::run_program(argc, argv, "tamarack-engine-agent", tamarack::load_engine_agent_settings,
                                 [](const auto& settings, tamarack::event_log& events) {
                                     return tamarack::engine_agent::agent(settings, events).run();
                                 });
}
