#include "choices.hpp"
#include "fixtures.hpp"
#include "tamarack/claims.hpp"

#include <rapidcheck.h>

namespace tamarack {

namespace {

constexpr std::int64_t window_ms = 600'000;

struct claims_fixture {
    std::vector<log_record> log_;
    std::int64_t first_ = 0;
    std::int64_t log_now_ = 100'000;
    key_digest key_ = digest_key("desk", "key-1");

    void append(const claim& one) {
        log_.push_back({std::int64_t(log_.size()), log_now_, encode_claims(std::vector<claim>{one})});
    }

    void read(claim_index& index) const {
        std::vector<log_record> records;
        for (const log_record& record : log_) {
            if (record.offset_ >= std::max(first_, index.next_offset())) {
                records.push_back(record);
            }
        }
        index.apply_records(first_, log_now_, records);
    }

    claim claim_of(std::uint64_t incarnation, std::uint64_t body = 1) const {
        return {key_, body, incarnation, "agent-" + std::to_string(incarnation)};
    }
};

template <typename Decision>
bool is(const run_decision& decision) {
    return std::holds_alternative<Decision>(decision);
}

} // namespace

TEST_CASE_FIXTURE(claims_fixture, "bound_key_repeated_runs_once_and_replays_the_answer") {
    run_table table(1, run_table_limits());
    CHECK(is<run_now>(table.begin_bound(key_, 1, 0)));
    CHECK(is<still_running>(table.begin_bound(key_, 1, 1)));
    CHECK(is<key_conflict>(table.begin_bound(key_, 2, 1)));
    table.finish(key_, {200, "text/plain", "booked"}, 2);
    const run_decision repeat = table.begin_bound(key_, 1, 3);
    REQUIRE(is<replay_response>(repeat));
    CHECK(std::get<replay_response>(repeat).response_.body_ == "booked");
    CHECK(is<key_conflict>(table.begin_bound(key_, 2, 4)));
}

TEST_CASE_FIXTURE(claims_fixture, "bound_key_after_abandoned_request_may_run") {
    run_table table(1, run_table_limits());
    table.begin_bound(key_, 1, 0);
    table.abandon(key_, 1);
    CHECK(is<run_now>(table.begin_bound(key_, 1, 2)));
    table.finish_unknown(key_, 3);
    CHECK(is<already_run>(table.begin_bound(key_, 1, 4)));
    table.abandon(key_, 5);
    CHECK(is<already_run>(table.begin_bound(key_, 1, 6)));
}

TEST_CASE_FIXTURE(claims_fixture, "run_table_full_refuses_new_keys_and_keeps_running_ones") {
    run_table_limits limits;
    limits.keys_ = 2;
    limits.keep_ms_ = 100;
    run_table table(1, limits);
    const key_digest other = digest_key("desk", "key-2");
    const key_digest third = digest_key("desk", "key-3");
    table.begin_bound(key_, 1, 0);
    table.abandon(key_, 0);
    table.begin_bound(key_, 1, 10);
    table.begin_bound(other, 1, 10);
    CHECK(is<table_full>(table.begin_bound(third, 1, 20)));
    table.finish(other, {200, "", "x"}, 20);
    CHECK(is<run_now>(table.begin_bound(third, 1, 500)));
    CHECK(is<still_running>(table.begin_bound(key_, 1, 501)));
}

TEST_CASE_FIXTURE(claims_fixture, "stored_bodies_over_the_limit_are_dropped_and_requests_not_run_again") {
    run_table_limits limits;
    limits.response_bytes_ = 10;
    run_table table(1, limits);
    const key_digest other = digest_key("desk", "key-2");
    table.begin_bound(key_, 1, 0);
    table.finish(key_, {200, "", "12345678"}, 0);
    table.begin_bound(other, 1, 1);
    table.finish(other, {200, "", "12345678"}, 1);
    CHECK(is<already_run>(table.begin_bound(key_, 1, 2)));
    CHECK(is<replay_response>(table.begin_bound(other, 1, 2)));
}

TEST_CASE_FIXTURE(claims_fixture, "caller_key_claimed_by_two_agents_runs_at_the_first_in_the_log") {
    claim_index index_a(window_ms);
    claim_index index_b(window_ms);
    run_table a(1, run_table_limits());
    run_table b(2, run_table_limits());
    read(index_a);
    read(index_b);
    CHECK(is<claim_first>(a.begin_claimed(key_, 1, index_a, 0)));
    CHECK(is<claim_first>(b.begin_claimed(key_, 1, index_b, 0)));
    append(claim_of(2));
    append(claim_of(1));
    read(index_a);
    read(index_b);
    const run_decision loser = a.resolve_claim(key_, 1, index_a);
    REQUIRE(is<held_elsewhere>(loser));
    CHECK(std::get<held_elsewhere>(loser).endpoint_ == "agent-2");
    CHECK(is<run_now>(b.resolve_claim(key_, 1, index_b)));
    CHECK(is<held_elsewhere>(a.begin_claimed(key_, 1, index_a, 5)));
}

TEST_CASE_FIXTURE(claims_fixture, "caller_key_claimed_with_another_body_is_a_conflict") {
    claim_index index(window_ms);
    append(claim_of(2, 7));
    read(index);
    run_table table(1, run_table_limits());
    CHECK(is<key_conflict>(table.begin_claimed(key_, 1, index, 0)));
}

TEST_CASE_FIXTURE(claims_fixture, "caller_key_claimed_by_an_earlier_incarnation_is_not_run") {
    claim_index index(window_ms);
    append(claim_of(1));
    read(index);
    run_table later(3, run_table_limits());
    CHECK(is<held_elsewhere>(later.begin_claimed(key_, 1, index, 0)));
}

TEST_CASE_FIXTURE(claims_fixture, "caller_key_abandoned_while_claiming_runs_on_a_repeat_at_the_holder_only") {
    claim_index index(window_ms);
    run_table table(1, run_table_limits());
    read(index);
    table.begin_claimed(key_, 1, index, 0);
    table.abandon(key_, 1);
    CHECK(is<already_run>(table.resolve_claim(key_, 1, index)));
    append(claim_of(1)); // the append took effect late
    read(index);
    CHECK(is<run_now>(table.begin_claimed(key_, 1, index, 2)));
    run_table other(2, run_table_limits());
    CHECK(is<held_elsewhere>(other.begin_claimed(key_, 1, index, 2)));
}

TEST_CASE_FIXTURE(claims_fixture, "key_age_claims_lost_to_retention_make_older_keys_too_old") {
    claim_index index(window_ms);
    append(claim_of(2));
    log_now_ += 200'000;
    log_.push_back({1, log_now_, "noise"});
    first_ = 1;
    read(index);
    CHECK(index.find(key_) == nullptr);
    CHECK(check_key_age(index, 100'000) == key_age::too_old);
    CHECK(check_key_age(index, log_now_) == key_age::too_old);
    log_now_ += 2 * max_clock_skew_ms;
    read(index);
    CHECK(check_key_age(index, log_now_) == key_age::valid);
    CHECK(check_key_age(index, log_now_ + 2 * max_clock_skew_ms) == key_age::in_the_future);
}

TEST_CASE_FIXTURE(claims_fixture, "key_age_window_passed_forgets_claims_and_refuses_their_keys") {
    claim_index index(window_ms);
    append(claim_of(2));
    read(index);
    CHECK(index.find(key_) != nullptr);
    CHECK(check_key_age(index, 100'000) == key_age::valid);
    log_now_ += window_ms + 1;
    read(index);
    CHECK(index.size() == 0);
    CHECK(check_key_age(index, 100'000) == key_age::too_old);
}

TEST_CASE_FIXTURE(claims_fixture, "decode_claims_truncated_or_malformed_text_gives_no_claims") {
    std::mt19937_64 random(5);
    const std::string whole = encode_claims(std::vector<claim>{claim_of(1), claim_of(2)});
    CHECK(decode_claims(whole).size() == 2);
    for (std::size_t length = 0; length < whole.size(); ++length) {
        CHECK(decode_claims(std::string_view(whole).substr(0, length)).empty());
    }
    for (const char* text : {"{}", "[]", R"({"claims":[1,null,{}]})", R"({"claims":[{"h":"zz"}]})"}) {
        CHECK(decode_claims(text).empty());
    }
}

TEST_CASE("bound_key_encoded_and_decoded_is_equal_and_other_text_is_rejected") {
    const bound_key key{"endpoint.with.dots", 77, 123'456, 99};
    const auto decoded = decode_bound_key(encode_bound_key(key));
    REQUIRE(decoded);
    CHECK(decoded->endpoint_ == key.endpoint_);
    CHECK(decoded->incarnation_ == 77);
    CHECK(decoded->issued_ms_ == 123'456);
    CHECK(decoded->nonce_ == 99);
    for (const char* text :
         {"", "tk1.", "order-1", "tk1.a.b.c.d", "tk1.x.0000000000000001.0000000000000002.zz"}) {
        CHECK_FALSE(decode_bound_key(text));
    }
}

namespace {

// Agents that receive requests with the same key, and a log that loses and delays their claims. Agents act in
// random order, abandon requests and are replaced by new incarnations. Counts how often the request ran.
struct agreement_model {
    struct agent {
        std::uint64_t incarnation_;
        claim_index index_{window_ms};
        run_table table_;
        bool claiming_ = false;
        bool running_ = false;

        explicit agent(std::uint64_t incarnation)
            : incarnation_(incarnation), table_(incarnation, run_table_limits()) {}
    };

    fixtures::choices choices_;
    std::vector<log_record> log_;
    std::vector<claim> delayed_appends_;
    std::vector<std::unique_ptr<agent>> agents_;
    std::uint64_t next_incarnation_ = 1;
    key_digest key_ = digest_key("desk", "key");
    int runs_ = 0;
    bool claims_decide_ = true; // if false, agents run a request instead of claiming its key

    explicit agreement_model(std::vector<std::uint32_t> sequence) : choices_(std::move(sequence)) {
        for (int count = 0; count < 3; ++count) {
            agents_.push_back(std::make_unique<agent>(next_incarnation_++));
        }
    }

    void read(agent& reader) {
        const auto from = std::size_t(reader.index_.next_offset());
        const std::vector<log_record> records(log_.begin() + std::ptrdiff_t(from), log_.end());
        reader.index_.apply_records(0, 1'000, records);
    }

    void append_claim(const claim& one) {
        log_.push_back({std::int64_t(log_.size()), 1'000, encode_claims(std::vector<claim>{one})});
    }

    void act_on(agent& one, const run_decision& decision) {
        if (std::holds_alternative<run_now>(decision)) {
            one.running_ = true;
        }
        if (std::holds_alternative<claim_first>(decision) && !claims_decide_) {
            one.running_ = true;
            return;
        }
        if (std::holds_alternative<claim_first>(decision)) {
            one.claiming_ = true;
            const claim made{key_, 1, one.incarnation_, "a"};
            switch (choices_.next_below(3)) {
            case 0: // the append is lost
                break;
            case 1: // the append takes effect later
                delayed_appends_.push_back(made);
                break;
            default:
                append_claim(made);
            }
        }
    }

    void step() {
        agent& one = *agents_[choices_.next_below(agents_.size())];
        switch (choices_.next_below(8)) {
        case 0:
            if (!one.claiming_ && !one.running_) {
                act_on(one, one.table_.begin_claimed(key_, 1, one.index_, 0));
            }
            break;
        case 1:
            read(one);
            break;
        case 2:
            if (one.claiming_) {
                read(one);
                if (one.index_.find(key_) != nullptr) {
                    one.claiming_ = false;
                    act_on(one, one.table_.resolve_claim(key_, 1, one.index_));
                }
            }
            break;
        case 3: // the agent abandons the request before any byte reached the endpoint
            if (one.claiming_ || one.running_) {
                one.claiming_ = false;
                one.running_ = false;
                one.table_.abandon(key_, 0);
            }
            break;
        case 4: // the call reaches the endpoint
            if (one.running_) {
                ++runs_;
                one.running_ = false;
                if (choices_.next_below(2) == 0) {
                    one.table_.finish(key_, {200, "", "ok"}, 0);
                } else {
                    one.table_.finish_unknown(key_, 0);
                }
            }
            break;
        case 5: // a delayed append takes effect
            if (!delayed_appends_.empty()) {
                append_claim(delayed_appends_.back());
                delayed_appends_.pop_back();
            }
            break;
        case 6: // a new incarnation replaces an agent
            if (choices_.next_below(4) == 0) {
                const std::size_t slot = choices_.next_below(agents_.size());
                agents_[slot] = std::make_unique<agent>(next_incarnation_++);
            }
            break;
        default: // the agent does nothing
            break;
        }
    }
};

// Returns how often the request with the key ran.
int runs_of_one_key(const std::vector<std::uint32_t>& sequence, bool claims_decide) {
    agreement_model model(sequence);
    model.claims_decide_ = claims_decide;
    while (model.choices_.has_next()) {
        model.step();
    }
    return model.runs_;
}

} // namespace

TEST_CASE("caller_key_random_interleavings_run_at_most_once") {
    int ran = 0;
    CHECK(rc::check([&](const std::vector<std::uint32_t>& sequence, std::uint32_t seed) {
        RC_ASSERT(runs_of_one_key(sequence, true) <= 1);
        const int runs = runs_of_one_key(fixtures::random_sequence(seed, 400), true);
        ran += runs;
        RC_ASSERT(runs <= 1);
    }));
    CHECK(ran > 100);
}

TEST_CASE("caller_key_random_interleavings_without_claims_run_twice") {
    // Shows that the model detects the fault when claims are off.
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 400 && !found; ++seed) {
        found = runs_of_one_key(fixtures::random_sequence(seed, 400), false) > 1;
    }
    CHECK(found);
}

} // namespace tamarack
