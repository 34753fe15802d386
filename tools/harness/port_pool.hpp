// Ports for the processes of one run. Runs beside each other on one machine get different ones.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack::harness {

class port_pool {
public:
    // `folder` holds the lock files of the blocks of ports. It is made if it is missing.
    explicit port_pool(std::string folder);
    ~port_pool();
    port_pool(const port_pool&) = delete;
    port_pool& operator=(const port_pool&) = delete;

    // Returns a port that nothing listens on, of a block that no other pool holds. Throws std::runtime_error
    // if other pools hold all blocks.
    std::uint16_t take();

private:
    void lock_next_block();

    std::string folder_;
    std::vector<int> locks_; // descriptors of the lock files
    int block_ = 0;
    int used_in_block_ = 0;
};

} // namespace tamarack::harness
