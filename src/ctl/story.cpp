#include "ctl/story.hpp"

#include "ctl/commands.hpp"

#include "tamarack/untrusted.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>

namespace tamarack::ctl {

namespace {

// Time before a process's first line of the request from which its context lines are kept.
constexpr std::chrono::milliseconds default_context{2'000};

struct event_line {
    std::string process_;
    std::int64_t at_ms_ = 0;
    std::string kind_;
    std::string request_;
    const std::string* text_ = nullptr; // whole line, with any text before the JSON object
};

std::optional<event_line> parse_line(const std::string& text) {
    const std::size_t begin = text.find('{');
    if (begin == std::string::npos) {
        return std::nullopt;
    }
    const nlohmann::json body = untrusted::parse_json(text.substr(begin));
    if (!body.is_object() || !body.contains("process") || !body.contains("at_ms")) {
        return std::nullopt;
    }
    return event_line{untrusted::text(body, "process"), untrusted::whole_number(body, "at_ms").value_or(0),
                      untrusted::text(body, "kind"), untrusted::text(body, "request"), &text};
}

// Whether lines of this kind are kept even if they do not belong to the request.
bool is_context(const event_line& line) {
    return line.kind_ == "dependency" || line.kind_ == "belief" || line.kind_ == "process" ||
           line.kind_ == "order";
}

} // namespace

std::vector<std::string> select_request_lines(std::span<const std::string> lines, std::string_view request,
                                              std::chrono::milliseconds context) {
    std::vector<event_line> parsed;
    for (const std::string& text : lines) {
        if (auto line = parse_line(text)) {
            parsed.push_back(std::move(*line));
        }
    }
    // Times of the first and the last line of the request, by process.
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> periods;
    for (const event_line& line : parsed) {
        if (line.request_ == request) {
            const auto period = periods.try_emplace(line.process_, line.at_ms_, line.at_ms_).first;
            period->second.first = std::min(period->second.first, line.at_ms_);
            period->second.second = std::max(period->second.second, line.at_ms_);
        }
    }
    std::erase_if(parsed, [&](const event_line& line) {
        const auto period = periods.find(line.process_);
        if (period == periods.end()) {
            return true;
        }
        const bool in_period =
            line.at_ms_ >= period->second.first - context.count() && line.at_ms_ <= period->second.second;
        return line.request_ != request && !(in_period && is_context(line));
    });
    std::stable_sort(parsed.begin(), parsed.end(), [](const event_line& left, const event_line& right) {
        return left.process_ != right.process_ ? left.process_ < right.process_ : left.at_ms_ < right.at_ms_;
    });
    std::vector<std::string> selected;
    for (const event_line& line : parsed) {
        selected.push_back(*line.text_);
    }
    return selected;
}

int story(const options& flags) {
    if (flags.request_.empty() || flags.events_.empty()) {
        std::cerr << "story needs --events and --request\n";
        return exit_usage;
    }
    std::vector<std::string> lines;
    for (const std::string& path : split_list(flags.events_)) {
        std::ifstream file(path);
        if (!file) {
            std::cerr << "cannot read \"" << path << "\"; give saved event lines with --events\n";
            return exit_usage;
        }
        for (std::string line; std::getline(file, line);) {
            lines.push_back(line);
        }
    }
    const std::vector<std::string> selected = select_request_lines(lines, flags.request_, default_context);
    for (const std::string& line : selected) {
        std::cout << line << "\n";
    }
    return selected.empty() ? exit_rejected : exit_ok;
}

} // namespace tamarack::ctl
