// Finds out whether an endpoint has ended that no agent watches.
#pragma once

#include "gateway/endpoint.hpp"
#include "tamarack/events.hpp"

namespace tamarack::gateway {

// Connects to the endpoint. One whose process has ended refuses that at once; one that has merely closed a
// connection, or that cannot be reached, does not. The registry would tell an end after seconds.
class end_probe {
public:
    // `ended` is called if the endpoint refuses the connection, with its incarnation at the start of the
    // probe.
    end_probe(boost::asio::any_io_executor executor, event_log& events,
              std::function<void(endpoint&, std::int64_t incarnation)> ended);

    // Does nothing if a probe of the endpoint is under way.
    void start(const std::shared_ptr<endpoint>& target);

private:
    struct probe;
    void connect(const std::shared_ptr<probe>& one);

    boost::asio::any_io_executor executor_;
    event_log& events_;
    std::function<void(endpoint&, std::int64_t incarnation)> ended_;
    std::set<std::string, std::less<>> pending_; // ids of endpoints
};

} // namespace tamarack::gateway
