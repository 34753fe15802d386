// Whose request it is, by the key that it presents.
#include "direct/identity_fixture.hpp"
#include "gateway/suspects.hpp"
#include "tamarack/identity.hpp"

#include <array>
#include <unistd.h>

namespace tamarack::gateway {

using identity::outcome;

namespace {

constexpr time_ms revocation_limit_ms = 5'000;

// Gateways that are to refuse keys which they cannot confirm.
struct strict_revocation_fixture : identity_fixture {
    strict_revocation_fixture() : identity_fixture({true, revocation_limit_ms}) { confirm(0); }

    // The configuration was the newest one this long ago.
    void confirm(time_ms age_ms, bool relayed = false) {
        fleet_.set_configuration_freshness({boot_now_ms() - age_ms, boot_now_ms() - age_ms, relayed});
    }

    bool is_refused_to_return() const {
        return sink_->status_ == 503 && !header("Retry-After").empty() &&
               metrics_.text().find("unconfirmed") != std::string::npos;
    }
};

} // namespace

// UNASKED: an endpoint got the key of a client, and not the name of its organisation.
TEST_CASE_FIXTURE(identity_fixture, "request_with_a_key_is_sent_with_its_organisation_and_without_the_key") {
    start_with({{"x-aPI-kEY", "key-2"}, {"tamarackbeam-tenant", "o-2"}});
    run();
    CHECK(sink_->status_ == 200);
    CHECK(received().find("Tamarackbeam-Tenant: o-1\r\n") != std::string::npos);
    CHECK(received().find("o-2") == std::string::npos);
    CHECK(received().find("key-") == std::string::npos);
    CHECK(log_.find("key-") == std::string::npos);
    CHECK(metrics_.text().find("key-") == std::string::npos);
}

// ROUTE: requests with keys that no configuration held were run.
TEST_CASE_FIXTURE(identity_fixture, "request_without_exactly_one_known_key_is_refused_and_not_sent") {
    const std::vector<std::vector<http::header>> cases = {
        {},
        {{"X-Api-Key", ""}},
        {{"X-Api-Key", "key-9"}},
        {{"X-Api-Key", "KEY-1"}},
        {{"X-Api-Key", "key-1,key-1"}},
        {{"X-Api-Key", std::string(8'192, 'k')}},
        {{"X-Api-Key", "key-1"}, {"X-Api-Key", "key-1"}},
        {{"Tamarackbeam-Tenant", "o-1"}},
    };
    for (const auto& headers : cases) {
        CAPTURE(headers.size());
        sink_ = std::make_shared<status_sink>();
        start_with(headers);
        run();
        context_.restart();
        CHECK(sink_->status_ == 401);
    }
    CHECK(received().empty());
}

// UNASKED: a request without a key could name a target beyond a public route, or other values than the
// gateway decides by.
TEST_CASE_FIXTURE(identity_fixture, "request_that_an_endpoint_may_read_otherwise_is_refused_and_not_sent") {
    configure(3, *fleet_.current()->configuration_->organisations_, true);
    for (const char* target :
         {"/drafts/../x", "/drafts/%2e%2E/x", "/drafts/.;a/x", "/drafts/.", "/drafts/x/.."}) {
        CAPTURE(target);
        CHECK(http::has_dot_segments(target));
        sink_ = std::make_shared<status_sink>();
        const auto flow = std::make_shared<request_flow>(
            flows_, sink_,
            http::request{"GET", target, {{"Host", "shop.example"}, {"Tamarackbeam-Request-Id", "r-1"}}, ""});
        flow->on_finished([] {});
        flow->start();
        CHECK(sink_->status_ == 400);
    }
    for (const char* target : {"/drafts/...", "/drafts/.x/y", "/drafts/x..", "/%2e%2e%2e/", "/", ""}) {
        CHECK_FALSE(http::has_dot_segments(target));
    }
    sink_ = std::make_shared<status_sink>();
    start_with({{"Tamarackbeam-Token-Usage", "1,1"}, {"tamarackbeam-token-usage", "800,400"}});
    CHECK(sink_->status_ == 400);
    CHECK(received().empty());
}

TEST_CASE_FIXTURE(identity_fixture, "request_on_a_public_route_is_sent_without_key_and_organisation") {
    configure(3, *fleet_.current()->configuration_->organisations_, true);
    start_with({{"X-Api-Key", "key-9"}, {"Tamarackbeam-Tenant", "o-1"}});
    run();
    CHECK(sink_->status_ == 200);
    CHECK(received().find("key-9") == std::string::npos);
    CHECK(received().find("o-1") == std::string::npos);
}

TEST_CASE_FIXTURE(flow_fixture, "request_without_configured_organisations_keeps_its_headers") {
    http::request request{"POST",
                          "/drafts/x",
                          {{"Host", "shop.example"},
                           {"Tamarackbeam-Request-Id", "r-1"},
                           {"Tamarackbeam-Model", "m"},
                           {"X-Api-Key", "k"}},
                          "body"};
    const auto flow = std::make_shared<request_flow>(flows_, sink_, std::move(request));
    flow->on_finished([] {});
    flow->start();
    run();
    CHECK(sink_->status_ == 200);
    const auto sent =
        first_.received_requests().empty() ? second_.received_requests() : first_.received_requests();
    CHECK(sent.front().find("X-Api-Key: k\r\n") != std::string::npos);
}

// CONFIG: a request that waited was run after its key had been taken away.
TEST_CASE_FIXTURE(identity_fixture, "request_key_is_revoked_while_its_adapter_is_loaded_is_refused") {
    const auto flow = start_with({{"X-Api-Key", "key-1"}}, "m/a1");
    REQUIRE(adapters_.size() == 1);
    configure(3, {{"o-1", {"key-2"}, std::nullopt, {}}});
    adapters_.front().second(true);
    run();
    CHECK(sink_->status_ == 401);
    CHECK(received().empty());
}

// UNASKED: a request that waited was run for the organisation that had held its key before.
TEST_CASE_FIXTURE(identity_fixture,
                  "request_key_changes_hands_while_its_adapter_is_loaded_runs_for_its_holder") {
    const auto flow = start_with({{"X-Api-Key", "key-1"}}, "m/a1");
    REQUIRE(adapters_.size() == 1);
    configure(3, {{"o-1", {}, std::nullopt, {}}, {"o-2", {"key-1"}, std::nullopt, {}}});
    adapters_.front().second(true);
    for (std::size_t next = 1; next < 3 && sink_->status_ == 0; ++next) {
        context_.run_for(std::chrono::milliseconds(100));
        if (adapters_.size() > next) {
            adapters_[next].second(true);
        }
    }
    run();
    CHECK(sink_->status_ == 200);
    CHECK(received().find("Tamarackbeam-Tenant: o-2\r\n") != std::string::npos);
    CHECK(received().find("o-1") == std::string::npos);
}

// DENIED: a gateway that had lost the store refused a key of a newer configuration for good.
TEST_CASE_FIXTURE(identity_fixture, "request_with_an_unknown_key_while_the_view_is_old_may_return") {
    fleet_.set_registry_freshness({boot_now_ms() - 10'000, boot_now_ms() - 20'000, false});
    start_with({{"X-Api-Key", "key-9"}});
    CHECK(sink_->status_ == 503);
    CHECK_FALSE(header("Retry-After").empty());
    CHECK(received().empty());
}

// CONFIG: a gateway out of touch served keys that had been taken away, where that must end within a limit.
TEST_CASE_FIXTURE(strict_revocation_fixture, "request_with_a_key_that_is_not_confirmed_in_time_may_return") {
    for (const char* key : {"key-1", "key-9"}) {
        CAPTURE(key);
        sink_ = std::make_shared<status_sink>();
        confirm(revocation_limit_ms + 1);
        start_with({{"X-Api-Key", key}});
        CHECK(is_refused_to_return());
    }
    CHECK(received().empty());

    // What needs no key is served, and so is all else once the configuration is confirmed, also by a peer.
    sink_ = std::make_shared<status_sink>();
    confirm(revocation_limit_ms / 2, true);
    start_with({{"X-Api-Key", "key-1"}});
    run();
    context_.restart();
    CHECK(sink_->status_ == 200);
    configure(3, *fleet_.current()->configuration_->organisations_, true);
    sink_ = std::make_shared<status_sink>();
    confirm(revocation_limit_ms + 1);
    start_with({});
    run();
    CHECK(sink_->status_ == 200);
}

TEST_CASE_FIXTURE(strict_revocation_fixture, "request_with_a_key_before_the_first_confirmation_may_return") {
    fleet_.set_configuration_freshness({});
    start_with({{"X-Api-Key", "key-1"}});
    CHECK(is_refused_to_return());
    CHECK(received().empty());
}

// Without the limit, a lost store must not end what can be served.
TEST_CASE_FIXTURE(identity_fixture, "request_with_a_known_key_is_served_however_old_the_configuration_is") {
    fleet_.set_configuration_freshness({boot_now_ms() - 600'000, boot_now_ms() - 600'000, false});
    start_with({{"X-Api-Key", "key-1"}});
    run();
    CHECK(sink_->status_ == 200);
}

// CONFIG: a request that waited was run after the time within which its key had to be confirmed.
TEST_CASE_FIXTURE(strict_revocation_fixture,
                  "request_key_becomes_unconfirmed_while_its_adapter_is_loaded_may_return") {
    const auto flow = start_with({{"X-Api-Key", "key-1"}}, "m/a1");
    REQUIRE(adapters_.size() == 1);
    confirm(revocation_limit_ms + 1);
    adapters_.front().second(true);
    run();
    CHECK(is_refused_to_return());
    CHECK(received().empty());
}

// A request that was sent while its key was confirmed ends as usual, and a further attempt is a new use.
TEST_CASE_FIXTURE(strict_revocation_fixture,
                  "request_key_becomes_unconfirmed_after_sending_is_answered_and_not_sent_again") {
    for (const bool rejected : {false, true}) {
        CAPTURE(rejected);
        const auto behaviour =
            rejected ? fake_endpoint::behaviour::not_run : fake_endpoint::behaviour::complete;
        first_.set_behaviours({behaviour});
        second_.set_behaviours({behaviour});
        sink_ = std::make_shared<status_sink>();
        confirm(0);
        start_with({{"X-Api-Key", "key-1"}});
        // The response must not be read before the key becomes unconfirmed.
        while (received().empty() && sink_->status_ == 0) {
            context_.poll_one();
            ::usleep(20'000);
        }
        REQUIRE(sink_->status_ == 0);
        confirm(revocation_limit_ms + 1);
        run();
        context_.restart();
        CHECK(sink_->status_ == (rejected ? 503 : 200));
        CHECK(received_by("e-1") + received_by("e-2") == 1);
    }
}

TEST_CASE_FIXTURE(identity_fixture, "request_rank_of_its_organisation_replaces_that_of_the_route") {
    configure(3, {{"o-1", {"key-1"}, 2, {}}});
    start_with({{"X-Api-Key", "key-1"}});
    run();
    const int expected = dispatch::urgency(2, false);
    CHECK(received().find("Tamarackbeam-Request-Priority: " + std::to_string(expected) + "\r\n") !=
          std::string::npos);
}

// QUOTA: no limit of an organisation was kept.
TEST_CASE_FIXTURE(identity_fixture, "request_beyond_the_quota_of_its_organisation_is_refused_and_not_sent") {
    configure(3, {{"o-1", {"key-1"}, std::nullopt, {1, 1, false, 0}}, {"o-2", {"key-3"}, std::nullopt, {}}});
    fleet_.quotas_.update(boot_now_ms(), true);
    const std::vector<std::pair<const char*, int>> calls = {{"key-1", 200}, {"key-1", 429}, {"key-3", 200}};
    for (const auto& [key, status] : calls) {
        sink_ = std::make_shared<status_sink>();
        start_with({{"X-Api-Key", key}});
        run();
        context_.restart();
        CHECK(sink_->status_ == status);
        CHECK(header("Retry-After").empty() == (status != 429));
    }
    CHECK(received_by("e-1") + received_by("e-2") == 2);
}

TEST_CASE_FIXTURE(identity_fixture, "request_that_endpoints_reject_does_not_count_in_the_quota") {
    configure(3, {{"o-1", {"key-1"}, std::nullopt, {1, 1, false, 0}}});
    fleet_.quotas_.update(boot_now_ms(), true);
    for (const int status : {503, 200}) {
        const auto behaviour =
            status == 200 ? fake_endpoint::behaviour::complete : fake_endpoint::behaviour::not_run;
        first_.set_behaviours({behaviour});
        second_.set_behaviours({behaviour});
        sink_ = std::make_shared<status_sink>();
        start_with({{"X-Api-Key", "key-1"}});
        run();
        context_.restart();
        CHECK(sink_->status_ == status);
    }
}

// QUOTA: a request whose key changed hands while it waited counted for neither organisation.
TEST_CASE_FIXTURE(identity_fixture, "request_key_changes_hands_while_it_waits_counts_for_its_holder") {
    constexpr fleet::usage_limit limit{1, 1, false, 0};
    configure(3, {{"o-1", {"key-1", "key-2"}, std::nullopt, limit}, {"o-2", {}, std::nullopt, limit}});
    fleet_.quotas_.update(boot_now_ms(), true);
    const auto flow = start_with({{"X-Api-Key", "key-1"}}, "m/a1");
    REQUIRE(adapters_.size() == 1);
    configure(4, {{"o-1", {"key-2"}, std::nullopt, limit}, {"o-2", {"key-1"}, std::nullopt, limit}});
    adapters_.front().second(false);
    REQUIRE(adapters_.size() == 2);
    adapters_.back().second(true);
    run();
    CHECK(sink_->status_ == 200);
    const auto used = [&](const std::string& organisation) {
        for (const quotas::quota_state& one : fleet_.quotas_.report(boot_now_ms())) {
            if (one.organisation_ == organisation) {
                return one.used_;
            }
        }
        return -1.0;
    };
    CHECK(used("o-1") == 0);
    CHECK(used("o-2") == 1);
}

// Repeats of a request under two keys of one organisation are the same request, and no name of one is made
// from its key.
TEST_CASE("suspects_of_an_organisation_do_not_depend_on_its_keys") {
    http::request incoming{"GET", "/x", {{"Host", "h"}, {"X-Api-Key", "key-1"}}, ""};
    const request_metadata metadata;
    const auto names = name_suspects(incoming, metadata, "o-1");
    incoming.headers_.back().value_ = "key-2";
    CHECK(name_suspects(incoming, metadata, "o-1") == names);
    CHECK(name_suspects(incoming, metadata, "o-2") != names);
}

TEST_CASE("key_index_with_many_organisations_finds_the_holder_of_each_key") {
    constexpr int organisation_count = 1'000;
    constexpr int keys_each = 100;
    fleet::configuration configuration;
    configuration.organisations_.emplace();
    for (int index = 0; index < organisation_count; ++index) {
        fleet::organisation one{"o-" + std::to_string(index), {}, std::nullopt, {}};
        for (int key = 0; key < keys_each; ++key) {
            one.keys_.push_back(one.name_ + "-" + std::to_string(key));
        }
        configuration.organisations_->push_back(std::move(one));
    }
    const identity::key_index index(configuration);
    CHECK(index.required());
    for (const fleet::organisation& one : *configuration.organisations_) {
        for (const std::string& key : one.keys_) {
            REQUIRE(index.find(key) == &one);
        }
        REQUIRE(index.find(one.name_) == nullptr);
    }
    CHECK(index.find("") == nullptr);
}

TEST_CASE("identify_empty_list_of_organisations_accepts_nobody_and_no_list_everybody") {
    fleet::configuration configuration;
    const fleet::route_rule route;
    const std::array<std::string, 1> key = {"k"};
    CHECK(identity::identify(identity::key_index(configuration), route, key, true).outcome_ ==
          outcome::anonymous);
    configuration.organisations_.emplace();
    CHECK(identity::identify(identity::key_index(configuration), route, key, true).outcome_ ==
          outcome::unknown_key);
    CHECK(identity::identify(identity::key_index(configuration), route, {}, true).outcome_ ==
          outcome::no_key);
}

TEST_CASE("are_keys_confirmed_strict_rule_holds_up_to_its_limit_and_needs_a_confirmation") {
    for (const time_ms age : {-1, 0, 5'000, 5'001, 600'000}) {
        CAPTURE(age);
        CHECK(identity::are_keys_confirmed({false, 5'000}, age));
        CHECK(identity::are_keys_confirmed({true, 5'000}, age) == (age == 0 || age == 5'000));
    }
}

TEST_CASE("identify_while_keys_are_not_confirmed_tells_nothing_of_a_key_and_needs_none_on_public_routes") {
    fleet::configuration configuration;
    fleet::route_rule route;
    const std::array<std::string, 1> known = {"k"};
    const std::array<std::string, 1> unknown = {"u"};
    const auto outcome_of = [&](std::span<const std::string> keys) {
        return identity::identify(identity::key_index(configuration), route, keys, false).outcome_;
    };
    CHECK(outcome_of(known) == outcome::anonymous);
    configuration.organisations_ = {{"o", {"k"}, std::nullopt, {}}};
    CHECK(outcome_of(known) == outcome::unconfirmed_key);
    CHECK(outcome_of(unknown) == outcome::unconfirmed_key);
    CHECK(outcome_of({}) == outcome::no_key);
    CHECK_FALSE(identity::is_accepted(outcome::unconfirmed_key));
    route.public_ = true;
    CHECK(outcome_of(known) == outcome::anonymous);
}

TEST_CASE("usage_counts_requests_or_their_tokens") {
    CHECK(identity::usage({10, 10, false, 200}, 900) == 1);
    CHECK(identity::usage({10, 10, true, 200}, 900) == 900);
    CHECK(identity::usage({10, 10, true, 200}, std::nullopt) == 200);
}

} // namespace tamarack::gateway
