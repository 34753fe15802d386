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
    for (const auto& [field, content] : unreadable) {
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
