#include "direct/gateway_process.hpp"
#include "platform/decode.hpp"
#include "platform/relay.hpp"
#include "tamarack/engine.hpp"

#include <algorithm>
#include <cstdlib>
#include <random>
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

// UNASKED, ROUTE, CONFIG, QUOTA: the configuration listed organisations, and no line said that nothing
// followed it.
TEST_CASE("platform_configuration_with_terms_that_are_not_followed_names_them") {
    nlohmann::json body = nlohmann::json::parse(configuration_text(7));
    body["new_part"] = nlohmann::json::array();
    body["services"][0]["protocol"] = "h2";
    body["services"][0]["tls"] = true;
    body["tenants"] = {{{"name", "o"}, {"unit", "bytes"}, {"per_day", 1}}};
    const auto decoded = platform::decode_configuration(body.dump());
    REQUIRE(ok(decoded));
    const std::vector<std::string> expected = {
        "new_part",          "routes.unknown_field", "services.protocol=h2",
        "services.tls=true", "tenants.per_day",      "tenants.unit=bytes"};
    CHECK(value(decoded)->ignored_terms_ == expected);
}

TEST_CASE("platform_configuration_with_organisations_is_decoded") {
    nlohmann::json body = nlohmann::json::parse(configuration_text(7));
    CHECK_FALSE(value(platform::decode_configuration(body.dump()))->organisations_);
    body["tenants"] = {{{"name", "o-1"},
                        {"api_keys", {"k-1", 5, "k-2"}},
                        {"priority", 2},
                        {"unit", "tokens"},
                        {"plain_tokens", 200},
                        {"rate_per_s", 4'200},
                        {"burst", 8'400}},
                       {{"name", "o-2"}},
                       {{"api_keys", {"k-3"}}},
                       "odd"};
    const auto decoded = platform::decode_configuration(body.dump());
    REQUIRE(ok(decoded));
    const auto& organisations = value(decoded)->organisations_;
    REQUIRE(organisations);
    REQUIRE(organisations->size() == 2);
    const fleet::organisation& first = organisations->front();
    CHECK(first.keys_ == std::vector<std::string>{"k-1", "k-2"});
    CHECK(first.rank_ == 2);
    CHECK(first.limit_.per_s_ == 4'200);
    CHECK(first.limit_.burst_ == 8'400);
    CHECK(first.limit_.counts_tokens_);
    CHECK(first.limit_.default_tokens_ == 200);
    CHECK(organisations->back().keys_.empty());
    CHECK_FALSE(organisations->back().rank_);
    body["tenants"] = "odd";
    CHECK_FALSE(ok(platform::decode_configuration(body.dump())));
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

namespace {

std::string nested_arrays(int depth) {
    return std::string(std::size_t(depth), '[') + std::string(std::size_t(depth), ']');
}

// An otherwise sound entry with one odd field.
std::string odd_entry(const std::string& field, const std::string& odd) {
    std::string entry = R"({"service":"svc","address":"127.0.0.1:9","state":"ready","slots":4,"born":10,)";
    const std::size_t known = entry.find("\"" + field + "\":");
    if (known != std::string::npos) {
        entry.erase(known, entry.find(',', known) + 1 - known);
    }
    return entry + "\"" + field + "\":" + odd + "}";
}

} // namespace

// Gateways ended, one after the other and again after each start, while one odd entry stood in the registry.
TEST_CASE("platform_odd_entries_name_no_endpoint_and_end_no_process") {
    const std::pair<const char*, std::string> fields[] = {{"models", nested_arrays(100'000)},
                                                          {"extra", nested_arrays(100'000)},
                                                          {"slots", "1e300"},
                                                          {"slots", "-5"},
                                                          {"slots", "1e999"},
                                                          {"slots", "0.5"},
                                                          {"born", "1e300"},
                                                          {"born", "18446744073709551615"},
                                                          {"born", "-1"},
                                                          {"born", "1.5"},
                                                          {"born", "\"early\""},
                                                          {"sequence", "1e300"},
                                                          {"address", "\"127.0.0.1:99999\""},
                                                          {"address", "\"127.0.0.1:0\""},
                                                          {"address", "\"127.0.0.1:-1\""},
                                                          {"state", "true"},
                                                          {"service", nested_arrays(100)}};
    for (const auto& [field, odd] : fields) {
        CAPTURE(std::string(field) + " " + odd.substr(0, 20));
        const std::string entry = odd_entry(field, odd);
        CHECK_FALSE(ok(platform::decode_endpoint("i", entry)));
        CHECK_FALSE(ok(platform::hash_endpoint("i", entry)));
    }
    CHECK(ok(platform::decode_endpoint("i", odd_entry("zone", "7"))));
    CHECK_FALSE(ok(platform::decode_configuration("{\"version\":" + nested_arrays(100'000) + "}")));
    CHECK_FALSE(ok(platform::decode_configuration("{\"version\":1e300}")));
}

// The id of an endpoint is its key in the registry. It was put into the heads of requests as it was.
TEST_CASE("platform_endpoint_id_that_no_header_can_hold_names_no_endpoint") {
    const std::string entry = odd_entry("zone", "\"z1\"");
    for (const std::string& id : {std::string(), std::string("i\r\nX: y"), std::string("i\n"),
                                  std::string("i\0", 2), std::string(" i"), std::string("i\x7f")}) {
        CAPTURE(id);
        CHECK_FALSE(ok(platform::decode_endpoint(id, entry)));
    }
    CHECK(ok(platform::decode_endpoint("i-1 b \xc3\xa9", entry)));
}

// A page of the registry, or a relayed one, with a field of another type ended the process that read it.
TEST_CASE("platform_odd_pages_and_relays_are_rejected_and_end_no_process") {
    const char* pages[] = {R"({"items":[],"has_more":"yes","end":1})", R"({"items":[],"end":"1"})",
                           R"({"items":[{"key":"k","offset":1e300,"value":7}],"end":1e300})",
                           R"({"items":{}})", "[[[["};
    for (const char* page : pages) {
        CAPTURE(page);
        CHECK_FALSE(ok(platform::decode_newest(page)));
    }
    CHECK_FALSE(ok(platform::decode_newest("{\"items\":" + nested_arrays(100'000) + "}")));
    const nlohmann::json relays[] = {{{"topic", 7}},
                                     {{"topic", "t"}, {"from", "0"}},
                                     {{"topic", "t"}, {"records", {{"k", nullptr, 1e300, false}}}},
                                     {{"topic", "t"}, {"records", 5}}};
    for (const nlohmann::json& relay : relays) {
        CAPTURE(relay.dump());
        const auto bytes = nlohmann::json::to_cbor(relay);
        CHECK_FALSE(ok(platform::decode_relay({bytes.begin(), bytes.end()})));
    }
    const std::string deep(200'000, char(0x81)); // arrays of one item, in CBOR
    CHECK_FALSE(ok(platform::decode_relay(deep)));
}

// Decoders of all that other programs write, on sound documents in which bytes and whole pieces are changed.
// More rounds by hand with TAMARACK_MUTATIONS.
TEST_CASE("platform_mutated_documents_end_no_process") {
    const char* asked = std::getenv("TAMARACK_MUTATIONS");
    const std::uint64_t rounds = asked == nullptr ? 20'000 : std::strtoull(asked, nullptr, 10);
    platform::relay_message relay;
    relay.topic_ = "t";
    relay.span_ = {5, 9, {{"k", "v", 6, true}, {"gone", std::nullopt, 8}}, false, 3};
    const std::string sound[] = {
        configuration_text(7), odd_entry("models", R"([{"name":"m","adapters":["a1",{"name":"a2"}]}])"),
        R"({"stage":"hybrid","models":[{"name":"m","adapters":[]}],"busy":false,"sequence":2,"running":12,)"
        R"("runs":[["r",1,0,2]],"born":7,"at_hand":{"in_memory":["m"],"on_disk":[]},"coming":["m/a@1"]})",
        R"({"items":[{"key":"k","offset":3,"value":"e30="}],"has_more":false,"end":4})",
        platform::encode_relay(relay)};
    const std::string pieces[] = {"1e999",
                                  "-1",
                                  "null",
                                  "[[",
                                  "{}",
                                  "\"\"",
                                  "18446744073709551616",
                                  "\xff",
                                  "\x9b\x7f",
                                  "true",
                                  nested_arrays(200)};
    std::mt19937_64 random(1);
    std::size_t accepted = 0;
    for (std::uint64_t round = 0; round < rounds; ++round) {
        std::string document = sound[random() % std::size(sound)];
        for (std::uint64_t change = random() % 4; change > 0; --change) {
            const std::size_t at = random() % (document.size() + 1);
            const std::size_t length = std::min<std::size_t>(random() % 6, document.size() - at);
            const bool whole = random() % 2 == 0;
            document.replace(at, length,
                             whole ? pieces[random() % std::size(pieces)] : std::string(1, char(random())));
        }
        accepted += ok(platform::decode_configuration(document)) ? 1 : 0;
        accepted += ok(platform::decode_endpoint("i", document)) ? 1 : 0;
        accepted += ok(platform::decode_report(document)) ? 1 : 0;
        accepted += ok(platform::decode_newest(document)) ? 1 : 0;
        accepted += ok(platform::decode_relay(document)) ? 1 : 0;
        accepted += ok(platform::decode_read(document, 0)) ? 1 : 0;
        accepted += ok(platform::hash_endpoint("i", document)) ? 1 : 0;
    }
    CHECK(accepted > rounds / 10); // some are sound still
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

// The report of an engine lists the ids of its requests, which clients choose. One that was no UTF-8 made the
// engine look lost.
TEST_CASE("platform_report_with_an_id_that_is_no_utf8_is_decoded") {
    const auto decoded =
        platform::decode_report("{\"running\":3,\"models\":[{\"name\":\"m\"}],\"runs\":[[\"r\xff\",1,0,2]]}");
    REQUIRE(ok(decoded));
    CHECK(value(decoded).running_ == 3);
    CHECK(value(decoded).unread_ == 1);
    CHECK(value(decoded).models_.size() == 1);
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
    order.model_ = fleet::plain_name::parse("m").value();
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
