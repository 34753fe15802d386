#include "configuration/codec.hpp"

#include <set>

namespace tamarack {

namespace {

tables changed_tables(const tables& before, const config_change& change) {
    tables after = before;
    for (const std::string& name : change.removed_routes_) {
        after.routes_.erase(name);
    }
    for (const std::string& name : change.removed_pools_) {
        after.pools_.erase(name);
    }
    for (const route_row& row : change.put_routes_) {
        after.routes_.insert_or_assign(row.name_, row);
    }
    for (const pool_row& row : change.put_pools_) {
        after.pools_.insert_or_assign(row.name_, row);
    }
    return after;
}

std::string join(std::span<const table_fault> faults) {
    std::string text;
    for (const table_fault& fault : faults) {
        text += text.empty() ? "" : " | ";
        text += to_string(fault);
    }
    return text;
}

std::vector<table_fault> check_change(const tables& before, const tables& after) {
    std::vector<table_fault> faults = check_tables(after);
    if (faults.empty()) {
        faults = check_transition(before, after);
    }
    return faults;
}

template <typename Rows, typename Row>
void diff_rows(const Rows& before, const Rows& after, std::vector<Row>& put,
               std::vector<std::string>& removed) {
    for (const auto& [name, row] : after) {
        auto old_row = before.find(name);
        if (old_row == before.end() || !(old_row->second == row)) {
            put.push_back(row);
        }
    }
    for (const auto& [name, row] : before) {
        if (!after.contains(name)) {
            removed.push_back(name);
        }
    }
}

} // namespace

change_result apply_record(config_state& state, const log_record& record) {
    change_result outcome;
    outcome.offset_ = record.offset_;
    if (record.offset_ <= state.last_offset_) {
        return outcome;
    }
    state.last_offset_ = record.offset_;
    std::vector<table_fault> faults;
    const std::optional<config_change> change = decode_change(record.data_, faults);
    if (!change) {
        return outcome;
    }
    outcome.id_ = change->id_;
    outcome.author_ = change->author_;
    outcome.kind_ = change_outcome::rejected;
    if (change->base_ != state.version_) {
        outcome.reason_ = "made from version " + std::to_string(change->base_) + " but version " +
                          std::to_string(state.version_) + " is in force; read it, merge and publish again";
        return outcome;
    }
    tables after = changed_tables(state.tables_, *change);
    if (faults.empty()) {
        faults = check_change(state.tables_, after);
    }
    if (!faults.empty()) {
        outcome.reason_ = join(faults);
        return outcome;
    }
    state.tables_ = std::move(after);
    state.version_ = record.offset_;
    outcome.kind_ = change_outcome::accepted;
    return outcome;
}

config_change diff_tables(const config_state& base, const tables& wanted, std::string id,
                          std::string author) {
    config_change change;
    change.id_ = std::move(id);
    change.author_ = std::move(author);
    change.base_ = base.version_;
    diff_rows(base.tables_.routes_, wanted.routes_, change.put_routes_, change.removed_routes_);
    diff_rows(base.tables_.pools_, wanted.pools_, change.put_pools_, change.removed_pools_);
    return change;
}

} // namespace tamarack
