// Strict reader for the fields of a JSON object, which reports each invalid, missing or unknown field as a
// fault.
#pragma once

#include "tamarack/tables.hpp"

#include <nlohmann/json.hpp>

#include <set>

namespace tamarack {

// Each accessor returns the value of a field or, if the field is absent, the fallback. An invalid field, or
// an absent one without a fallback, appends a fault; `list` and `object` then return null.
class row_reader {
public:
    // `prefix` is prepended to field names in faults, for rows within other rows.
    row_reader(const nlohmann::json& row, std::string table, std::string row_name, std::string prefix,
               std::vector<table_fault>& faults);

    bool has(const std::string& field) const;
    std::string text(const std::string& field, std::optional<std::string> fallback = std::nullopt);
    std::int64_t number(const std::string& field, std::int64_t minimum, std::int64_t maximum,
                        std::optional<std::int64_t> fallback = std::nullopt);
    double real(const std::string& field, double minimum, double maximum, double fallback);
    double fraction(const std::string& field, double fallback);
    bool flag(const std::string& field, bool fallback);
    const nlohmann::json* list(const std::string& field);
    const nlohmann::json* object(const std::string& field);

    void fault(const std::string& field, std::string what, std::string remedy);

    // Appends a fault for each field that was not read, or for a row that is not an object.
    void report_unknown_fields();

private:
    const nlohmann::json* read_field(const std::string& field);

    const nlohmann::json& row_;
    std::string table_;
    std::string row_name_;
    std::string prefix_;
    std::vector<table_fault>& faults_;
    std::set<std::string> fields_read_;
};

// Returns the "name" of a row if that is a string, otherwise a placeholder for messages.
std::string row_name(const nlohmann::json& row);

} // namespace tamarack
