#include "tamarack/fleet.hpp"

#include <algorithm>
#include <cctype>

namespace tamarack::fleet {

namespace {

std::string lower_host(std::string_view host) {
    const std::size_t colon = host.rfind(':');
    if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos) {
        host = host.substr(0, colon);
    }
    std::string lower(host);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char letter) { return char(std::tolower(letter)); });
    return lower;
}

} // namespace

const model_spec* engine_spec::find_model(std::string_view name) const {
    const auto found = std::find_if(models_.begin(), models_.end(),
                                    [&](const model_spec& model) { return model.name_ == name; });
    return found == models_.end() ? nullptr : &*found;
}

const service_spec* configuration::find_service(std::string_view name) const {
    const auto found = std::find_if(services_.begin(), services_.end(),
                                    [&](const service_spec& service) { return service.name_ == name; });
    return found == services_.end() ? nullptr : &*found;
}

route_index::route_index(const configuration& configuration) {
    for (const route_rule& route : configuration.routes_) {
        const auto [known, added] = routes_.emplace(lower_host(route.host_) + "\n" + route.prefix_, &route);
        // Of several routes with one prefix, the first that is not public counts.
        if (!added && known->second->public_ && !route.public_) {
            known->second = &route;
        }
    }
}

const route_rule* route_index::match(std::string_view host, std::string_view path) const {
    const std::string key = lower_host(host) + "\n";
    std::size_t end = path.rfind('/');
    while (end != std::string_view::npos) {
        const auto found = routes_.find(key + std::string(path.substr(0, end + 1)));
        if (found != routes_.end()) {
            return found->second;
        }
        if (end == 0) {
            break;
        }
        end = path.rfind('/', end - 1);
    }
    return nullptr;
}

const std::string* choose_target(const route_rule& route, double point) {
    double total = 0;
    for (const route_target& target : route.targets_) {
        total += std::max(0.0, target.weight_);
    }
    double left = point * total;
    const std::string* last = nullptr;
    for (const route_target& target : route.targets_) {
        if (target.weight_ <= 0) {
            continue;
        }
        last = &target.service_;
        left -= target.weight_;
        if (left < 0) {
            return last;
        }
    }
    return last;
}

model_reference parse_model_reference(std::string_view text) {
    const std::size_t slash = text.find('/');
    if (slash == std::string_view::npos) {
        return {text, {}};
    }
    return {text.substr(0, slash), text.substr(slash + 1)};
}

} // namespace tamarack::fleet
