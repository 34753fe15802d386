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

    // Data of a registry that has been in service for long.
    static freshness continuous(time_ms as_of) {
        return {as_of, as_of - 10 * registry_return_grace_ms, false};
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
    const freshness current = continuous(10'000);
    endpoint_record leaving = record("e1", 1, 3);
    leaving.leaving_ = true;
    CHECK(directory_.apply(record("e1"), current) == directory_effect::listed);
    CHECK(directory_.apply(record("e1", 1, 2), current) == directory_effect::renewed);
    CHECK(directory_.apply(record("e1", 1, 1), current) == directory_effect::none);
    CHECK(directory_.apply(leaving, current) == directory_effect::leaving);
    CHECK(directory_.apply(endpoint_removed{"e1"}, current) == directory_effect::removed);
    CHECK(directory_.apply(endpoint_removed{"e1"}, current) == directory_effect::none);
}

TEST_CASE_FIXTURE(directory_fixture, "directory_entry_removed_without_outage_is_erased_at_once") {
    directory_.apply(record("e1"), continuous(10'000));
    directory_.apply(endpoint_removed{"e1"}, continuous(10'001));
    CHECK_FALSE(has("e1"));
}

TEST_CASE_FIXTURE(directory_fixture, "directory_entry_removed_after_an_outage_stays_for_the_grace_period") {
    directory_.apply(record("e1"), continuous(10'000));
    const auto as_of = [](time_ms time) { return freshness{time, 15'000, false}; };
    CHECK(directory_.apply(endpoint_removed{"e1"}, as_of(15'100)) == directory_effect::kept);
    CHECK(has("e1"));
    CHECK(directory_.expire(as_of(15'000 + registry_return_grace_ms - 1)).empty());
    CHECK(directory_.expire(as_of(15'000 + registry_return_grace_ms)) == std::vector<std::string>{"e1"});
    CHECK_FALSE(has("e1"));
}

TEST_CASE_FIXTURE(directory_fixture, "directory_lapsed_entry_registers_again_is_kept") {
    directory_.apply(record("e1"), continuous(10'000));
    directory_.apply(endpoint_removed{"e1"}, {15'100, 15'000, false});
    directory_.apply(record("e1", 1, 2), {16'000, 15'000, false});
    directory_.expire({30'000, 15'000, false});
    CHECK(has("e1"));
}

TEST_CASE_FIXTURE(directory_fixture, "directory_leaving_entry_removed_in_an_outage_is_erased_at_once") {
    endpoint_record leaving = record("e1");
    leaving.leaving_ = true;
    directory_.apply(leaving, continuous(10'000));
    directory_.apply(endpoint_removed{"e1"}, {12'000, 12'000, false});
    CHECK_FALSE(has("e1"));
}

// DRAIN: a registry that was rolled back listed an endpoint again that had left.
TEST_CASE_FIXTURE(directory_fixture, "directory_rollback_brings_back_a_departed_endpoint_it_is_doubted") {
    directory_.apply(record("e1", 5, 9), continuous(10'000));
    directory_.apply(endpoint_removed{"e1"}, continuous(11'000));
    endpoint_record brought_back = record("e1", 5, 8);
    brought_back.rolled_back_ = true;
    CHECK(directory_.apply(brought_back, continuous(14'000)) == directory_effect::doubted);
    CHECK_FALSE(has("e1"));
    // It writes its entry anew, with a number that the rollback set back as well.
    CHECK(directory_.apply(record("e1", 5, 9), continuous(15'000)) == directory_effect::listed);
    CHECK(has("e1"));
}

TEST_CASE_FIXTURE(directory_fixture,
                  "directory_rollback_endpoint_never_departed_or_started_again_is_listed") {
    directory_.apply(record("e1", 5, 9), continuous(10'000));
    directory_.apply(endpoint_removed{"e1"}, continuous(11'000));
    endpoint_record started_again = record("e1", 6, 1);
    started_again.rolled_back_ = true;
    endpoint_record other = record("e2", 5, 8);
    other.rolled_back_ = true;
    CHECK(directory_.apply(started_again, continuous(14'000)) == directory_effect::listed);
    CHECK(directory_.apply(other, continuous(14'000)) == directory_effect::listed);
}

// DRAIN: an endpoint that started again after its clock was set back was taken for its earlier start, and its
// shutdown went unnoticed.
TEST_CASE_FIXTURE(directory_fixture, "directory_endpoint_starts_again_with_a_lower_incarnation_log_decides") {
    const auto at = [](endpoint_record one, std::int64_t epoch, std::int64_t offset) {
        one.position_ = {epoch, offset};
        return one;
    };
    directory_.apply(at(record("e1", 9, 40), 1, 100), continuous(10'000));
    CHECK(directory_.apply(at(record("e1", 6, 1), 1, 101), continuous(11'000)) == directory_effect::renewed);
    CHECK(directory_.endpoints().at("e1").incarnation_ == 6);
    CHECK(directory_.endpoints().at("e1").replaced_incarnation_ == 9);
    endpoint_record draining = at(record("e1", 6, 2), 1, 102);
    draining.leaving_ = true;
    CHECK(directory_.apply(draining, continuous(12'000)) == directory_effect::leaving);
    CHECK(directory_.endpoints().at("e1").replaced_incarnation_ == 9);
    // A late record of the first start, and one from another epoch of the log, change nothing.
    CHECK(directory_.apply(at(record("e1", 9, 41), 1, 99), continuous(13'000)) == directory_effect::none);
    CHECK(directory_.apply(at(record("e1", 5, 1), 2, 500), continuous(13'000)) == directory_effect::none);
    CHECK(directory_.endpoints().at("e1").leaving_);
    // It leaves and starts once more.
    directory_.apply(endpoint_removed{"e1"}, continuous(14'000));
    CHECK(directory_.apply(at(record("e1", 4, 1), 1, 104), continuous(15'000)) == directory_effect::listed);
    CHECK(directory_.endpoints().at("e1").replaced_incarnation_ == 6);
}

TEST_CASE_FIXTURE(directory_fixture, "directory_departed_endpoint_is_forgotten_after_the_retention") {
    directory_.apply(record("e1"), continuous(10'000));
    directory_.apply(record("e2"), continuous(10'000));
    directory_.apply(endpoint_removed{"e1"}, continuous(11'000));
    directory_.apply(endpoint_removed{"e2"}, continuous(11'001 + departed_retention_ms));
    endpoint_record brought_back = record("e1");
    brought_back.rolled_back_ = true;
    const freshness later = continuous(12'000 + departed_retention_ms);
    CHECK(directory_.apply(brought_back, later) == directory_effect::listed);
}

TEST_CASE("freshness_readings_in_short_succession_stay_continuous") {
    const freshness first{10'000, 10'000, false};
    const freshness next{10'000 + max_reading_gap_ms, 10'000 + max_reading_gap_ms, false};
    CHECK(join(first, next).as_of_ == next.as_of_);
    CHECK(join(first, next).continuous_since_ == 10'000);
}

TEST_CASE("freshness_reading_after_a_long_gap_starts_anew") {
    const time_ms after_gap = 10'001 + max_reading_gap_ms;
    const freshness joined = join({10'000, 5'000, false}, {after_gap, after_gap, false});
    CHECK(joined.as_of_ == after_gap);
    CHECK(joined.continuous_since_ == after_gap);
}

// DRAIN: a gateway that had lost the store once took the registry for lost ever after.
TEST_CASE("freshness_own_gap_covered_by_a_relay_stays_continuous") {
    const freshness relayed{30'000, 1'000, true};
    CHECK(join({10'000, 5'000, false}, relayed).continuous_since_ == 1'000);
    // The own reading comes first and the relay that covers the gap after it.
    const freshness after_gap = join({10'000, 5'000, false}, {30'500, 30'500, false});
    CHECK(join(after_gap, relayed).as_of_ == 30'500);
    CHECK(join(after_gap, relayed).continuous_since_ == 1'000);
}

TEST_CASE("freshness_older_data_arrives_late_does_not_set_it_back") {
    const freshness joined = join({30'000, 29'000, false}, {10'000, 9'000, true});
    CHECK(joined.as_of_ == 30'000);
    CHECK(joined.continuous_since_ == 29'000);
    CHECK(age_ms(joined, 30'250) == 250);
    CHECK(age_ms(freshness(), 30'250) == -1);
}

TEST_CASE_FIXTURE(directory_fixture, "directory_older_record_arrives_late_is_ignored") {
    endpoint_record leaving = record("e1", 5, 9);
    leaving.leaving_ = true;
    directory_.apply(leaving, continuous(10'000));
    directory_.apply(record("e1", 5, 8), continuous(10'100));
    directory_.apply(record("e1", 4, 99), continuous(10'200));
    CHECK(directory_.endpoints().at("e1").leaving_);
    directory_.apply(record("e1", 6, 1), continuous(10'300));
    CHECK_FALSE(directory_.endpoints().at("e1").leaving_);
}

} // namespace tamarack::fleet
