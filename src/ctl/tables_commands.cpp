// validate, publish, history and show: the commands about the tables.
#include "ctl/session.hpp"

#include <iostream>
#include <random>

namespace tamarack::ctl {

namespace {

constexpr std::chrono::milliseconds append_limit{5'000};
constexpr int append_tries = 5;

std::string random_id() {
    std::random_device source;
    return to_hex((std::uint64_t(source()) << 32) | source());
}

nlohmann::json tables_json(const tables& shown) {
    nlohmann::json routes = nlohmann::json::array();
    for (const auto& [name, row] : shown.routes_) {
        routes.push_back(to_json(row));
    }
    nlohmann::json pools = nlohmann::json::array();
    for (const auto& [name, row] : shown.pools_) {
        pools.push_back(to_json(row));
    }
    return {{"routes", std::move(routes)}, {"pools", std::move(pools)}};
}

nlohmann::json result_json(const change_result& one) {
    const bool accepted = one.kind_ == change_outcome::accepted;
    return {{"offset", one.offset_},
            {"id", one.id_},
            {"author", one.author_},
            {"verdict", accepted ? "accepted" : "rejected"},
            {"reason", one.reason_}};
}

const change_result* find_result(const log_view& view, const std::string& id) {
    for (const change_result& one : view.results_) {
        if (one.id_ == id && one.kind_ != change_outcome::ignored) {
            return &one;
        }
    }
    return nullptr;
}

int print_result(const options& given, const change_result& one) {
    const bool accepted = one.kind_ == change_outcome::accepted;
    if (given.json_) {
        std::cout << result_json(one).dump() << "\n";
    } else if (accepted) {
        std::cout << "accepted as version " << one.offset_ << "\n";
    } else {
        std::cout << "rejected: " << one.reason_ << "\n";
    }
    return accepted ? exit_ok : exit_rejected;
}

// Appends until the log shows the change. The id makes repeats harmless: only the first record of a change
// can be accepted, since a copy is made from a version that is no longer in force.
int append_and_read_back(const options& given, const config_change& change) {
    const auto address = address_flag(given.log_, "log");
    const log_client log = http_log_client(value(address), append_limit);
    for (int tries = 0; tries < append_tries; ++tries) {
        const auto appended = run<result<std::int64_t>>(
            [&] { return log.append_(std::string(config_stream), encode_change(change)); });
        const result<log_view> view = read_log(given);
        const change_result* decided = ok(view) ? find_result(value(view), change.id_) : nullptr;
        if (decided != nullptr) {
            return print_result(given, *decided);
        }
        if (!ok(appended) && failure(appended).kind_ == error_kind::unreachable) {
            return report(given, failure(appended));
        }
    }
    return report(given,
                  {error_kind::timeout, "the log did not tell what became of change " + change.id_,
                   "publish again with --id=" + change.id_ + " and the same base, or look at the history"});
}

} // namespace

int validate(const options& given) {
    const result<tables> checked = read_tables(given);
    if (!ok(checked)) {
        return report(given, failure(checked));
    }
    if (given.json_) {
        std::cout << R"({"valid":true})"
                  << "\n";
    } else {
        std::cout << value(checked).routes_.size() << " routes and " << value(checked).pools_.size()
                  << " pools are valid\n";
    }
    return exit_ok;
}

int publish(const options& given) {
    const result<tables> wanted = read_tables(given);
    if (!ok(wanted)) {
        return report(given, failure(wanted));
    }
    const result<log_view> view = read_log(given);
    if (!ok(view)) {
        return report(given, failure(view));
    }
    if (const change_result* earlier = given.id_.empty() ? nullptr : find_result(value(view), given.id_)) {
        return print_result(given, *earlier);
    }
    const std::string id = given.id_.empty() ? random_id() : given.id_;
    config_change change = diff_tables(value(view).state_, value(wanted), id, given.author_);
    if (given.base_ != no_base) {
        change.base_ = given.base_;
    }
    return append_and_read_back(given, change);
}

int history(const options& given) {
    const result<log_view> view = read_log(given);
    if (!ok(view)) {
        return report(given, failure(view));
    }
    nlohmann::json rows = nlohmann::json::array();
    for (const change_result& one : value(view).results_) {
        if (one.kind_ == change_outcome::ignored) {
            continue;
        }
        rows.push_back(result_json(one));
        if (!given.json_) {
            const bool accepted = one.kind_ == change_outcome::accepted;
            std::cout << one.offset_ << "  " << (accepted ? "accepted" : "rejected") << "  " << one.author_
                      << "  " << one.id_ << "  " << one.reason_ << "\n";
        }
    }
    if (given.json_) {
        std::cout << nlohmann::json{{"version", value(view).state_.version_}, {"changes", rows}}.dump()
                  << "\n";
    }
    return exit_ok;
}

int show(const options& given) {
    const result<log_view> view = read_log(given);
    if (!ok(view)) {
        return report(given, failure(view));
    }
    nlohmann::json body = tables_json(value(view).state_.tables_);
    body["version"] = value(view).state_.version_;
    std::cout << body.dump(given.json_ ? -1 : 2) << "\n";
    return exit_ok;
}

} // namespace tamarack::ctl
