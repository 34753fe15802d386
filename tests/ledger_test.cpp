#include "choices.hpp"
#include "fixtures.hpp"
#include "tamarack/ledger.hpp"

#include <rapidcheck.h>

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::int64_t capacity_mb = 1'000;
constexpr std::uint64_t agent_incarnation = 10;
constexpr time_ms settle_ms = 5'000;

struct ledger_fixture {
    ledger_settings settings_{agent_incarnation, true, 0, 2, settle_ms};

    static engine_report report(std::uint64_t sequence, std::vector<resident_item> resident = {},
                                std::vector<ended_order> ended = {}) {
        engine_report made;
        made.engine_incarnation_ = 1;
        made.sequence_ = sequence;
        made.capacity_mb_ = capacity_mb;
        made.highest_fence_ = 4;
        made.resident_ = std::move(resident);
        made.ended_ = std::move(ended);
        return made;
    }

    ledger fenced_ledger() const {
        ledger made(settings_, 0);
        made.apply_report(report(1), 0);
        made.apply_fence(made.next_fence(), report(1), 0);
        return made;
    }
};

template <typename Result>
order_refusal refusal_of(const Result& outcome) {
    return std::get<order_refusal>(outcome);
}

template <typename Result>
engine_order order_of(const Result& outcome) {
    return std::get<engine_order>(outcome);
}

} // namespace

TEST_CASE_FIXTURE(ledger_fixture, "ledger_before_the_fence_gives_no_order") {
    ledger fresh(settings_, 0);
    fresh.apply_report(report(1), 0);
    CHECK(fresh.needs_fence());
    CHECK_FALSE(fresh.settled(settle_ms * 10));
    CHECK(refusal_of(fresh.begin_load("a", 10, 0, 0)) == order_refusal::not_settled);
    CHECK(fresh.next_fence() == 5);
}

TEST_CASE_FIXTURE(ledger_fixture, "ledger_order_in_flight_counts_until_a_report_ends_it") {
    ledger one = fenced_ledger();
    const engine_order load = order_of(one.begin_load("a", 600, 0, 10));
    CHECK(one.weights_mb() == 600);
    CHECK(refusal_of(one.begin_load("b", 600, 0, 11)) == order_refusal::no_memory);
    CHECK(refusal_of(one.begin_load("a", 600, 0, 11)) == order_refusal::already_in_flight);
    one.apply_report(report(2), 20);
    CHECK(one.weights_mb() == 600);
    one.apply_report(report(3, {{"a", 600}}, {{load.id_, agent_incarnation, true}}), 30);
    CHECK(one.weights_mb() == 600);
    CHECK(one.orders_in_flight() == 0);
    const engine_order unload = order_of(one.begin_unload("a", 40));
    CHECK(one.ready_items().empty());
    CHECK(one.weights_mb() == 600);
    one.apply_report(report(4, {}), 50);
    CHECK(one.weights_mb() == 600);
    one.apply_report(report(5, {}, {{unload.id_, agent_incarnation, true}}), 60);
    CHECK(one.weights_mb() == 0);
}

TEST_CASE_FIXTURE(ledger_fixture, "ledger_older_report_after_newer_is_ignored") {
    ledger one = fenced_ledger();
    CHECK(one.apply_report(report(9, {{"a", 600}}), 10));
    CHECK_FALSE(one.apply_report(report(8), 20));
    CHECK(one.weights_mb() == 600);
}

TEST_CASE_FIXTURE(ledger_fixture, "ledger_ended_order_of_an_earlier_agent_ends_none_of_its_own") {
    ledger one = fenced_ledger();
    const engine_order load = order_of(one.begin_load("a", 600, 0, 10));
    one.apply_report(report(2, {}, {{load.id_, agent_incarnation - 1, true}}), 20);
    CHECK(one.weights_mb() == 600);
}

