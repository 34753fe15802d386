#include "ctl/story.hpp"

#include "ctl/commands.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>

namespace tamarack::ctl {

namespace {

constexpr std::chrono::milliseconds story_context{2'000}; // before a request's first line

struct event_line {
    std::string process_;
    std::int64_t at_ms_ = 0;
    std::string kind_;
    std::string request_;
    const std::string* text_ = nullptr;
};

std::optional<event_line> parse(const std::string& text) {
    const std::size_t begin = text.find('{');
    if (begin == std::string::npos) {
        return std::nullopt;
    }
    const nlohmann::json body = nlohmann::json::parse(text.substr(begin), nullptr, false);
    if (!body.is_object() || !body.contains("process") || !body.contains("at_ms")) {
        return std::nullopt;
    }
    return event_line{body.value("process", std::string()), body.value("at_ms", std::int64_t(0)),
                      body.value("kind", std::string()), body.value("request", std::string()), &text};
}

bool is_context(const event_line& line) {
    return line.kind_ == "dependency" || line.kind_ == "belief" || line.kind_ == "process" ||
           line.kind_ == "order";
}

} // namespace

std::vector<std::string> select_request_lines(std::span<const std::string> lines, std::string_view request,
                                              std::chrono::milliseconds context) {
    std::vector<event_line> parsed;
    for (const std::string& text : lines) {
        if (auto line = parse(text)) {
            parsed.push_back(std::move(*line));
        }
    }
    // The span of time in which each process dealt with the request.
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> spans;
    for (const event_line& line : parsed) {
        if (line.request_ == request) {
            const auto span = spans.try_emplace(line.process_, line.at_ms_, line.at_ms_).first;
            span->second.first = std::min(span->second.first, line.at_ms_);
            span->second.second = std::max(span->second.second, line.at_ms_);
        }
    }
    std::erase_if(parsed, [&](const event_line& line) {
        const auto span = spans.find(line.process_);
        if (span == spans.end()) {
            return true;
        }
        const bool near =
            line.at_ms_ >= span->second.first - context.count() && line.at_ms_ <= span->second.second;
        return line.request_ != request && !(near && is_context(line));
    });
    std::stable_sort(parsed.begin(), parsed.end(), [](const event_line& left, const event_line& right) {
        return left.process_ != right.process_ ? left.process_ < right.process_ : left.at_ms_ < right.at_ms_;
    });
    std::vector<std::string> story;
    for (const event_line& line : parsed) {
        story.push_back(*line.text_);
    }
    return story;
}

int story(const options& given) {
    if (given.request_.empty() || given.events_.empty()) {
        std::cerr << "story needs --events and --request\n";
        return exit_usage;
    }
    std::vector<std::string> lines;
    for (const std::string& path : split_list(given.events_)) {
        std::ifstream file(path);
        if (!file) {
            std::cerr << "cannot read \"" << path << "\"; give saved event lines with --events\n";
            return exit_usage;
        }
        for (std::string line; std::getline(file, line);) {
            lines.push_back(line);
        }
    }
    const std::vector<std::string> found = select_request_lines(lines, given.request_, story_context);
    for (const std::string& line : found) {
        std::cout << line << "\n";
    }
    return found.empty() ? exit_rejected : exit_ok;
}

} // namespace tamarack::ctl
