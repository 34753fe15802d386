// What a store keeps of a quarantine: one record for each suspect that is quarantined, and for each end.
#include "tamarack/quarantine.hpp"

#include "tamarack/untrusted.hpp"

#include <algorithm>
#include <charconv>

namespace tamarack::quarantine {

using nlohmann::json;

namespace {

constexpr std::string_view end_prefix = "end/"; // followed by the engine and its incarnation
constexpr std::string_view at = "at_ms";        // Unix time
constexpr std::string_view trial = "trial_ms";
constexpr std::string_view suspects = "suspects";
constexpr std::string_view answered = "answered";

std::optional<engine_end> read_end(std::string_view name, const json& value, std::int64_t unix_ms) {
    const std::size_t slash = name.rfind('/');
    if (slash == std::string_view::npos || !value.contains(suspects) || !value[suspects].is_array()) {
        return std::nullopt;
    }
    engine_end end{std::string(name.substr(0, slash)), 0, 0, {}, value.value(answered, json()) == true};
    const std::string_view number = name.substr(slash + 1);
    if (std::from_chars(number.data(), number.data() + number.size(), end.incarnation_).ec != std::errc()) {
        return std::nullopt;
    }
    end.age_ms_ = std::max<time_ms>(0, unix_ms - value[at].get<std::int64_t>());
    for (const json& suspect : value[suspects]) {
        if (suspect.is_string()) {
            end.suspects_.push_back(suspect.get<std::string>());
        }
    }
    return end;
}

bool is_number(const json& value, std::string_view field) {
    return value.contains(field) && value[field].is_number_integer();
}

} // namespace

std::map<std::string, std::string> to_records(const announcement& known, std::int64_t unix_ms) {
    std::map<std::string, std::string> records;
    for (const engine_end& end : known.ends_) {
        const std::string key =
            std::string(end_prefix) + end.engine_ + "/" + std::to_string(end.incarnation_);
        records[key] =
            json{{at, unix_ms - end.age_ms_}, {suspects, end.suspects_}, {answered, end.answered_}}.dump();
    }
    for (const suspect_state& one : known.states_) {
        records[one.suspect_] = json{{at, unix_ms - one.age_ms_}, {trial, one.trial_ms_}}.dump();
    }
    return records;
}

announcement from_records(const std::map<std::string, std::string>& records, std::int64_t unix_ms) {
    announcement known;
    for (const auto& [key, text] : records) {
        const json value = untrusted::parse_json(text);
        if (!value.is_object() || !is_number(value, at)) {
            continue;
        }
        if (key.starts_with(end_prefix)) {
            if (auto end = read_end(std::string_view(key).substr(end_prefix.size()), value, unix_ms)) {
                known.ends_.push_back(std::move(*end));
            }
        } else if (is_number(value, trial)) {
            const time_ms age = std::max<time_ms>(0, unix_ms - value[at].get<std::int64_t>());
            known.states_.push_back({key, true, age, value[trial].get<time_ms>()});
        }
    }
    drop_unknown_names(known);
    known.complete_ = true;
    return known;
}

} // namespace tamarack::quarantine
