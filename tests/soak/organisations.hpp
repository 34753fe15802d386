// Organisations of a soak: their keys and limits as the operator has them, and as clients use them.
#pragma once

#include "soak/referee.hpp"

#include <nlohmann/json_fwd.hpp>

#include <random>

namespace tamarack::soak {

struct organisation {
    std::string name_;
    int share_ = 0; // of the requests, in percent
    std::vector<std::string> keys_;
    std::optional<usage_limit> limit_;
};

// Tokens of a request that does not say how many it has, where organisations are limited.
inline constexpr double plain_tokens = 300;

// The sizes are uneven. One has a small limit, which its requests exceed several times.
class organisations {
public:
    explicit organisations(std::uint64_t seed);

    // Rows of the configuration.
    nlohmann::json rows() const;

    // An organisation by its share, or null if the one that was drawn has no keys.
    const organisation* draw(std::mt19937_64& random) const;
    const organisation& largest() const { return all_.front(); }
    const std::vector<std::string>& revoked() const { return revoked_; }
    std::string unknown_key(std::mt19937_64& random) const;

    // Changes, each of which needs a new version of the configuration. Return what changed.
    std::pair<std::string, std::string> add_key(std::size_t number); // organisation and key
    std::vector<std::string> revoke(std::size_t number, bool all);   // keys
    organisation& limited() { return all_.back(); }
    std::vector<organisation>& all() { return all_; }

private:
    std::string make_key();

    std::mt19937_64 random_;
    std::vector<organisation> all_;
    std::vector<std::string> revoked_;
};

} // namespace tamarack::soak
