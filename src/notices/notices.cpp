#include "tamarack/notices.hpp"

#include <algorithm>

namespace tamarack::notices {

namespace {

// A back-off ends up to this share of its length later, by a hash of gateway and endpoint, so that gateways
// that were turned away together do not return together.
constexpr double spread_share = 0.1;
constexpr time_ms max_spread_ms = 500;

time_ms spread_ms(std::string_view endpoint, std::string_view gateway, time_ms duration) {
    constexpr std::uint64_t steps = 1'000;
    const auto longest = std::min(max_spread_ms, time_ms(double(duration) * spread_share));
    return longest * time_ms(hash64(gateway, hash64(endpoint)) % steps) / time_ms(steps);
}

} // namespace

std::string_view to_string(leaving_source source) {
    switch (source) {
    case leaving_source::response:
        return "response";
    case leaving_source::announcement:
        return "announcement";
    case leaving_source::report:
        return "report";
    case leaving_source::registry:
        return "registry";
    }
    return "unknown";
}

endpoint_notices::endpoint_notices(std::string own_id, time_ms started_at)
    : own_id_(own_id), limits_(std::move(own_id), started_at) {}

const endpoint_notices::state* endpoint_notices::find(const endpoint_key& at) const {
    const auto found = states_.find(at.id_);
    return found == states_.end() || found->second.incarnation_ != at.incarnation_ ? nullptr : &found->second;
}

// Returns the state of this incarnation, which begins if it is later than the known one. Returns null for an
// earlier incarnation, and if too many endpoints are known that are not listed.
endpoint_notices::state* endpoint_notices::learn(const endpoint_key& at, time_ms now) {
    const auto found = states_.find(at.id_);
    if (found == states_.end() && unlisted_ >= max_unlisted) {
        return nullptr;
    }
    if (found != states_.end() && found->second.incarnation_ > at.incarnation_) {
        return nullptr;
    }
    if (found != states_.end() && found->second.incarnation_ == at.incarnation_) {
        return &found->second;
    }
    state fresh;
    fresh.incarnation_ = at.incarnation_;
    fresh.listed_at_ = now;
    unlisted_ += found == states_.end() || found->second.listed_ ? 1 : 0;
    state& one = states_[std::string(at.id_)];
    one = fresh;
    return &one;
}

bool endpoint_notices::note_leaving(const endpoint_key& at, leaving_source source, time_ms now) {
    state* one = learn(at, now);
    if (one == nullptr) {
        return false;
    }
    one->told_by_response_ = one->told_by_response_ || source == leaving_source::response;
    one->told_by_registry_ = one->told_by_registry_ || source == leaving_source::registry;
    return !std::exchange(one->leaving_, true);
}

// An earlier incarnation than the known one has ended, so it takes no requests either.
bool endpoint_notices::is_leaving(const endpoint_key& at) const {
    const auto found = states_.find(at.id_);
    return found != states_.end() &&
           (at.incarnation_ < found->second.incarnation_ ||
            (at.incarnation_ == found->second.incarnation_ && found->second.leaving_));
}

bool endpoint_notices::start_back_off(const endpoint_key& at, time_ms duration, time_ms now) {
    state* one = learn(at, now);
    if (one == nullptr || duration <= 0) {
        return false;
    }
    const time_ms wanted = std::min(duration, max_back_off_ms);
    const time_ms until = now + wanted + spread_ms(at.id_, own_id_, wanted);
    // Responses overtake each other, so an earlier end does not replace a later one.
    if (until <= one->back_off_until_) {
        return false;
    }
    one->back_off_until_ = until;
    one->back_off_ = ++back_offs_;
    one->allowed_ = 1;
    one->under_way_ = 0;
    return true;
}

std::optional<time_ms> endpoint_notices::back_off_ms(const endpoint_key& at, time_ms now) const {
    const state* one = find(at);
    if (one == nullptr || one->back_off_ == 0) {
        return std::nullopt;
    }
    if (now < one->back_off_until_) {
        return one->back_off_until_ - now;
    }
    return one->under_way_ < one->allowed_ ? std::nullopt : std::optional(default_back_off_ms);
}

std::optional<sent_request> endpoint_notices::begin(const endpoint_key& at, time_ms now) {
    if (is_leaving(at) || back_off_ms(at, now)) {
        return std::nullopt;
    }
    const auto found = states_.find(at.id_);
    if (found == states_.end() || found->second.back_off_ == 0) {
        return sent_request{std::string(at.id_), 0};
    }
    ++found->second.under_way_;
    return sent_request{std::string(at.id_), found->second.back_off_};
}

bool endpoint_notices::end(const sent_request& one, bool answered) {
    const auto found = states_.find(one.endpoint_);
    if (one.back_off_ == 0 || found == states_.end() || found->second.back_off_ != one.back_off_) {
        return false;
    }
    state& known = found->second;
    --known.under_way_;
    known.allowed_ = answered ? 2 * known.allowed_ : 1;
    if (known.allowed_ <= unrestricted) {
        return false;
    }
    known.back_off_ = 0;
    return true;
}

void endpoint_notices::set_listed(std::span<const endpoint_key> listed, time_ms now) {
    for (auto& [id, one] : states_) {
        one.listed_ = false;
    }
    for (const endpoint_key& at : listed) {
        const auto found = states_.find(at.id_);
        if (found == states_.end()) {
            continue;
        }
        state& one = found->second;
        if (one.incarnation_ < at.incarnation_ || one.incarnation_ == at.replaced_incarnation_) {
            states_.erase(found);
            continue;
        }
        one.listed_ = true;
        one.listed_at_ = now;
    }
    std::erase_if(states_, [&](const auto& entry) {
        return !entry.second.listed_ && now - entry.second.listed_at_ > departed_retention_ms;
    });
    unlisted_ = std::size_t(std::count_if(states_.begin(), states_.end(),
                                          [](const auto& entry) { return !entry.second.listed_; }));
    limits_.retain([&](std::string_view id, std::int64_t incarnation) {
        const auto found =
            std::lower_bound(listed.begin(), listed.end(), id,
                             [](const endpoint_key& at, std::string_view wanted) { return at.id_ < wanted; });
        return found != listed.end() && found->id_ == id && found->incarnation_ == incarnation;
    });
}

std::vector<leaving_announcement> endpoint_notices::announce() const {
    std::vector<leaving_announcement> all;
    for (const auto& [id, one] : states_) {
        if (all.size() == max_announcements) {
            break;
        }
        if (one.leaving_ && one.listed_ && one.told_by_response_ && !one.told_by_registry_) {
            all.push_back({id, one.incarnation_});
        }
    }
    return all;
}

std::size_t endpoint_notices::back_off_count(time_ms now) const {
    return std::size_t(std::count_if(states_.begin(), states_.end(), [&](const auto& entry) {
        return entry.second.back_off_ != 0 && now < entry.second.back_off_until_;
    }));
}

std::size_t endpoint_notices::leaving_count() const {
    return std::size_t(std::count_if(states_.begin(), states_.end(),
                                     [](const auto& entry) { return entry.second.leaving_; }));
}

} // namespace tamarack::notices
