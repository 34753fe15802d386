// Interfaces between a client's connection and the request that it has in service.
#pragma once

#include "tamarack/http.hpp"

namespace tamarack::gateway {

// Receives the response to one request: either `send_response`, or `begin_stream`, any number of `send_data`,
// and `end_stream` or `abort`.
class response_sink {
public:
    virtual ~response_sink() = default;
    virtual void send_response(int status, const std::vector<http::header>& headers, std::string body) = 0;
    virtual void begin_stream(int status, const std::vector<http::header>& headers) = 0;
    virtual void send_data(std::string_view bytes) = 0;
    virtual void end_stream() = 0;

    // Ends the connection so that the client sees an incomplete answer.
    virtual void abort() = 0;

    // Number of bytes that are queued or being written to the client.
    virtual std::size_t unsent_bytes() const = 0;

    // Whether the memory for responses is scarce, so that less should be sent ahead of the client.
    virtual bool is_memory_scarce() const = 0;
};

// A request in service, as its connection sees it.
class running_request {
public:
    virtual ~running_request() = default;

    // The client closed its connection; nothing is sent any more.
    virtual void on_client_disconnected() = 0;

    // Called when a write to the client has completed.
    virtual void on_write_completed() = 0;

    // Refuses the request if it was not sent to an endpoint yet and the process, which has been told to end,
    // is no longer expected to see its end.
    virtual void refuse_if_unsent() = 0;

    // Ends the request with a response that says whether it may have run. Called shortly before the process
    // ends.
    virtual void end_before_exit() = 0;

    // Ends the request, unless its response has begun, if a part of its prompt has been quarantined.
    virtual void end_if_quarantined() = 0;
};

} // namespace tamarack::gateway
