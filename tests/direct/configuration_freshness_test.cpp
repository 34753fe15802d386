// How long ago the configuration that a gateway has was known to be the operator's newest.
#include "direct/gateway_process.hpp"
#include "tamarack/fleet.hpp"

namespace tamarack::direct {

namespace {

// Two fleet sources on one store. The second relies on what the first relays.
struct configuration_sources {
    struct side {
        std::unique_ptr<fleet::fleet_source> source_;
        std::int64_t version_ = -1;
        fleet::freshness current_;
    };

    fake_store store_;
    boost::asio::io_context context_;
    side first_;
    side second_;
    bool relays_ = true;

    configuration_sources() {
        store_.put("keyed.op", "config", configuration_text(3));
        store_.put("keyed.servers", "odd", "{}");
        connect(first_);
        connect(second_);
    }

    void connect(side& one) {
        fleet::fleet_events handlers;
        handlers.configuration_ = [&one](const auto& configuration, const auto&) {
            one.version_ = configuration->version_;
        };
        handlers.configuration_current_ = [&one](const fleet::freshness& current) { one.current_ = current; };
        handlers.endpoints_ = [](auto, const auto&) {};
        handlers.store_reached_ = [](bool) {};
        handlers.rolled_back_ = [] {};
        handlers.relay_ = [this, &one](const fleet::relayed_data& data) {
            if (relays_ && &one == &first_) {
                second_.source_->take_relayed(data);
            }
        };
        handlers.skipped_ = [](const error&) {};
        handlers.quarantine_ = [](const auto&) {};
        one.source_ = (*registry<fleet::fleet_source_factory>::instance().find("log-store"))(
            context_, store_.address(), std::move(handlers));
        one.source_->start();
    }

    static time_ms age_of(const side& one) { return fleet::age_ms(one.current_, boot_now_ms()); }

    void run_for(time_ms limit) { context_.run_for(std::chrono::milliseconds(limit)); }

    template <typename Condition>
    bool eventually(Condition condition) {
        const time_ms until = steady_now_ms() + 8'000;
        while (!condition() && steady_now_ms() < until) {
            run_for(20);
        }
        return condition();
    }
};

constexpr time_ms recent_ms = 2'000; // more than a waiting read of the configuration takes

} // namespace

// Keys that are confirmed by a peer alone were refused, or those that nobody confirms served for good.
TEST_CASE_FIXTURE(configuration_sources, "configuration_is_confirmed_by_reads_and_relays_and_ages_without") {
    CHECK(age_of(first_) == -1);
    REQUIRE(eventually([&] { return first_.version_ == 3 && second_.version_ == 3; }));
    CHECK(eventually([&] { return age_of(first_) >= 0 && age_of(first_) < recent_ms; }));
    first_.source_->set_reads_store(true, true);
    second_.source_->set_reads_store(false, false);
    CHECK(eventually([&] { return second_.current_.relayed_; }));
    CHECK(age_of(second_) < recent_ms);
    store_.set_fault(fake_store::fault::busy);
    run_for(recent_ms + 1'000);
    CHECK(age_of(first_) > recent_ms);
    CHECK(age_of(second_) > recent_ms);
    store_.set_fault(fake_store::fault::none);
    CHECK(eventually([&] { return age_of(first_) < recent_ms && age_of(second_) < recent_ms; }));
}

// An older configuration that stays in force, since the newest cannot be read, is not confirmed.
TEST_CASE_FIXTURE(configuration_sources, "configuration_that_cannot_be_read_confirms_no_older_one") {
    REQUIRE(eventually([&] { return age_of(first_) >= 0; }));
    store_.put("keyed.op", "config", R"({"version": 9, "tenants": "all"})");
    run_for(recent_ms + 1'500);
    CHECK(first_.version_ == 3);
    CHECK(age_of(first_) > recent_ms);
    store_.put("keyed.op", "config", configuration_text(12));
    CHECK(eventually([&] { return first_.version_ == 12 && age_of(first_) < recent_ms; }));
}

} // namespace tamarack::direct
