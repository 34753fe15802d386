// How a gateway's view of the registry follows relays of other gateways, with the gateway as a process.
#include "direct/agent_stand_in.hpp"
#include "direct/gateway_process.hpp"
#include "platform/relay.hpp"

namespace tamarack::direct {

namespace {

// A gateway process that leaves reading the store to two other gateways, which the test plays.
struct relayed_gateway : gateway_process {
    agent_stand_in agent_;
    fake_endpoint engine_{"e-1"};
    std::atomic<std::int64_t> registry_end_ = 0;
    std::int64_t configuration_end_ = 0;
    std::atomic<bool> relays_registry_ = true;
    std::atomic<time_ms> relay_age_ms_ = 0;
    std::atomic<bool> stopping_ = false;
    std::thread peers_;

    relayed_gateway() {
        store_.put("keyed.op", "config", configuration_with_engines(4));
        store_.put("keyed.servers", "e-1", engine_text());
        registry_end_ = std::int64_t(store_.record_count("keyed.servers"));
        configuration_end_ = std::int64_t(store_.record_count("keyed.op"));
        agent_port_ = agent_.port();
    }

    ~relayed_gateway() {
        stopping_ = true;
        if (peers_.joinable()) {
            peers_.join();
        }
    }

    // The gateway links to the agent of an engine, so the configuration and the registry need one.
    static std::string configuration_with_engines(int version) {
        nlohmann::json body = nlohmann::json::parse(configuration_text(version));
        body["services"].push_back({{"name", "engines"},
                                    {"health_path", "/h"},
                                    {"max_connections", 100},
                                    {"engine", {{"slots", 4}}}});
        return body.dump();
    }

    std::string engine_text() const {
        nlohmann::json body = nlohmann::json::parse(endpoint_text(engine_));
        body["service"] = "engines";
        return body.dump();
    }

    // Two other gateways with lower ids, which reach the store, send digests and relays until the end.
    void start_peers() {
        constexpr useconds_t interval_us = 300'000;
        peers_ = std::thread([this] {
            while (!stopping_) {
                for (const char* id : {"gateway-0a", "gateway-0b"}) {
                    links::gateway_digest digest;
                    digest.from = id;
                    digest.uptime_ms = 60'000;
                    digest.configuration_version = 4;
                    digest.store_reachable = true;
                    agent_.send(links::make_frame(std::move(digest)));
                }
                relay("keyed.op", {configuration_end_, configuration_end_, {}, false, 1});
                if (relays_registry_) {
                    relay_registry({});
                }
                ::usleep(interval_us);
            }
        });
    }

    // Relays records that follow those relayed before.
    void relay_registry(std::vector<platform::keyed_record> records) {
        const std::int64_t from = registry_end_;
        registry_end_ += std::int64_t(records.size());
        relay("keyed.servers", {from, from + std::int64_t(records.size()), std::move(records), false, 1});
    }

