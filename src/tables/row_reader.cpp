#include "tables/row_reader.hpp"

#include <sstream>

namespace tamarack {

row_reader::row_reader(const nlohmann::json& row, std::string table, std::string row_name, std::string prefix,
                       std::vector<table_fault>& faults)
    : row_(row), table_(std::move(table)), row_name_(std::move(row_name)), prefix_(std::move(prefix)),
      faults_(faults) {}

const nlohmann::json* row_reader::read_field(const std::string& field) {
    fields_read_.insert(field);
    if (!row_.is_object()) {
        return nullptr;
    }
    auto found = row_.find(field);
    return found == row_.end() ? nullptr : &*found;
}

bool row_reader::has(const std::string& field) const {
    return row_.is_object() && row_.contains(field);
}

std::string row_reader::text(const std::string& field, std::optional<std::string> fallback) {
    const nlohmann::json* given = read_field(field);
    if (given == nullptr && fallback) {
        return *fallback;
    }
    if (given == nullptr) {
        fault(field, "is missing", "add a non-empty string");
        return {};
    }
    if (!given->is_string() || given->get_ref<const std::string&>().empty()) {
        fault(field, "is not a non-empty string", "write a non-empty string");
        return {};
    }
    return given->get<std::string>();
}

std::int64_t row_reader::number(const std::string& field, std::int64_t minimum, std::int64_t maximum,
                                std::optional<std::int64_t> fallback) {
    const nlohmann::json* given = read_field(field);
    if (given == nullptr && fallback) {
        return *fallback;
    }
    const std::string range = std::to_string(minimum) + " to " + std::to_string(maximum);
    if (given == nullptr) {
        fault(field, "is missing", "add a whole number, " + range);
        return minimum;
    }
    const bool too_big = given->is_number_unsigned() && given->get<std::uint64_t>() > std::uint64_t(maximum);
    if (!given->is_number_integer() || too_big || given->get<std::int64_t>() < minimum ||
        given->get<std::int64_t>() > maximum) {
        fault(field, "is not a whole number in range", "write a whole number, " + range);
        return minimum;
    }
    return given->get<std::int64_t>();
}

double row_reader::real(const std::string& field, double minimum, double maximum, double fallback) {
    const nlohmann::json* given = read_field(field);
    if (given == nullptr) {
        return fallback;
    }
    if (!given->is_number() || given->get<double>() < minimum || given->get<double>() > maximum) {
        std::ostringstream range;
        range << "a number from " << minimum << " to " << maximum;
        fault(field, "is not " + range.str(), "write " + range.str());
        return fallback;
    }
    return given->get<double>();
}

double row_reader::fraction(const std::string& field, double fallback) {
    return real(field, 0.0, 1.0, fallback);
}

bool row_reader::flag(const std::string& field, bool fallback) {
    const nlohmann::json* given = read_field(field);
    if (given == nullptr) {
        return fallback;
    }
    if (!given->is_boolean()) {
        fault(field, "is not true or false", "write true or false");
        return fallback;
    }
    return given->get<bool>();
}

const nlohmann::json* row_reader::list(const std::string& field) {
    const nlohmann::json* given = read_field(field);
    if (given == nullptr) {
        return nullptr;
    }
    if (!given->is_array()) {
        fault(field, "is not a list", "write a list of objects");
        return nullptr;
    }
    return given;
}

const nlohmann::json* row_reader::object(const std::string& field) {
    const nlohmann::json* given = read_field(field);
    if (given == nullptr) {
        return nullptr;
    }
    if (!given->is_object()) {
        fault(field, "is not an object", "write an object with named fields");
        return nullptr;
    }
    return given;
}

void row_reader::fault(const std::string& field, std::string what, std::string remedy) {
    faults_.push_back({table_, row_name_, prefix_ + field, std::move(what), std::move(remedy)});
}

void row_reader::report_unknown_fields() {
    if (!row_.is_object()) {
        fault("", "is not an object", "write an object with named fields");
        return;
    }
    for (const auto& [field, unused] : row_.items()) {
        if (!fields_read_.contains(field)) {
            fault(field, "is not a known field", "remove it or correct its spelling");
        }
    }
}

std::string row_name(const nlohmann::json& row) {
    if (row.is_object() && row.contains("name") && row["name"].is_string()) {
        return row["name"].get<std::string>();
    }
    return "(unnamed)";
}

} // namespace tamarack
