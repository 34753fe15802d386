#include "gateway/event_splitter.hpp"

#include <charconv>

namespace tamarack::gateway {

namespace {

constexpr std::size_t max_event_bytes = 1024 * 1024;

// Parses the number in the event's line "id: NUMBER".
std::optional<std::int64_t> parse_event_id(std::string_view event) {
    constexpr std::string_view field = "id:";
    std::size_t begin = 0;
    while (begin < event.size()) {
        const std::size_t end = std::min(event.find('\n', begin), event.size());
        std::string_view line = event.substr(begin, end - begin);
        begin = end + 1;
        if (line.substr(0, field.size()) != field) {
            continue;
        }
        line.remove_prefix(field.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        std::int64_t id = 0;
        const auto [rest, failed] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (failed == std::errc()) {
            return id;
        }
    }
    return std::nullopt;
}

// Length of the first event, its blank line included, or 0 if it is incomplete.
std::size_t first_event_length(std::string_view bytes) {
    const std::size_t lf = bytes.find("\n\n");
    const std::size_t crlf = bytes.find("\r\n\r\n");
    if (lf == std::string_view::npos && crlf == std::string_view::npos) {
        return 0;
    }
    return lf < crlf ? lf + 2 : crlf + 4;
}

} // namespace

bool event_splitter::append(std::string_view bytes, std::string& complete_events) {
    partial_event_.append(bytes);
    std::size_t used = 0;
    while (used < partial_event_.size()) {
        const std::string_view rest = std::string_view(partial_event_).substr(used);
        const std::size_t length = first_event_length(rest);
        if (length == 0) {
            break;
        }
        const std::string_view event = rest.substr(0, length);
        used += length;
        const std::optional<std::int64_t> id = parse_event_id(event);
        if (id && last_id_) {
            if (*id <= *last_id_) {
                continue;
            }
            if (*id != *last_id_ + 1) {
                return false;
            }
        }
        if (!id && resumed_) {
            return false;
        }
        if (id) {
            last_id_ = id;
        }
        complete_events.append(event);
        ++event_count_;
    }
    partial_event_.erase(0, used);
    return partial_event_.size() <= max_event_bytes;
}

} // namespace tamarack::gateway
