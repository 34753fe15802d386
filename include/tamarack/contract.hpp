// Contract: the terms of a deployment that a process is told of in its settings, compared with those that the
// program keeps.
//
// Nothing here does I/O. The words of a platform's contract are in its plug-in.
#pragma once

#include "tamarack/kernel.hpp"

#include <limits>
#include <map>
#include <optional>
#include <set>

namespace tamarack::contract {

// The terms that a process is told of.
struct terms {
    std::vector<std::string> parts_; // parts of the contract that are in force

    // Bounds by name. A flag counts as 0 or 1; none if the value is neither a number nor a flag.
    std::map<std::string, std::optional<double>, std::less<>> bounds_;

    bool operator==(const terms&) const = default;
};

// Values of a bound that a program keeps.
struct kept_values {
    double least_ = -std::numeric_limits<double>::infinity();
    double most_ = std::numeric_limits<double>::infinity();
};

// The terms that the programs of a platform keep. Registered under the name of the platform.
struct kept_terms {
    std::set<std::string, std::less<>> parts_;
    std::map<std::string, kept_values, std::less<>> bounds_;
};

// Names the terms that are not kept: parts and bounds that are not known, as "NAME", and known bounds with
// another value than those that are kept, as "NAME=VALUE".
std::vector<std::string> ignored_terms(const terms& told, const kept_terms& kept);

// Returns the first of the terms, each cut to a length that a line can hold.
std::vector<std::string> listed(const std::set<std::string>& all);

// Joins terms with commas, for a line.
std::string joined(const std::vector<std::string>& all);

} // namespace tamarack::contract
