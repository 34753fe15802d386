// Requests under which engines end, as one gateway concludes on them.
#include "gateway/end_probe.hpp"
#include "gateway/suspects.hpp"
#include "tamarack/quarantine.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

namespace tamarack::quarantine {

namespace {

using names = std::vector<std::string>;

std::string request(const std::string& target) {
    return request_name({"GET", "shop.example", target, "", "", ""});
}

const std::string bad = request("/bad");

// A gateway that engines answer.
struct request_quarantine_fixture {
    suspect_quarantine suspects_;
    int engines_ = 0;

    request_quarantine_fixture() {
        suspects_.restore({}, 0);
        answer_others(0);
    }

    void answer_others(time_ms now) {
        for (std::size_t answer = 0; answer < least_answers; ++answer) {
            suspects_.note_sound(names{request("/plain")}, now);
            suspects_.note_sound(names{request("/other"), "other"}, now);
        }
    }

    // The next engine ends with these requests, which this gateway lost there.
    void end_engine(const std::vector<names>& lost, time_ms now) {
        const std::string engine = "e" + std::to_string(++engines_);
        for (const names& one : lost) {
            suspects_.note_lost(engine, 1, one, now);
        }
        suspects_.note_ended(engine, 1, now + 10);
    }

    void end_engines(int count, const std::vector<names>& lost) {
        for (int number = 0; number < count; ++number) {
            end_engine(lost, 1'000 + number * 100);
        }
    }
};

http::request get(const std::string& target, std::vector<http::header> headers) {
    headers.push_back({"Host", "shop.example"});
    return {"GET", target, std::move(headers), ""};
}

std::string name_of(const http::request& incoming) {
    const gateway::header_names& headers = *registry<gateway::header_names>::instance().find("log-store");
    return gateway::name_suspects(incoming, gateway::parse_request_metadata(incoming, headers), {}).front();
}

} // namespace

// Endpoints of a plain service ended one after the other under one request, which has no parts.
TEST_CASE_FIXTURE(request_quarantine_fixture,
                  "quarantine_request_alone_at_three_ends_is_found_and_never_tried") {
    end_engines(2, {{bad}});
    suspects_.update(3'000);
    CHECK(suspects_.quarantined().empty());
    end_engine({{bad}}, 3'000);
    suspects_.update(4'000);
    REQUIRE(suspects_.quarantined() == names{bad});
    answer_others(5'000);
    CHECK_FALSE(suspects_.begin_trial(bad, max_request_quarantine_ms));
    suspects_.update(max_request_quarantine_ms + 4'000);
    CHECK(suspects_.quarantined().empty());
}

// Sound requests went with the bad one from one endpoint to the next, and ended with it there.
TEST_CASE_FIXTURE(request_quarantine_fixture,
                  "quarantine_victims_go_along_with_a_request_are_tried_soon_and_the_request_twice_at_most") {
    const std::string victim = request("/victim");
    end_engines(3, {{bad}, {victim}});
    suspects_.update(4'000);
    REQUIRE(suspects_.quarantined().size() == 2);
    answer_others(4'100);
    const time_ms due = 4'000 + unanswered_trial_ms;
    REQUIRE(suspects_.begin_trial(victim, due));
    suspects_.note_sound(names{victim}, due + 20);
    suspects_.update(due + 100);
    CHECK(suspects_.quarantined() == names{bad});
    REQUIRE(suspects_.begin_trial(bad, due));
    CHECK_FALSE(suspects_.begin_trial(bad, due + usual_trial_ms - 1));
    REQUIRE(suspects_.begin_trial(bad, due + usual_trial_ms));
    CHECK_FALSE(suspects_.begin_trial(bad, due + 100 * usual_trial_ms));
}

TEST_CASE_FIXTURE(request_quarantine_fixture,
                  "quarantine_many_victims_go_along_with_a_request_another_end_tells_them_apart") {
    std::vector<names> lost = {{bad}};
    for (int number = 0; number < few_requests; ++number) {
        lost.push_back({request("/" + std::to_string(number))});
    }
    end_engines(3, lost);
    suspects_.update(3'000);
    CHECK(suspects_.quarantined().empty());
    end_engine({{bad}}, 3'000);
    suspects_.update(4'000);
    CHECK(suspects_.quarantined() == names{bad});
}

TEST_CASE_FIXTURE(request_quarantine_fixture,
                  "quarantine_victim_is_answered_between_ends_only_the_request_is_found") {
    const std::string victim = request("/victim");
    end_engines(3, {{bad}, {victim}});
    suspects_.note_sound(names{victim}, 1'500);
    suspects_.update(3'000);
    CHECK(suspects_.quarantined() == names{bad});
}

// All endpoints lost power, and a request that many clients send alike was refused from then on.
TEST_CASE_FIXTURE(request_quarantine_fixture,
                  "quarantine_equal_requests_are_lost_in_a_loss_of_power_are_served") {
    suspects_.note_sound(names{request("/popular")}, 500);
    end_engines(8, {{request("/popular")}});
    suspects_.update(3'000);
    CHECK(suspects_.quarantined().empty());
}

// After a start of all gateways, engines ended under a part before they answered anything, and the equal
// requests at all ends were refused, since plain services had answered.
TEST_CASE("quarantine_only_plain_services_answer_equal_requests_to_engines_are_not_found") {
    suspect_quarantine suspects;
    suspects.restore({}, 0);
    for (int end = 0; end < 5; ++end) {
        const std::string engine = "e" + std::to_string(end);
        for (const char* part : {"bad", "sound"}) {
            suspects.note_lost(engine, 1, names{request("/equal"), part + std::to_string(end % 2)}, 1'000);
        }
        suspects.note_ended(engine, 1, 1'010);
        suspects.note_sound(names{request("/plain")}, 1'100 + end);
        suspects.note_sound(names{request("/plain")}, 1'200 + end);
    }
    suspects.update(3'000);
    CHECK(suspects.quarantined().empty());
}

// A request was never tried again, although a part of its prompt was at the same ends.
TEST_CASE_FIXTURE(request_quarantine_fixture,
                  "quarantine_request_and_part_are_at_the_same_ends_the_request_is_tried") {
    end_engines(3, {{bad, "subject"}});
    suspects_.update(3'000);
    REQUIRE(suspects_.quarantined() == names{bad});
    answer_others(4'000);
    CHECK(suspects_.begin_trial(bad, 3'000 + unanswered_trial_ms));
}

// Sound requests with the parts of a bad request's prompt were refused.
TEST_CASE_FIXTURE(request_quarantine_fixture, "quarantine_request_has_parts_only_the_request_is_found") {
    for (int end = 0; end < 6; ++end) {
        end_engine({{bad, "subject"}}, 1'000 + end * 1'500);
        suspects_.update(1'000 + end * 1'500 + 900);
    }
    CHECK(suspects_.quarantined() == names{bad});
}

// The first request with a bad part was refused in place of the part.
TEST_CASE_FIXTURE(request_quarantine_fixture, "quarantine_requests_have_a_part_in_common_the_part_is_found") {
    for (int end = 0; end < 4; ++end) {
        end_engine({{request("/" + std::to_string(end / 2)), "part"}}, 1'000 + end * 100);
    }
    suspects_.update(3'000);
    CHECK(suspects_.quarantined() == names{"part"});
}

// The culprit was the last of 200 requests at its endpoint, of which some were kept.
TEST_CASE_FIXTURE(request_quarantine_fixture, "quarantine_request_is_one_of_200_at_an_endpoint_it_is_found") {
    for (int end = 0; end < 3; ++end) {
        std::vector<names> lost;
        for (int number = 0; number < 199; ++number) {
            lost.push_back({request("/" + std::to_string(end) + "/" + std::to_string(number))});
        }
        lost.push_back({bad});
        end_engine(lost, 1'000 + end * 100);
    }
    suspects_.update(3'000);
    CHECK(suspects_.quarantined() == names{bad});
}

// The ends under the second of two requests were put down to the first.
TEST_CASE_FIXTURE(request_quarantine_fixture, "quarantine_two_requests_end_endpoints_both_are_found") {
    const std::string worse = request("/worse");
    end_engines(3, {{bad}, {worse}});
    end_engine({{bad}}, 2'000);
    suspects_.update(3'000);
    CHECK(suspects_.is_quarantined(bad));
    CHECK(suspects_.is_quarantined(worse));
}

// A loss of power of many engines was put down to a part that a few of them had by chance.
TEST_CASE_FIXTURE(request_quarantine_fixture,
                  "quarantine_three_of_twelve_engines_that_end_at_once_have_a_part_it_is_not_found") {
    for (int engine = 0; engine < 12; ++engine) {
        end_engine({{engine < 3 ? "rare" : "s" + std::to_string(engine)}}, 1'000);
    }
    suspects_.update(3'000);
    CHECK(suspects_.quarantined().empty());
}

// A trial that found no endpoint was the last one.
TEST_CASE_FIXTURE(request_quarantine_fixture, "quarantine_trial_is_not_sent_another_takes_its_place") {
    end_engines(4, {{bad}, {request("/victim")}});
    suspects_.update(3'000);
    answer_others(4'000);
    REQUIRE(suspects_.begin_trial(bad, 7'000));
    suspects_.cancel_trial(bad, 7'100);
    CHECK(suspects_.begin_trial(bad, 7'100));
}

// All gateways restarted after two ends, and it took three more.
TEST_CASE_FIXTURE(request_quarantine_fixture,
                  "quarantine_gateways_restart_between_ends_the_ends_before_count") {
    end_engines(2, {{bad}});
    suspects_.update(3'000);
    CHECK(suspects_.take_memory_changed());
    const auto records = to_records(suspects_.memory(3'000), 1'000'000);
    CHECK(records.size() == 2);
    suspect_quarantine later;
    later.restore(from_records(records, 1'005'000), 8'000);
    for (std::size_t answer = 0; answer < least_answers; ++answer) {
        later.note_sound(names{request("/other")}, 8'100);
    }
    later.note_lost("e9", 1, names{bad}, 9'000);
    later.note_ended("e9", 1, 9'010);
    later.update(10'000);
    CHECK(later.is_quarantined(bad));
}

TEST_CASE("quarantine_records_round_trip_and_unreadable_ones_are_left_out") {
    announcement known;
    known.ends_ = {{"e/1", 7, 500, {"a", "b"}, true}};
    known.states_ = {{"part", true, 2'000, usual_trial_ms}, {bad, true, 3'000, no_trial}};
    auto records = to_records(known, 1'000'000);
    records["end/e2"] = records["end/e3/x"] = records["worse"] = "1";
    records["end/e4/1"] = R"({"at_ms":1,"suspects":"a"})";
    const announcement read = from_records(records, 1'000'100);
    REQUIRE(read.ends_.size() == 1);
    CHECK(read.ends_[0].engine_ == "e/1");
    CHECK(read.ends_[0].incarnation_ == 7);
    CHECK(read.ends_[0].age_ms_ == 600);
    CHECK(read.ends_[0].suspects_ == names{"a", "b"});
    CHECK(read.ends_[0].answered_);
    REQUIRE(read.states_.size() == 2);
    CHECK(read.states_[0].suspect_ == "part");
    CHECK(read.states_[0].age_ms_ == 2'100);
    CHECK(read.states_[1].trial_ms_ == no_trial);
}

TEST_CASE("quarantine_request_names_tell_method_target_caller_prompt_and_body_apart_and_nothing_else") {
    const http::request plain = get("/a?x=1", {{"Tamarackbeam-Request-Id", "1"}});
    http::request other_id = get("/a?x=1", {{"Tamarackbeam-Request-Id", "2"}, {"Accept", "*/*"}});
    CHECK(name_of(plain) == name_of(other_id));
    CHECK(names_request(name_of(plain)));
    CHECK_FALSE(names_request(part_name("request-1")));
    const http::request with_body{"GET", "/a?x=1", {{"Host", "shop.example"}}, "b"};
    http::request post = plain;
    post.method_ = "POST";
    const auto with_prompt = [](const std::string& parts) {
        return get("/a?x=1", {{"Tamarackbeam-Prompt-Prefix", parts}});
    };
    CHECK(name_of(with_prompt("1:5,2:5")) == name_of(with_prompt("1:5,3:5")));
    CHECK(name_of(with_prompt("1:5,2:5,3:5")) != name_of(with_prompt("1:5,4:5,3:5")));
    for (const http::request& different :
         {get("/a?x=2", {}), get("/a", {}), get("/a?x=1", {{"Authorization", "me"}}), with_body, post}) {
        CHECK(name_of(different) != name_of(plain));
    }
    CHECK(request_name({"GET", "h", "/ab", "c", "", ""}) != request_name({"GET", "h", "/a", "bc", "", ""}));
}

// The end of a plain endpoint was known when its registry entry lapsed, seconds later.
TEST_CASE("end_probe_endpoint_refuses_its_end_is_told_and_one_that_accepts_has_not_ended") {
    namespace asio = boost::asio;
    using asio::ip::tcp;
    asio::io_context context;
    event_log events("test", event_rate(), [](const std::string&) {});
    tcp::acceptor listening(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    tcp::acceptor closed(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::vector<std::string> ended;
    gateway::end_probe probes(context.get_executor(), events, [&](gateway::endpoint& one, std::int64_t) {
        ended.push_back(one.record().id_);
    });
    std::vector<std::shared_ptr<gateway::endpoint>> endpoints;
    for (const auto& [id, address] :
         {std::pair("alive", listening.local_endpoint()), std::pair("ended", closed.local_endpoint())}) {
        fleet::endpoint_record record;
        record.id_ = id;
        record.address_ = address;
        endpoints.push_back(std::make_shared<gateway::endpoint>(record, context.get_executor()));
    }
    closed.close();
    for (const auto& one : endpoints) {
        probes.start(one);
        probes.start(one);
    }
    context.run();
    CHECK(ended == names{"ended"});
}

// A name that a peer announces was written to the store as it was, and one that is no UTF-8 ended the
// gateway.
TEST_CASE("quarantine_announced_names_that_no_gateway_gives_are_dropped") {
    const std::string odd[] = {"", "a\xff", "a b", "a\n", std::string(65, 'a'), "a/b"};
    const announcement sound{
        {{"e1", 1, 0, {part_name("5c1e07a2"), part_name("x y"), request_name({})}, false}},
        {{part_name("x y"), true, 0, usual_trial_ms}},
        false};
    announcement announced = sound;
    for (const std::string& name : odd) {
        CAPTURE(name);
        CHECK_FALSE(is_name(name));
        announced.ends_[0].suspects_.push_back(name);
        announced.states_.push_back({name, true, 0, usual_trial_ms});
    }
    drop_unknown_names(announced);
    CHECK(announced.ends_[0].suspects_ == sound.ends_[0].suspects_);
    CHECK(announced.states_.size() == 1);
    CHECK(to_records(announced, 1'000'000).size() == 2);
}

} // namespace tamarack::quarantine
