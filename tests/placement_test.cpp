#include "choices.hpp"
#include "fixtures.hpp"
#include "tamarack/placement.hpp"
#include "tamarack/planning.hpp"

#include <rapidcheck.h>

#include <algorithm>

namespace tamarack {

namespace {

struct placement_fixture {
    std::vector<std::string> endpoints_ = fixtures::make_endpoints(12);
    pool_row pool_ = fixtures::make_engine_pool(12, 1'000, {});

    placement_fixture() {
        for (int index = 0; index < 20; ++index) {
            pool_.models_.push_back(fixtures::make_model("m" + std::to_string(index), 200));
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(placement_fixture, "assign_homes_endpoints_reordered_gives_the_same_homes") {
    const home_map homes = assign_homes(pool_, endpoints_);
    std::reverse(endpoints_.begin(), endpoints_.end());
    CHECK(assign_homes(pool_, endpoints_) == homes);
}

TEST_CASE_FIXTURE(placement_fixture, "assign_homes_several_copies_are_on_distinct_endpoints_within_memory") {
    pool_.models_[0].copies_ = 5;
    const home_map homes = assign_homes(pool_, endpoints_);
    std::map<std::string, std::int64_t> used;
    for (const auto& [model, ids] : homes) {
        CHECK(std::set<std::string>(ids.begin(), ids.end()).size() == ids.size());
        for (const std::string& id : ids) {
            used[id] += 200;
        }
    }
    CHECK(homes.at("m0").size() == 5);
    for (const auto& [id, memory_mb] : used) {
        CHECK(memory_mb <= 600); // the mean is 400
    }
}

TEST_CASE_FIXTURE(placement_fixture, "assign_homes_one_endpoint_lost_moves_few_homes") {
    const home_map before = assign_homes(pool_, endpoints_);
    endpoints_.pop_back();
    const home_map after = assign_homes(pool_, endpoints_);
    int moved = 0;
    int lost = 0;
    for (const auto& [model, ids] : before) {
        const bool was_home = ids[0] == "engine-11";
        lost += was_home ? 1 : 0;
        moved += !was_home && after.at(model) != ids ? 1 : 0;
    }
    CHECK(lost >= 1);
    CHECK(moved <= 4);
}

namespace {

// Model of endpoints that hold one item and mark it as leaving, ask each other for grants, cancel and unload
// in any order.
struct drop_model {
    struct holder {
        drop_guard guard_;
        bool resident_ = true;
        bool granted_ = false;
    };

    static constexpr const char* item_ = "m@1";

    fixtures::choices choices_;
    bool grants_respect_marks_ = true; // if false, a holder grants although it is about to drop its own copy
    std::vector<holder> holders_;
    int drops_ = 0;

    explicit drop_model(std::vector<std::uint32_t> sequence) : choices_(std::move(sequence)) {
        holders_.resize(std::size_t(choices_.next_below(4)) + 2);
    }

    void step() {
        holder& one = holders_[choices_.next_below(holders_.size())];
        const holder& other = holders_[choices_.next_below(holders_.size())];
        const bool leaving = one.guard_.leaving(item_);
        switch (choices_.next_below(4)) {
        case 0:
            if (one.resident_ && !leaving) {
                one.guard_.begin(item_);
            }
            break;
        case 1:
            if (leaving && &one != &other) {
                const bool grant =
                    grants_respect_marks_ ? other.guard_.grant(item_, other.resident_) : other.resident_;
                one.granted_ = one.granted_ || grant;
            }
            break;
        case 2:
            if (leaving && !one.granted_) {
                one.guard_.cancel(item_);
            }
            break;
        default:
            if (one.granted_ && one.resident_) {
                one.resident_ = false;
                ++drops_;
            }
        }
    }

    bool copy_remains() const {
        return std::any_of(holders_.begin(), holders_.end(), [](const holder& one) { return one.resident_; });
    }
};

} // namespace

TEST_CASE("drop_guard_random_interleavings_keep_one_copy") {
    int drops = 0;
    CHECK(rc::check([&](const std::vector<std::uint32_t>& sequence) {
        drop_model model(sequence);
        while (model.choices_.has_next()) {
            model.step();
            RC_ASSERT(model.copy_remains());
        }
        drops += model.drops_;
    }));
    CHECK(drops > 100);
}

TEST_CASE("drop_guard_random_interleavings_without_marks_lose_the_last_copy") {
    // Shows that the model can detect the loss.
    bool lost = false;
    for (std::uint64_t seed = 1; seed <= 400 && !lost; ++seed) {
        drop_model model(fixtures::random_sequence(seed, 200));
        model.grants_respect_marks_ = false;
        while (model.choices_.has_next()) {
            model.step();
        }
        lost = !model.copy_remains();
    }
    CHECK(lost);
}

namespace {

struct planning_fixture {
    pool_row pool_ = fixtures::make_engine_pool(
        2, 1'000,
        {fixtures::make_model("a", 300), fixtures::make_model("b", 300), fixtures::make_model("c", 300)});
    ledger memory_{{1, true, 0, 4, 1'000}, 0};
    demand_meter demand_;
    plan_facts facts_;
    std::uint64_t sequence_ = 1;

    planning_fixture() {
        facts_.pool_ = &pool_;
        facts_.ledger_ = &memory_;
        facts_.demand_ = &demand_;
        facts_.now_ = 100'000;
        hold({});
    }

    void hold(std::vector<resident_item> items) {
        engine_report report;
        report.engine_incarnation_ = 1;
        report.sequence_ = ++sequence_;
        report.capacity_mb_ = 1'000;
        report.resident_ = std::move(items);
        memory_.apply_fence(memory_.next_fence(), report, 0);
    }

    std::string next() const {
        const auto step = next_plan_step(facts_);
        if (!step) {
            return "nothing";
        }
        if (const auto* load = std::get_if<load_step>(&*step)) {
            return (load->extra_copy_ ? "extra " : "load ") + load->item_;
        }
        const auto& drop = std::get<drop_step>(*step);
        return (drop.needs_grant_ ? "ask to drop " : "drop ") + drop.item_;
    }

    void demand(const std::string& model, int misses) {
        for (int count = 0; count < misses; ++count) {
            demand_.note_miss(model, facts_.now_);
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(planning_fixture, "plan_home_model_missing_is_loaded_before_its_adapters") {
    pool_.models_[0].adapters_ = {{"x", "1", 10}};
    facts_.home_models_ = {"a"};
    CHECK(next() == "load a@1");
    hold({{"a@1", 300}});
    CHECK(next() == "load a:x@1");
    hold({{"a@1", 300}, {"a:x@1", 10}});
    CHECK(next() == "nothing");
}

TEST_CASE_FIXTURE(planning_fixture, "plan_home_model_does_not_fit_drops_only_extra_copies") {
    facts_.home_models_ = {"a", "b"};
    hold({{"b@1", 300}, {"c@1", 600}});
    CHECK(next() == "ask to drop c@1");
    facts_.uses_["c@1"].running_ = 1;
    CHECK(next() == "nothing");
}

TEST_CASE_FIXTURE(planning_fixture, "plan_demand_for_another_model_never_drops_a_home_model") {
    facts_.home_models_ = {"a", "b"};
    hold({{"a@1", 300}, {"b@1", 600}});
    demand("c", 100);
    CHECK(next() == "nothing");
}

TEST_CASE_FIXTURE(planning_fixture, "plan_new_version_is_loaded_before_the_old_one_is_dropped") {
    facts_.home_models_ = {"a"};
    hold({{"a@0", 300}});
    CHECK(next() == "load a@1");
    hold({{"a@0", 300}, {"a@1", 300}});
    CHECK(next() == "drop a@0");
}

TEST_CASE_FIXTURE(planning_fixture, "plan_item_not_in_the_tables_is_dropped") {
    hold({{"gone@1", 300}});
    CHECK(next() == "drop gone@1");
}

TEST_CASE_FIXTURE(planning_fixture, "plan_extra_copy_needs_more_demand_at_a_lower_attainment_weight") {
    demand("c", 3);
    CHECK(next() == "extra c@1");
    pool_.attainment_weight_ = 0.0;
    CHECK(next() == "nothing");
    demand("c", 20);
    CHECK(next() == "extra c@1");
    facts_.now_ += 100 * demand_half_life_ms;
    CHECK(next() == "nothing");
}

TEST_CASE_FIXTURE(planning_fixture, "plan_extra_copy_replaces_only_a_copy_long_unused") {
    hold({{"a@1", 300}, {"b@1", 600}});
    facts_.uses_["a@1"].last_used_ = facts_.now_ - 1'000;
    facts_.uses_["b@1"].last_used_ = facts_.now_ - 1'000;
    demand("c", 20);
    CHECK(next() == "nothing");
    facts_.uses_["a@1"].last_used_ = facts_.now_ - 2 * extra_copy_hold_ms;
    CHECK(next() == "ask to drop a@1");
}

TEST_CASE_FIXTURE(planning_fixture, "retiring_items_drop_given_up_or_item_gone_removes_the_item") {
    hold({{"a@1", 300}, {"b@1", 300}});
    retiring_items retiring;
    retiring.begin("a@1");
    CHECK(retiring.update(memory_, "a@1").empty());
    CHECK(retiring.update(memory_, "") == std::vector<std::string>{"a@1"});
    CHECK(retiring.items().empty());
    retiring.begin("a@1");
    REQUIRE(std::holds_alternative<engine_order>(memory_.begin_unload("a@1", 1)));
    CHECK(retiring.update(memory_, "").empty());
    hold({{"b@1", 300}});
    CHECK(retiring.update(memory_, "") == std::vector<std::string>{"a@1"});
}

} // namespace tamarack
