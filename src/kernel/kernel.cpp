#include "tamarack/kernel.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <random>

namespace tamarack {

std::string to_string(const error& failure) {
    if (failure.remedy_.empty()) {
        return failure.message_;
    }
    return failure.message_ + "; " + failure.remedy_;
}

std::string_view to_string(error_kind kind) {
    switch (kind) {
    case error_kind::invalid:
        return "invalid";
    case error_kind::conflict:
        return "conflict";
    case error_kind::not_found:
        return "not_found";
    case error_kind::unreachable:
        return "unreachable";
    case error_kind::interrupted:
        return "interrupted";
    case error_kind::timeout:
        return "timeout";
    case error_kind::too_large:
        return "too_large";
    case error_kind::unavailable:
        return "unavailable";
    }
    return "unknown";
}

time_ms steady_now_ms() {
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

time_ms boot_now_ms() {
    constexpr time_ms ms_per_s = 1'000;
    constexpr time_ms ns_per_ms = 1'000'000;
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return time_ms(now.tv_sec) * ms_per_s + time_ms(now.tv_nsec) / ns_per_ms;
}

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed) {
    return XXH64(bytes.data(), bytes.size(), seed);
}

std::uint64_t new_incarnation() {
    constexpr unsigned random_bits = 20;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto now_ms = std::uint64_t(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    const std::uint64_t random = std::random_device()() & ((1U << random_bits) - 1);
    return (now_ms << random_bits) | random;
}

std::uint64_t mix64(std::uint64_t first, std::uint64_t second) {
    std::array<std::uint64_t, 2> both{first, second};
    return XXH64(both.data(), sizeof(both), 0);
}

std::vector<std::string> split_list(std::string_view text) {
    std::vector<std::string> parts;
    while (!text.empty()) {
        const std::string_view part = text.substr(0, text.find(','));
        parts.emplace_back(part);
        text.remove_prefix(std::min(text.size(), part.size() + 1));
    }
    return parts;
}

std::string to_hex(std::uint64_t number) {
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(number));
    return digits.data();
}

} // namespace tamarack
