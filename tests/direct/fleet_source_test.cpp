// Fleet sources that read one store and relay to each other.
#include "direct/gateway_process.hpp"
#include "direct/odd_documents.hpp"
#include "platform/relay.hpp"

#include <algorithm>
#include <thread>

namespace tamarack::direct {

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

// Entries of other writers were relayed and offered to gateways that start, though they name no endpoint. In
// a frame of over 2 MB they closed the link, and none of the entries arrived.
TEST_CASE_FIXTURE(relaying_sources, "sources_registry_has_large_unreadable_entries_relays_stay_small") {
    REQUIRE(
        eventually([&] { return first_.endpoints_.contains("i-1") && second_.endpoints_.contains("i-1"); }));
    set_roles(first_, second_);
    first_.relayed_.clear();
    const std::string noise(250'000, '\xfe');
    const std::string object = R"({"service":"svc","address":5,"more":")" + std::string(250'000, 'x') + "\"}";
    for (int entry = 0; entry < 5; ++entry) {
        store_.put("keyed.servers", "n-" + std::to_string(entry), noise);
        store_.put("keyed.servers", "o-" + std::to_string(entry), object);
    }
    store_.put("keyed.op", "other", noise);
    store_.put("keyed.servers", "i-2", endpoint_text(endpoint_));
    REQUIRE(
        eventually([&] { return first_.endpoints_.contains("i-2") && second_.endpoints_.contains("i-2"); }));
    side later; // which reads all newest records at once
    connect(later, first_);
    later.source_->start();
    REQUIRE(eventually([&] { return later.source_->snapshot().size() == 2; }));
    constexpr std::size_t small = 10'000;
    for (const side* one : {&first_, &later}) {
        for (const fleet::relayed_data& data : one->source_->snapshot()) {
            CHECK(data.bytes_.size() < small);
        }
    }
    for (const platform::relay_message& message : first_.relayed_) {
        CHECK(platform::encode_relay(message).size() < small);
    }
}

// No gateway became ready while one page of the quarantine could not be read.
TEST_CASE_FIXTURE(relaying_sources, "sources_page_of_the_quarantine_is_refused_the_others_count") {
    store_.put("keyed.quarantine", "bad", "1");
    store_.put("keyed.quarantine", "worse", "2");
    store_.set_page_size(1);
    store_.set_refused_after("bad");
    side later;
    connect(later, first_);
    later.source_->start();
    REQUIRE(eventually([&] { return later.quarantined_.has_value(); }));
    CHECK(*later.quarantined_ == std::map<std::string, std::string>{{"bad", "1"}});
}

// One record that the store refuses was written again and again, and none of the others.
TEST_CASE_FIXTURE(relaying_sources, "sources_record_of_the_quarantine_is_refused_the_others_are_written") {
    REQUIRE(eventually([&] { return first_.quarantined_.has_value(); }));
    store_.set_refused_key("bad");
    const std::string too_long(300, 'k'); // a key has 255 bytes at most
    first_.source_->write_quarantine({{"bad", "1"}, {too_long, "1"}, {"worse", "2"}});
    REQUIRE(eventually([&] { return store_.record_count("keyed.quarantine") == 1; }));
    first_.source_->write_quarantine({{"bad", "1"}, {too_long, "1"}});
    CHECK(eventually([&] { return store_.record_count("keyed.quarantine") == 2; }));
    side later;
    connect(later, first_);
    later.source_->start();
    REQUIRE(eventually([&] { return later.quarantined_.has_value(); }));
    CHECK(later.quarantined_->empty());
}

// A source stopped following the registry, or ended, when one odd entry was written to it.
TEST_CASE_FIXTURE(relaying_sources, "sources_odd_entry_is_written_the_others_are_followed_by_all") {
    REQUIRE(
        eventually([&] { return first_.endpoints_.contains("i-1") && second_.endpoints_.contains("i-1"); }));
    set_roles(first_, second_);
    store_.put("keyed.servers", "odd", odd_entry("models", nested_arrays(100'000)));
    store_.put("keyed.servers", "odder", odd_entry("born", "1e300"));
    store_.put("keyed.servers", "i-2", endpoint_text(endpoint_));
    CHECK(
        eventually([&] { return first_.endpoints_.contains("i-2") && second_.endpoints_.contains("i-2"); }));
    CHECK_FALSE(first_.endpoints_.contains("odd"));
    CHECK_FALSE(second_.endpoints_.contains("odder"));
    side later; // which reads all newest records at once
    connect(later, first_);
    later.source_->start();
    CHECK(eventually([&] { return later.endpoints_.contains("i-2"); }));
}

// DRAIN: a key of another writer was put into the call for the next page as it was. The store refused the
// call, or took a part of the key for another parameter, and the later entries were never read.
TEST_CASE_FIXTURE(relaying_sources, "sources_key_is_not_safe_in_a_url_entries_of_later_pages_are_read") {
    const std::string keys[] = {
        "i-0 copy 1", "i-0&after=z", "i-0%41", "i-0+",        "i-0#x",
        "i-0\t",      "i-0\r\nX: y", "i-0?",   "i-0\xc3\xa9", std::string("i-0\0x", 5)};
    store_.set_page_size(1);
    for (const std::string& key : keys) {
        store_.put("keyed.servers", key, "unreadable");
    }
    store_.put("keyed.servers", "i-2", endpoint_text(endpoint_));
    side later;
    connect(later, first_);
    later.source_->start();
    CHECK(eventually([&] { return later.endpoints_ == std::set<std::string>{"i-1", "i-2"}; }));
}

// One key of another writer that was no UTF-8 made the whole page unreadable.
TEST_CASE_FIXTURE(relaying_sources, "sources_key_is_no_utf8_the_other_entries_are_read") {
    for (const char* key : {"i-0\xff", "i-0\xc3", "i-0\xed\xa0\x80", "i-0\xc0\xaf", "\x80"}) {
        store_.put("keyed.servers", key, "unreadable");
    }
    store_.put("keyed.servers", "i-2", endpoint_text(endpoint_));
    for (const std::size_t page_size : {500, 1}) {
        CAPTURE(page_size);
        store_.set_page_size(page_size);
        side later;
        connect(later, first_);
        later.source_->start();
        CHECK(eventually([&] { return later.endpoints_ == std::set<std::string>{"i-1", "i-2"}; }));
        CHECK(eventually([&] { return later.source_->snapshot().size() == 2; }));
    }
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

} // namespace tamarack::direct
