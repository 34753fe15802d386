#include "tamarack/wire.hpp"

namespace tamarack::wire {

response_assembly::part_check response_assembly::add_head(const head& one) {
    if (one.attempt_ != attempt_) {
        return part_check::drop;
    }
    if (begun_ || complete_) {
        return part_check::broken;
    }
    begun_ = true;
    return part_check::accept;
}

response_assembly::part_check response_assembly::add_chunk(const chunk& one) {
    if (one.attempt_ != attempt_) {
        return part_check::drop;
    }
    if (!begun_ || complete_ || one.sequence_ != next_) {
        return part_check::broken;
    }
    ++next_;
    return part_check::accept;
}

response_assembly::part_check response_assembly::add_end(const end& one) {
    if (one.attempt_ != attempt_) {
        return part_check::drop;
    }
    if (!begun_ || complete_ || one.chunks_ != next_) {
        return part_check::broken;
    }
    complete_ = true;
    return part_check::accept;
}

} // namespace tamarack::wire
