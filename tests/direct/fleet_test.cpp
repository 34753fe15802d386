#include "tamarack/fleet.hpp"

#include <doctest/doctest.h>

namespace tamarack::fleet {

namespace {

struct route_fixture {
    configuration configuration_;

    route_fixture() {
        add("outer", "shop.example", "/a/");
        add("inner", "shop.example", "/a/b/");
        add("root", "root.example", "/");
    }

    void add(const char* name, const char* host, const char* prefix) {
        route_rule route;
        route.name_ = name;
        route.host_ = host;
        route.prefix_ = prefix;
        configuration_.routes_.push_back(route);
    }

    std::string match(std::string_view host, std::string_view path) const {
        const route_rule* found = route_index(configuration_).match(host, path);
        return found == nullptr ? "none" : found->name_;
    }
};

struct directory_fixture {
    directory directory_;

    static endpoint_record record(const char* id, std::int64_t incarnation = 1, std::int64_t sequence = 1) {
        endpoint_record one;
        one.id_ = id;
        one.service_ = "bookings";
        one.incarnation_ = incarnation;
        one.sequence_ = sequence;
        return one;
    }

    bool has(std::string_view id) const { return directory_.endpoints().contains(id); }
};

} // namespace

TEST_CASE_FIXTURE(route_fixture, "route_two_prefixes_match_chooses_the_longest") {
    CHECK(match("shop.example", "/a/b/c") == "inner");
    CHECK(match("shop.example", "/a/x") == "outer");
    CHECK(match("shop.example", "/a/b") == "outer");
}

TEST_CASE_FIXTURE(route_fixture, "route_no_prefix_or_host_matches_returns_null") {
    CHECK(match("shop.example", "/b/") == "none");
    CHECK(match("other.example", "/a/") == "none");
    CHECK(match("shop.example", "") == "none");
}

TEST_CASE_FIXTURE(route_fixture, "route_host_with_port_or_capitals_matches") {
    CHECK(match("Shop.Example:8080", "/a/x") == "outer");
    CHECK(match("root.example", "/anything/at/all") == "root");
}

TEST_CASE("split_weighted_targets_get_their_shares") {
    route_rule route;
    route.targets_ = {{"old", 90}, {"new", 10}, {"none", 0}};
    int to_new = 0;
    constexpr int draws = 1'000;
    for (int draw = 0; draw < draws; ++draw) {
        const std::string* target = choose_target(route, double(draw) / draws);
        REQUIRE(target != nullptr);
        CHECK(*target != "none");
        to_new += *target == "new" ? 1 : 0;
    }
    CHECK(to_new == 100);
}

TEST_CASE("split_all_weights_zero_returns_null") {
    route_rule route;
    route.targets_ = {{"old", 0}};
    CHECK(choose_target(route, 0.5) == nullptr);
}

TEST_CASE_FIXTURE(directory_fixture, "directory_changes_each_effect_is_returned") {
    endpoint_record leaving = record("e1", 1, 3);
    leaving.leaving_ = true;
    CHECK(directory_.apply(record("e1"), 10'000) == directory_effect::listed);
    CHECK(directory_.apply(record("e1", 1, 2), 10'100) == directory_effect::renewed);
    CHECK(directory_.apply(record("e1", 1, 1), 10'200) == directory_effect::none);
    CHECK(directory_.apply(leaving, 10'300) == directory_effect::leaving);
    CHECK(directory_.apply(endpoint_removed{"e1"}, 10'400) == directory_effect::removed);
    CHECK(directory_.apply(endpoint_removed{"e1"}, 10'500) == directory_effect::none);
}

TEST_CASE_FIXTURE(directory_fixture, "directory_entry_removed_without_outage_is_erased_at_once") {
    directory_.apply(record("e1"), 10'000);
    directory_.apply(endpoint_removed{"e1"}, 10'001);
    CHECK_FALSE(has("e1"));
}

TEST_CASE_FIXTURE(directory_fixture, "directory_entry_removed_after_an_outage_stays_for_the_grace_period") {
    directory_.apply(record("e1"), 10'000);
    directory_.registry_lost(11'000);
    directory_.registry_returned(15'000);
    directory_.apply(endpoint_removed{"e1"}, 15'100);
    CHECK(has("e1"));
    CHECK(directory_.expire(15'000 + registry_return_grace_ms - 1).empty());
    CHECK(directory_.expire(15'000 + registry_return_grace_ms) == std::vector<std::string>{"e1"});
    CHECK_FALSE(has("e1"));
}

TEST_CASE_FIXTURE(directory_fixture, "directory_lapsed_entry_registers_again_is_kept") {
    directory_.apply(record("e1"), 10'000);
    directory_.registry_lost(11'000);
    directory_.registry_returned(15'000);
    directory_.apply(endpoint_removed{"e1"}, 15'100);
    directory_.apply(record("e1", 1, 2), 16'000);
    directory_.expire(30'000);
    CHECK(has("e1"));
}

TEST_CASE_FIXTURE(directory_fixture, "directory_leaving_entry_removed_in_an_outage_is_erased_at_once") {
    endpoint_record leaving = record("e1");
    leaving.leaving_ = true;
    directory_.apply(leaving, 10'000);
    directory_.registry_lost(11'000);
    directory_.apply(endpoint_removed{"e1"}, 12'000);
    CHECK_FALSE(has("e1"));
}

TEST_CASE_FIXTURE(directory_fixture, "directory_older_record_arrives_late_is_ignored") {
    endpoint_record leaving = record("e1", 5, 9);
    leaving.leaving_ = true;
    directory_.apply(leaving, 10'000);
    directory_.apply(record("e1", 5, 8), 10'100);
    directory_.apply(record("e1", 4, 99), 10'200);
    CHECK(directory_.endpoints().at("e1").leaving_);
    directory_.apply(record("e1", 6, 1), 10'300);
    CHECK_FALSE(directory_.endpoints().at("e1").leaving_);
}

} // namespace tamarack::fleet
