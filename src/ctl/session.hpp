// What the commands share: files, blocking calls of the platform, and output.
#pragma once

#include "ctl/commands.hpp"

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

namespace tamarack::ctl {

// Runs one coroutine to its end and returns its value.
template <typename T>
T run(std::function<boost::asio::awaitable<T>()> work);

// The accepted state and the result of every change, read from the whole retained log.
struct log_view {
    config_state state_;
    std::vector<change_result> results_;
};

result<log_view> read_log(const options& given);

// Reads both table files and checks them. Prints every fault; empty if there was one.
result<tables> read_tables(const options& given);

// Prints an error in the chosen form and returns the exit code for its kind.
int report(const options& given, const error& wrong);

// Parses the address given with a flag.
result<boost::asio::ip::tcp::endpoint> address_flag(const std::string& text, const char* flag);

} // namespace tamarack::ctl
