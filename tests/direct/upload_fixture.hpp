// Long uploads through one gateway in this process, to an endpoint that the test plays step by step.
#pragma once

#include "direct/request_flow_fixture.hpp"

#include <boost/asio/write.hpp>

namespace tamarack::gateway {

// The system buffers less than this on the way to an endpoint that reads nothing.
constexpr std::size_t upload_bytes = 32 * 1024 * 1024;
constexpr time_ms step_limit_ms = 8'000;

// Window of a connection over which an endpoint reads much at once.
constexpr int wide_receive_bytes = 64 * 1024;

// An endpoint that reads nothing of a request unless it is told to. The thread of the test plays it between
// two steps of the gateway, so that a read and a write of the gateway wait for the connection when it ends.
class unreading_endpoint {
public:
    explicit unreading_endpoint(int receive_bytes = 4'096) {
        listener_.open(boost::asio::ip::tcp::v4());
        listener_.set_option(boost::asio::socket_base::receive_buffer_size(receive_bytes));
        listener_.bind({boost::asio::ip::address_v4::loopback(), 0});
        listener_.listen();
        listener_.non_blocking(true);
    }

    boost::asio::ip::tcp::endpoint address() const { return listener_.local_endpoint(); }

    // Whether a request that it has not responded to has begun to arrive on the newest connection.
    bool is_called() {
        boost::system::error_code none_yet;
        boost::asio::ip::tcp::socket accepted(context_);
        listener_.accept(accepted, none_yet);
        if (!none_yet) {
            sockets_.push_back(std::move(accepted));
            newest_has_response_ = false;
        }
        return !sockets_.empty() && !newest_has_response_ && sockets_.back().available(none_yet) > 0;
    }

    std::size_t connection_count() const { return sockets_.size(); }

    void send(const std::string& bytes) {
        boost::asio::write(sockets_.back(), boost::asio::buffer(bytes));
        newest_has_response_ = true;
    }

    // Reads what has been sent to it and waits on the way, which makes room for long writes.
    std::string drain() {
        constexpr int quiet_rounds = 20;
        constexpr int round_us = 1'000;
        std::string drained;
        std::vector<char> bytes;
        for (int quiet = 0; quiet < quiet_rounds; ++quiet) {
            while (has_unread_bytes()) {
                boost::system::error_code failed;
                bytes.resize(sockets_.back().available(failed));
                drained.append(bytes.data(), sockets_.back().read_some(boost::asio::buffer(bytes), failed));
                quiet = 0;
            }
            ::usleep(round_us);
        }
        return drained;
    }

    bool has_unread_bytes() const {
        boost::system::error_code failed;
        return sockets_.back().available(failed) > 0;
    }

    void reset() {
        sockets_.back().set_option(boost::asio::socket_base::linger(true, 0));
        sockets_.back().close();
    }

    void end_in_order() { sockets_.back().shutdown(boost::asio::ip::tcp::socket::shutdown_send); }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor listener_{context_};
    std::vector<boost::asio::ip::tcp::socket> sockets_;
    bool newest_has_response_ = false;
};

// Runs what is ready until the condition holds. Operations that have not ended then wait for a connection.
inline bool step_until(boost::asio::io_context& context, const std::function<bool()>& condition) {
    const time_ms until = steady_now_ms() + step_limit_ms;
    bool holds = false;
    while (!holds && steady_now_ms() < until) {
        context.restart();
        while (context.poll() > 0) {
        }
        holds = condition();
    }
    return holds;
}

// Runs one task at a time until the condition holds.
inline bool run_until(boost::asio::io_context& context, const std::function<bool()>& condition) {
    const time_ms until = steady_now_ms() + step_limit_ms;
    while (!condition() && steady_now_ms() < until) {
        context.restart();
        context.poll_one();
    }
    return condition();
}

// Fills memory that was freed just before, as the further work of a process does. A later use of a released
// object then fails also without an address sanitizer.
inline std::vector<std::string> reuse_freed_memory() {
    constexpr std::size_t granularity_bytes = 16;
    constexpr std::size_t max_object_bytes = 1'024;
    constexpr int blocks_per_size = 64;
    std::vector<std::string> blocks;
    for (std::size_t size = granularity_bytes; size <= max_object_bytes; size += granularity_bytes) {
        for (int block = 0; block < blocks_per_size; ++block) {
            blocks.emplace_back(size, '\xdd');
        }
    }
    return blocks;
}

const std::string head = "HTTP/1.1 200 OK\r\n"
                         "Tamarackbeam-Request-Id: r-1\r\n"
                         "Tamarackbeam-Server-Stamp: s\r\n";
const std::string part(2'000, 'p');

struct early_case {
    const char* name_;
    std::string response_;
    std::size_t body_bytes_;
};

// How the endpoint ends the connection after its response.
enum class connection_end { none, reset, in_order };

// A long upload to an endpoint that responds without reading it. A second endpoint answers in order.
struct upload_fixture : flow_fixture {
    unreading_endpoint early_;
    std::shared_ptr<request_flow> flow_;

    explicit upload_fixture(int receive_bytes = 4'096) : early_(receive_bytes) {}

    // Returns once the gateway can write no more.
    void start_upload(fleet::repeat_rule rule, bool resumable, time_ms deadline_ms = step_limit_ms) {
        set_route(rule, resumable);
        const fleet::endpoint_record second = records_.at("e-2");
        records_.erase("e-2");
        records_.at("e-1").address_ = early_.address();
        fleet_.apply_endpoints(records_);
        flow_ = start("m", std::string(upload_bytes, 'x'), deadline_ms);
        sink_->on_abort_ = [this] { flow_->on_client_disconnected(); };
        REQUIRE(step_until(context_, [&] { return early_.is_called(); }));
        records_["e-2"] = second;
        fleet_.apply_endpoints(records_);
    }

    // Uploads to a new client's sink, and runs until its response has ended.
    void upload(const early_case& one, connection_end end, fleet::repeat_rule rule, bool resumable = false) {
        sink_ = std::make_shared<status_sink>();
        start_upload(rule, resumable);
        early_.send(one.response_);
        REQUIRE(step_until(context_, [&] {
            return is_answered() ||
                   sink_->data_.size() + memory_.held(memory::pool::arriving) >= one.body_bytes_;
        }));
        if (end == connection_end::reset) {
            early_.reset();
        } else if (end == connection_end::in_order) {
            early_.end_in_order();
        }
        REQUIRE(step_until(context_, [&] { return is_answered(); }));
    }

    void set_route(fleet::repeat_rule rule, bool resumable) {
        auto configuration = std::make_shared<fleet::configuration>(*fleet_.current()->configuration_);
        ++configuration->version_;
        fleet::route_rule& route = configuration->routes_[0];
        route.repeat_ = rule;
        route.resumable_ = resumable;
        route.max_attempts_ = 2;
        route.timeout_ms_ = route.objective_ms_ = step_limit_ms;
        fleet_.apply_configuration(std::make_shared<const indexed_configuration>(configuration));
    }

    // Whether the client's response has ended in some way.
    bool is_answered() const { return sink_->responded_ || sink_->ended_ || sink_->status_ == -1; }
};

} // namespace tamarack::gateway
