#include "soak/organisations.hpp"

#include <nlohmann/json.hpp>

namespace tamarack::soak {

namespace {

std::string text_of_key(const char* prefix, std::mt19937_64& random) {
    constexpr int digits = 16;
    std::string key = prefix;
    for (int digit = 0; digit < digits; ++digit) {
        key.push_back("abcdefghijkmnpqr"[random() % digits]);
    }
    return key;
}

} // namespace

organisations::organisations(std::uint64_t seed) : random_(seed) {
    constexpr usage_limit small{200, 400};
    all_ = {{"org-large", 50, {}, std::nullopt},
            {"org-small", 10, {}, std::nullopt},
            {"org-limited", 40, {}, small}};
    for (std::size_t number = 0; number < all_.size(); ++number) {
        const std::size_t keys = 2 + number;
        for (std::size_t key = 0; key < keys; ++key) {
            add_key(number);
        }
    }
}

nlohmann::json organisations::rows() const {
    nlohmann::json rows = nlohmann::json::array();
    for (const organisation& one : all_) {
        const usage_limit limit = one.limit_.value_or(usage_limit());
        rows.push_back({{"name", one.name_},
                        {"api_keys", one.keys_},
                        {"priority", 1},
                        {"unit", "tokens"},
                        {"plain_tokens", plain_tokens},
                        {"rate_per_s", limit.per_s_},
                        {"burst", limit.burst_}});
    }
    return rows;
}

const organisation* organisations::draw(std::mt19937_64& random) const {
    constexpr int percent = 100;
    int drawn = int(random() % percent);
    for (const organisation& one : all_) {
        if (drawn < one.share_) {
            return one.keys_.empty() ? nullptr : &one;
        }
        drawn -= one.share_;
    }
    return nullptr;
}

std::string organisations::make_key() {
    return text_of_key("key", random_);
}

std::string organisations::unknown_key(std::mt19937_64& random) const {
    return text_of_key("unknown", random);
}

std::pair<std::string, std::string> organisations::add_key(std::size_t number) {
    all_[number].keys_.push_back(make_key());
    return {all_[number].name_, all_[number].keys_.back()};
}

std::vector<std::string> organisations::revoke(std::size_t number, bool all) {
    std::vector<std::string>& keys = all_[number].keys_;
    std::vector<std::string> taken;
    while (!keys.empty() && (all || taken.empty())) {
        taken.push_back(keys.front());
        keys.erase(keys.begin());
    }
    revoked_.insert(revoked_.end(), taken.begin(), taken.end());
    return taken;
}

} // namespace tamarack::soak
