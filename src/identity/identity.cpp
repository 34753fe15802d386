#include "tamarack/identity.hpp"

#include <sodium/crypto_shorthash_siphash24.h>
#include <sodium/randombytes.h>

#include <algorithm>
#include <cstring>

namespace tamarack::identity {

key_index::key_index(const fleet::configuration& configuration)
    : required_(configuration.organisations_.has_value()) {
    static_assert(std::tuple_size_v<digest> == crypto_shorthash_siphashx24_BYTES);
    static_assert(std::tuple_size_v<decltype(secret_)> == crypto_shorthash_siphashx24_KEYBYTES);
    randombytes_buf(secret_.data(), secret_.size());
    if (!required_) {
        return;
    }
    for (const fleet::organisation& organisation : *configuration.organisations_) {
        for (const std::string& key : organisation.keys_) {
            holders_.emplace(digest_of(key), &organisation);
        }
    }
}

std::size_t key_index::digest_hash::operator()(const digest& of) const {
    std::size_t part = 0;
    std::memcpy(&part, of.data(), sizeof(part));
    return part;
}

key_index::digest key_index::digest_of(std::string_view key) const {
    digest computed{};
    crypto_shorthash_siphashx24(computed.data(), reinterpret_cast<const unsigned char*>(key.data()),
                                key.size(), secret_.data());
    return computed;
}

const fleet::organisation* key_index::find(std::string_view key) const {
    const auto found = key.empty() ? holders_.end() : holders_.find(digest_of(key));
    return found == holders_.end() ? nullptr : found->second;
}

bool are_keys_confirmed(const revocation_rule& rule, time_ms age_ms) {
    return !rule.strict_ || (age_ms >= 0 && age_ms <= rule.limit_ms_);
}

std::string_view to_string(outcome of) {
    switch (of) {
    case outcome::anonymous:
        return "anonymous";
    case outcome::identified:
        return "identified";
    case outcome::no_key:
        return "no_key";
    case outcome::several_keys:
        return "several_keys";
    case outcome::unknown_key:
        return "unknown_key";
    case outcome::unconfirmed_key:
        return "unconfirmed_key";
    }
    return "unknown";
}

bool is_accepted(outcome of) {
    return of == outcome::anonymous || of == outcome::identified;
}

identification identify(const key_index& index, const fleet::route_rule& route,
                        std::span<const std::string> keys, bool keys_confirmed) {
    if (!index.required() || route.public_) {
        return {};
    }
    if (keys.size() != 1) {
        return {keys.empty() ? outcome::no_key : outcome::several_keys, nullptr};
    }
    if (!keys_confirmed) {
        return {outcome::unconfirmed_key, nullptr}; // also if unknown: a newer configuration may hold it
    }
    const fleet::organisation* holder = index.find(keys.front());
    return holder == nullptr ? identification{outcome::unknown_key, nullptr}
                             : identification{outcome::identified, holder};
}

double usage(const fleet::usage_limit& limit, std::optional<double> tokens) {
    return limit.counts_tokens_ ? tokens.value_or(limit.default_tokens_) : 1;
}

} // namespace tamarack::identity
