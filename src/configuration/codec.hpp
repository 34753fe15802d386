// Text form of configuration records, for use within the library.
#pragma once

#include "tamarack/configuration.hpp"

namespace tamarack {

// Parses a change record. Returns nothing for text that is no change; wrong rows append faults.
std::optional<config_change> decode_change(std::string_view text, std::vector<table_fault>& faults);

// Whether the text is a snapshot record, well formed or not.
bool is_snapshot(std::string_view text);

} // namespace tamarack
