#include "entry/attempt.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tamarack::entry {

boost::asio::awaitable<std::optional<attempt_event>>
mailbox::receive(std::chrono::steady_clock::time_point until) {
    while (events_.empty()) {
        if (std::chrono::steady_clock::now() >= until) {
            co_return std::nullopt;
        }
        timer_.expires_at(until);
        boost::system::error_code wait_error;
        co_await timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, wait_error));
    }
    attempt_event event = std::move(events_.front());
    events_.pop_front();
    co_return event;
}

} // namespace tamarack::entry
