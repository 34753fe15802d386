#include "tamarack/memory.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <numeric>

namespace tamarack::memory {

namespace {

constexpr std::size_t mb = 1024 * 1024;

} // namespace

// The smallest machine that the settings allow must hold one request of the largest usual body.
TEST_CASE("memory_limits_of_small_and_large_machines_fit_their_memory_and_descriptors") {
    const limits smallest = limits_for(40 * mb, 256);
    CHECK(smallest.of(pool::receiving) >= 4 * mb);
    CHECK(smallest.connections_ >= 1);
    for (const std::size_t memory_mb : {40, 64, 120, 260, 512, 1024}) {
        for (const int descriptors : {256, 700, 3'150, 10'500}) {
            CAPTURE(memory_mb);
            CAPTURE(descriptors);
            const limits allowed = limits_for(memory_mb * mb, descriptors);
            const std::size_t all =
                std::accumulate(allowed.bytes_.begin(), allowed.bytes_.end(), std::size_t(0));
            CHECK(all + std::size_t(allowed.connections_) * 8 * 1024 <= memory_mb * mb * 4 / 5);
            CHECK(allowed.connections_ < descriptors - 200);
        }
    }
}

TEST_CASE("memory_account_charges_change_and_end_held_is_their_sum") {
    CHECK(rc::check([](const std::vector<std::pair<std::uint8_t, std::uint16_t>>& changes) {
        limits allowed;
        allowed.bytes_.fill(20'000);
        int exceeded = 0;
        account all(allowed, [&](pool) { ++exceeded; });
        std::array<std::unique_ptr<charge>, 4> charges;
        for (const auto& [index, bytes] : changes) {
            auto& one = charges[index % charges.size()];
            if (one == nullptr || bytes % 7 == 0) {
                one = std::make_unique<charge>(all, pool(index % pool_count));
            }
            const std::size_t before = all.held(pool(index % pool_count));
            const int exceeded_before = exceeded;
            one->set(bytes);
            const std::size_t after = all.held(pool(index % pool_count));
            RC_ASSERT((exceeded > exceeded_before) == (after > before && after > 20'000));
            RC_ASSERT(all.most(pool(index % pool_count)) >= after);
            std::array<std::size_t, pool_count> sum = {};
            for (std::size_t slot = 0; slot < charges.size(); ++slot) {
                sum[slot % pool_count] += charges[slot] ? charges[slot]->bytes() : 0;
            }
            for (std::size_t slot = 0; slot < pool_count; ++slot) {
                RC_ASSERT(all.held(pool(slot)) == sum[slot]);
                RC_ASSERT((all.excess(pool(slot)) > 0) == (sum[slot] > 20'000));
            }
        }
        charges = {};
        for (std::size_t slot = 0; slot < pool_count; ++slot) {
            RC_ASSERT(all.held(pool(slot)) == 0);
        }
    }));
}

// Guards against ending small new requests for what large old ones hold.
TEST_CASE("memory_evictions_large_and_old_holders_go_first_and_no_more_than_needed") {
    constexpr time_ms now = 10'000;
    const std::vector<holder> holders = {
        {1'000, now},            // an ordinary request that has just arrived
        {mb, now - 5'000},       // a body that stopped short
        {mb, now - 4'000},       // another one
        {64 * 1'024, now - 100}, // one that comes quickly
    };
    CHECK(choose_evictions(holders, 1, now) == std::vector<std::size_t>{1});
    CHECK(choose_evictions(holders, mb + 1, now) == std::vector<std::size_t>{1, 2});
    CHECK(choose_evictions(holders, 2 * mb + 1, now) == std::vector<std::size_t>{1, 2, 3});
    CHECK(choose_evictions(holders, 10 * mb, now).size() == holders.size());
    CHECK(choose_evictions(holders, 0, now).empty());
    CHECK(choose_evictions({}, 10, now).empty());
}

// A request within the configuration's limits is served in calm, however little memory there is.
TEST_CASE("memory_admission_one_alone_and_small_ones_are_always_admitted") {
    CHECK(admits(mb, 0, 8 * mb));
    CHECK(admits(mb, mb, 1'000));
    CHECK(admits(mb, mb / 2, mb / 2));
    CHECK_FALSE(admits(mb, mb / 2, mb / 2 + 1));
}

} // namespace tamarack::memory
