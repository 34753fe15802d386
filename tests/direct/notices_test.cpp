// What endpoints say of themselves, kept by one gateway.
#include "gateway/head_rewrite.hpp"
#include "tamarack/notices.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <set>

namespace tamarack::notices {

namespace {

constexpr endpoint_key first{"e", 7};
constexpr endpoint_key second{"e", 8};

struct notices_fixture {
    endpoint_notices notices_{"gateway-1", 0};
    time_ms now_ = 100'000;

    void list(std::initializer_list<endpoint_key> listed) { notices_.set_listed(std::span(listed), now_); }

    // Sends and ends requests until the endpoint takes any number of them.
    void recover(const endpoint_key& at) {
        while (notices_.back_off_ms(at, now_)) {
            now_ += *notices_.back_off_ms(at, now_);
        }
        for (bool recovered = false; !recovered;) {
            const auto sent = notices_.begin(at, now_);
            REQUIRE(sent);
            recovered = notices_.end(*sent, true);
        }
    }
};

} // namespace

// Each state of an endpoint, and what each event makes of it. "Leaves" and "backs off" are the answers
// afterwards.
TEST_CASE("notices_each_event_in_each_state_leads_to_the_stated_one") {
    enum state { unknown, listed, leaving, backing_off, leaving_and_backing_off, after_back_off };
    enum event { says_leaving, announced, reported, asks_back_off, listed_as_ready, listed_later, unlisted };
    struct row {
        state state_;
        event event_;
        bool leaves_;    // the incarnation
        bool backs_off_; // now
    };
    const row rows[] = {{unknown, says_leaving, true, false},
                        {unknown, announced, true, false},
                        {unknown, reported, true, false},
                        {unknown, asks_back_off, false, true},
                        {unknown, listed_as_ready, false, false},
                        {unknown, unlisted, false, false},
                        {listed, says_leaving, true, false},
                        {listed, announced, true, false},
                        {listed, reported, true, false},
                        {listed, asks_back_off, false, true},
                        {listed, listed_later, false, false},
                        {leaving, says_leaving, true, false},
                        {leaving, asks_back_off, true, true},
                        {leaving, listed_as_ready, true, false},
                        {leaving, listed_later, false, false}, // nothing is kept of an earlier start
                        {leaving, unlisted, true, false},
                        {backing_off, says_leaving, true, true},
                        {backing_off, announced, true, true},
                        {backing_off, asks_back_off, false, true},
                        {backing_off, listed_as_ready, false, true},
                        {backing_off, listed_later, false, false},
                        {backing_off, unlisted, false, true},
                        {leaving_and_backing_off, listed_as_ready, true, true},
                        {leaving_and_backing_off, listed_later, false, false},
                        {after_back_off, says_leaving, true, false},
                        {after_back_off, asks_back_off, false, true},
                        {after_back_off, listed_as_ready, false, false},
                        {after_back_off, listed_later, false, false}};
    for (const row& one : rows) {
        CAPTURE(int(one.state_));
        CAPTURE(int(one.event_));
        notices_fixture at;
        if (one.state_ != unknown) {
            at.list({first});
        }
        if (one.state_ == leaving || one.state_ == leaving_and_backing_off) {
            at.notices_.note_leaving(first, leaving_source::response, at.now_);
        }
        if (one.state_ >= backing_off) {
            at.notices_.start_back_off(first, 5'000, at.now_);
        }
        if (one.state_ == after_back_off) {
            at.now_ += 6'000;
        }
        switch (one.event_) {
        case says_leaving:
            at.notices_.note_leaving(first, leaving_source::response, at.now_);
            break;
        case announced:
            at.notices_.note_leaving(first, leaving_source::announcement, at.now_);
            break;
        case reported:
            at.notices_.note_leaving(first, leaving_source::report, at.now_);
            break;
        case asks_back_off:
            at.notices_.start_back_off(first, 3'000, at.now_);
            break;
        case listed_as_ready:
            at.list({first});
            break;
        case listed_later:
            at.list({second});
            break;
        case unlisted:
            at.list({});
            break;
        }
        CHECK(at.notices_.is_leaving(first) == one.leaves_);
        CHECK(at.notices_.back_off_ms(first, at.now_).has_value() == one.backs_off_);
        CHECK(at.notices_.begin(first, at.now_).has_value() == !(one.leaves_ || one.backs_off_));
        CHECK_FALSE(at.notices_.is_leaving(second));
    }
}

TEST_CASE_FIXTURE(notices_fixture, "notices_endpoint_returns_from_a_copy_of_the_registry_is_still_leaving") {
    list({first});
    notices_.note_leaving(first, leaving_source::response, now_);
    list({});
    now_ += departed_retention_ms / 2;
    list({first}); // the registry returns from a copy
    CHECK(notices_.is_leaving(first));
    list({second});
    notices_.note_leaving(second, leaving_source::response, now_);
    list({first}); // an older start than the one known
    CHECK(notices_.is_leaving(first));
    list({});
    now_ += departed_retention_ms + 1;
    list({});
    CHECK(notices_.leaving_count() == 0);
}

// An endpoint whose earlier start had left got no requests after it started again with its clock set back.
TEST_CASE_FIXTURE(notices_fixture, "notices_endpoint_starts_again_with_a_lower_incarnation_gets_requests") {
    list({second});
    notices_.note_leaving(second, leaving_source::registry, now_);
    const endpoint_key again{first.id_, first.incarnation_, second.incarnation_};
    list({again});
    CHECK_FALSE(notices_.is_leaving(first));
    CHECK(notices_.begin(first, now_).has_value());
    notices_.note_leaving(first, leaving_source::response, now_);
    list({again});
    CHECK(notices_.is_leaving(first));
}

TEST_CASE_FIXTURE(notices_fixture, "notices_back_off_ends_one_request_goes_and_each_answer_doubles_them") {
    notices_.start_back_off(first, 1'000, now_);
    now_ += 999;
    CHECK_FALSE(notices_.begin(first, now_));
    now_ += 101; // and the spread
    const auto send_all = [this] {
        std::vector<sent_request> sent;
        while (const auto one = notices_.begin(first, now_)) {
            sent.push_back(*one);
        }
        return sent;
    };
    const auto alone = send_all();
    REQUIRE(alone.size() == 1);
    CHECK(*notices_.back_off_ms(first, now_) == default_back_off_ms);
    notices_.end(alone.front(), true);
    const auto two = send_all();
    REQUIRE(two.size() == 2);
    notices_.end(two.front(), true);
    notices_.end(two.back(), true);
    CHECK(send_all().size() == 8);
}

TEST_CASE_FIXTURE(notices_fixture, "notices_endpoint_answers_again_after_a_back_off_it_gets_any_number") {
    notices_.start_back_off(first, 1'000, now_);
    recover(first);
    CHECK(notices_.begin(first, now_)->back_off_ == 0);
}

TEST_CASE_FIXTURE(notices_fixture, "notices_request_after_a_back_off_is_not_answered_one_goes_again") {
    notices_.start_back_off(first, 1'000, now_);
    now_ += 1'100;
    const auto sent = notices_.begin(first, now_);
    REQUIRE(sent);
    CHECK_FALSE(notices_.begin(first, now_));
    CHECK_FALSE(notices_.end(*sent, false));
    CHECK(notices_.begin(first, now_));
    CHECK_FALSE(notices_.begin(first, now_));
}

TEST_CASE_FIXTURE(notices_fixture, "notices_answer_to_a_request_from_before_ends_no_back_off") {
    const auto before = notices_.begin(first, now_);
    REQUIRE(before);
    notices_.start_back_off(first, 2'000, now_);
    CHECK_FALSE(notices_.end(*before, true));
    CHECK(notices_.back_off_ms(first, now_ + 1'999));
    CHECK_FALSE(notices_.start_back_off(first, 100, now_)); // an answer that was overtaken
    CHECK(notices_.back_off_ms(first, now_ + 1'999));
}

TEST_CASE_FIXTURE(notices_fixture, "notices_back_off_is_huge_is_cut_to_the_longest") {
    notices_.start_back_off(first, max_back_off_ms * 100, now_);
    CHECK(*notices_.back_off_ms(first, now_) <= max_back_off_ms + 500);
}

TEST_CASE_FIXTURE(notices_fixture, "notices_many_endpoints_are_announced_within_the_bound") {
    std::vector<std::string> ids;
    for (int number = 0; number < 500; ++number) {
        ids.push_back("e" + std::to_string(number));
    }
    std::sort(ids.begin(), ids.end());
    std::vector<endpoint_key> listed;
    for (const std::string& id : ids) {
        listed.push_back({id, 1});
    }
    notices_.set_listed(listed, now_);
    for (const endpoint_key& at : listed) {
        notices_.note_leaving(at, leaving_source::response, now_);
    }
    notices_.set_listed(listed, now_);
    CHECK(notices_.announce().size() == max_announcements);
    for (const endpoint_key& at : listed) {
        notices_.note_leaving(at, leaving_source::registry, now_);
    }
    CHECK(notices_.announce().empty());
    for (int number = 0; number < 5'000; ++number) {
        notices_.note_leaving({"x" + std::to_string(number), 1}, leaving_source::announcement, now_);
    }
    CHECK(notices_.leaving_count() <= 500 + max_unlisted);
}

namespace {

// The simplest keeper of the same rules, which forgets nothing.
struct simple_model {
    std::set<std::pair<std::string, std::int64_t>> leaving_;
    std::map<std::pair<std::string, std::int64_t>, time_ms> back_off_until_;
    std::map<std::string, std::int64_t> newest_; // incarnation of which something was said, or listed
};

// One random history of three endpoints. Returns the first difference.
std::string run_history(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const auto below = [&](std::uint64_t bound) { return std::int64_t(random() % bound); };
    endpoint_notices notices("g", 0);
    simple_model model;
    std::map<std::string, std::int64_t> registry;
    time_ms now = 1'000'000;
    for (int step = 0; step < 40; ++step) {
        now += below(700);
        const std::string id = "e" + std::to_string(below(3));
        const std::int64_t incarnation = 1 + below(3);
        const endpoint_key at{id, incarnation};
        switch (below(5)) {
        case 0: {
            const auto source = leaving_source(below(4));
            if (incarnation >= model.newest_[id]) {
                model.leaving_.insert({id, incarnation});
                model.newest_[id] = incarnation;
            }
            notices.note_leaving(at, source, now);
            break;
        }
        case 1: {
            const time_ms duration = 1 + below(3'000);
            if (incarnation >= model.newest_[id]) {
                time_ms& until = model.back_off_until_[{id, incarnation}];
                until = std::max(until, now + duration);
                model.newest_[id] = incarnation;
            }
            notices.start_back_off(at, duration, now);
            break;
        }
        default: {
            registry[id] = incarnation; // also earlier ones, as from a copy
            if (below(4) == 0) {
                registry.erase(id);
            }
            std::vector<endpoint_key> listed;
            for (const auto& [name, one] : registry) {
                listed.push_back({name, one});
                model.newest_[name] = std::max(model.newest_[name], one);
            }
            notices.set_listed(listed, now);
            break;
        }
        }
        for (const char* name : {"e0", "e1", "e2"}) {
            for (std::int64_t one = 1; one <= 3; ++one) {
                const endpoint_key key{name, one};
                if (model.leaving_.contains({name, one}) && one >= model.newest_[name] &&
                    !notices.is_leaving(key)) {
                    return "an endpoint that leaves is not known to";
                }
                const auto until = model.back_off_until_.find({name, one});
                const bool rests = until != model.back_off_until_.end() && now < until->second;
                if (rests && one >= model.newest_[name] && !notices.back_off_ms(key, now)) {
                    return "a back-off is cut short";
                }
                const bool ever_said = model.leaving_.contains({name, one}) ||
                                       until != model.back_off_until_.end() || one < model.newest_[name];
                if (!ever_said && !notices.begin(key, now)) {
                    return "an endpoint that said nothing gets no requests";
                }
            }
        }
    }
    return {};
}

} // namespace

// Responses, reports, announcements, restarts and returns of the registry in any order. By hand with
// TAMARACK_HISTORIES=1000000.
TEST_CASE("notices_random_histories_a_shutdown_and_a_back_off_hold_for_their_incarnation") {
    const char* count = std::getenv("TAMARACK_HISTORIES");
    const std::uint64_t histories = count == nullptr ? 10'000 : std::strtoull(count, nullptr, 10);
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        const std::string broken = run_history(seed);
        if (!broken.empty()) {
            CAPTURE(seed);
            FAIL(broken);
        }
    }
}

TEST_CASE("head_notices_of_each_form_are_read_as_stated") {
    gateway::header_names names;
    names.leaving_ = "X-Leaving";
    names.leaving_value_ = "1";
    names.retry_after_ = "Retry-After";
    using headers = std::vector<http::header>;
    const auto leaves = [&](const headers& given) { return gateway::says_leaving(given, names); };
    CHECK(value(leaves({{"x-LEAVING", " 1 "}})));
    CHECK_FALSE(value(leaves({})));
    for (const char* odd : {"0", "true", "", "11", "1, 1"}) {
        CHECK_FALSE(ok(leaves({{"X-Leaving", odd}})));
    }
    CHECK_FALSE(ok(leaves({{"X-Leaving", "1"}, {"X-Leaving", "1"}})));
    struct row {
        int status_;
        headers headers_;
        std::optional<time_ms> for_ms_;
        bool readable_;
    };
    const row rows[] = {{503, {{"retry-after", "2"}}, 2'000, true},
                        {503, {{"Retry-After", "0.2505"}}, 251, true},
                        {429, {{"Retry-After", "1"}}, std::nullopt, true},
                        {503, {{"Retry-After", "0"}}, std::nullopt, true},
                        {503, {}, std::nullopt, true},
                        {500, {{"Retry-After", "2"}}, std::nullopt, true},
                        {200, {{"Retry-After", "2"}}, std::nullopt, true},
                        {503, {{"Retry-After", "1e300"}}, max_back_off_ms, true},
                        {503, {{"Retry-After", "1e999"}}, max_back_off_ms, true},
                        {503, {{"Retry-After", "-1"}}, default_back_off_ms, false},
                        {503, {{"Retry-After", "nan"}}, default_back_off_ms, false},
                        {503, {{"Retry-After", "inf"}}, default_back_off_ms, false},
                        {503, {{"Retry-After", "2 s"}}, default_back_off_ms, false},
                        {503, {{"Retry-After", ""}}, default_back_off_ms, false},
                        {503, {{"Retry-After", "Wed, 21 Oct 2026 07:28:00 GMT"}}, default_back_off_ms, false},
                        {503, {{"Retry-After", "1"}, {"Retry-After", "3"}}, 3'000, true},
                        {503, {{"Retry-After", "5"}, {"Retry-After", "x"}}, 5'000, false}};
    for (const row& one : rows) {
        CAPTURE(one.status_);
        CAPTURE(one.headers_.empty() ? std::string() : one.headers_.front().value_);
        const auto requested = gateway::requested_back_off(one.status_, one.headers_, names);
        CHECK(requested.for_ms_ == one.for_ms_);
        CHECK(requested.readable_ == one.readable_);
    }
}

} // namespace tamarack::notices
