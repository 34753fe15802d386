// Report of the contract's terms that a process does not keep, shared by the gateway and the engine agent.
#pragma once

#include "tamarack/contract.hpp"
#include "tamarack/events.hpp"
#include "tamarack/observe.hpp"

namespace tamarack {

// Sets the metric `tamarack_contract_terms_ignored`, and writes a line with the terms if there are any.
// `part` is the part of the program that the line names.
void report_contract(const contract::terms& told, std::string_view platform, std::string_view part,
                     event_log& events, metrics& measures);

} // namespace tamarack
