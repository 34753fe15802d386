#include "engine_agent/order_book.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace tamarack::engine_agent {

namespace {

struct order_fixture {
    order_scheduler scheduler_{"agent-1"};
    engine::report report_;
    time_ms now_ = 1'000;

    order_fixture() {
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

    placement make_placement(const std::string& load, std::vector<std::string> drop) const {
        placement wanted;
        wanted.load_ = load;
        wanted.drop_ = std::move(drop);
        wanted.capacity_mb_ = 200;
        wanted.adapter_slots_ = 8;
        wanted.model_mb_ = {{"base", 60}, {"second", 60}, {"third", 60}, {"fourth", 60}};
        wanted.adapter_mb_ = {{"base", 1}};
        return wanted;
    }
};

// An engine that may leave orders unanswered and carry them out at any later time.
struct late_engine {
    engine::report report_;
    std::vector<engine::order> late_;

    late_engine() {
        report_.engine_ = "i-1";
        report_.incarnation_ = 5;
    }

    bool holds(const std::string& model) const {
        return std::any_of(report_.models_.begin(), report_.models_.end(),
                           [&](const fleet::held_model& one) { return one.name_ == model; });
    }

    engine::order_answer carry_out(const engine::order& order) {
        if (order.expected_accepted_ != report_.accepted_) {
            return engine::order_answer::conflict;
        }
        if (holds(order.model_) == order.load_) {
            return engine::order_answer::done;
        }
        ++report_.accepted_;
        if (order.load_) {
            report_.models_.push_back({order.model_, {}});
        } else {
            std::erase_if(report_.models_,
                          [&](const fleet::held_model& one) { return one.name_ == order.model_; });
        }
        return engine::order_answer::accepted;
    }
};

} // namespace

TEST_CASE_FIXTURE(order_fixture, "orders_engine_not_named_by_the_registry_gets_none") {
    order_scheduler scheduler("agent-1");
    engine::report unnamed = report_;
    unnamed.engine_.clear();
    scheduler.update_report(unnamed, now_);
    scheduler.set_placement(make_placement("second", {}), now_);
    CHECK_FALSE(scheduler.next_order(now_));
}

TEST_CASE_FIXTURE(order_fixture, "orders_placement_with_drop_unloads_first_and_loads_then") {
    report_.models_ = {{"base", {}}, {"second", {}}, {"third", {}}};
    scheduler_.update_report(report_, now_);
    scheduler_.set_placement(make_placement("fourth", {"third"}), now_);
    const auto unload = scheduler_.next_order(now_);
    REQUIRE(unload);
    CHECK_FALSE(unload->load_);
    CHECK(unload->model_ == "third");
    CHECK(unload->engine_ == "i-1");
    CHECK(unload->fencing_token_ == 77);
    CHECK_FALSE(scheduler_.next_order(now_)); // one at a time
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

TEST_CASE_FIXTURE(order_fixture, "orders_model_about_to_be_dropped_is_no_longer_offered") {
    report_.models_ = {{"base", {}}, {"second", {}}};
    scheduler_.update_report(report_, now_);
    scheduler_.set_placement(make_placement("third", {"second"}), now_);
    const auto usable = scheduler_.usable_models();
    REQUIRE(usable.size() == 1);
    CHECK(usable[0].name_ == "base");
}

TEST_CASE_FIXTURE(order_fixture, "orders_load_that_does_not_fit_is_given_up") {
    report_.models_ = {{"base", {}}, {"second", {}}, {"third", {}}};
    scheduler_.update_report(report_, now_);
    scheduler_.set_placement(make_placement("fourth", {}), now_);
    CHECK_FALSE(scheduler_.next_order(now_));
    CHECK(scheduler_.loading_model().empty());
}

TEST_CASE_FIXTURE(order_fixture, "orders_unanswered_order_is_repeated_with_the_same_count") {
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

TEST_CASE_FIXTURE(order_fixture,
                  "orders_load_carried_out_without_an_answer_counts_against_the_weight_store") {
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

TEST_CASE_FIXTURE(order_fixture,
                  "adapter_wanted_before_any_placement_keeps_to_the_room_that_the_engine_has") {
    hold_adapters(4);
    scheduler_.request_adapter(1, "base", "new", now_);
    scheduler_.set_max_adapters(4);
    const auto order = scheduler_.next_order(now_);
    REQUIRE(order);
    CHECK_FALSE(order->load_); // one makes way first
    order_scheduler fresh("agent-2");
    fresh.update_report(report_, now_);
    fresh.request_adapter(1, "base", "new", now_);
    CHECK_FALSE(fresh.next_order(now_)); // nobody has told the room yet
}

TEST_CASE_FIXTURE(order_fixture, "adapter_in_use_is_never_told_to_make_way") {
    hold_adapters(8);
    for (int adapter = 0; adapter < 8; ++adapter) {
        scheduler_.request_adapter(std::uint64_t(adapter), "base", "a" + std::to_string(adapter), now_);
    }
    CHECK(scheduler_.resolve_requests(now_).size() == 8);
    scheduler_.request_adapter(100, "base", "new", now_);
    CHECK_FALSE(scheduler_.next_order(now_));
    scheduler_.release_adapter(3);
    const auto order = scheduler_.next_order(now_);
    REQUIRE(order);
    CHECK_FALSE(order->load_);
    CHECK(order->adapter_ == "a3");
}

TEST_CASE_FIXTURE(order_fixture, "adapter_told_to_go_once_is_not_told_again_nor_offered") {
    hold_adapters(8);
    scheduler_.request_adapter(1, "base", "new", now_);
    REQUIRE(scheduler_.next_order(now_));
    scheduler_.handle_answer(engine::order_answer::accepted, now_);
    now_ += 200;
    report_.accepted_ = 1;
    scheduler_.update_report(report_, now_);
    const auto second = scheduler_.next_order(now_);
    CHECK((!second || second->adapter_ != "a0"));
    CHECK_FALSE(scheduler_.usable_models()[0].adapters_.contains("a0"));
}

TEST_CASE_FIXTURE(order_fixture, "adapter_wanted_while_the_engine_loads_a_model_waits_without_an_order") {
    report_.busy_ = true;
    scheduler_.update_report(report_, now_);
    scheduler_.request_adapter(1, "base", "a1", now_);
    CHECK_FALSE(scheduler_.next_order(now_));
    now_ += 5'000;
    const auto answers = scheduler_.resolve_requests(now_);
    REQUIRE(answers.size() == 1);
    CHECK_FALSE(answers[0].ready_);
}

TEST_CASE("orders_carried_out_late_in_any_order_memory_is_never_overcommitted") {
    CHECK(rc::check([] {
        late_engine engine;
        order_scheduler scheduler("agent-1");
        time_ms now = 0;
        const std::vector<std::string> models = {"base", "second", "third", "fourth"};
        order_fixture sizes;
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
                    engine.late_.push_back(*order);
                    scheduler.handle_answer(engine::order_answer::unknown, now);
                } else {
                    scheduler.handle_answer(engine.carry_out(*order), now);
                }
            }
            if (!engine.late_.empty() && *rc::gen::inRange(0, 3) == 0) {
                const int index = *rc::gen::inRange(0, int(engine.late_.size()));
                engine.carry_out(engine.late_[std::size_t(index)]);
                engine.late_.erase(engine.late_.begin() + index);
            }
            constexpr double model_mb = 60;
            constexpr double capacity_mb = 200;
            RC_ASSERT(double(engine.report_.models_.size()) * model_mb <= capacity_mb);
        }
    }));
}

} // namespace tamarack::engine_agent
