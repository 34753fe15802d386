#include "tamarack/memory.hpp"

#include <algorithm>
#include <numeric>

#include <malloc.h>
#include <sys/resource.h>
#include <sys/sysinfo.h>

namespace tamarack::memory {

namespace {

// Shares of a process's memory, by pool. The rest is for the view of the fleet, links, connections to
// endpoints and what the allocator cannot reuse. A body of 4 MB fits into the smallest memory that the
// settings allow.
constexpr std::array<double, pool_count> pool_shares = {0.12, 0.26, 0.14, 0.18};
constexpr double connections_share = 0.08;

constexpr std::size_t connection_bytes = 8 * 1024; // memory of an idle connection and its operations
constexpr int file_descriptors = 200;              // kept for files, listeners and the event loop
constexpr double client_descriptors_share = 0.6;   // the others are for endpoints, agents and the store

constexpr double target_share = 0.875;         // share of a pool's limit that is held after evictions
constexpr std::size_t small_bytes = 64 * 1024; // always admitted

// A machine may be shared by processes, so one that is told no limit does not use all of its memory.
constexpr std::size_t most_unspecified_bytes = 1024ULL * 1024 * 1024;

std::size_t share_of(std::size_t bytes, double share) {
    return std::size_t(double(bytes) * share);
}

} // namespace

std::string_view to_string(pool which) {
    switch (which) {
    case pool::receiving:
        return "receiving";
    case pool::in_service:
        return "in_service";
    case pool::arriving:
        return "arriving";
    case pool::responses:
        return "responses";
    }
    return "unknown";
}

limits limits_for(std::size_t memory_bytes, int descriptors) {
    limits allowed;
    for (std::size_t index = 0; index < pool_count; ++index) {
        allowed.bytes_[index] = share_of(memory_bytes, pool_shares[index]);
    }
    const int by_memory = int(std::min<std::size_t>(
        share_of(memory_bytes, connections_share) / connection_bytes, std::size_t(descriptors)));
    const int by_descriptors = int(double(descriptors - file_descriptors) * client_descriptors_share);
    allowed.connections_ = std::max(1, std::min(by_memory, by_descriptors));
    return allowed;
}

std::size_t machine_memory_bytes() {
    struct sysinfo machine {};
    if (::sysinfo(&machine) != 0) {
        return most_unspecified_bytes;
    }
    return std::min(std::size_t(machine.totalram) * machine.mem_unit, most_unspecified_bytes);
}

int descriptor_limit() {
    constexpr rlim_t most = 1024 * 1024;
    constexpr int assumed = 1'024; // the usual limit of a process
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return assumed;
    }
    return int(std::min(limit.rlim_cur, most));
}

void return_freed_memory() {
    // Setting a threshold also keeps the allocator from raising it by itself.
    constexpr int mapped_block_bytes = 64 * 1024;
    constexpr int kept_bytes = 1024 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
    ::mallopt(M_TRIM_THRESHOLD, kept_bytes);
}

account::account(const limits& allowed, std::function<void(pool)> exceeded)
    : allowed_(allowed), exceeded_(std::move(exceeded)) {}

std::size_t account::excess(pool which) const {
    const std::size_t limit = allowed_.of(which);
    return held(which) > limit ? held(which) - share_of(limit, target_share) : 0;
}

bool account::is_scarce(pool which) const {
    return held(which) > allowed_.of(which) / 2;
}

void account::change(pool which, std::size_t before, std::size_t after) {
    std::size_t& held = held_[std::size_t(which)];
    held = held - before + after;
    most_[std::size_t(which)] = std::max(most(which), held);
    if (after > before && held > allowed_.of(which)) {
        exceeded_(which);
    }
}

void charge::set(std::size_t bytes) {
    if (bytes != bytes_) {
        owner_.change(pool_, std::exchange(bytes_, bytes), bytes);
    }
}

std::vector<std::size_t> choose_evictions(std::span<const holder> holders, std::size_t excess, time_ms now) {
    // One ms more, so that what was received within this ms is ordered by its size.
    const auto cost = [&](std::size_t index) {
        return double(holders[index].bytes_) * double(std::max<time_ms>(0, now - holders[index].since_) + 1);
    };
    std::vector<std::size_t> order(holders.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    std::sort(order.begin(), order.end(),
              [&](std::size_t left, std::size_t right) { return cost(left) > cost(right); });
    std::size_t freed = 0;
    std::size_t count = 0;
    while (count < order.size() && freed < excess) {
        freed += holders[order[count++]].bytes_;
    }
    order.resize(count);
    return order;
}

bool admits(std::size_t limit, std::size_t others, std::size_t bytes) {
    return others == 0 || bytes <= small_bytes || others + bytes <= limit;
}

} // namespace tamarack::memory
