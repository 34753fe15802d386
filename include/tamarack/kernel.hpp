// Kernel: typed errors, results, clocks, hashing, small text helpers and the registry of plug-ins.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace tamarack {

// Category of a failure. Callers branch on it; the message is for people.
enum class error_kind {
    invalid,     // the input is wrong; a retry will fail again
    conflict,    // a concurrent change was accepted first
    not_found,   // no item has this name
    unreachable, // no byte left this process; the operation was not started
    interrupted, // bytes left this process; whether the operation took effect is unknown
    timeout,     // the time limit passed; whether the operation took effect is unknown
    too_large,   // a declared limit was exceeded
    unavailable, // a dependency refused or is down
};

// A typed failure. `message_` describes the fault and `remedy_` what the user can do about it.
struct error {
    error_kind kind_;
    std::string message_;
    std::string remedy_;
};

// Returns "message; remedy" for logs and responses.
std::string to_string(const error& failure);

// Returns the name of the kind in snake_case.
std::string_view to_string(error_kind kind);

// Either the value of an operation or its error.
template <typename T>
using result = std::variant<T, error>;

template <typename T>
bool ok(const result<T>& outcome) {
    return outcome.index() == 0;
}

template <typename T>
T& value(result<T>& outcome) {
    return std::get<0>(outcome);
}

template <typename T>
const T& value(const result<T>& outcome) {
    return std::get<0>(outcome);
}

template <typename T>
const error& failure(const result<T>& outcome) {
    return std::get<1>(outcome);
}

// Success value of operations that return no data.
struct done {};

// Monotonic time for the decision code: milliseconds since an arbitrary origin, never wall-clock time.
using time_ms = std::int64_t;

// Reads the monotonic clock. For programs only: the decision code takes the time as an argument.
time_ms steady_now_ms();

// Reads a monotonic clock that, unlike `steady_now_ms`, also counts the time for which the instance was
// suspended. For the age of what a process knows.
time_ms boot_now_ms();

// 64-bit hash of `bytes`, the same in every process and build.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

// Returns an identifier for this run of the process: wall-clock milliseconds followed by random bits, which
// tell apart processes that start in the same millisecond. The identifier increases with the wall clock from
// one run to the next, which tells later incarnations from earlier ones.
std::uint64_t new_incarnation();

// Combines two hashes into one; not commutative.
std::uint64_t mix64(std::uint64_t first, std::uint64_t second);

// Splits a comma-separated list, such as the value of a flag.
std::vector<std::string> split_list(std::string_view text);

// Formats `number` as sixteen hexadecimal digits.
std::string to_hex(std::uint64_t number);

// Plug-ins of one interface by name. A plug-in is registered by a static `registration`.
template <typename Plugin>
class registry {
public:
    // The only registry of this interface in the process.
    static registry& instance() {
        static registry one;
        return one;
    }

    void add(std::string name, Plugin plugin) {
        plugins_.insert_or_assign(std::move(name), std::move(plugin));
    }

    // The plug-in with that name, or null.
    const Plugin* find(std::string_view name) const {
        auto found = plugins_.find(name);
        return found == plugins_.end() ? nullptr : &found->second;
    }

    // All names, sorted, for error messages.
    std::vector<std::string> names() const {
        std::vector<std::string> all;
        for (const auto& [name, plugin] : plugins_) {
            all.push_back(name);
        }
        return all;
    }

private:
    std::map<std::string, Plugin, std::less<>> plugins_;
};

// Registers `plugin` under `name` when a static object of this type is constructed.
template <typename Plugin>
struct registration {
    registration(std::string name, Plugin plugin) {
        registry<Plugin>::instance().add(std::move(name), std::move(plugin));
    }
};

} // namespace tamarack
