// Helpers of the commands: reading files, blocking calls of the platform's services, and error output.
#pragma once

#include "ctl/commands.hpp"

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

namespace tamarack::ctl {

// Runs a coroutine to completion on the calling thread and returns its value.
template <typename T>
T run_blocking(std::function<boost::asio::awaitable<T>()> coroutine);

// The accepted state and the result of every change, read from the whole retained log.
struct log_view {
    config_state state_;
    std::vector<change_result> results_;
};

result<log_view> read_log(const options& flags);

// Reads and checks both table files. All faults of the tables are reported in one error, one a line.
result<tables> read_tables(const options& flags);

// Prints an error as text or JSON and returns the exit code for its kind.
int print_error(const options& flags, const error& problem);

// Parses `text`, the value of --`flag`, as an address. The error names the flag.
result<boost::asio::ip::tcp::endpoint> parse_address_flag(const std::string& text, const char* flag);

} // namespace tamarack::ctl
