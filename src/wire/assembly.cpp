#include "tamarack/wire.hpp"

namespace tamarack::wire {

response_assembly::part_check response_assembly::add_head(const head& part) {
    if (part.attempt_ != attempt_) {
        return part_check::drop;
    }
    if (has_head_ || complete_) {
        return part_check::broken;
    }
    has_head_ = true;
    return part_check::accept;
}

response_assembly::part_check response_assembly::add_chunk(const chunk& part) {
    if (part.attempt_ != attempt_) {
        return part_check::drop;
    }
    if (!has_head_ || complete_ || part.sequence_ != next_sequence_) {
        return part_check::broken;
    }
    ++next_sequence_;
    return part_check::accept;
}

response_assembly::part_check response_assembly::add_end(const end& part) {
    if (part.attempt_ != attempt_) {
        return part_check::drop;
    }
    if (!has_head_ || complete_ || part.chunks_ != next_sequence_) {
        return part_check::broken;
    }
    complete_ = true;
    return part_check::accept;
}

} // namespace tamarack::wire