    void relay(const std::string& topic, platform::topic_span span) {
        const std::string bytes = platform::encode_relay({topic, std::move(span), 60'000});
        links::store_relay message;
        message.from = "gateway-0a";
        message.age_ms = relay_age_ms_;
        message.bytes.assign(bytes.begin(), bytes.end());
        agent_.send(links::make_frame(std::move(message)));
    }

    // Starts the gateway, which then relies on what the two others relay.
    void start_relying_on_peers() {
        start_ready();
        start_peers();
        REQUIRE(eventually([&] { return logged("\"leaves_reading_to_others\""); }));
    }

    // The same, where the store has turned the gateway away before and serves it again.
    void start_turned_away() {
        start_ready();
        store_.set_fault(fake_store::fault::busy);
        REQUIRE(eventually([&] { return logged("\"store_lost\""); }));
        start_peers();
        REQUIRE(eventually([&] { return logged("\"leaves_reading_to_others\""); }));
        store_.set_fault(fake_store::fault::none);
    }

    // Whether no lookup reaches the second endpoint any more.
    bool avoids_second() {
        set_behaviours_of_both({behaviour::complete});
        constexpr int lookups = 20;
        for (int lookup = 0; lookup < lookups; ++lookup) {
            CHECK(status(request("lookup", "r-" + std::to_string(lookup))) == 200);
        }
        return second_.received_requests().empty();
    }

    bool logged(const std::string& text) const {
        std::ifstream file(folder_ + "/log");
        return std::string(std::istreambuf_iterator<char>(file), {}).find(text) != std::string::npos;
    }
};

// Time within which requests to an endpoint that leaves must stop.
constexpr useconds_t leaving_limit_us = 2'000'000;

} // namespace

// DRAIN: a gateway that had lost the store once kept sending to endpoints whose entries others saw removed.
TEST_CASE_FIXTURE(
    relayed_gateway,
    "gateway_lost_the_store_before_an_entry_is_removed_stops_sending_there_within_two_seconds") {
    start_turned_away();
    store_.drop("keyed.servers", "i-2");
    relay_registry({{"i-2", std::nullopt}});
    ::usleep(leaving_limit_us);
    CHECK(avoids_second());
}

// DRAIN: relays of the configuration hid that none of the registry came any more.
TEST_CASE_FIXTURE(relayed_gateway, "gateway_hears_of_the_configuration_only_reads_the_registry_itself") {
    start_relying_on_peers();
    relays_registry_ = false;
    store_.drop("keyed.servers", "i-2");
    ::usleep(leaving_limit_us);
    CHECK(avoids_second());
}

// DRAIN: relays that were held up on the way counted as new when they arrived.
TEST_CASE_FIXTURE(relayed_gateway, "gateway_relays_arrive_seconds_late_reads_the_registry_itself") {
    start_relying_on_peers();
    relay_age_ms_ = 3'000;
    store_.drop("keyed.servers", "i-2"); // what the peers relay from now on is from before
    ::usleep(leaving_limit_us);
    CHECK(avoids_second());
}

TEST_CASE_FIXTURE(relayed_gateway, "gateway_relays_are_recent_makes_no_calls_to_the_store") {
    constexpr useconds_t settling_us = 1'500'000; // a waiting read of the configuration may be under way
    start_relying_on_peers();
    ::usleep(settling_us);
    const int calls = store_.calls();
    ::usleep(leaving_limit_us);
    CHECK(store_.calls() == calls);
}

// A gateway that the store had turned away once never tried again, so it could not take its turn at reading.
TEST_CASE_FIXTURE(relayed_gateway,
                  "gateway_store_serves_it_again_while_others_read_notices_within_ten_seconds") {
    start_turned_away();
    CHECK(eventually([&] { return logged("\"store_regained\""); })); // within 10 s
}

// A gateway waited at an offset that the store, back from a copy, gave to the next configuration.
TEST_CASE_FIXTURE(relayed_gateway, "gateway_store_returns_from_a_copy_takes_the_next_configuration") {
    start_ready();
    store_.put("keyed.op", "config", configuration_with_engines(9));
    REQUIRE(eventually([&] { return logged("\"configuration_in_force\",\"version\":9"); }));
    store_.roll_back("keyed.op", 1);
    store_.put("keyed.op", "config", configuration_with_engines(10));
    CHECK(eventually([&] { return logged("\"configuration_in_force\",\"version\":10"); }));
    CHECK(logged("\"store_rolled_back\""));
}

namespace {

struct rolled_back_gateway : gateway_process {
    bool lookups_reach_second() {
        set_behaviours_of_both({behaviour::complete});
        for (int lookup = 0; lookup < 20; ++lookup) {
            CHECK(status(request("lookup", "r-" + std::to_string(lookup))) == 200);
        }
        return !second_.received_requests().empty();
    }
};

} // namespace

// DRAIN: a store that returned from a copy listed an endpoint again that had left before.
TEST_CASE_FIXTURE(rolled_back_gateway,
                  "gateway_store_returns_from_a_copy_sends_nothing_to_an_endpoint_that_had_left") {
    start_ready();
    store_.drop("keyed.servers", "i-2");
    REQUIRE(eventually([&] { return !lookups_reach_second(); }));
    store_.roll_back("keyed.servers", 1);
    const time_ms until = boot_now_ms() + 3'000; // several reads of the registry
    while (boot_now_ms() < until) {
        CHECK_FALSE(lookups_reach_second());
    }
    // Once it writes its entry there, it has not left.
    store_.put("keyed.servers", "i-2", endpoint_text(second_));
    CHECK(eventually([&] { return lookups_reach_second(); }));
}

// The copy lacks that the endpoint said it leaves, which the store had acknowledged.
TEST_CASE_FIXTURE(rolled_back_gateway,
                  "gateway_store_returns_from_a_copy_sends_nothing_to_an_endpoint_that_was_leaving") {
    start_ready();
    nlohmann::json leaving = nlohmann::json::parse(endpoint_text(second_, "draining"));
    leaving["sequence"] = 2;
    store_.put("keyed.servers", "i-2", leaving.dump());
    REQUIRE(eventually([&] { return !lookups_reach_second(); }));
    store_.roll_back("keyed.servers", 1);
    const time_ms until = boot_now_ms() + 3'000; // several reads of the registry
    while (boot_now_ms() < until) {
        CHECK_FALSE(lookups_reach_second());
    }
}

} // namespace tamarack::direct
