// Identity: whose request it is, by the key that it presents.
//
// Nothing here does I/O. The rule is asked when a request arrives, and again before the first byte of each
// attempt, since the operator may have taken the key away in between.
#pragma once

#include "tamarack/fleet.hpp"

#include <array>
#include <span>

namespace tamarack::identity {

// The organisations of one configuration by their keys. Holds digests under a secret of its own instead of
// the keys, so that the time of a look-up tells nothing of them.
class key_index {
public:
    explicit key_index(const fleet::configuration& configuration);

    // Whether requests must carry a key, except on public routes.
    bool required() const { return required_; }

    // Returns the organisation that holds the key, or null. Belongs to the configuration. Of several with the
    // same key, the first in the configuration holds it.
    const fleet::organisation* find(std::string_view key) const;

private:
    using digest = std::array<unsigned char, 16>;

    struct digest_hash {
        std::size_t operator()(const digest& of) const;
    };

    digest digest_of(std::string_view key) const;

    bool required_ = false;
    std::array<unsigned char, 16> secret_{};
    std::unordered_map<digest, const fleet::organisation*, digest_hash> holders_;
};

// What becomes of keys while this process cannot learn whether the operator has taken them away.
struct revocation_rule {
    bool strict_ = false; // whether keys are refused if they have not been confirmed within the limit
    time_ms limit_ms_ = 5'000;
};

// Whether the keys of the configuration in force count. It was the operator's newest one `age_ms` ago, or
// that is not known if negative.
bool are_keys_confirmed(const revocation_rule& rule, time_ms age_ms);

// What is known of a request's caller.
enum class outcome {
    anonymous,       // the request needs no key
    identified,      // it carries a key of an organisation
    no_key,          // it needs a key and carries none
    several_keys,    // it carries more than one, so that it is not clear whose it is
    unknown_key,     // no organisation holds its key
    unconfirmed_key, // it carries one key, and keys are not confirmed
};

std::string_view to_string(outcome of);

// Whether a request with this outcome may be served.
bool is_accepted(outcome of);

struct identification {
    outcome outcome_ = outcome::anonymous;
    const fleet::organisation* organisation_ = nullptr; // if identified
};

// Identifies the caller of a request on a route by the values of its key headers.
identification identify(const key_index& index, const fleet::route_rule& route,
                        std::span<const std::string> keys, bool keys_confirmed);

// What the request counts as in the organisation's use. `tokens` is what the request says that it has at
// most, if it says so.
double usage(const fleet::usage_limit& limit, std::optional<double> tokens);

} // namespace tamarack::identity
