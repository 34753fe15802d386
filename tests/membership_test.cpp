#include "fixtures.hpp"
#include "tamarack/membership.hpp"

namespace tamarack {

namespace {

struct membership_fixture {
    membership members_{2'000};

    static listed_instance listed(const std::string& id, bool leaving = false) {
        return {id, "agent", "desk", "dc1", "127.0.0.1", 1'000, leaving};
    }

    void list(std::vector<listed_instance> instances) { members_.apply_list(instances); }

    void report_status(const std::string& id, std::uint64_t incarnation, bool leaving, time_ms now) {
        agent_status status;
        status.incarnation_ = incarnation;
        status.leaving_ = leaving;
        members_.apply_status(id, status, now);
    }

    bool accepts_requests(const std::string& id, time_ms now) const {
        auto found = members_.endpoints().find(id);
        return found != members_.endpoints().end() && members_.accepts_new_requests(found->second, now);
    }
};

} // namespace

TEST_CASE_FIXTURE(membership_fixture, "endpoint_listed_without_a_status_accepts_no_requests") {
    list({listed("a")});
    CHECK_FALSE(accepts_requests("a", 0));
    report_status("a", 1, false, 10);
    CHECK(accepts_requests("a", 10));
}

TEST_CASE_FIXTURE(membership_fixture, "endpoint_silent_beyond_the_heartbeat_limit_accepts_no_requests") {
    list({listed("a")});
    report_status("a", 1, false, 0);
    CHECK(accepts_requests("a", 2'000));
    CHECK_FALSE(accepts_requests("a", 2'001));
    report_status("a", 1, false, 3'000);
    CHECK(accepts_requests("a", 3'000));
}

TEST_CASE_FIXTURE(membership_fixture,
                  "endpoint_reporting_leaving_accepts_no_requests_although_the_list_lags") {
    list({listed("a")});
    report_status("a", 1, false, 0);
    report_status("a", 1, true, 10);
    CHECK_FALSE(accepts_requests("a", 10));
    list({listed("a")});
    CHECK_FALSE(accepts_requests("a", 11));
    report_status("a", 1, false, 20); // a late status of the same incarnation
    CHECK_FALSE(accepts_requests("a", 20));
    report_status("a", 2, false, 30); // a new incarnation with the same id
    CHECK(accepts_requests("a", 30));
}

// A status of the process before cleared what its successor had said: that it leaves.
TEST_CASE_FIXTURE(membership_fixture, "endpoint_status_of_an_earlier_incarnation_arrives_late_is_ignored") {
    list({listed("a")});
    report_status("a", 1, false, 0);
    report_status("a", 2, true, 100);
    report_status("a", 1, false, 200);
    CHECK_FALSE(accepts_requests("a", 200));
    CHECK(members_.endpoints().at("a").status_.incarnation_ == 2);
    CHECK(members_.endpoints().at("a").last_status_at_ == 100);
}

TEST_CASE_FIXTURE(membership_fixture, "endpoint_restarted_after_its_clock_was_set_back_accepts_requests") {
    list({listed("a")});
    report_status("a", 2, false, 0);
    report_status("a", 1, false, 2'001); // the earlier one has not been heard for the heartbeat limit
    CHECK(accepts_requests("a", 2'001));
    report_status("a", 3, false, 3'000);
    members_.connection_lost("a");
    report_status("a", 1, false, 3'100);
    CHECK(accepts_requests("a", 3'100));
}

TEST_CASE_FIXTURE(membership_fixture, "endpoint_listed_as_leaving_accepts_no_requests") {
    list({listed("a")});
    report_status("a", 1, false, 0);
    list({listed("a", true)});
    CHECK_FALSE(accepts_requests("a", 1));
}

TEST_CASE_FIXTURE(membership_fixture, "status_without_items_keeps_those_of_the_same_incarnation_only") {
    list({listed("a")});
    agent_status full;
    full.incarnation_ = 1;
    full.resident_ = {"m@1"};
    members_.apply_status("a", full, 0);
    agent_status light;
    light.incarnation_ = 1;
    light.same_items_ = true;
    members_.apply_status("a", light, 1);
    CHECK(members_.endpoints().at("a").status_.resident_ == full.resident_);
    light.incarnation_ = 2;
    members_.apply_status("a", light, 2);
    CHECK(members_.endpoints().at("a").status_.resident_.empty());
}

TEST_CASE_FIXTURE(membership_fixture, "list_empty_by_mistake_keeps_connected_endpoints") {
    list({listed("a"), listed("b")});
    report_status("a", 1, false, 0);
    list({});
    CHECK(accepts_requests("a", 100));
    CHECK(members_.endpoints().size() == 1);
    members_.connection_lost("a");
    list({});
    CHECK(members_.endpoints().empty());
}

TEST_CASE_FIXTURE(membership_fixture, "pool_endpoints_exclude_entries_and_other_pools") {
    listed_instance entry = listed("e");
    entry.role_ = "entry";
    listed_instance other = listed("o");
    other.pool_ = "advisor";
    list({listed("a"), entry, other});
    REQUIRE(members_.pool_endpoints("desk").size() == 1);
    CHECK(members_.pool_endpoints("desk")[0]->instance_.id_ == "a");
}

} // namespace tamarack
