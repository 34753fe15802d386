// Splits an event stream into complete events, so that only complete ones are forwarded.
#pragma once

#include "tamarack/kernel.hpp"

#include <optional>

namespace tamarack::gateway {

// Collects the bytes of a stream and returns its complete events. Drops events that were forwarded before, so
// that a stream can be resumed at another endpoint.
class event_splitter {
public:
    // Appends bytes of the stream, and adds to `complete_events` those events that are now complete and new.
    // Returns false if an event is missing, since the next id is not the last one plus 1, if an event is too
    // long, or if one of a resumed stream has no id, so that it cannot be told where it belongs.
    bool append(std::string_view bytes, std::string& complete_events);

    // Prepares for the same stream from another endpoint: drops the bytes of an incomplete event.
    void restart() {
        partial_event_.clear();
        resumed_ = last_id_.has_value();
    }

    // Id of the last event that was forwarded.
    std::optional<std::int64_t> last_id() const { return last_id_; }

    // Sets the id after which the client asked to resume the stream.
    void set_last_id(std::int64_t id) { last_id_ = id; }

    std::int64_t event_count() const { return event_count_; }
    bool has_partial_event() const { return !partial_event_.empty(); }

private:
    std::string partial_event_;
    std::optional<std::int64_t> last_id_;
    std::int64_t event_count_ = 0;
    bool resumed_ = false;
};

} // namespace tamarack::gateway
