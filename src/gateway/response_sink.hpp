// The two sides of a request in service: the client's connection, and the request's flow.
#pragma once

#include "tamarack/http.hpp"

namespace tamarack::gateway {

// Where an answer goes. Either `send_whole`, or `begin_stream`, parts, and `end_stream` or `abort`.
class response_sink {
public:
    virtual ~response_sink() = default;
    virtual void send_whole(int status, const std::vector<http::header>& headers, std::string_view body) = 0;
    virtual void begin_stream(int status, const std::vector<http::header>& headers) = 0;
    virtual void send_part(std::string_view bytes) = 0;
    virtual void end_stream() = 0;

    // Ends the connection so that the client sees an incomplete answer.
    virtual void abort() = 0;

    // Bytes that the client has not taken yet.
    virtual std::size_t unwritten() const = 0;
};

// A request in service, as its connection sees it.
class running_request {
public:
    virtual ~running_request() = default;

    // The client closed its connection; nothing is sent any more.
    virtual void client_gone() = 0;

    // The client has taken what was sent.
    virtual void drained() = 0;

    // The process is about to end; a request that was not sent yet is refused.
    virtual void refuse_if_unsent() = 0;
};

} // namespace tamarack::gateway
