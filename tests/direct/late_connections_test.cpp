// Connections that are established after whoever asked for them has gone on.
#include "direct/upload_fixture.hpp"
#include "gateway/agent_links.hpp"
#include "gateway/seed_exchange.hpp"

namespace tamarack::gateway {

namespace {

using boost::asio::ip::tcp;

// Accepts connections when it is told to, and sends nothing.
class mute_listener {
public:
    explicit mute_listener(int backlog) {
        listener_.open(tcp::v4());
        listener_.bind({boost::asio::ip::address_v4::loopback(), 0});
        listener_.listen(backlog);
        listener_.non_blocking(true);
    }

    tcp::endpoint address() const { return listener_.local_endpoint(); }

    void accept_all() {
        boost::system::error_code none_left;
        while (!none_left) {
            tcp::socket accepted(context_);
            listener_.accept(accepted, none_left);
            if (!none_left) {
                accepted.non_blocking(true);
                sockets_.push_back(std::move(accepted));
            }
        }
    }

    std::size_t accepted() const { return sockets_.size(); }

    // Number of accepted connections that the other side has not closed.
    std::size_t open_connections() {
        std::erase_if(sockets_, [](tcp::socket& one) {
            char bytes[1024];
            boost::system::error_code failed;
            while (!failed) {
                one.read_some(boost::asio::buffer(bytes), failed);
            }
            return failed != boost::asio::error::would_block;
        });
        return sockets_.size();
    }

private:
    boost::asio::io_context context_;
    tcp::acceptor listener_{context_};
    std::vector<tcp::socket> sockets_;
};

// A source that knows nothing.
struct empty_source : fleet::fleet_source {
    void start() override {}
    void set_reads_store(bool, bool) override {}
    void take_relayed(const fleet::relayed_data&) override {}
    std::vector<fleet::relayed_data> snapshot() const override { return {}; }
    void write_quarantine(std::map<std::string, std::string>) override {}
    result<std::shared_ptr<const fleet::configuration>> decode(const std::string&) const override {
        return error{error_kind::invalid, "not decoded here", ""};
    }
};

} // namespace

// A seed that was slow to accept took the place of the link to the next one, which then was never closed.
TEST_CASE("seed_accepts_after_next_one_was_asked_no_connection_is_left_when_fleet_is_known") {
    boost::asio::io_context context;
    event_log events("test", event_rate(), [](const std::string&) {});
    empty_source source;
    mute_listener seed(0);
    // Fills the backlog, so that the first asks wait for the seed.
    std::vector<tcp::socket> fillers;
    for (int number = 0; number < 2; ++number) {
        fillers.emplace_back(context).async_connect(seed.address(), [](boost::system::error_code) {});
    }
    bool known = false;
    int asks = 0;
    seed_exchange exchange(context, source, {}, {seed.address()}, events);
    exchange.start([&] {
        ++asks;
        return known;
    });
    constexpr int waiting_asks = 3;
    REQUIRE(step_until(context, [&] { return asks >= waiting_asks; }));
    // The system repeats the first of them a second after it was sent.
    constexpr int later_asks = 8;
    REQUIRE(step_until(context, [&] {
        seed.accept_all();
        return asks >= waiting_asks + later_asks;
    }));
    known = true;
    fillers.clear();
    const int last_ask = asks;
    REQUIRE(step_until(context, [&] { return asks > last_ask; }));
    CHECK(step_until(context, [&] {
        seed.accept_all();
        return seed.open_connections() == 0;
    }));
}

// A connection that was made after its engine had gone became a link that nothing closed.
TEST_CASE_FIXTURE(flow_fixture, "agent_accepts_after_its_engine_has_gone_connection_is_closed") {
    mute_listener agents(16);
    agent_links links(fleet_, "gateway-1", 1, agents.address().port(), events_, {});
    links.tick(steady_now_ms());
    fleet_.apply_endpoints({});
    links.tick(steady_now_ms());
    REQUIRE(step_until(context_, [&] {
        agents.accept_all();
        return agents.accepted() == records_.size();
    }));
    CHECK(step_until(context_, [&] { return agents.open_connections() == 0; }));
}

} // namespace tamarack::gateway
