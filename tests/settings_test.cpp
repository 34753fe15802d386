#include "fixtures.hpp"
#include "tamarack/http.hpp"
#include "tamarack/settings.hpp"

namespace tamarack {

namespace {

struct settings_fixture {
    nlohmann::json agent_ = {{"id", "a"},
                             {"pool", "desk"},
                             {"data_centre", "dc1"},
                             {"listen", "127.0.0.1:7000"},
                             {"admin", "127.0.0.1:7001"},
                             {"endpoint", "127.0.0.1:7002"},
                             {"log", "127.0.0.1:7003"},
                             {"list", "127.0.0.1:7004"}};
};

} // namespace

TEST_CASE_FIXTURE(settings_fixture, "agent_settings_complete_are_read_with_defaults") {
    const auto parsed = parse_agent_settings(agent_.dump());
    REQUIRE(ok(parsed));
    CHECK(value(parsed).listen_.port() == 7'000);
    CHECK(value(parsed).settle_ms_ == 3'000);
}

TEST_CASE_FIXTURE(settings_fixture, "agent_settings_with_several_faults_report_all_in_one_message") {
    agent_["listen"] = "localhost:7000";
    agent_["settle_ms"] = 0;
    agent_["colour"] = "red";
    agent_.erase("pool");
    const auto parsed = parse_agent_settings(agent_.dump());
    REQUIRE_FALSE(ok(parsed));
    for (const char* field : {"listen", "settle_ms", "colour", "pool"}) {
        CHECK(failure(parsed).message_.find(field) != std::string::npos);
    }
}

// A gateway that is given less than one request needs could serve none.
TEST_CASE("gateway_settings_memory_or_descriptors_out_of_range_are_rejected") {
    nlohmann::json gateway = {{"id", "g"},
                              {"data_centre", "dc1"},
                              {"listen", "127.0.0.1:7000"},
                              {"admin", "127.0.0.1:7001"},
                              {"metrics", "127.0.0.1:7002"},
                              {"store", "127.0.0.1:7003"},
                              {"seeds", nlohmann::json::array()},
                              {"agent_port", 7004}};
    REQUIRE(ok(parse_gateway_settings(gateway.dump())));
    CHECK(value(parse_gateway_settings(gateway.dump())).memory_mb_ == 0);
    gateway["memory_mb"] = 120;
    gateway["max_descriptors"] = 3'150;
    REQUIRE(ok(parse_gateway_settings(gateway.dump())));
    CHECK(value(parse_gateway_settings(gateway.dump())).memory_mb_ == 120);
    CHECK(value(parse_gateway_settings(gateway.dump())).max_descriptors_ == 3'150);
    gateway["memory_mb"] = 8;
    gateway["max_descriptors"] = 100;
    const auto parsed = parse_gateway_settings(gateway.dump());
    REQUIRE_FALSE(ok(parsed));
    CHECK(failure(parsed).message_.find("memory_mb") != std::string::npos);
    CHECK(failure(parsed).message_.find("max_descriptors") != std::string::npos);
}

TEST_CASE_FIXTURE(settings_fixture, "settings_not_an_object_are_rejected") {
    for (const char* text : {"", "{", "[]", "1", "null", "\xff"}) {
        CHECK_FALSE(ok(parse_agent_settings(text)));
        CHECK_FALSE(ok(parse_entry_settings(text)));
    }
    CHECK(failure(load_agent_settings("/nonexistent")).kind_ == error_kind::not_found);
}

TEST_CASE("parse_endpoint_accepts_numeric_addresses_only") {
    CHECK(ok(http::parse_endpoint("127.0.0.1:80")));
    CHECK(ok(http::parse_endpoint("[::1]:80")));
    for (const char* text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "host:80", "127.0.0.1:80x"}) {
        CHECK_FALSE(ok(http::parse_endpoint(text)));
    }
}

} // namespace tamarack
