#include "desk_cluster.hpp"

#include <set>

namespace tamarack::process_tests {

namespace {

// Maximum time from the acceptance of a change until all instances use it.
constexpr std::int64_t activation_limit_ms = 5'000;

struct config_cluster : desk_cluster {
    static json routes_with_deadline(std::int64_t deadline_ms) {
        json changed_routes = routes();
        changed_routes[0]["deadline_ms"] = deadline_ms;
        return changed_routes;
    }

    json last_publish_result() { return json::parse(system_.ctl_output()); }

    // The configuration versions that the instances report.
    std::set<std::int64_t> versions() {
        std::set<std::int64_t> all;
        for (const auto& [id, instance] : system_.endpoints()) {
            all.insert(system_.get(instance.admin_port_, "/readyz").value("version", std::int64_t(-2)));
        }
        for (const auto& [id, instance] : system_.entries()) {
            all.insert(system_.get(instance.admin_port_, "/readyz").value("version", std::int64_t(-2)));
        }
        return all;
    }
};

} // namespace

TEST_CASE_FIXTURE(config_cluster, "publish_accepted_change_is_used_by_all_instances_within_the_limit") {
    for (int round = 1; round <= 5; ++round) {
        REQUIRE(system_.publish(routes_with_deadline(3'000 + round), pools()) == 0);
        const std::int64_t accepted_at = now_ms();
        REQUIRE(system_.wait_until_version(last_publish_result()["offset"]));
        CHECK(now_ms() - accepted_at < activation_limit_ms);
    }
}

TEST_CASE_FIXTURE(config_cluster, "publish_two_changes_from_one_base_second_is_rejected_with_the_reason") {
    CHECK(system_.publish(routes_with_deadline(3'001), pools(), {"--base=0", "--author=ana"}) == 0);
    const std::int64_t winner = last_publish_result()["offset"];
    CHECK(system_.publish(routes_with_deadline(3'002), pools(), {"--base=0", "--author=ben"}) == 1);
    CHECK(last_publish_result()["reason"].get<std::string>().find("in force") != std::string::npos);
    REQUIRE(system_.wait_until_version(winner));
    CHECK(versions() == std::set<std::int64_t>{winner});
}

TEST_CASE_FIXTURE(config_cluster, "publish_log_response_lost_is_accepted_once_by_its_id") {
    system_.set_faults(system_.log_port(), {{"lose_answers", 1}});
    CHECK(system_.publish(routes_with_deadline(3'001), pools(), {"--id=change-1"}) == 0);
    const std::int64_t offset = last_publish_result()["offset"];
    CHECK(system_.publish(routes_with_deadline(3'001), pools(), {"--id=change-1"}) == 0);
    CHECK(last_publish_result()["offset"] == offset);
}

TEST_CASE_FIXTURE(config_cluster, "publish_invalid_tables_are_rejected_and_change_nothing") {
    json invalid_routes = routes();
    invalid_routes[0]["pool"] = "nowhere";
    CHECK(system_.publish(invalid_routes, pools()) == 1);
    CHECK(system_.ctl_output().find("nowhere") != std::string::npos);
    CHECK(versions() == std::set<std::int64_t>{0});
}

TEST_CASE_FIXTURE(config_cluster, "log_down_restarted_instances_get_the_current_configuration_from_peers") {
    REQUIRE(system_.publish(routes_with_deadline(3'500), pools()) == 0);
    const std::int64_t version = last_publish_result()["offset"];
    REQUIRE(system_.wait_until_version(version));
    system_.set_faults(system_.log_port(), {{"outage", 1}});
    node("desk-a").agent_.kill();
    system_.start_agent(node("desk-a"));
    CHECK(system_.wait_until_version(version));
    system_.entries().at("entry-1").entry_.kill();
    system_.start_entry(system_.entries().at("entry-1"));
    CHECK(system_.wait_until_version(version));
    CHECK(versions() == std::set<std::int64_t>{version});
    CHECK(send("entry-1", "during-outage").outcome() == "answered");
    system_.set_faults(system_.log_port(), {{"outage", 0}});
    check_outcomes();
}

TEST_CASE_FIXTURE(config_cluster, "instance_without_log_and_peers_stays_not_ready") {
    system_.set_faults(system_.log_port(), {{"outage", 1}});
    system_.set_faults(system_.list_port(), {{"outage", 1}});
    entry_node& alone = system_.add_entry("entry-alone");
    REQUIRE(cluster::wait_for([&] { return system_.get(alone.admin_port_, "/readyz").contains("ready"); }));
    const caller_answer answer = call(alone.port_, booking("alone"));
    CHECK(answer.outcome() == "not_run");
    CHECK(answer.status_ == 503);
    CHECK_FALSE(system_.get(alone.admin_port_, "/readyz")["ready"].get<bool>());
}

TEST_CASE_FIXTURE(config_cluster, "entry_list_unreachable_tells_the_age_of_its_view") {
    constexpr std::int64_t limit_ms = 2'000;
    const auto list_age_ms = [this] {
        return system_.get(system_.entries().at("entry-1").admin_port_, "/readyz").value("list_age_ms", -1);
    };
    CHECK(list_age_ms() >= 0);
    CHECK(list_age_ms() < limit_ms);
    system_.set_faults(system_.list_port(), {{"outage", 1}});
    CHECK(cluster::wait_for([&] { return list_age_ms() > limit_ms; }));
    CHECK(send("entry-1", "without-list").outcome() == "answered");
    system_.set_faults(system_.list_port(), {{"outage", 0}});
    CHECK(cluster::wait_for([&] { return list_age_ms() < limit_ms; }));
}

TEST_CASE_FIXTURE(config_cluster, "instance_frozen_during_changes_and_log_trim_catches_up") {
    node("desk-a").agent_.signal(SIGSTOP);
    system_.entries().at("entry-1").entry_.signal(SIGSTOP);
    for (int round = 1; round <= 3; ++round) {
        REQUIRE(system_.publish(routes_with_deadline(3'000 + round), pools()) == 0);
    }
    const std::int64_t version = last_publish_result()["offset"];
    call(system_.log_port(), {"POST", "/trim", {}, R"({"stream":"config"})"});
    node("desk-a").agent_.signal(SIGCONT);
    system_.entries().at("entry-1").entry_.signal(SIGCONT);
    CHECK(system_.wait_until_version(version));
    CHECK(versions() == std::set<std::int64_t>{version});
}

TEST_CASE_FIXTURE(config_cluster, "random_log_records_are_ignored") {
    const std::set<std::int64_t> before = versions();
    std::string bytes;
    for (int index = 0; index < 200; ++index) {
        bytes += char(index * 37 + 11);
        call(system_.log_port(), {"POST", "/v1/streams/config", {}, bytes});
    }
    REQUIRE(system_.publish(routes_with_deadline(3'900), pools()) == 0);
    const std::int64_t version = last_publish_result()["offset"];
    CHECK(system_.wait_until_version(version));
    CHECK(version > *before.rbegin());
}

} // namespace tamarack::process_tests
