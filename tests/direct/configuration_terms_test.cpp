// Terms of the operator's configuration that cannot be read: none of them is taken as permission.
#include "direct/gateway_process.hpp"
#include "platform/decode.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace tamarack::direct {

namespace {

using nlohmann::json;

json sound_organisation() {
    return {{"name", "o-1"},       {"api_keys", {"k-1"}}, {"priority", 1}, {"unit", "tokens"},
            {"plain_tokens", 200}, {"rate_per_s", 4'200}, {"burst", 8'400}};
}

std::shared_ptr<const fleet::configuration> decoded(const json& body) {
    const auto result = platform::decode_configuration(body.dump());
    REQUIRE(ok(result));
    return value(result);
}

std::shared_ptr<const fleet::configuration> with_organisations(const json& organisations) {
    json body = json::parse(configuration_text(7));
    body["tenants"] = organisations;
    return decoded(body);
}

bool names_term(const fleet::configuration& configuration, const std::string& term) {
    const auto& terms = configuration.ignored_terms_;
    return std::find(terms.begin(), terms.end(), term) != terms.end();
}

} // namespace

// QUOTA: a limit that could not be read counted as none.
TEST_CASE("platform_organisation_with_an_unreadable_limit_holds_no_keys") {
    const std::pair<const char*, json> unreadable[] = {
        {"rate_per_s", "4200"},
        {"rate_per_s", -1},
        {"rate_per_s", nullptr},
        {"burst", "8400"},
        {"burst", -1},
        {"unit", "bytes"},
        {"unit", 5},
        {"plain_tokens", "200"},
        {"plain_tokens", -1},
        {"rate_per_s", true},
    };
    for (const auto& one : unreadable) {
        const char* field = one.first;
        const json& content = one.second;
        CAPTURE(field);
        CAPTURE(content.dump());
        json organisation = sound_organisation();
        organisation[field] = content;
        const auto configuration = with_organisations(json::array({organisation}));
        REQUIRE(configuration->organisations_);
        CHECK(configuration->organisations_->empty());
        const std::string term = std::string("tenants.") + field;
        CHECK((names_term(*configuration, term) || names_term(*configuration, term + "=bytes")));
    }
    json unlimited = sound_organisation();
    unlimited["name"] = "o-2";
    unlimited.erase("rate_per_s");
    unlimited.erase("burst");
    unlimited.erase("unit");
    CHECK(with_organisations(json::array({sound_organisation(), unlimited}))->ignored_terms_ ==
          std::vector<std::string>{"routes.unknown_field"});
}

// A rank that could not be read counted as the most urgent one.
TEST_CASE("platform_unreadable_rank_is_not_the_most_urgent") {
    json organisation = sound_organisation();
    organisation["priority"] = "low";
    const auto configuration = with_organisations(json::array({organisation}));
    REQUIRE(configuration->organisations_->size() == 1);
    CHECK_FALSE(configuration->organisations_->front().rank_);
    CHECK(names_term(*configuration, "tenants.priority"));
    json body = json::parse(configuration_text(7));
    body["routes"][0]["priority"] = "low";
    const auto of_route = decoded(body);
    CHECK(of_route->routes_[0].rank_ > of_route->routes_[1].rank_);
    CHECK(names_term(*of_route, "routes.priority"));
}

// A limit below 0 was converted to a size without a check.
TEST_CASE("platform_unreadable_limits_of_clients_are_the_usual_ones") {
    const fleet::client_limits usual;
    for (const json& content : {json(-1), json(-1e9), json("4096"), json(nullptr), json(true)}) {
        CAPTURE(content.dump());
        json body = json::parse(configuration_text(7));
        for (const char* field :
             {"max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"}) {
            body["limits"][field] = content;
        }
        const fleet::client_limits limits = decoded(body)->limits_;
        CHECK(limits.header_bytes_ == usual.header_bytes_);
        CHECK(limits.body_bytes_ == usual.body_bytes_);
        CHECK(limits.header_ms_ == usual.header_ms_);
        CHECK(limits.idle_ms_ == usual.idle_ms_);
    }
}

