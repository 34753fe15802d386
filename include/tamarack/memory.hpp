// Accounts for the memory that clients and endpoints make a process hold, and chooses which connections end
// when it runs out. Does no I/O and reads no clock.
#pragma once

#include "tamarack/kernel.hpp"

#include <array>
#include <functional>
#include <span>

namespace tamarack::memory {

// What bytes are held for. Each pool has a limit of its own, so that slow readers cannot take the memory that
// new requests need, nor slow senders that of requests in service.
enum class pool {
    receiving,  // received bytes, until their request is complete
    in_service, // requests from then on until they end
    arriving,   // responses that are complete before they are forwarded, until then
    responses,  // responses, until they are written to the client
};
inline constexpr std::size_t pool_count = 4;

std::string_view to_string(pool which);

// Limits of one process.
struct limits {
    std::array<std::size_t, pool_count> bytes_ = {}; // limit of each pool, in bytes
    int connections_ = 0;                            // limit of client connections

    std::size_t of(pool which) const { return bytes_[std::size_t(which)]; }
};

// Limits for a process that may use `memory_bytes` and open `descriptors`.
limits limits_for(std::size_t memory_bytes, int descriptors);

// Memory of this machine in bytes, and the number of descriptors that this process may open. Used where the
// settings name none.
std::size_t machine_memory_bytes();
int descriptor_limit();

// Makes the allocator return large blocks to the system when they are freed. Otherwise it keeps what bodies
// have grown through, and a process takes several times the memory that it holds. To be called at the start.
void return_freed_memory();

// Bytes that are held, by pool.
class account {
public:
    // `exceeded` is called each time a pool grows beyond its limit. It may run while the growing charge is
    // being set, so it should only schedule the release of memory.
    account(const limits& allowed, std::function<void(pool)> exceeded);

    std::size_t held(pool which) const { return held_[std::size_t(which)]; }
    std::size_t most(pool which) const { return most_[std::size_t(which)]; } // since the start
    const limits& allowed() const { return allowed_; }

    // Bytes to free so that the pool is below its limit by a margin; 0 if the limit is not exceeded. The
    // margin spares a new choice of connections with each further byte.
    std::size_t excess(pool which) const;

    // Whether over half of the pool is held.
    bool is_scarce(pool which) const;

private:
    friend class charge;
    void change(pool which, std::size_t before, std::size_t after);

    limits allowed_;
    std::function<void(pool)> exceeded_;
    std::array<std::size_t, pool_count> held_ = {};
    std::array<std::size_t, pool_count> most_ = {};
};

// Bytes held for one purpose, for as long as the object lives.
class charge {
public:
    charge(account& owner, pool which) : owner_(owner), pool_(which) {}
    ~charge() { set(0); }
    charge(const charge&) = delete;
    charge& operator=(const charge&) = delete;

    void set(std::size_t bytes);
    std::size_t bytes() const { return bytes_; }

private:
    account& owner_;
    pool pool_;
    std::size_t bytes_ = 0;
};

// A connection that may be ended to free what it holds.
struct holder {
    std::size_t bytes_ = 0;
    time_ms since_ = 0; // when it began to hold them
};

// Chooses the holders to end so that `excess` bytes become free, or all of them if they hold less. Those that
// hold the most bytes for the longest time go first, whatever their progress: clients that send or read a
// little now and then cannot be told from those that stopped. Returns their indices.
std::vector<std::size_t> choose_evictions(std::span<const holder> holders, std::size_t excess, time_ms now);

// Whether something of `bytes` may be held beside `others`, the bytes of the same pool that cannot be freed.
// Small things and a single one always may.
bool admits(std::size_t limit, std::size_t others, std::size_t bytes);

} // namespace tamarack::memory
