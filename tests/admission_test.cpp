#include "fixtures.hpp"
#include "tamarack/admission.hpp"

#include <algorithm>

namespace tamarack {

namespace {

struct admission_fixture {
    admission_limits limits_{2, 0, 8, 0};
    std::uint64_t next_id_ = 1;

    admission_request request(traffic_class kind = traffic_class::interactive, time_ms deadline = 100'000) {
        admission_request made;
        made.id_ = next_id_++;
        made.class_ = kind;
        made.organisation_ = "desk";
        made.deadline_ = deadline;
        return made;
    }

    static std::vector<std::uint64_t> started(const admission_actions& actions) {
        std::vector<std::uint64_t> ids;
        for (const admission_action& action : actions) {
            if (const auto* start = std::get_if<start_action>(&action)) {
                ids.push_back(start->id_);
            }
        }
        return ids;
    }

    static std::vector<refuse_action> refused(const admission_actions& actions) {
        std::vector<refuse_action> all;
        for (const admission_action& action : actions) {
            if (const auto* refusal = std::get_if<refuse_action>(&action)) {
                all.push_back(*refusal);
            }
        }
        return all;
    }

    // Runs one request, so that later ones are expected to take `service_ms`.
    void learn_service_time(admission& control, std::int64_t service_ms) {
        const admission_request first = request();
        control.submit(first, 0);
        control.finish(first.id_, service_ms, 0);
    }
};

} // namespace

TEST_CASE_FIXTURE(admission_fixture, "submit_no_free_slot_queues_until_a_request_ends") {
    admission control(limits_);
    CHECK(started(control.submit(request(), 0)).size() == 1);
    CHECK(started(control.submit(request(), 0)).size() == 1);
    CHECK(control.submit(request(), 0).empty());
    CHECK(control.queued() == 1);
    CHECK(started(control.finish(1, 10, 10)) == std::vector<std::uint64_t>{3});
}

TEST_CASE_FIXTURE(admission_fixture, "submit_deadline_cannot_be_met_is_refused_at_once_with_a_retry_time") {
    admission control(limits_);
    learn_service_time(control, 1'000);
    control.submit(request(), 0);
    control.submit(request(), 0);
    const auto refusals = refused(control.submit(request(traffic_class::interactive, 1'200), 0));
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].reason_ == refusal_reason::overloaded);
    CHECK(refusals[0].retry_after_ms_ >= 1'000);
    CHECK(refused(control.submit(request(traffic_class::interactive, 5'000), 0)).empty());
}

TEST_CASE_FIXTURE(admission_fixture, "submit_queue_full_is_refused") {
    limits_.queue_ = 1;
    admission control(limits_);
    for (int count = 0; count < 3; ++count) {
        control.submit(request(), 0);
    }
    CHECK(refused(control.submit(request(), 0)).size() == 1);
}

TEST_CASE_FIXTURE(admission_fixture, "submit_organisation_at_its_limit_is_refused_and_others_are_not") {
    limits_.organisation_slots_ = 1;
    admission control(limits_);
    control.submit(request(), 0);
    CHECK(refused(control.submit(request(), 0))[0].reason_ == refusal_reason::organisation_limit);
    admission_request other = request();
    other.organisation_ = "workshop";
    CHECK(started(control.submit(other, 0)).size() == 1);
    control.finish(1, 5, 5);
    CHECK(started(control.submit(request(), 6)).size() == 1);
}

TEST_CASE_FIXTURE(admission_fixture, "expire_deadline_passed_in_queue_refuses_as_expired") {
    admission control(limits_);
    control.submit(request(), 0);
    control.submit(request(), 0);
    control.submit(request(traffic_class::interactive, 50), 0);
    CHECK(control.expire(50).empty());
    const auto refusals = refused(control.expire(51));
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].reason_ == refusal_reason::expired);
    CHECK(control.queued() == 0);
}

TEST_CASE_FIXTURE(admission_fixture, "submit_item_not_resident_waits_for_it_or_is_refused") {
    admission control(limits_);
    admission_request waiting = request();
    waiting.item_ = "luthier@1";
    waiting.load_wait_ms_ = 500;
    CHECK(control.submit(waiting, 0).empty());
    CHECK(started(control.set_resident({"luthier@1"}, 100)) == std::vector<std::uint64_t>{waiting.id_});
    admission_request urgent = request(traffic_class::interactive, 400);
    urgent.item_ = "restorer@1";
    urgent.load_wait_ms_ = 500;
    CHECK(refused(control.submit(urgent, 0))[0].reason_ == refusal_reason::not_held);
}

TEST_CASE_FIXTURE(admission_fixture, "submit_kv_cache_full_queues_until_it_is_free") {
    limits_.slots_ = 10;
    limits_.kv_mb_ = 100;
    admission control(limits_);
    const auto with_kv = [&](std::int64_t kv_mb) {
        admission_request made = request();
        made.kv_mb_ = kv_mb;
        return made;
    };
    CHECK(refused(control.submit(with_kv(101), 0))[0].reason_ == refusal_reason::too_large);
    const admission_request first = with_kv(70);
    CHECK(started(control.submit(first, 0)).size() == 1);
    CHECK(control.submit(with_kv(40), 0).empty());
    CHECK(control.kv_in_use_mb() == 70);
    CHECK(started(control.finish(first.id_, 5, 5)).size() == 1);
    CHECK(control.kv_in_use_mb() == 40);
}

TEST_CASE_FIXTURE(admission_fixture,
                  "start_both_classes_wait_prefers_interactive_without_starving_deferrable") {
    limits_.slots_ = 1;
    limits_.queue_ = 1'000;
    admission control(limits_);
    control.submit(request(), 0);
    std::set<std::uint64_t> deferrable;
    for (int count = 0; count < 4; ++count) {
        const admission_request waiting = request(traffic_class::deferrable, 100'000'000);
        deferrable.insert(waiting.id_);
        control.submit(waiting, 0);
    }
    std::uint64_t running = 1;
    int deferrable_starts = 0;
    for (int count = 0; count < 32; ++count) {
        control.submit(request(traffic_class::interactive, 100'000'000), count);
        const auto ids = started(control.finish(running, 10, count));
        REQUIRE(ids.size() == 1);
        running = ids[0];
        deferrable_starts += deferrable.contains(running) ? 1 : 0;
    }
    CHECK(deferrable_starts == 4);
}

TEST_CASE_FIXTURE(admission_fixture, "drain_refuses_queued_requests_and_keeps_running_ones") {
    admission control(limits_);
    control.submit(request(), 0);
    control.submit(request(), 0);
    control.submit(request(), 0);
    const auto refusals = refused(control.drain(1));
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].reason_ == refusal_reason::leaving);
    CHECK(control.running() == 2);
    CHECK(refused(control.submit(request(), 2))[0].reason_ == refusal_reason::leaving);
}

TEST_CASE_FIXTURE(admission_fixture, "withdraw_only_queued_requests_are_removed") {
    admission control(limits_);
    control.submit(request(), 0);
    control.submit(request(), 0);
    control.submit(request(), 0);
    CHECK(control.withdraw(3));
    CHECK_FALSE(control.withdraw(3));
    CHECK_FALSE(control.withdraw(1));
}

// Checks that every request ends in exactly one way and that the limits hold after every event.
TEST_CASE_FIXTURE(admission_fixture, "admission_random_events_keep_all_limits_and_lose_no_request") {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        limits_ = {std::int64_t(random() % 4) + 1, std::int64_t(random() % 4), 6, 100};
        admission control(limits_);
        std::set<std::uint64_t> running;
        std::set<std::uint64_t> queued;
        std::map<std::uint64_t, std::int64_t> kv;
        const auto apply = [&](const admission_actions& actions) {
            for (std::uint64_t id : started(actions)) {
                queued.erase(id);
                REQUIRE(running.insert(id).second);
            }
            for (const refuse_action& refusal : refused(actions)) {
                REQUIRE_FALSE(running.contains(refusal.id_));
                REQUIRE(refusal.retry_after_ms_ > 0);
                queued.erase(refusal.id_);
            }
        };
        time_ms now = 0;
        for (int step = 0; step < 300; ++step) {
            now += time_ms(random() % 20);
            admission_request made = request(traffic_class(random() % 2), now + time_ms(random() % 500));
            made.organisation_ = std::string(1, char('a' + random() % 3));
            made.kv_mb_ = std::int64_t(random() % 60);
            if (random() % 2 == 0) {
                kv[made.id_] = made.kv_mb_;
                queued.insert(made.id_);
                apply(control.submit(made, now));
            } else if (!running.empty()) {
                const std::uint64_t id = *running.begin();
                running.erase(id);
                apply(control.finish(id, std::int64_t(random() % 100), now));
            }
            apply(control.expire(now));
            std::int64_t kv_mb = 0;
            for (std::uint64_t id : running) {
                kv_mb += kv[id];
            }
            REQUIRE(control.running() == std::int64_t(running.size()));
            REQUIRE(control.queued() == std::int64_t(queued.size()));
            REQUIRE(control.running() <= limits_.slots_);
            REQUIRE(kv_mb <= limits_.kv_mb_);
            REQUIRE(control.kv_in_use_mb() == kv_mb);
        }
    }
}

} // namespace tamarack
