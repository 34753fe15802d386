// The commands about the tables: validate, publish, history and show.
#include "ctl/session.hpp"

#include <iostream>
#include <random>

namespace tamarack::ctl {

namespace {

constexpr std::chrono::milliseconds append_limit{5'000};
constexpr int max_append_attempts = 5;

std::string random_id() {
    std::random_device source;
    return to_hex((std::uint64_t(source()) << 32) | source());
}

nlohmann::json tables_json(const tables& accepted) {
    nlohmann::json routes = nlohmann::json::array();
    for (const auto& [name, row] : accepted.routes_) {
        routes.push_back(to_json(row));
    }
    nlohmann::json pools = nlohmann::json::array();
    for (const auto& [name, row] : accepted.pools_) {
        pools.push_back(to_json(row));
    }
    return {{"routes", std::move(routes)}, {"pools", std::move(pools)}};
}

nlohmann::json result_json(const change_result& change) {
    const bool accepted = change.kind_ == change_outcome::accepted;
    return {{"offset", change.offset_},
            {"id", change.id_},
            {"author", change.author_},
            {"verdict", accepted ? "accepted" : "rejected"},
            {"reason", change.reason_}};
}

const change_result* find_result(const log_view& view, const std::string& id) {
    for (const change_result& change : view.results_) {
        if (change.id_ == id && change.kind_ != change_outcome::ignored) {
            return &change;
        }
    }
    return nullptr;
}

int print_result(const options& flags, const change_result& change) {
    const bool accepted = change.kind_ == change_outcome::accepted;
    if (flags.json_) {
        std::cout << result_json(change).dump() << "\n";
    } else if (accepted) {
        std::cout << "accepted as version " << change.offset_ << "\n";
    } else {
        std::cout << "rejected: " << change.reason_ << "\n";
    }
    return accepted ? exit_ok : exit_rejected;
}

// Appends the change, several times if necessary, until the log shows its outcome. The id makes retries safe:
// only the first record of a change can be accepted, because a duplicate was made from a version that is no
// longer current.
int append_and_read_back(const options& flags, const config_change& change) {
    const auto address = parse_address_flag(flags.log_, "log");
    const log_client log = http_log_client(value(address), append_limit);
    for (int attempt = 0; attempt < max_append_attempts; ++attempt) {
        const auto appended = run_blocking<result<std::int64_t>>(
            [&] { return log.append_(std::string(config_stream), encode_change(change)); });
        const result<log_view> view = read_log(flags);
        const change_result* decided = ok(view) ? find_result(value(view), change.id_) : nullptr;
        if (decided != nullptr) {
            return print_result(flags, *decided);
        }
        if (!ok(appended) && failure(appended).kind_ == error_kind::unreachable) {
            return print_error(flags, failure(appended));
        }
    }
    return print_error(
        flags, {error_kind::timeout, "the log did not tell what became of change " + change.id_,
                "publish again with --id=" + change.id_ + " and the same base, or look at the history"});
}

} // namespace

int validate(const options& flags) {
    const result<tables> checked = read_tables(flags);
    if (!ok(checked)) {
        return print_error(flags, failure(checked));
    }
    if (flags.json_) {
        std::cout << R"({"valid":true})"
                  << "\n";
    } else {
        std::cout << value(checked).routes_.size() << " routes and " << value(checked).pools_.size()
                  << " pools are valid\n";
    }
    return exit_ok;
}

int publish(const options& flags) {
    const result<tables> wanted = read_tables(flags);
    if (!ok(wanted)) {
        return print_error(flags, failure(wanted));
    }
    const result<log_view> view = read_log(flags);
    if (!ok(view)) {
        return print_error(flags, failure(view));
    }
    if (const change_result* earlier = flags.id_.empty() ? nullptr : find_result(value(view), flags.id_)) {
        return print_result(flags, *earlier);
    }
    const std::string id = flags.id_.empty() ? random_id() : flags.id_;
    config_change change = diff_tables(value(view).state_, value(wanted), id, flags.author_);
    if (flags.base_ != no_base) {
        change.base_ = flags.base_;
    }
    return append_and_read_back(flags, change);
}

int history(const options& flags) {
    const result<log_view> view = read_log(flags);
    if (!ok(view)) {
        return print_error(flags, failure(view));
    }
    nlohmann::json rows = nlohmann::json::array();
    for (const change_result& change : value(view).results_) {
        if (change.kind_ == change_outcome::ignored) {
            continue;
        }
        rows.push_back(result_json(change));
        if (!flags.json_) {
            const bool accepted = change.kind_ == change_outcome::accepted;
            std::cout << change.offset_ << "  " << (accepted ? "accepted" : "rejected") << "  "
                      << change.author_ << "  " << change.id_ << "  " << change.reason_ << "\n";
        }
    }
    if (flags.json_) {
        std::cout << nlohmann::json{{"version", value(view).state_.version_}, {"changes", rows}}.dump()
                  << "\n";
    }
    return exit_ok;
}

int show(const options& flags) {
    const result<log_view> view = read_log(flags);
    if (!ok(view)) {
        return print_error(flags, failure(view));
    }
    nlohmann::json body = tables_json(value(view).state_.tables_);
    body["version"] = value(view).state_.version_;
    std::cout << body.dump(flags.json_ ? -1 : 2) << "\n";
    return exit_ok;
}

} // namespace tamarack::ctl