TEST_CASE_FIXTURE(ledger_fixture, "ledger_lost_order_with_fencing_counts_until_a_new_fence") {
    ledger one = fenced_ledger();
    order_of(one.begin_load("a", 600, 0, 10));
    one.expire_orders(10 + settle_ms - 1);
    CHECK_FALSE(one.needs_fence());
    one.expire_orders(10 + settle_ms);
    CHECK(one.needs_fence());
    CHECK(one.weights_mb() == 600);
    one.apply_fence(one.next_fence(), report(7), 10 + settle_ms);
    CHECK(one.weights_mb() == 0);
    CHECK_FALSE(one.needs_fence());
}

TEST_CASE_FIXTURE(ledger_fixture, "ledger_load_under_way_at_the_fence_still_counts") {
    ledger one(settings_, 0);
    engine_report exact = report(3);
    exact.loading_ = {{"old", 700}};
    one.apply_fence(5, exact, 0);
    CHECK(one.weights_mb() == 700);
    CHECK(refusal_of(one.begin_load("a", 400, 0, 1)) == order_refusal::no_memory);
    CHECK(one.ready_items().empty());
}

TEST_CASE_FIXTURE(ledger_fixture, "ledger_restarted_engine_must_be_fenced_again") {
    ledger one = fenced_ledger();
    engine_report restarted = report(1);
    restarted.engine_incarnation_ = 2;
    one.apply_report(restarted, 10);
    CHECK(one.needs_fence());
    CHECK_FALSE(one.settled(10));
}

TEST_CASE_FIXTURE(ledger_fixture, "ledger_report_of_a_later_agent_refuses_further_orders") {
    ledger one = fenced_ledger();
    engine_report taken = report(2);
    taken.newest_agent_ = agent_incarnation + 1;
    one.apply_report(taken, 10);
    CHECK(one.superseded());
    CHECK(refusal_of(one.begin_load("a", 1, 0, 11)) == order_refusal::superseded);
}

TEST_CASE_FIXTURE(ledger_fixture, "ledger_without_fencing_waits_and_keeps_the_reserve") {
    settings_ = {agent_incarnation, false, 300, 1, settle_ms};
    ledger one(settings_, 0);
    one.apply_report(report(1), 10);
    CHECK(refusal_of(one.begin_load("a", 10, 0, settle_ms - 1)) == order_refusal::not_settled);
    one.apply_report(report(2), settle_ms);
    CHECK(one.settled(settle_ms));
    CHECK(refusal_of(one.begin_load("a", 701, 0, settle_ms)) == order_refusal::no_memory);
    order_of(one.begin_load("a", 300, 0, settle_ms));
    CHECK(refusal_of(one.begin_load("b", 10, 0, settle_ms)) == order_refusal::too_many_in_flight);
    CHECK(one.kv_budget_mb() == 400);
}

TEST_CASE_FIXTURE(ledger_fixture, "ledger_kv_cache_in_use_leaves_less_for_loads") {
    ledger one = fenced_ledger();
    CHECK(refusal_of(one.begin_load("a", 600, 401, 10)) == order_refusal::no_memory);
    CHECK(std::holds_alternative<engine_order>(one.begin_load("a", 600, 400, 10)));
    CHECK(one.kv_budget_mb() == 400);
}

TEST_CASE("order_machine_every_event_in_every_phase_keeps_ended_orders_ended") {
    const std::vector<order_event> events = {order_event::confirmed, order_event::reported_applied,
                                             order_event::reported_failed, order_event::settle_time_passed,
                                             order_event::fenced};
    for (order_event first : events) {
        for (order_event second : events) {
            for (order_event third : events) {
                order_machine machine;
                machine.process(first);
                machine.process(second);
                const bool ended = machine.ended();
                const order_phase before = machine.phase();
                machine.process(third);
                CHECK((!ended || machine.phase() == before));
            }
        }
    }
    order_machine overdue;
    overdue.process(order_event::settle_time_passed);
    CHECK(overdue.phase() == order_phase::overdue);
    CHECK_FALSE(overdue.ended());
}

