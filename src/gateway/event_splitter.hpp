// Splits an event stream into whole events, so that nothing after the last whole one is passed on.
#pragma once

#include "tamarack/kernel.hpp"

#include <optional>

namespace tamarack::gateway {

class event_splitter {
public:
    // Takes bytes of the stream and appends the whole events among them that follow the last one passed on.
    // Returns false if an event is missing: its id does not follow the last one.
    bool take(std::string_view bytes, std::string& whole);

    // Begins another run of the same stream; bytes of an unfinished event are forgotten.
    void restart() { unfinished_.clear(); }

    // Id of the last event that was passed on.
    std::optional<std::int64_t> last_id() const { return last_id_; }

    // Id with which a client asked the stream to go on.
    void set_last_id(std::int64_t id) { last_id_ = id; }

    std::int64_t events() const { return events_; }
    bool unfinished() const { return !unfinished_.empty(); }

private:
    std::string unfinished_;
    std::optional<std::int64_t> last_id_;
    std::int64_t events_ = 0;
};

} // namespace tamarack::gateway
