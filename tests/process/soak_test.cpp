#include "soak/soak.hpp"

#include <doctest/doctest.h>

#include <filesystem>
#include <unistd.h>

namespace tamarack::soak {

namespace {

struct soak_fixture {
    soak_settings settings_;

    soak_fixture() {
        settings_.duration_ms_ = 6'000;
        settings_.requests_per_s_ = 40;
        settings_.folder_ =
            (std::filesystem::temp_directory_path() / ("tamarack-soak-" + std::to_string(::getpid())))
                .string();
    }
    ~soak_fixture() { std::filesystem::remove_all(settings_.folder_); }

    // No faults but those that a test asks for, among as many gateways as in a small deployment.
    void use_calm_fleet() {
        settings_.faults_ = false;
        settings_.drills_ = false;
        settings_.odd_entries_ = false;
        settings_.limits_ = 0;
        settings_.back_offs_ = 0;
        settings_.gateways_ = 6;
        settings_.requests_per_s_ = 80;
    }

    soak_outcome check(std::uint64_t seed) {
        settings_.seed_ = seed;
        const soak_outcome outcome = run_soak(settings_);
        for (const std::string& fault : outcome.faults_) {
            MESSAGE(fault);
        }
        for (const std::string& promise : outcome.broken_promises_) {
            MESSAGE(promise);
        }
        CHECK(outcome.broken_promises_ == std::vector<std::string>());
        CHECK(outcome.recovered_after_ms_ >= 0);
        CHECK(outcome.served_ > 0);
        return outcome;
    }
};

} // namespace

TEST_CASE_FIXTURE(soak_fixture, "soak_short_seeded_run_keeps_the_promises") {
    check(1);
}

// More adapters were ordered than an engine has places, before any placement had told their number.
TEST_CASE_FIXTURE(soak_fixture, "soak_seed_2_adapter_places_are_kept") {
    check(2);
}

// LOST: gateways ended when a long upload ended early, by its client or its endpoint.
TEST_CASE_FIXTURE(soak_fixture, "soak_seed_1_with_long_uploads_keeps_the_promises") {
    settings_.uploads_ = 6;
    check(1);
}

// Endpoints that had named a limit on their requests got several times as many from six gateways together.
TEST_CASE_FIXTURE(soak_fixture, "fleet_endpoints_name_request_limits_gateways_together_keep_them") {
    use_calm_fleet();
    settings_.limits_ = 2;
    check(1);
}

// BUDGET: endpoints that had answered 503 with Retry-After got requests all the time from each gateway.
TEST_CASE_FIXTURE(soak_fixture, "fleet_endpoints_ask_for_back_offs_each_gateway_keeps_them") {
    use_calm_fleet();
    settings_.back_offs_ = 2;
    check(1);
}

// DRAIN: gateways sent requests to endpoints whose answers they had passed on, which said that they leave.
TEST_CASE_FIXTURE(soak_fixture, "fleet_endpoints_say_in_answers_that_they_leave_gateways_stop_at_once") {
    use_calm_fleet();
    settings_.leaving_only_ = true;
    check(1);
}

// UNASKED, ROUTE, CONFIG, QUOTA: endpoints got keys and no names of organisations, requests with unknown and
// revoked keys ran, and no limit of an organisation was kept.
TEST_CASE_FIXTURE(soak_fixture, "fleet_organisations_change_gateways_keep_their_keys_names_and_limits") {
    use_calm_fleet();
    settings_.duration_ms_ = 16'000;
    settings_.organisations_ = true;
    check(1);
}

// The same among faults of all kinds.
TEST_CASE_FIXTURE(soak_fixture, "soak_seed_3_with_organisations_keeps_the_promises") {
    settings_.organisations_ = true;
    check(3);
}

// Requests with one part in their prompts ended one engine after the other for as long as they came.
TEST_CASE_FIXTURE(soak_fixture, "fleet_prompt_part_crashes_engines_gateways_together_stop_sending_it") {
    use_calm_fleet();
    settings_.crashing_parts_ = 1;
    settings_.engines_ = 6;
    check(1);
}

// A client repeated one request with new ids, and each endpoint that began to run it ended.
TEST_CASE_FIXTURE(soak_fixture, "fleet_request_crashes_endpoints_gateways_together_stop_sending_it") {
    use_calm_fleet();
    settings_.crashing_requests_ = 2;
    settings_.plain_endpoints_ = 4;
    check(1);
}

TEST_CASE_FIXTURE(soak_fixture, "fleet_store_returns_from_copies_every_request_is_served") {
    settings_.faults_ = false;
    settings_.odd_entries_ = false;
    settings_.limits_ = 0;
    settings_.back_offs_ = 0;
    const soak_outcome outcome = check(1);
    CHECK(outcome.served_ == outcome.requests_);
    CHECK(outcome.unserved_ == std::vector<std::string>());
}

} // namespace tamarack::soak