namespace {

// An engine that loses, delays and reorders orders, gives outdated reports, and records the peak of the
// memory that its items really occupied.
class engine_model {
public:
    engine_model(fixtures::choices& choices, bool fencing) : choices_(choices), fencing_(fencing) {
        record_event();
    }

    void receive(const engine_order& order, time_ms now) {
        const std::uint64_t delivery = choices_.next_below(6);
        if (delivery == 0) {
            return; // the order is lost
        }
        const time_ms delay = delivery == 1 ? time_ms(choices_.next_below(max_delay_ms)) : 0;
        pending_orders_.emplace(now + delay, order);
    }

    bool fence(std::uint64_t number, std::uint64_t incarnation) {
        if (number <= highest_fence_) {
            return false;
        }
        highest_fence_ = number;
        newest_agent_ = std::max(newest_agent_, incarnation);
        record_event();
        return true;
    }

    void run(time_ms now) {
        now_ = now;
        while (!pending_orders_.empty() && pending_orders_.begin()->first <= now) {
            now_ = pending_orders_.begin()->first;
            execute(pending_orders_.begin()->second);
            now_ = now;
            pending_orders_.erase(pending_orders_.begin());
        }
    }

    engine_report exact() const { return reports_.back(); }

    // Returns a report that was current at a random time within the longest delay.
    engine_report lagging(time_ms now) {
        std::size_t index = reports_.size() - 1;
        const time_ms oldest = now - time_ms(choices_.next_below(max_delay_ms));
        while (index > 0 && reported_at_[index] > oldest) {
            --index;
        }
        return reports_[index];
    }

    std::int64_t peak_mb() const { return peak_mb_; }

    // Longest delay of an order or a report.
    static constexpr std::uint64_t max_delay_ms = 400;

private:
    void execute(const engine_order& order) {
        newest_agent_ = std::max(newest_agent_, order.incarnation_);
        const bool refused = fencing_ && order.fence_ < highest_fence_;
        if (!refused && order.kind_ == order_kind::load) {
            resident_[order.item_] = order.memory_mb_;
        } else if (!refused) {
            resident_.erase(order.item_);
        }
        ended_.push_back({order.id_, order.incarnation_, !refused});
        record_event();
    }

    void record_event() {
        std::int64_t used = 0;
        engine_report report;
        report.engine_incarnation_ = 1;
        report.sequence_ = ++sequence_;
        report.capacity_mb_ = capacity_mb;
        report.highest_fence_ = highest_fence_;
        report.newest_agent_ = newest_agent_;
        report.ended_.assign(ended_.begin(), ended_.end());
        for (const auto& [item, memory_mb] : resident_) {
            report.resident_.push_back({item, memory_mb});
            used += memory_mb;
        }
        peak_mb_ = std::max(peak_mb_, used);
        reports_.push_back(report);
        reported_at_.push_back(now_);
    }

    fixtures::choices& choices_;
    bool fencing_;
    std::uint64_t sequence_ = 0;
    std::uint64_t highest_fence_ = 0;
    std::uint64_t newest_agent_ = 0;
    std::int64_t peak_mb_ = 0;
    std::map<std::string, std::int64_t> resident_;
    std::vector<ended_order> ended_;
    std::multimap<time_ms, engine_order> pending_orders_;
    std::vector<engine_report> reports_;
    std::vector<time_ms> reported_at_;
    time_ms now_ = 0;
};

// An engine and the agents that give it random orders. Agents are replaced while their orders are in flight.
struct memory_model {
    fixtures::choices choices_;
    bool fencing_;
    bool safeguards_; // whether settle time, fence and reserve are used
    engine_model engine_;
    std::vector<std::unique_ptr<ledger>> agents_; // the last one is active, the others no longer run
    std::uint64_t next_incarnation_ = 1;
    std::size_t loads_ = 0;
    time_ms now_ = 0;

