#include "tamarack/wire.hpp"

namespace tamarack::wire {

response_assembly::verdict response_assembly::add_head(const head& one) {
    if (one.attempt_ != attempt_) {
        return verdict::drop;
    }
    if (begun_ || complete_) {
        return verdict::broken;
    }
    begun_ = true;
    return verdict::accept;
}

response_assembly::verdict response_assembly::add_chunk(const chunk& one) {
    if (one.attempt_ != attempt_) {
        return verdict::drop;
    }
    if (!begun_ || complete_ || one.sequence_ != next_) {
        return verdict::broken;
    }
    ++next_;
    return verdict::accept;
}

response_assembly::verdict response_assembly::add_end(const end& one) {
    if (one.attempt_ != attempt_) {
        return verdict::drop;
    }
    if (!begun_ || complete_ || one.chunks_ != next_) {
        return verdict::broken;
    }
    complete_ = true;
    return verdict::accept;
}

} // namespace tamarack::wire
