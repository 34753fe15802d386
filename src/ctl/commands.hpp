// The commands of tamarackctl. Each prints its result and returns the exit code of the process.
#pragma once

#include "tamarack/configuration.hpp"
#include "tamarack/platform.hpp"

namespace tamarack::ctl {

// Exit codes of all commands.
inline constexpr int exit_ok = 0;
inline constexpr int exit_rejected = 1;    // faulty tables, a rejected change, or no match
inline constexpr int exit_usage = 2;       // wrong flags or files
inline constexpr int exit_unavailable = 3; // a service could not be reached, or the outcome is unknown

struct options {
    bool json_ = false;
    std::string routes_file_;
    std::string pools_file_;
    std::string log_;
    std::string list_;
    std::string instances_; // admin addresses, separated by commas
    std::string author_;
    std::string id_;
    std::int64_t base_ = -2; // version that the change was made from, or no_base for the current one
    std::string method_;
    std::string path_;
    std::string organisation_;
    std::string model_;
    std::string key_;
    std::string events_;  // files with event lines, separated by commas
    std::string request_; // id of the request whose events are shown
};

inline constexpr std::int64_t no_base = -2;

int validate(const options& flags);
int publish(const options& flags);
int history(const options& flags);
int show(const options& flags);
int status(const options& flags);
int explain(const options& flags);
int story(const options& flags);

} // namespace tamarack::ctl