    memory_model(std::vector<std::uint32_t> sequence, bool fencing, bool safeguards)
        : choices_(std::move(sequence)), fencing_(fencing), safeguards_(safeguards),
          engine_(choices_, fencing) {
        replace_agent();
    }

    void replace_agent() {
        ledger_settings settings;
        settings.incarnation_ = next_incarnation_++;
        settings.fencing_ = fencing_ && safeguards_;
        settings.stale_reserve_mb_ = fencing_ || !safeguards_ ? 0 : 300;
        settings.max_in_flight_ = fencing_ ? 2 : 1;
        settings.settle_ms_ = safeguards_ ? time_ms(engine_model::max_delay_ms) + 100 : 1;
        agents_.push_back(std::make_unique<ledger>(settings, now_));
    }

    void give_random_order(ledger& agent) {
        const std::string item = "m" + std::to_string(choices_.next_below(8));
        std::variant<engine_order, order_refusal> made = order_refusal::not_settled;
        if (choices_.next_below(2) == 0) {
            made = agent.begin_load(item, std::int64_t(choices_.next_below(200)) + 100, 0, now_);
        } else {
            made = agent.begin_unload(item, now_);
        }
        if (const auto* given = std::get_if<engine_order>(&made)) {
            loads_ += given->kind_ == order_kind::load ? 1 : 0;
            engine_.receive(*given, now_);
        }
    }

    void step() {
        now_ += time_ms(choices_.next_below(60));
        engine_.run(now_);
        ledger& active = *agents_.back();
        active.expire_orders(now_);
        switch (choices_.next_below(6)) {
        case 0:
        case 1:
            active.apply_report(engine_.lagging(now_), now_);
            break;
        case 2:
            if (active.needs_fence() && engine_.fence(active.next_fence(), next_incarnation_ - 1)) {
                active.apply_fence(engine_.exact().highest_fence_, engine_.exact(), now_);
            }
            break;
        case 3:
        case 4:
            give_random_order(active);
            break;
        default:
            if (choices_.next_below(25) == 0) {
                replace_agent();
            }
        }
    }
};

// Returns the engine's peak memory during one run.
std::int64_t peak_of_run(const std::vector<std::uint32_t>& sequence, bool fencing, bool safeguards,
                         std::size_t& loads) {
    memory_model model(sequence, fencing, safeguards);
    while (model.choices_.has_next()) {
        model.step();
    }
    loads += model.loads_;
    return model.engine_.peak_mb();
}

// Returns a sequence long enough for an agent to be replaced with orders before and after, which a fault
// requires.
std::vector<std::uint32_t> long_sequence(std::uint32_t seed) {
    return fixtures::random_sequence(seed, 4'000);
}

} // namespace

TEST_CASE("engine_memory_random_faults_never_exceeds_capacity") {
    for (const bool fencing : {true, false}) {
        CAPTURE(fencing);
        std::size_t loads = 0;
        CHECK(rc::check([&](const std::vector<std::uint32_t>& sequence, std::uint32_t seed) {
            RC_ASSERT(peak_of_run(sequence, fencing, true, loads) <= capacity_mb);
            RC_ASSERT(peak_of_run(long_sequence(seed), fencing, true, loads) <= capacity_mb);
        }));
        CHECK(loads > 5'000);
    }
}

TEST_CASE("engine_memory_random_faults_without_the_safeguards_exceeds_capacity") {
    // Shows that the model detects the fault when the safeguards are off.
    for (const bool fencing : {true, false}) {
        CAPTURE(fencing);
        std::int64_t peak = 0;
        std::size_t loads = 0;
        for (std::uint32_t seed = 1; seed <= 200; ++seed) {
            peak = std::max(peak, peak_of_run(long_sequence(seed), fencing, false, loads));
        }
        CHECK(peak > capacity_mb);
    }
}

} // namespace tamarack
