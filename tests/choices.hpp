// A sequence of choices that drives a model under test. RapidCheck generates and shrinks the sequence.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace tamarack::fixtures {

class choices {
public:
    explicit choices(std::vector<std::uint32_t> sequence) : sequence_(std::move(sequence)) {}

    bool has_next() const { return position_ < sequence_.size(); }

    // Returns the next choice, a number below `bound`, or zero after the end of the sequence.
    std::uint64_t next_below(std::uint64_t bound) { return has_next() ? sequence_[position_++] % bound : 0; }

private:
    std::vector<std::uint32_t> sequence_;
    std::size_t position_ = 0;
};

// Returns a random sequence for a seed, for tests that search for a fault.
inline std::vector<std::uint32_t> random_sequence(std::uint64_t seed, std::size_t length) {
    std::mt19937_64 random(seed);
    std::vector<std::uint32_t> sequence(length);
    for (std::uint32_t& choice : sequence) {
        choice = std::uint32_t(random() >> 32);
    }
    return sequence;
}

} // namespace tamarack::fixtures
