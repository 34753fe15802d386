#include "engine_agent/order_book.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace tamarack::engine_agent {

namespace {

fleet::plain_name name(const std::string& text) {
    return fleet::plain_name::parse(text).value();
}

struct scheduler_fixture {
    order_scheduler scheduler_{"agent-1"};
    engine::report report_;
    time_ms now_ = 1'000;

    scheduler_fixture() {
        report_.engine_ = "i-1";
        report_.incarnation_ = 77;
        report_.models_ = {{"base", {}}};
        scheduler_.update_report(report_, now_);
        scheduler_.set_max_adapters(8);
    }

    void hold_adapters(int count) {
        for (int adapter = 0; adapter < count; ++adapter) {
            report_.models_[0].adapters_.insert("a" + std::to_string(adapter));
        }
        scheduler_.update_report(report_, now_);
    }

    placement make_placement(const std::string& load, const std::vector<std::string>& drop) const {
        placement desired;
        desired.load_ = name(load);
        std::transform(drop.begin(), drop.end(), std::back_inserter(desired.drop_), name);
        desired.capacity_mb_ = 200;
        desired.adapter_slots_ = 8;
        desired.model_mb_ = {{"base", 60}, {"second", 60}, {"third", 60}, {"fourth", 60}};
        desired.adapter_mb_ = {{"base", 1}};
        return desired;
    }
};

// An engine that can carry out an order late, in which case the agent gets no answer to it.
struct late_engine {
    engine::report report_;
    std::vector<engine::order> late_orders_;

    late_engine() {
        report_.engine_ = "i-1";
        report_.incarnation_ = 5;
    }

    bool holds(const std::string& model) const {
        return std::any_of(report_.models_.begin(), report_.models_.end(),
                           [&](const fleet::held_model& held) { return held.name_ == model; });
    }

    engine::order_answer carry_out(const engine::order& order) {
        if (order.expected_accepted_ != report_.accepted_) {
            return engine::order_answer::conflict;
        }
        if (holds(order.model_.text()) == order.load_) {
            return engine::order_answer::done;
        }
        ++report_.accepted_;
        if (order.load_) {
            report_.models_.push_back({order.model_.text(), {}});
        } else {
            std::erase_if(report_.models_,
                          [&](const fleet::held_model& held) { return order.model_ == held.name_; });
        }
        return engine::order_answer::accepted;
    }
};

} // namespace

// DRAIN: an engine that leaves was ordered to load what requests had wanted before, and told so in one report
// only.
TEST_CASE_FIXTURE(scheduler_fixture, "orders_engine_leaves_gets_no_more_of_them_until_it_starts_again") {
    scheduler_.request_adapter(1, name("base"), name("a1"), now_);
    report_.leaving_ = true;
    scheduler_.update_report(report_, now_);
    report_.leaving_ = false; // an older word, or one that lacks it
    scheduler_.update_report(report_, now_);
    scheduler_.set_placement(make_placement("second", {}), now_);
    CHECK_FALSE(scheduler_.next_order(now_));
    const auto answers = scheduler_.resolve_requests(now_);
    REQUIRE(answers.size() == 1);
    CHECK_FALSE(answers.front().ready_);
    ++report_.incarnation_;
    scheduler_.update_report(report_, now_);
    scheduler_.request_adapter(2, name("base"), name("a1"), now_);
    CHECK(scheduler_.next_order(now_));
}

TEST_CASE_FIXTURE(scheduler_fixture, "orders_engine_without_registry_id_gets_no_order") {
    order_scheduler scheduler("agent-1");
    engine::report unnamed = report_;
    unnamed.engine_.clear();
    scheduler.update_report(unnamed, now_);
    scheduler.set_placement(make_placement("second", {}), now_);
    CHECK_FALSE(scheduler.next_order(now_));
}

TEST_CASE_FIXTURE(scheduler_fixture, "orders_placement_with_drop_unloads_before_it_loads") {
    report_.models_ = {{"base", {}}, {"second", {}}, {"third", {}}};
    scheduler_.update_report(report_, now_);
    scheduler_.set_placement(make_placement("fourth", {"third"}), now_);
    const auto unload = scheduler_.next_order(now_);
    REQUIRE(unload);
    CHECK_FALSE(unload->load_);
    CHECK(unload->model_ == "third");
    CHECK(unload->engine_ == "i-1");
    CHECK(unload->fencing_token_ == 77);
    CHECK_FALSE(scheduler_.next_order(now_)); // one order at a time
    scheduler_.handle_answer(engine::order_answer::accepted, now_);
    report_.models_.pop_back();
    report_.accepted_ = 1;
    now_ += 100;
    scheduler_.update_report(report_, now_);
    const auto load = scheduler_.next_order(now_);
    REQUIRE(load);
    CHECK(load->load_);
    CHECK(load->model_ == "fourth");
}

