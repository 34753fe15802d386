#include "tamarack/quarantine.hpp"

#include <sodium/crypto_generichash.h>

#include <algorithm>
#include <cctype>

namespace tamarack::quarantine {

namespace {

constexpr std::string_view request_prefix = "request-";
constexpr std::size_t max_name_bytes = 64;

// Hash of a sequence of fields. Each is preceded by its length, so that no two sequences are hashed alike.
class field_hash {
public:
    field_hash() { crypto_generichash_init(&state_, nullptr, 0, sizeof(digest_)); }

    void add(std::string_view field) {
        const std::uint64_t size = field.size();
        add_bytes(reinterpret_cast<const char*>(&size), sizeof(size));
        add_bytes(field.data(), field.size());
    }

    std::string hex(std::size_t digits) {
        crypto_generichash_final(&state_, digest_, sizeof(digest_));
        constexpr std::string_view hex_digits = "0123456789abcdef";
        std::string text;
        for (std::size_t index = 0; index < digits; ++index) {
            const unsigned byte = digest_[index / 2];
            text += hex_digits[index % 2 == 0 ? byte / 16 : byte % 16];
        }
        return text;
    }

private:
    void add_bytes(const char* bytes, std::size_t size) {
        crypto_generichash_update(&state_, reinterpret_cast<const unsigned char*>(bytes), size);
    }

    crypto_generichash_state state_;
    unsigned char digest_[16];
};

} // namespace

std::string part_name(std::string_view id) {
    const bool plain =
        std::all_of(id.begin(), id.end(), [](unsigned char letter) { return std::isalnum(letter); });
    return plain && !id.empty() && id.size() <= max_name_bytes ? std::string(id)
                                                               : "hash-" + std::to_string(hash64(id));
}

std::string request_name(const request_identity& identity) {
    constexpr std::size_t digits = 24;
    field_hash hash;
    for (const std::string_view field : {identity.method_, identity.host_, identity.target_, identity.caller_,
                                         identity.prompt_, identity.body_}) {
        hash.add(field);
    }
    return std::string(request_prefix) + hash.hex(digits);
}

bool is_name(std::string_view suspect) {
    return !suspect.empty() && suspect.size() <= max_name_bytes &&
           std::all_of(suspect.begin(), suspect.end(),
                       [](unsigned char letter) { return std::isalnum(letter) || letter == '-'; });
}

void drop_unknown_names(announcement& announced) {
    for (engine_end& end : announced.ends_) {
        std::erase_if(end.suspects_, [](const std::string& suspect) { return !is_name(suspect); });
    }
    std::erase_if(announced.states_, [](const suspect_state& state) { return !is_name(state.suspect_); });
}

bool names_request(std::string_view suspect) {
    return suspect.starts_with(request_prefix);
}

} // namespace tamarack::quarantine
