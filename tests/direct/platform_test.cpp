#include "direct/gateway_process.hpp"
#include "platform/decode.hpp"
#include "platform/relay.hpp"
#include "tamarack/engine.hpp"

#include <algorithm>
#include <thread>

namespace tamarack::direct {

TEST_CASE("platform_configuration_with_unknown_and_missing_fields_is_decoded") {
    const auto decoded = platform::decode_configuration(configuration_text(7));
    REQUIRE(ok(decoded));
    const fleet::configuration& configuration = *value(decoded);
    CHECK(configuration.version_ == 7);
    REQUIRE(configuration.routes_.size() == 4);
    CHECK(configuration.routes_[0].repeat_ == fleet::repeat_rule::idempotent);
    CHECK(configuration.routes_[1].repeat_ == fleet::repeat_rule::at_most_once);
    CHECK(configuration.routes_[2].repeatable());
    CHECK_FALSE(configuration.routes_[3].repeatable());
    CHECK(configuration.routes_[2].patience_ms_ == 2'000);
    CHECK(configuration.limits_.body_bytes_ == 1'000);
    CHECK_FALSE(ok(platform::decode_configuration("{}")));
    CHECK_FALSE(ok(platform::decode_configuration("no json")));
}

TEST_CASE("platform_malformed_endpoint_entries_are_rejected") {
    const char* entries[] = {"",
                             "[]",
                             "null",
                             R"({"service":"s"})",
                             R"({"service":7,"address":"1.2.3.4:5","state":"ready","slots":1})",
                             R"({"service":"s","address":"here","state":"ready","slots":1})",
                             R"({"service":"s","address":"1.2.3.4:5","state":"odd","slots":1})",
                             R"({"service":"s","address":"1.2.3.4:5","state":"ready","slots":"many"})"};
    for (const char* entry : entries) {
        CAPTURE(entry);
        CHECK_FALSE(ok(platform::decode_endpoint("i", entry)));
    }
    const auto good = platform::decode_endpoint(
        "i", R"({"service":"s","address":"1.2.3.4:5","state":"draining","slots":2,"born":9,"sequence":4,
                 "models":[{"name":"m","adapters":["a1"]},{"adapters":[]},7]})");
    REQUIRE(ok(good));
    CHECK(value(good).leaving_);
    CHECK(value(good).incarnation_ == 9);
    REQUIRE(value(good).models_.size() == 1);
    CHECK(value(good).models_[0].adapters_.contains("a1"));
}

TEST_CASE("platform_relay_message_is_decoded_unchanged_and_malformed_bytes_are_rejected") {
    platform::relay_message message;
    message.topic_ = "t";
    message.span_ = {5, 9, {{"k", "v\x01", 6, true}, {"gone", std::nullopt, 8}}, false, 3};
    message.continuous_for_ms_ = 12;
    const auto decoded = platform::decode_relay(platform::encode_relay(message));
    REQUIRE(ok(decoded));
    CHECK(value(decoded).topic_ == "t");
    CHECK(value(decoded).span_.from_ == 5);
    CHECK(value(decoded).span_.end_ == 9);
    REQUIRE(value(decoded).span_.records_.size() == 2);
    CHECK(value(decoded).span_.records_[0].value_ == "v\x01");
    CHECK_FALSE(value(decoded).span_.records_[1].value_);
    CHECK(value(decoded).span_.records_[1].offset_ == 8);
    CHECK(value(decoded).span_.records_[0].rolled_back_);
    CHECK_FALSE(value(decoded).span_.records_[1].rolled_back_);
    CHECK(value(decoded).span_.epoch_ == 3);
    CHECK(value(decoded).continuous_for_ms_ == 12);
    CHECK_FALSE(ok(platform::decode_relay("damaged")));
}

TEST_CASE("platform_truncated_log_read_is_decoded_only_at_a_record_boundary") {
    const std::string key_and_value = std::string(1, char(1)) + "kvalue";
    const std::string record = std::string("\0\0\0\7", 4) + key_and_value;
    const std::string header = std::string(7, '\0') + char(2) + std::string(8, '\0');
    const std::string whole = header + record + record;
    REQUIRE(ok(platform::decode_read(whole, 0)));
    CHECK(value(platform::decode_read(whole, 0)).records_.size() == 2);
    for (std::size_t length = 0; length < whole.size(); ++length) {
        const auto decoded = platform::decode_read(std::string_view(whole).substr(0, length), 0);
        const bool at_boundary = length == header.size() || length == header.size() + record.size();
        CHECK(ok(decoded) == at_boundary);
    }
}

namespace {

// Two fleet sources on one store. Each receives the messages that the other relays.
struct relaying_sources {
    struct side {
        std::optional<std::map<std::string, std::string>> quarantined_; // records read from the store
        std::unique_ptr<fleet::fleet_source> source_;
        std::set<std::string> endpoints_;
        std::vector<platform::relay_message> relayed_; // messages about the registry that it has relayed
    };

    fake_store store_;
    fake_endpoint endpoint_{"i-1"};
    boost::asio::io_context context_;
    side first_;
    side second_;

    relaying_sources() {
        store_.put("keyed.op", "config", configuration_text(3));
        store_.put("keyed.servers", "i-1", endpoint_text(endpoint_));
        connect(first_, second_);
        connect(second_, first_);
        first_.source_->start();
        second_.source_->start();
    }

    void connect(side& receiver, side& other) {
        fleet::fleet_events handlers;
        handlers.configuration_ = [](auto, const auto&) {};
        handlers.endpoints_ = [&receiver](const std::vector<fleet::endpoint_change>& changes,
                                          const fleet::freshness&) {
            for (const fleet::endpoint_change& change : changes) {
                if (const auto* record = std::get_if<fleet::endpoint_record>(&change)) {
                    receiver.endpoints_.insert(record->id_);
                } else {
                    receiver.endpoints_.erase(std::get<fleet::endpoint_removed>(change).id_);
                }
            }
        };
        handlers.store_reached_ = [](bool) {};
        handlers.rolled_back_ = [] {};
        handlers.relay_ = [&receiver, &other](const fleet::relayed_data& data) {
            const auto message = platform::decode_relay(data.bytes_);
            REQUIRE(ok(message));
            if (value(message).topic_ == "keyed.servers") {
                receiver.relayed_.push_back(value(message));
            }
            other.source_->take_relayed(data);
        };
        handlers.skipped_ = [](const error&) {};
        handlers.quarantine_ = [&receiver](std::map<std::string, std::string> records) {
            receiver.quarantined_ = std::move(records);
        };
        receiver.source_ = (*registry<fleet::fleet_source_factory>::instance().find("log-store"))(
            context_, store_.address(), std::move(handlers));
    }

    template <typename Condition>
    bool eventually(Condition condition) {
        const time_ms until = steady_now_ms() + 8'000;
        while (!condition() && steady_now_ms() < until) {
            context_.run_for(std::chrono::milliseconds(20));
        }
        return condition();
    }

    static void set_roles(side& reader, side& listener) {
        reader.source_->set_reads_store(true, true);
        listener.source_->set_reads_store(false, false);
    }
};

} // namespace

// After a start of all gateways, requests with a quarantined part went to engines until enough had ended
// anew.
TEST_CASE_FIXTURE(relaying_sources, "sources_quarantined_part_is_written_a_later_start_reads_it") {
    REQUIRE(eventually([&] { return first_.quarantined_ && second_.quarantined_; }));
    CHECK(first_.quarantined_->empty());
    store_.set_fault(fake_store::fault::busy);
    first_.source_->write_quarantine({{"bad", "1"}, {"worse", "2"}});
    context_.run_for(std::chrono::milliseconds(100));
    CHECK(store_.record_count("keyed.quarantine") == 0);
    store_.set_fault(fake_store::fault::none);
    REQUIRE(eventually([&] { return store_.record_count("keyed.quarantine") == 2; }));
    first_.source_->write_quarantine({{"bad", "1"}});
    REQUIRE(eventually([&] { return store_.record_count("keyed.quarantine") == 3; }));
    side later;
    connect(later, first_);
    later.source_->start();
    REQUIRE(eventually([&] { return later.quarantined_.has_value(); }));
    CHECK(*later.quarantined_ == std::map<std::string, std::string>{{"bad", "1"}});
}

TEST_CASE_FIXTURE(relaying_sources,
                  "sources_store_returns_without_the_quarantined_part_it_is_written_again") {
    REQUIRE(eventually([&] { return first_.quarantined_ && first_.endpoints_.contains("i-1"); }));
    first_.source_->write_quarantine({{"bad", "1"}});
    REQUIRE(eventually([&] { return store_.record_count("keyed.quarantine") == 1; }));
    store_.roll_back("keyed.quarantine", 1);
    CHECK(eventually([&] { return store_.record_count("keyed.quarantine") == 1; }));
}

TEST_CASE_FIXTURE(relaying_sources,
                  "sources_reader_changes_while_an_endpoint_is_removed_both_see_its_return") {
    const auto known = [this](const std::string& id) {
        return first_.endpoints_.contains(id) && second_.endpoints_.contains(id);
    };
    REQUIRE(eventually([&] { return known("i-1"); }));
    // The second source reads a heartbeat of i-1. The entry of i-2, which follows, shows that it was read.
    set_roles(second_, first_);
    store_.put("keyed.servers", "i-1", endpoint_text(endpoint_));
    store_.put("keyed.servers", "i-2", endpoint_text(endpoint_));
    REQUIRE(eventually([&] { return known("i-2"); }));
    set_roles(first_, second_);
    store_.drop("keyed.servers", "i-1");
    REQUIRE(eventually(
        [&] { return !first_.endpoints_.contains("i-1") && !second_.endpoints_.contains("i-1"); }));
    set_roles(second_, first_);
    store_.put("keyed.servers", "i-1", endpoint_text(endpoint_));
    CHECK(eventually([&] { return known("i-1"); }));
}

// DRAIN: a reader left a change out because another reader had relayed it; a gateway that had missed the
// other's relay then went past the change.
TEST_CASE_FIXTURE(relaying_sources,
                  "sources_reader_misses_a_relay_but_not_the_next_relays_all_that_changed") {
    const auto known = [this](const std::string& id) {
        return first_.endpoints_.contains(id) && second_.endpoints_.contains(id);
    };
    REQUIRE(eventually([&] { return known("i-1"); }));
    set_roles(first_, second_);
    store_.put("keyed.servers", "i-2", endpoint_text(endpoint_));
    REQUIRE(eventually([&] { return known("i-2"); }));
    const auto end = std::int64_t(store_.record_count("keyed.servers"));
    store_.put("keyed.servers", "i-2", endpoint_text(endpoint_)); // a heartbeat
    store_.drop("keyed.servers", "i-1");
    platform::relay_message next;
    next.topic_ = "keyed.servers";
    next.span_ = {end + 1, end + 2, {{"i-1", std::nullopt}}, false, 1};
    first_.relayed_.clear();
    first_.source_->take_relayed({platform::encode_relay(next), boot_now_ms()});
    const auto covers_removal = [&](const platform::relay_message& message) {
        return message.span_.from_ <= end + 1 && message.span_.end_ > end + 1;
    };
    REQUIRE(eventually([&] { return std::ranges::any_of(first_.relayed_, covers_removal); }));
    const auto message = std::ranges::find_if(first_.relayed_, covers_removal);
    CHECK(std::ranges::any_of(message->span_.records_,
                              [](const auto& record) { return record.key_ == "i-1" && !record.value_; }));
}

namespace {

// One fleet source, at the moment at which the store has answered the second of three pages of the registry
// and the source has seen the first only.
struct source_between_pages : relaying_sources {
    source_between_pages() {
        first_.source_ = nullptr;
        second_.source_ = nullptr;
        store_.set_page_size(1);
        store_.put("keyed.servers", "i-2", endpoint_text(endpoint_));
        store_.put("keyed.servers", "i-3", endpoint_text(endpoint_));
        connect(first_, second_);
        connect(second_, first_); // not started
        first_.endpoints_.clear();
        const int before = store_.calls("keyed.servers");
        first_.source_->start();
        while (!first_.endpoints_.contains("i-1")) {
            context_.run_one();
        }
        while (store_.calls("keyed.servers") < before + 2) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        REQUIRE(first_.endpoints_ == std::set<std::string>{"i-1"});
    }
};

} // namespace

// A gateway that asked a seed between two pages took the part that the seed knew for the whole registry.
TEST_CASE_FIXTURE(source_between_pages, "source_between_pages_offers_no_snapshot_of_the_registry") {
    const auto offers_registry = [this] {
        return std::ranges::any_of(first_.source_->snapshot(), [](const fleet::relayed_data& data) {
            const auto message = platform::decode_relay(data.bytes_);
            return ok(message) && value(message).topic_ == "keyed.servers";
        });
    };
    CHECK_FALSE(offers_registry());
    REQUIRE(eventually([&] { return first_.endpoints_.size() == 3; }));
    CHECK(eventually(offers_registry));
}

// DRAIN: a page that was older than a relayed removal listed the endpoint again, for good.
TEST_CASE_FIXTURE(source_between_pages,
                  "source_between_pages_hears_of_a_removal_does_not_list_the_endpoint") {
    const auto end = std::int64_t(store_.record_count("keyed.servers"));
    store_.drop("keyed.servers", "i-2");
    platform::relay_message removal;
    removal.topic_ = "keyed.servers";
    removal.span_ = {end, end + 1, {{"i-2", std::nullopt, end}}, false, 1};
    first_.source_->take_relayed({platform::encode_relay(removal), boot_now_ms()});
    REQUIRE(eventually([&] { return first_.endpoints_.contains("i-3"); }));
    CHECK(eventually([&] { return !first_.endpoints_.contains("i-2"); }));
}

// After the store returned from a copy, offsets that were known were given out again for other records.
TEST_CASE_FIXTURE(relaying_sources, "sources_store_returns_from_a_copy_both_see_what_is_written_there") {
    const auto known = [this](const std::string& id) {
        return first_.endpoints_.contains(id) && second_.endpoints_.contains(id);
    };
    REQUIRE(eventually([&] { return known("i-1"); }));
    set_roles(first_, second_);
    store_.put("keyed.servers", "i-1", endpoint_text(endpoint_));
    store_.put("keyed.servers", "i-2", endpoint_text(endpoint_));
    REQUIRE(eventually([&] { return known("i-2"); }));
    store_.roll_back("keyed.servers", 2);
    store_.put("keyed.servers", "i-3", endpoint_text(endpoint_));
    store_.put("keyed.servers", "i-1", endpoint_text(endpoint_));
    store_.put("keyed.servers", "i-1", endpoint_text(endpoint_));
    CHECK(eventually([&] { return known("i-3"); }));
}

TEST_CASE("engine_client_unanswered_order_times_out_in_time_to_repeat_it") {
    constexpr time_ms adapter_limit_ms = 1'200; // within which a requested adapter must become resident
    fake_endpoint engine("i-1");
    engine.set_behaviours({behaviour::silent});
    boost::asio::io_context context;
    const auto client =
        (*registry<engine::client_factory>::instance().find("log-store"))(context, engine.address());
    engine::order order;
    order.model_ = "m";
    order.engine_ = "i-1";
    std::optional<engine::order_answer> answer;
    const time_ms began = steady_now_ms();
    client->send_order(order, [&](engine::order_answer given) {
        answer = given;
        context.stop();
    });
    context.run();
    CHECK(answer == engine::order_answer::unknown);
    CHECK(steady_now_ms() - began < adapter_limit_ms / 2);
}

} // namespace tamarack::direct