TEST_CASE_FIXTURE(scheduler_fixture, "orders_model_to_be_dropped_is_not_usable") {
    report_.models_ = {{"base", {}}, {"second", {}}};
    scheduler_.update_report(report_, now_);
    scheduler_.set_placement(make_placement("third", {"second"}), now_);
    const auto usable = scheduler_.usable_models();
    REQUIRE(usable.size() == 1);
    CHECK(usable[0].name_ == "base");
}

TEST_CASE_FIXTURE(scheduler_fixture, "orders_load_that_exceeds_the_memory_is_cancelled") {
    report_.models_ = {{"base", {}}, {"second", {}}, {"third", {}}};
    scheduler_.update_report(report_, now_);
    scheduler_.set_placement(make_placement("fourth", {}), now_);
    CHECK_FALSE(scheduler_.next_order(now_));
    CHECK(scheduler_.loading_model().empty());
}

TEST_CASE_FIXTURE(scheduler_fixture, "orders_unanswered_order_is_repeated_with_the_same_count") {
    scheduler_.set_placement(make_placement("second", {}), now_);
    const auto first = scheduler_.next_order(now_);
    REQUIRE(first);
    scheduler_.handle_answer(engine::order_answer::unknown, now_);
    now_ += 1'000;
    scheduler_.set_placement(make_placement("third", {}), now_);
    const auto again = scheduler_.next_order(now_);
    REQUIRE(again);
    CHECK(again->model_ == "second");
    CHECK(again->expected_accepted_ == first->expected_accepted_);
}

TEST_CASE_FIXTURE(scheduler_fixture, "orders_unanswered_load_that_was_carried_out_counts_as_a_store_load") {
    scheduler_.set_placement(make_placement("second", {}), now_);
    REQUIRE(scheduler_.next_order(now_));
    scheduler_.handle_answer(engine::order_answer::unknown, now_);
    CHECK(scheduler_.store_load_starts().empty());
    report_.accepted_ = 1;
    report_.busy_ = true;
    scheduler_.update_report(report_, now_ + 300);
    CHECK(scheduler_.store_load_starts().size() == 1);
    scheduler_.update_report(report_, now_ + 600);
    CHECK(scheduler_.store_load_starts().size() == 1);
}

TEST_CASE_FIXTURE(scheduler_fixture, "adapter_requested_before_any_placement_respects_the_adapter_limit") {
    hold_adapters(4);
    scheduler_.request_adapter(1, name("base"), name("new"), now_);
    scheduler_.set_max_adapters(4);
    const auto order = scheduler_.next_order(now_);
    REQUIRE(order);
    CHECK_FALSE(order->load_); // an adapter is unloaded first
    order_scheduler fresh("agent-2");
    fresh.update_report(report_, now_);
    fresh.request_adapter(1, name("base"), name("new"), now_);
    CHECK_FALSE(fresh.next_order(now_)); // the adapter limit is not set yet
}

// A client that asked for adapters that do not exist had each ordered again until its request timed out, and
// each refusal ended the engine's placement.
TEST_CASE_FIXTURE(scheduler_fixture,
                  "adapter_order_is_refused_by_the_engine_request_fails_and_placement_stays") {
    scheduler_.set_placement(make_placement("second", {}), now_);
    scheduler_.request_adapter(1, name("base"), name("none"), now_);
    REQUIRE(scheduler_.next_order(now_)->adapter_ == "none");
    scheduler_.handle_answer(engine::order_answer::invalid, now_);
    const auto answers = scheduler_.resolve_requests(now_);
    REQUIRE(answers.size() == 1);
    CHECK_FALSE(answers[0].ready_);
    now_ += 1'000;
    const auto next = scheduler_.next_order(now_);
    REQUIRE(next);
    CHECK(next->model_ == "second");
}