// Requests were sent in clear to services that speak TLS, or in HTTP/1.1 to services that do not speak it.
TEST_CASE("platform_service_with_a_protocol_that_is_not_spoken_is_not_served") {
    const std::pair<const char*, json> terms[] = {
        {"tls", true}, {"tls", "yes"}, {"tls", 1}, {"protocol", "h2"}, {"protocol", 2}};
    for (const auto& one : terms) {
        const char* field = one.first;
        const json& content = one.second;
        CAPTURE(field);
        CAPTURE(content.dump());
        json body = json::parse(configuration_text(7));
        body["services"][0][field] = content;
        const auto configuration = decoded(body);
        CHECK(configuration->find_service("svc") == nullptr);
        CHECK(configuration->ignored_terms_.size() == 2); // and an unknown field of the routes
    }
    json body = json::parse(configuration_text(7));
    body["services"][0]["tls"] = false;
    body["services"][0]["protocol"] = "h1";
    CHECK(decoded(body)->find_service("svc") != nullptr);
}

// A list of routes that could not be read took all routes away.
TEST_CASE("platform_configuration_with_unreadable_lists_is_rejected") {
    for (const char* field : {"routes", "services", "tenants"}) {
        for (const json& content : {json("odd"), json::object(), json(nullptr), json(1)}) {
            CAPTURE(field);
            CAPTURE(content.dump());
            json body = json::parse(configuration_text(7));
            body[field] = content;
            CHECK_FALSE(ok(platform::decode_configuration(body.dump())));
        }
    }
}

// A split that could not be read sent all requests to one service.
TEST_CASE("platform_route_with_an_unreadable_split_has_no_target") {
    json body = json::parse(configuration_text(7));
    body["routes"][0]["traffic_split"] = {{"svc", 1}};
    const auto configuration = decoded(body);
    CHECK(fleet::choose_target(configuration->routes_[0], 0.5) == nullptr);
    CHECK(names_term(*configuration, "routes.traffic_split"));
    CHECK(fleet::choose_target(configuration->routes_[1], 0.5) != nullptr);
}

// LIMIT: a model whose size could not be read counted as one that needs no memory.
TEST_CASE("platform_model_with_an_unreadable_size_is_not_placed") {
    for (const json& content : {json("70000"), json(-1), json(0), json(nullptr)}) {
        CAPTURE(content.dump());
        json body = json::parse(configuration_text(7));
        body["services"][0]["engine"] = {
            {"slots", 8},
            {"weights_mb", 220'000},
            {"models",
             {{{"name", "m-1"}, {"weights_mb", content}}, {{"name", "m-2"}, {"weights_mb", 70'000}}}}};
        const auto configuration = decoded(body);
        REQUIRE(configuration->services_.front().engine_);
        CHECK(configuration->services_.front().engine_->find_model("m-1") == nullptr);
        CHECK(configuration->services_.front().engine_->find_model("m-2") != nullptr);
        CHECK(names_term(*configuration, "models.weights_mb"));
    }
}

// UNASKED: of two routes with one prefix, the public one let requests without a key pass.
TEST_CASE("route_index_of_two_routes_with_one_prefix_the_public_one_does_not_count") {
    for (const bool public_first : {true, false}) {
        CAPTURE(public_first);
        json body = json::parse(configuration_text(7));
        body["routes"].push_back(body["routes"][0]);
        body["routes"][public_first ? 0 : 4]["public"] = true;
        const auto configuration = decoded(body);
        const fleet::route_index index(*configuration);
        REQUIRE(index.match("shop.example", "/lookup/x") != nullptr);
        CHECK_FALSE(index.match("shop.example", "/lookup/x")->public_);
    }
}

// QUOTA: of two organisations with one name, the last one's limit held for both.
TEST_CASE("platform_organisations_with_one_name_the_first_counts") {
    json second = sound_organisation();
    second["api_keys"] = {"k-2"};
    second["rate_per_s"] = 1e9;
    const auto configuration = with_organisations(json::array({sound_organisation(), second}));
    REQUIRE(configuration->organisations_->size() == 1);
    CHECK(configuration->organisations_->front().keys_ == std::vector<std::string>{"k-1"});
    CHECK(names_term(*configuration, "tenants.name"));
}

} // namespace tamarack::direct
