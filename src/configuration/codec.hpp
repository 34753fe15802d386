// JSON encoding of configuration records, internal to the library.
#pragma once

#include "tamarack/configuration.hpp"

namespace tamarack {

// Parses a change record. Returns nothing for text that is not a change. Appends a fault for each error in a
// row.
std::optional<config_change> decode_change(std::string_view text, std::vector<table_fault>& faults);

// Returns whether the text is marked as a snapshot record, even if the rest of it is malformed.
bool is_snapshot(std::string_view text);

} // namespace tamarack
