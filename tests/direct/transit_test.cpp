// The bound on the time that frames take between two processes whose clocks differ.
#include "tamarack/links.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace tamarack::links {

TEST_CASE("transit_any_clocks_and_delays_bound_holds_and_exceeds_the_way_by_that_of_the_stamp_only") {
    CHECK(rc::check([] {
        const time_ms offset = *rc::gen::inRange<time_ms>(-1'000'000, 1'000'000); // between the two clocks
        const time_ms stamp_sent_at = *rc::gen::inRange<time_ms>(0, 1'000'000);
        const time_ms stamp_way = *rc::gen::inRange<time_ms>(0, 5'000);
        const time_ms held = *rc::gen::inRange<time_ms>(0, 60'000);
        const time_ms frame_way = *rc::gen::inRange<time_ms>(0, 5'000);
        const time_ms stamp_arrived_at = stamp_sent_at + stamp_way;
        const time_ms frame_sent_at = stamp_arrived_at + held;
        stamp_keeper peer;
        peer.note(stamp_sent_at, stamp_arrived_at + offset);
        const auto returned = peer.make_echo(frame_sent_at + offset);
        RC_ASSERT(returned.has_value());
        RC_ASSERT(max_transit_ms(*returned, frame_sent_at + frame_way) == frame_way + stamp_way);
    }));
}

TEST_CASE("transit_no_stamp_yet_or_peer_without_stamps_makes_no_echo") {
    stamp_keeper keeper;
    CHECK_FALSE(keeper.make_echo(1'000));
    keeper.note(-1, 2'000);
    CHECK_FALSE(keeper.make_echo(3'000));
}

TEST_CASE("transit_newer_stamp_replaces_the_one_before") {
    stamp_keeper keeper;
    keeper.note(100, 2'000);
    keeper.note(600, 2'400);
    const auto returned = keeper.make_echo(2'450);
    REQUIRE(returned);
    CHECK(returned->sent_at == 600);
    CHECK(returned->held_ms == 50);
}

TEST_CASE("delay_meter_clocks_differ_and_drift_tells_what_a_frame_took_longer_than_usual") {
    delay_meter meter;
    constexpr time_ms offset = 77'000;
    CHECK(meter.note(0, offset + 5) == 0);
    CHECK(meter.note(500, offset + 505) == 0);
    CHECK(meter.note(1'000, offset + 2'405) == 1'400);
    constexpr time_ms hour = 3'600'000;
    constexpr double drift = 1e-4; // more than that of any clock in use
    time_ms worst = 0;
    for (time_ms sent = 2'000; sent < hour; sent += 500) {
        worst = std::max(worst, meter.note(sent, offset + 5 + sent + time_ms(double(sent) * drift)));
    }
    CHECK(worst <= 20);
}

} // namespace tamarack::links
