// The life cycle of an agent's shutdown.
#pragma once

#include <memory>
#include <string_view>

namespace tamarack::agent {

enum class shutdown_phase {
    serving,  // takes new requests
    leaving,  // refuses new requests, finishes those that run; stays up, because only the list named it as
              // leaving
    draining, // as leaving, and ends once nothing runs
    stopped,
};

enum class shutdown_event { listed_as_leaving, stop_requested, drained, time_limit_reached };

std::string_view to_string(shutdown_phase phase);

class shutdown_machine {
public:
    shutdown_machine();
    ~shutdown_machine();

    // Events that do not apply in the present phase are ignored.
    void process(shutdown_event event);

    shutdown_phase phase() const;

    bool accepts_new_requests() const { return phase() == shutdown_phase::serving; }

private:
    struct machine;
    std::unique_ptr<machine> machine_;
};

} // namespace tamarack::agent
