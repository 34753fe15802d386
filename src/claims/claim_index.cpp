#include "tamarack/claims.hpp"
#include "tamarack/configuration.hpp"

#include "tamarack/untrusted.hpp"

#include <algorithm>
#include <charconv>

namespace tamarack {

namespace {

constexpr std::uint64_t low_half_seed = 0x9e3779b97f4a7c15ULL;

std::optional<std::uint64_t> parse_hex(std::string_view text) {
    std::uint64_t number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
    if (code != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::optional<std::uint64_t> hex_field(const nlohmann::json& object, const char* field) {
    if (!object.is_object() || !object.contains(field) || !object[field].is_string()) {
        return std::nullopt;
    }
    return parse_hex(object[field].get_ref<const std::string&>());
}

std::optional<claim> decode_claim(const nlohmann::json& object) {
    const auto high = hex_field(object, "h");
    const auto low = hex_field(object, "l");
    const auto body = hex_field(object, "b");
    const auto incarnation = hex_field(object, "i");
    const bool has_endpoint = object.is_object() && object.contains("e") && object["e"].is_string();
    if (!high || !low || !body || !incarnation || !has_endpoint) {
        return std::nullopt;
    }
    return claim{{*high, *low}, *body, *incarnation, object["e"].get<std::string>()};
}

} // namespace

key_digest digest_key(std::string_view organisation, std::string_view key) {
    std::string scoped(organisation);
    scoped += '\n';
    scoped += key;
    return {hash64(scoped), hash64(scoped, low_half_seed)};
}

std::string encode_claims(std::span<const claim> claims) {
    nlohmann::json list = nlohmann::json::array();
    for (const claim& one : claims) {
        list.push_back({{"h", to_hex(one.key_.high_)},
                        {"l", to_hex(one.key_.low_)},
                        {"b", to_hex(one.body_hash_)},
                        {"i", to_hex(one.incarnation_)},
                        {"e", one.endpoint_}});
    }
    return nlohmann::json{{"kind", "claims"}, {"claims", std::move(list)}}.dump();
}

std::vector<claim> decode_claims(std::string_view text) {
    const nlohmann::json json = untrusted::parse_json(text);
    std::vector<claim> claims;
    if (!json.is_object() || !json.contains("claims") || !json["claims"].is_array()) {
        return claims;
    }
    for (const nlohmann::json& object : json["claims"]) {
        if (auto one = decode_claim(object)) {
            claims.push_back(std::move(*one));
        }
    }
    return claims;
}

void claim_index::apply_records(std::int64_t first_retained, std::int64_t log_now_ms,
                                std::span<const log_record> records) {
    log_now_ms_ = std::max(log_now_ms_, log_now_ms);
    if (first_retained > next_offset_) {
        const std::int64_t complete_from = records.empty() ? log_now_ms_ : records.front().time_ms_;
        complete_from_ms_ = std::max(complete_from_ms_, complete_from);
        next_offset_ = first_retained;
    }
    for (const log_record& record : records) {
        if (record.offset_ < next_offset_) {
            continue;
        }
        next_offset_ = record.offset_ + 1;
        for (claim& one : decode_claims(record.data_)) {
            const key_digest key = one.key_;
            if (claims_.try_emplace(key, indexed_claim{std::move(one), record.time_ms_}).second) {
                by_time_.emplace(record.time_ms_, key);
            }
        }
    }
    remove_expired();
}

void claim_index::remove_expired() {
    const std::int64_t oldest_kept_ms = log_now_ms_ - window_ms_;
    while (!by_time_.empty() && by_time_.begin()->first < oldest_kept_ms) {
        claims_.erase(by_time_.begin()->second);
        by_time_.erase(by_time_.begin());
    }
    complete_from_ms_ = std::max(complete_from_ms_, oldest_kept_ms);
}

const claim* claim_index::find(const key_digest& key) const {
    auto found = claims_.find(key);
    return found == claims_.end() ? nullptr : &found->second.claim_;
}

key_age check_key_age(const claim_index& index, std::int64_t issued_ms) {
    if (issued_ms > index.log_now_ms() + max_clock_skew_ms) {
        return key_age::in_the_future;
    }
    if (issued_ms - max_clock_skew_ms < index.complete_from_ms()) {
        return key_age::too_old;
    }
    return key_age::valid;
}

std::string encode_bound_key(const bound_key& key) {
    return "tk1." + key.endpoint_ + "." + to_hex(key.incarnation_) + "." +
           to_hex(std::uint64_t(key.issued_ms_)) + "." + to_hex(key.nonce_);
}

std::optional<bound_key> decode_bound_key(std::string_view text) {
    constexpr std::string_view prefix = "tk1.";
    constexpr std::size_t hex_digits = 16;
    constexpr std::size_t tail_size = 3 * (hex_digits + 1);
    if (!text.starts_with(prefix) || text.size() <= prefix.size() + tail_size) {
        return std::nullopt;
    }
    const std::string_view numbers = text.substr(text.size() - tail_size);
    const auto incarnation = parse_hex(numbers.substr(1, hex_digits));
    const auto issued = parse_hex(numbers.substr(2 + hex_digits, hex_digits));
    const auto nonce = parse_hex(numbers.substr(3 + 2 * hex_digits, hex_digits));
    const bool has_separators =
        numbers[0] == '.' && numbers[1 + hex_digits] == '.' && numbers[2 + 2 * hex_digits] == '.';
    if (!has_separators || !incarnation || !issued || !nonce) {
        return std::nullopt;
    }
    const std::string_view endpoint = text.substr(prefix.size(), text.size() - prefix.size() - tail_size);
    return bound_key{std::string(endpoint), *incarnation, std::int64_t(*issued), *nonce};
}

} // namespace tamarack
