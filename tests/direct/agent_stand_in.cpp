#include "direct/agent_stand_in.hpp"

#include <boost/asio/post.hpp>

namespace tamarack::direct {

namespace asio = boost::asio;

namespace {

constexpr std::size_t length_bytes = 4;

} // namespace

agent_stand_in::agent_stand_in()
    : context_(1), acceptor_(context_, {asio::ip::address_v4::loopback(), 0}),
      port_(acceptor_.local_endpoint().port()) {
    accept();
    thread_ = std::thread([this] { context_.run(); });
}

agent_stand_in::~agent_stand_in() {
    context_.stop();
    thread_.join();
}

void agent_stand_in::accept() {
    acceptor_.async_accept([this](boost::system::error_code failed, asio::ip::tcp::socket socket) {
        if (failed) {
            return;
        }
        links::link::events handlers;
        handlers.frame_ = [this](const links::frame& frame) {
            const std::lock_guard lock(mutex_);
            received_.push_back(links::encode(frame).substr(length_bytes));
        };
        handlers.closed_ = [] {};
        links_.push_back(std::make_shared<links::link>(std::move(socket), std::move(handlers)));
        links_.back()->start();
        accept();
    });
}

void agent_stand_in::send(links::frame message) {
    asio::post(context_, [this, bytes = links::encode(message)] {
        for (const auto& one : links_) {
            one->send_encoded(bytes);
        }
    });
}

std::vector<links::frame> agent_stand_in::received(links::fbs::Body type) const {
    std::vector<links::frame> frames;
    const std::lock_guard lock(mutex_);
    for (const std::string& bytes : received_) {
        const std::vector<std::uint8_t> aligned(bytes.begin(), bytes.end());
        auto decoded = links::decode(aligned);
        if (ok(decoded) && value(decoded).body.type == type) {
            frames.push_back(std::move(value(decoded)));
        }
    }
    return frames;
}

} // namespace tamarack::direct
