#include "gateway/event_splitter.hpp"

#include <charconv>

namespace tamarack::gateway {

namespace {

// The number in the event's line "id: NUMBER".
std::optional<std::int64_t> id_of(std::string_view event) {
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

// Length of the first event with its blank line, or 0 if it is not whole yet.
std::size_t whole_length(std::string_view bytes) {
    const std::size_t plain = bytes.find("\n\n");
    const std::size_t windows = bytes.find("\r\n\r\n");
    if (plain == std::string_view::npos && windows == std::string_view::npos) {
        return 0;
    }
    return plain < windows ? plain + 2 : windows + 4;
}

} // namespace

bool event_splitter::take(std::string_view bytes, std::string& whole) {
    unfinished_.append(bytes);
    std::size_t used = 0;
    while (used < unfinished_.size()) {
        const std::string_view rest = std::string_view(unfinished_).substr(used);
        const std::size_t length = whole_length(rest);
        if (length == 0) {
            break;
        }
        const std::string_view event = rest.substr(0, length);
        used += length;
        const std::optional<std::int64_t> id = id_of(event);
        if (id && last_id_) {
            if (*id <= *last_id_) {
                continue;
            }
            if (*id != *last_id_ + 1) {
                return false;
            }
        }
        if (id) {
            last_id_ = id;
        }
        whole.append(event);
        ++events_;
    }
    unfinished_.erase(0, used);
    return true;
}

} // namespace tamarack::gateway
