// State machine of an agent's shutdown.
#pragma once

#include <memory>
#include <string_view>

namespace tamarack::agent {

enum class shutdown_phase {
    serving,  // accepts new requests
    leaving,  // refuses new requests and finishes running ones; the process stays up, because it was only
              // listed as leaving
    draining, // refuses new requests and stops once no request is left or the time limit is reached
    stopped,
};

enum class shutdown_event { listed_as_leaving, stop_requested, drained, time_limit_reached };

std::string_view to_string(shutdown_phase phase);

class shutdown_machine {
public:
    shutdown_machine();
    ~shutdown_machine();

    // Ignores events that do not apply in the current phase.
    void process(shutdown_event event);

    shutdown_phase phase() const;

    bool accepts_new_requests() const { return phase() == shutdown_phase::serving; }

private:
    struct machine;
    std::unique_ptr<machine> machine_;
};

} // namespace tamarack::agent