// Each name of an adapter that a client made up was kept for good.
TEST_CASE_FIXTURE(scheduler_fixture, "adapter_names_never_become_resident_are_forgotten") {
    hold_adapters(2);
    constexpr int names = 10'000;
    for (int number = 0; number < names; ++number) {
        scheduler_.request_adapter(std::uint64_t(number), name("base"), name("n" + std::to_string(number)),
                                   now_);
        scheduler_.release_adapter(std::uint64_t(number));
        now_ += 10;
        scheduler_.update_report(report_, now_);
    }
    constexpr std::size_t names_in_5_s = 500;
    CHECK(scheduler_.remembered_adapters() <= names_in_5_s);
    scheduler_.request_adapter(names, name("base"), name("a1"), now_);
    scheduler_.update_report(report_, now_ + 60'000);
    CHECK(scheduler_.remembered_adapters() == 1);
}

TEST_CASE_FIXTURE(scheduler_fixture, "adapter_in_use_is_not_unloaded") {
    hold_adapters(8);
    for (int adapter = 0; adapter < 8; ++adapter) {
        scheduler_.request_adapter(std::uint64_t(adapter), name("base"), name("a" + std::to_string(adapter)),
                                   now_);
    }
    CHECK(scheduler_.resolve_requests(now_).size() == 8);
    scheduler_.request_adapter(100, name("base"), name("new"), now_);
    CHECK_FALSE(scheduler_.next_order(now_));
    scheduler_.release_adapter(3);
    const auto order = scheduler_.next_order(now_);
    REQUIRE(order);
    CHECK_FALSE(order->load_);
    CHECK(order->adapter_ == "a3");
}

TEST_CASE_FIXTURE(scheduler_fixture, "adapter_being_unloaded_gets_no_second_order_and_is_not_usable") {
    hold_adapters(8);
    scheduler_.request_adapter(1, name("base"), name("new"), now_);
    REQUIRE(scheduler_.next_order(now_));
    scheduler_.handle_answer(engine::order_answer::accepted, now_);
    now_ += 200;
    report_.accepted_ = 1;
    scheduler_.update_report(report_, now_);
    const auto second = scheduler_.next_order(now_);
    CHECK((!second || second->adapter_ != "a0"));
    CHECK_FALSE(scheduler_.usable_models()[0].adapters_.contains("a0"));
}

TEST_CASE_FIXTURE(scheduler_fixture,
                  "adapter_requested_while_the_engine_is_busy_gets_no_order_and_times_out") {
    report_.busy_ = true;
    scheduler_.update_report(report_, now_);
    scheduler_.request_adapter(1, name("base"), name("a1"), now_);
    CHECK_FALSE(scheduler_.next_order(now_));
    now_ += 5'000;
    const auto answers = scheduler_.resolve_requests(now_);
    REQUIRE(answers.size() == 1);
    CHECK_FALSE(answers[0].ready_);
}

TEST_CASE("orders_carried_out_late_in_any_sequence_never_overcommit_the_memory") {
    CHECK(rc::check([] {
        late_engine engine;
        order_scheduler scheduler("agent-1");
        time_ms now = 0;
        const std::vector<std::string> models = {"base", "second", "third", "fourth"};
        scheduler_fixture sizes;
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            now += 100;
            scheduler.update_report(engine.report_, now);
            if (*rc::gen::inRange(0, 3) == 0) {
                const std::string load = *rc::gen::elementOf(models);
                scheduler.set_placement(sizes.make_placement(load, {*rc::gen::elementOf(models)}), now);
            }
            const auto order = scheduler.next_order(now);
            if (order) {
                if (*rc::gen::inRange(0, 3) == 0) {
                    engine.late_orders_.push_back(*order);
                    scheduler.handle_answer(engine::order_answer::unknown, now);
                } else {
                    scheduler.handle_answer(engine.carry_out(*order), now);
                }
            }
            if (!engine.late_orders_.empty() && *rc::gen::inRange(0, 3) == 0) {
                const int index = *rc::gen::inRange(0, int(engine.late_orders_.size()));
                engine.carry_out(engine.late_orders_[std::size_t(index)]);
                engine.late_orders_.erase(engine.late_orders_.begin() + index);
            }
            constexpr double model_mb = 60;
            constexpr double capacity_mb = 200;
            RC_ASSERT(double(engine.report_.models_.size()) * model_mb <= capacity_mb);
        }
    }));
}

} // namespace tamarack::engine_agent
