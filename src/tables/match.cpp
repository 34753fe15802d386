#include "tamarack/tables.hpp"

#include <algorithm>

namespace tamarack {

namespace {

bool field_matches(std::string_view pattern, std::string_view given) {
    return pattern == "*" || pattern == given;
}

// A prefix matches whole path segments only, so that "/book" does not match "/bookkeeping".
bool path_matches(std::string_view prefix, std::string_view path) {
    if (!path.starts_with(prefix)) {
        return false;
    }
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

bool route_matches(const route_row& route, const route_query& request) {
    return path_matches(route.path_prefix_, request.path_) && field_matches(route.method_, request.method_) &&
           field_matches(route.organisation_, request.organisation_) &&
           (route.model_ == "*" || parse_model_reference(route.model_).model_ == request.model_);
}

int exact_field_count(const route_row& route) {
    return int(route.method_ != "*") + int(route.organisation_ != "*") + int(route.model_ != "*");
}

bool more_specific(const route_row& left, const route_row& right) {
    if (left.path_prefix_.size() != right.path_prefix_.size()) {
        return left.path_prefix_.size() > right.path_prefix_.size();
    }
    return exact_field_count(left) > exact_field_count(right);
}

void split_version(std::string_view text, std::string& name, std::string& version) {
    const std::size_t at = text.find('@');
    name = text.substr(0, at);
    version = at == std::string_view::npos ? std::string_view() : text.substr(at + 1);
}

} // namespace

const route_row* match_route(const tables& in_force, const route_query& request) {
    const route_row* best = nullptr;
    for (const auto& [name, route] : in_force.routes_) {
        if (route_matches(route, request) && (best == nullptr || more_specific(route, *best))) {
            best = &route;
        }
    }
    return best;
}

model_reference parse_model_reference(std::string_view text) {
    model_reference reference;
    const std::size_t colon = text.find(':');
    split_version(text.substr(0, colon), reference.model_, reference.model_version_);
    if (colon != std::string_view::npos) {
        split_version(text.substr(colon + 1), reference.adapter_, reference.adapter_version_);
    }
    return reference;
}

std::string item_name(const model_row& model) {
    return model.name_ + "@" + model.version_;
}

std::string item_name(const model_row& model, const adapter_row& adapter) {
    return model.name_ + ":" + adapter.name_ + "@" + adapter.version_;
}

std::string configured_item(const pool_row& pool, const model_reference& reference) {
    const model_row* model = find_model(pool, reference.model_);
    if (model == nullptr) {
        return {};
    }
    if (reference.adapter_.empty()) {
        return item_name(*model);
    }
    const adapter_row* adapter = find_adapter(*model, reference.adapter_);
    return adapter == nullptr ? std::string() : item_name(*model, *adapter);
}

const model_row* find_model(const pool_row& pool, std::string_view name) {
    auto found = std::find_if(pool.models_.begin(), pool.models_.end(),
                              [&](const model_row& model) { return model.name_ == name; });
    return found == pool.models_.end() ? nullptr : &*found;
}

const adapter_row* find_adapter(const model_row& model, std::string_view name) {
    auto found = std::find_if(model.adapters_.begin(), model.adapters_.end(),
                              [&](const adapter_row& adapter) { return adapter.name_ == name; });
    return found == model.adapters_.end() ? nullptr : &*found;
}

} // namespace tamarack
