#include "ctl/session.hpp"

#include "tamarack/http.hpp"
#include "tamarack/untrusted.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace tamarack::ctl {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds call_limit{5'000};

result<nlohmann::json> read_json_file(const std::string& path, const char* flag) {
    std::ifstream file(path);
    if (!file) {
        return error{error_kind::not_found, "cannot read \"" + path + "\"",
                     std::string("give an existing file with --") + flag};
    }
    std::ostringstream text;
    text << file.rdbuf();
    nlohmann::json parsed = untrusted::parse_json(text.str());
    if (parsed.is_discarded()) {
        return error{error_kind::invalid, "\"" + path + "\" is not valid JSON", "correct the file"};
    }
    return parsed;
}

asio::awaitable<result<log_view>> read_to_end(log_client log) {
    config_reader reader;
    log_view view;
    while (true) {
        const std::int64_t from = reader.next_offset();
        result<log_batch> batch =
            co_await log.read_(std::string(config_stream), from, std::chrono::milliseconds(0));
        if (!ok(batch)) {
            co_return failure(batch);
        }
        std::vector<change_result> decided =
            reader.apply_records(value(batch).first_retained_, value(batch).records_);
        view.results_.insert(view.results_.end(), decided.begin(), decided.end());
        if (reader.next_offset() >= value(batch).next_) {
            break;
        }
    }
    if (!reader.synchronised()) {
        co_return error{error_kind::unavailable, "the log has no snapshot from which its tables can be known",
                        "wait until an entry has written one"};
    }
    view.state_ = reader.state();
    co_return view;
}

} // namespace

template <typename T>
T run_blocking(std::function<asio::awaitable<T>()> coroutine) {
    asio::io_context context(1);
    std::optional<T> outcome;
    asio::co_spawn(context, coroutine(), [&](std::exception_ptr exception, T returned) {
        if (!exception) {
            outcome = std::move(returned);
        }
    });
    context.run();
    return std::move(*outcome);
}

template result<std::int64_t> run_blocking(std::function<asio::awaitable<result<std::int64_t>>()>);
template result<http::response> run_blocking(std::function<asio::awaitable<result<http::response>>()>);
template result<std::vector<listed_instance>>
    run_blocking(std::function<asio::awaitable<result<std::vector<listed_instance>>>()>);

result<asio::ip::tcp::endpoint> parse_address_flag(const std::string& text, const char* flag) {
    auto parsed = http::parse_endpoint(text);
    if (!ok(parsed)) {
        return error{error_kind::invalid, std::string("--") + flag + " is not an address",
                     failure(parsed).remedy_};
    }
    return parsed;
}

result<log_view> read_log(const options& flags) {
    const auto address = parse_address_flag(flags.log_, "log");
    if (!ok(address)) {
        return failure(address);
    }
    const log_client log = http_log_client(value(address), call_limit);
    return run_blocking<result<log_view>>([log] { return read_to_end(log); });
}

result<tables> read_tables(const options& flags) {
    const result<nlohmann::json> routes = read_json_file(flags.routes_file_, "routes");
    if (!ok(routes)) {
        return failure(routes);
    }
    const result<nlohmann::json> pools = read_json_file(flags.pools_file_, "pools");
    if (!ok(pools)) {
        return failure(pools);
    }
    std::vector<table_fault> faults;
    tables parsed = parse_tables(value(routes), value(pools), faults);
    if (faults.empty()) {
        faults = check_tables(parsed);
    }
    if (faults.empty()) {
        return parsed;
    }
    std::string message;
    for (const table_fault& fault : faults) {
        message += (message.empty() ? "" : "\n") + to_string(fault);
    }
    return error{error_kind::conflict, message, "correct the tables"};
}

int print_error(const options& flags, const error& problem) {
    if (flags.json_) {
        const nlohmann::json body = {{"error",
                                      {{"kind", to_string(problem.kind_)},
                                       {"message", problem.message_},
                                       {"remedy", problem.remedy_}}}};
        std::cout << body.dump() << "\n";
    } else {
        std::cerr << problem.message_ << "\n" << problem.remedy_ << "\n";
    }
    switch (problem.kind_) {
    case error_kind::conflict:
        return exit_rejected;
    case error_kind::invalid:
    case error_kind::not_found:
        return exit_usage;
    default:
        return exit_unavailable;
    }
}

} // namespace tamarack::ctl
