#include "tamarack/provisioning.hpp"

#include <algorithm>

namespace tamarack::provisioning {

int adapters_that_fit(const fleet::engine_spec& spec, std::span<const fleet::held_model> models) {
    double free_mb = spec.weights_mb_;
    for (const fleet::held_model& model : models) {
        const fleet::model_spec* known = spec.find_model(model.name_);
        // A model of unknown size is assumed to fill the memory.
        free_mb -= known == nullptr ? spec.weights_mb_ : known->weights_mb_;
    }
    double largest_mb = 0;
    for (const fleet::model_spec& model : spec.models_) {
        largest_mb = std::max(largest_mb, model.adapters_ > 0 ? model.adapter_mb_ : 0.0);
    }
    if (largest_mb <= 0) {
        return spec.adapter_slots_;
    }
    return std::clamp(int(std::max(0.0, free_mb) / largest_mb), 0, spec.adapter_slots_);
}

} // namespace tamarack::provisioning
