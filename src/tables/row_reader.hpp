// Reads the fields of one JSON object strictly: each wrong, missing or unknown field becomes one fault.
#pragma once

#include "tamarack/tables.hpp"

#include <nlohmann/json.hpp>

#include <set>

namespace tamarack {

class row_reader {
public:
    // `prefix` is put before field names, for rows within rows.
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

    void fault(const std::string& field, std::string what, std::string remedy);

    // Reports every field that was not read.
    void report_unknown_fields();

private:
    const nlohmann::json* take(const std::string& field);

    const nlohmann::json& row_;
    std::string table_;
    std::string row_name_;
    std::string prefix_;
    std::vector<table_fault>& faults_;
    std::set<std::string> read_;
};

// The "name" of a row if it has a usable one, else a placeholder for messages.
std::string row_name(const nlohmann::json& row);

} // namespace tamarack
