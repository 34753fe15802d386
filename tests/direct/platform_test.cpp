#include "direct/gateway_process.hpp"
#include "direct/odd_documents.hpp"
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
