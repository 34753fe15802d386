// Requests whose identity depends on how an endpoint reads them, or on a configuration that comes while they
// wait.
#include "direct/identity_fixture.hpp"

namespace tamarack::gateway {

// UNASKED: a request without a key could name a target beyond a public route by encoded separators.
TEST_CASE_FIXTURE(identity_fixture,
                  "request_target_with_encoded_separators_and_dots_is_refused_and_not_sent") {
    configure(3, *fleet_.current()->configuration_->organisations_, true);
    for (const char* target : {"/drafts/..%2fx", "/drafts/..%2Fx", "/drafts/..%5cx", "/drafts/..\\x",
                               "/drafts/%252e%252e/x", "/drafts/a%2f..%2f..%2fx", "/drafts/..%3ba/x"}) {
        CAPTURE(target);
        sink_ = std::make_shared<status_sink>();
        start_with({}, "m", target);
        run();
        context_.restart();
        CHECK(sink_->status_ == 400);
    }
    CHECK(received().empty());
    sink_ = std::make_shared<status_sink>();
    start_with({}, "m", "/drafts/a%2fb%20c//d");
    run();
    CHECK(sink_->status_ == 200);
}

// UNASKED: a request without a key could name a route that is not public in a way that only the endpoint
// reads.
TEST_CASE_FIXTURE(identity_fixture, "request_target_that_reads_as_another_route_is_refused_and_not_sent") {
    auto configuration = std::make_shared<fleet::configuration>(*fleet_.current()->configuration_);
    configuration->version_ = 3;
    fleet::route_rule open = configuration->routes_.front();
    open.name_ = "open";
    open.prefix_ = "/";
    open.public_ = true;
    configuration->routes_.push_back(open);
    fleet_.apply_configuration(std::make_shared<const indexed_configuration>(configuration));
    for (const char* target : {"/%64rafts/x", "//drafts/x", "/drafts%2fx", "\\drafts/x", "/%5cdrafts/x"}) {
        CAPTURE(target);
        sink_ = std::make_shared<status_sink>();
        start_with({}, "m", target);
        run();
        context_.restart();
        CHECK((sink_->status_ == 400 || sink_->status_ == 404));
    }
    CHECK(received().empty());
}

// UNASKED: an endpoint that reads underscores in names as hyphens got an organisation and a key of a client.
TEST_CASE_FIXTURE(identity_fixture, "request_headers_with_underscores_for_hyphens_do_not_reach_endpoints") {
    start_with({{"X-Api-Key", "key-1"},
                {"Tamarackbeam_Tenant", "o-2"},
                {"X_API_KEY", "key-3"},
                {"kv_from", "127.0.0.1:1/h"},
                {"X_Other", "kept"}});
    run();
    CHECK(sink_->status_ == 200);
    CHECK(received().find("Tamarackbeam-Tenant: o-1\r\n") != std::string::npos);
    CHECK(received().find("X_Other: kept\r\n") != std::string::npos);
    for (const char* secret : {"o-2", "key-3", "127.0.0.1:1/h"}) {
        CAPTURE(secret);
        CHECK(received().find(secret) == std::string::npos);
    }
}

// QUOTA: an endpoint could read another number of tokens than the gateway counts.
TEST_CASE_FIXTURE(identity_fixture, "request_with_an_underscore_in_a_header_that_decides_is_refused") {
    for (const char* name : {"Tamarackbeam_Token_Usage", "tamarackbeam-token_usage"}) {
        CAPTURE(name);
        sink_ = std::make_shared<status_sink>();
        start_with({{"X-Api-Key", "key-1"}, {"Tamarackbeam-Token-Usage", "1,1"}, {name, "800,400"}});
        CHECK(sink_->status_ == 400);
        sink_ = std::make_shared<status_sink>();
        start_with({{"X-Api-Key", "key-1"}, {name, "800,400"}});
        CHECK(sink_->status_ == 400);
    }
    CHECK(received().empty());
}

// QUOTA: a number of tokens that could not be read whole counted for what its first letters say.
TEST_CASE("request_metadata_unreadable_token_counts_count_as_none") {
    const header_names& names = *registry<header_names>::instance().find("log-store");
    const auto tokens = [&](const std::string& text) {
        return parse_request_metadata({"GET", "/x", {{names.token_counts_, text}}, ""}, names).tokens();
    };
    for (const char* text : {"0x400,0", "1 000,8", "-900,8", "800;400", "1.2.3,8", "8,", "nan,8", "8,8,8"}) {
        CAPTURE(text);
        CHECK_FALSE(tokens(text));
    }
    CHECK(tokens("800,400") == 1'200);
    CHECK(tokens(" 800 ,\t400 ") == 1'200);
}

// ROUTE: a request that waited was run without a key after its route had ceased to be public.
TEST_CASE_FIXTURE(identity_fixture, "request_route_ceases_to_be_public_while_it_waits_needs_a_key") {
    const auto organisations = *fleet_.current()->configuration_->organisations_;
    const std::pair<std::vector<http::header>, int> cases[] = {{{}, 401}, {{{"X-Api-Key", "key-1"}}, 200}};
    std::int64_t version = 3;
    for (const auto& one : cases) {
        const int status = one.second;
        CAPTURE(status);
        configure(version++, organisations, true);
        sink_ = std::make_shared<status_sink>();
        adapters_.clear();
        fleet_.set_registry_freshness({boot_now_ms(), boot_now_ms(), false});
        const auto flow = start_with(one.first, "m/a1");
        REQUIRE(adapters_.size() == 1);
        configure(version++, organisations, false);
        load_adapters();
        run();
        context_.restart();
        CHECK(sink_->status_ == status);
    }
    CHECK(received_by("e-1") + received_by("e-2") == 1);
    CHECK(received().find("Tamarackbeam-Tenant: o-1\r\n") != std::string::npos);
}

// UNASKED: a target with dot segments was sent on if keys were first asked for while its request waited.
TEST_CASE_FIXTURE(flow_fixture,
                  "request_that_an_endpoint_may_read_otherwise_waits_while_keys_come_is_refused") {
    auto configuration = std::make_shared<fleet::configuration>(*fleet_.current()->configuration_);
    const auto flow = std::make_shared<request_flow>(
        flows_, sink_,
        http::request{
            "POST",
            "/drafts/../x/y",
            {{"Host", "shop.example"}, {"Tamarackbeam-Request-Id", "r-1"}, {"Tamarackbeam-Model", "m/a1"}},
            "body"});
    flow->on_finished([] {});
    flow->start();
    REQUIRE(adapters_.size() == 1);
    configuration->version_ = 2;
    configuration->organisations_.emplace();
    configuration->routes_.front().public_ = true;
    fleet_.apply_configuration(std::make_shared<const indexed_configuration>(configuration));
    adapters_.front().second(true);
    run();
    CHECK(sink_->status_ == 400);
    CHECK(received_by("e-1") + received_by("e-2") == 0);
}

// QUOTA: requests that waited when their organisation got a limit were not counted in it.
TEST_CASE_FIXTURE(identity_fixture, "request_organisation_gets_a_limit_while_it_waits_counts_in_it") {
    std::vector<std::shared_ptr<status_sink>> sinks;
    for (int count = 0; count < 3; ++count) {
        sink_ = std::make_shared<status_sink>();
        sinks.push_back(sink_);
        start_with({{"X-Api-Key", "key-1"}}, "m/a1");
    }
    REQUIRE(adapters_.size() == 3);
    configure(3, {{{"o-1", {"key-1"}, std::nullopt, {0.01, 1, false, 0}}}});
    fleet_.quotas_.update(boot_now_ms(), true);
    load_adapters();
    run();
    int served = 0;
    int refused = 0;
    for (const auto& sink : sinks) {
        served += sink->status_ == 200 ? 1 : 0;
        refused += sink->status_ == 429 ? 1 : 0;
    }
    CHECK(served == 1);
    CHECK(refused == 2);
    CHECK(received_by("e-1") + received_by("e-2") == 1);
}

} // namespace tamarack::gateway
