#include "direct/platform_stand_ins.hpp"
#include "harness/process.hpp"
#include "platform/decode.hpp"
#include "platform/relay.hpp"
#include "tamarack/engine.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace tamarack::direct {

namespace {

using manner = fake_endpoint::manner;

std::string configuration_text(int version) {
    nlohmann::json routes = nlohmann::json::array();
    const auto add = [&](const char* name, const char* kind, int attempts, bool resume) {
        routes.push_back({{"name", name},
                          {"host", "shop.example"},
                          {"path_prefix", std::string("/") + name + "/"},
                          {"kind", kind},
                          {"timeout_ms", 1'500},
                          {"target_latency_ms", 100},
                          {"priority", 1},
                          {"service", "svc"},
                          {"max_attempts", attempts},
                          {"can_resume", resume},
                          {"unknown_field", 1}});
    };
    add("lookup", "safe", 2, false);
    add("booking", "unsafe", 2, false);
    add("chat", "stream", 2, true);
    add("quote", "stream", 2, false);
    const nlohmann::json body = {
        {"version", version},
        {"routes", routes},
        {"services", {{{"name", "svc"}, {"health_path", "/h"}, {"max_connections", 100}}}},
        {"limits", {{"max_header_bytes", 4'096}, {"max_body_bytes", 1'000}}}};
    return body.dump();
}

std::string endpoint_text(const fake_endpoint& endpoint, const char* state = "ready") {
    const nlohmann::json body = {
        {"service", "svc"}, {"address", "127.0.0.1:" + std::to_string(endpoint.address().port())},
        {"zone", "z1"},     {"slots", 4},
        {"state", state},   {"born", 10},
        {"sequence", 1}};
    return body.dump();
}

// A port that nobody listens on at the moment.
std::uint16_t free_port() {
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
    return acceptor.local_endpoint().port();
}

// The gateway as a process, before a stand-in of the store and two endpoints.
struct gateway_process {
    fake_store store_;
    fake_endpoint first_{"i-1"};
    fake_endpoint second_{"i-2"};
    std::uint16_t port_ = free_port();
    std::uint16_t admin_port_ = free_port();
    std::string folder_;
    harness::process process_;

    gateway_process() {
        folder_ = (std::filesystem::temp_directory_path() / ("tamarack-direct-" + std::to_string(::getpid())))
                      .string();
        std::filesystem::create_directories(folder_);
        store_.put("keyed.op", "config", configuration_text(3));
        store_.put("keyed.servers", "bytes", "\xff\xfe no json");
        store_.put("keyed.servers", "fields", R"({"service": "svc", "address": 5})");
        store_.put("keyed.servers", "state",
                   R"({"service":"svc","address":"127.0.0.1:1","slots":1,"state":"odd"})");
        store_.put("keyed.servers", "i-1", endpoint_text(first_));
        store_.put("keyed.servers", "i-2", endpoint_text(second_));
    }

    ~gateway_process() {
        process_.kill();
        std::filesystem::remove_all(folder_);
    }

    void start() {
        const std::string local = "127.0.0.1:";
        const nlohmann::json settings = {{"id", "gateway-1"},
                                         {"data_centre", "z1"},
                                         {"listen", local + std::to_string(port_)},
                                         {"admin", local + std::to_string(admin_port_)},
                                         {"metrics", local + std::to_string(free_port())},
                                         {"store", local + std::to_string(store_.address().port())},
                                         {"agent_port", 1}};
        const std::string path = folder_ + "/settings.json";
        std::ofstream(path) << settings.dump();
        process_ =
            harness::process("build/release/tamarack-gateway", {"--settings=" + path}, folder_ + "/log");
    }

    // A call with a limit, run to its end.
    static result<http::response> call(std::uint16_t port, http::request request) {
        boost::asio::io_context context;
        result<http::response> outcome = error{error_kind::timeout, "not called", ""};
        boost::asio::co_spawn(
            context,
            [&]() -> boost::asio::awaitable<void> {
                outcome = co_await http::fetch(
                    {boost::asio::ip::address_v4::loopback(), port}, request,
                    {std::chrono::milliseconds(2'000), std::chrono::milliseconds(8'000)});
            },
            boost::asio::detached);
        context.run();
        return outcome;
    }

    bool ready() const {
        const auto answer = call(admin_port_, {"GET", "/readyz", {{"Host", "a"}}, ""});
        return ok(answer) && value(answer).status_ == 200;
    }

    // Waits for a condition that a running process must reach.
    template <typename Condition>
    static bool eventually(Condition condition) {
        constexpr int most_looks = 400;
        for (int look = 0; look < most_looks; ++look) {
            if (condition()) {
                return true;
            }
            ::usleep(25'000);
        }
        return false;
    }

    void start_ready() {
        start();
        REQUIRE(eventually([&] { return ready(); }));
        REQUIRE(eventually([&] { return status(request("lookup", "warm-up")) == 200; }));
        first_.set_manners({manner::whole});
        second_.set_manners({manner::whole});
    }

    static http::request request(const std::string& route, const std::string& id) {
        return {
            route == "lookup" ? "GET" : "POST",
            "/" + route + "/x",
            {{"Host", "shop.example"}, {"Tamarackbeam-Request-Id", id}, {"Tamarackbeam-Deadline-Ms", "1200"}},
            route == "lookup" ? "" : "body"};
    }

    int status(const http::request& outgoing) const {
        const auto answer = call(port_, outgoing);
        return ok(answer) ? value(answer).status_ : 0;
    }

    std::size_t arrivals() const { return first_.arrived().size() + second_.arrived().size(); }

    // The same manners at both endpoints, since either may be chosen first.
    void both(std::vector<manner> manners) {
        first_.set_manners(manners);
        second_.set_manners(std::move(manners));
    }
};

struct fault_case {
    const char* name_;
    manner manner_;
    int lookup_;           // status for a request that may be repeated
    int booking_;          // status for one that may not
    std::size_t bookings_; // arrivals of the booking
};

} // namespace

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

TEST_CASE("platform_endpoint_entries_of_other_writers_are_refused") {
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

TEST_CASE("platform_reading_is_relayed_without_loss_and_damage_is_refused") {
    platform::store_reading reading;
    reading.topic_ = "t";
    reading.span_ = {5, 9, {{"k", "v\x01"}, {"gone", std::nullopt}}};
    reading.lost_ago_ms_ = 12;
    const auto decoded = platform::decode_reading(platform::encode_reading(reading));
    REQUIRE(ok(decoded));
    CHECK(value(decoded).topic_ == "t");
    CHECK(value(decoded).span_.from_ == 5);
    CHECK(value(decoded).span_.end_ == 9);
    REQUIRE(value(decoded).span_.records_.size() == 2);
    CHECK(value(decoded).span_.records_[0].value_ == "v\x01");
    CHECK_FALSE(value(decoded).span_.records_[1].value_);
    CHECK_FALSE(ok(platform::decode_reading("damaged")));
}

TEST_CASE("platform_log_bytes_cut_anywhere_are_refused_or_whole") {
    const std::string key_and_value = std::string(1, char(1)) + "kvalue";
    const std::string record = std::string("\0\0\0\7", 4) + key_and_value;
    const std::string header = std::string(7, '\0') + char(2) + std::string(8, '\0');
    const std::string whole = header + record + record;
    REQUIRE(ok(platform::decode_read(whole)));
    CHECK(value(platform::decode_read(whole)).records_.size() == 2);
    for (std::size_t length = 0; length < whole.size(); ++length) {
        const auto decoded = platform::decode_read(std::string_view(whole).substr(0, length));
        const bool at_a_border = length == header.size() || length == header.size() + record.size();
        CHECK(ok(decoded) == at_a_border);
    }
}

namespace {

// Two sources on one store, each of which takes what the other relays.
struct relaying_sources {
    struct side {
        std::unique_ptr<fleet::fleet_source> source_;
        std::set<std::string> endpoints_;
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

    void connect(side& one, side& other) {
        fleet::fleet_events handlers;
        handlers.configuration_ = [](auto, const auto&) {};
        handlers.endpoints_ = [&one](const std::vector<fleet::endpoint_change>& changes) {
            for (const fleet::endpoint_change& change : changes) {
                if (const auto* record = std::get_if<fleet::endpoint_record>(&change)) {
                    one.endpoints_.insert(record->id_);
                } else {
                    one.endpoints_.erase(std::get<fleet::endpoint_removed>(change).id_);
                }
            }
        };
        handlers.registry_ = [](bool) {};
        handlers.relay_ = [&other](const std::string& bytes) { other.source_->take_relayed(bytes); };
        handlers.skipped_ = [](const error&) {};
        one.source_ = (*registry<fleet::fleet_source_factory>::instance().find("log-store"))(
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
        reader.source_->set_reads(true, true);
        listener.source_->set_reads(false, false);
    }
};

} // namespace

TEST_CASE_FIXTURE(relaying_sources,
                  "sources_reader_changes_while_an_endpoint_is_away_both_learn_of_its_return") {
    const auto known = [this](const std::string& id) {
        return first_.endpoints_.contains(id) && second_.endpoints_.contains(id);
    };
    REQUIRE(eventually([&] { return known("i-1"); }));
    // A heartbeat that the later reader has read; the entry after it shows when.
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

TEST_CASE("agent_process_told_to_read_its_settings_twice_still_stops_when_told_to") {
    const std::string folder =
        (std::filesystem::temp_directory_path() / ("tamarack-agent-" + std::to_string(::getpid()))).string();
    std::filesystem::create_directories(folder);
    const std::string local = "127.0.0.1:";
    const nlohmann::json settings = {{"id", "agent-1"},
                                     {"listen", local + std::to_string(free_port())},
                                     {"metrics", local + std::to_string(free_port())},
                                     {"engine", local + std::to_string(free_port())}};
    const std::string path = folder + "/settings.json";
    std::ofstream(path) << settings.dump();
    harness::process agent("build/release/tamarack-engine-agent", {"--settings=" + path}, folder + "/log");
    REQUIRE(agent.read_line().find("started") != std::string::npos);
    agent.signal(SIGHUP);
    REQUIRE(agent.read_line().find("settings_kept") != std::string::npos);
    agent.signal(SIGHUP);
    REQUIRE(agent.read_line().find("settings_kept") != std::string::npos);
    agent.signal(SIGTERM);
    CHECK(gateway_process::eventually([&] { return !agent.running(); }));
    std::filesystem::remove_all(folder);
}

TEST_CASE("engine_port_order_without_answer_is_given_up_in_time_to_repeat_it_for_a_waiting_request") {
    constexpr time_ms adapter_limit_ms = 1'200; // in which an adapter must become resident
    fake_endpoint engine("i-1");
    engine.set_manners({manner::silent});
    boost::asio::io_context context;
    const auto port =
        (*registry<engine::port_factory>::instance().find("log-store"))(context, engine.address());
    engine::order one;
    one.model_ = "m";
    one.engine_ = "i-1";
    std::optional<engine::order_answer> answer;
    const time_ms began = steady_now_ms();
    port->give(one, [&](engine::order_answer given) {
        answer = given;
        context.stop();
    });
    context.run();
    CHECK(answer == engine::order_answer::unknown);
    CHECK(steady_now_ms() - began < adapter_limit_ms / 2);
}

TEST_CASE_FIXTURE(gateway_process, "direct_path_faults_of_an_endpoint_table_of_answers") {
    start_ready();
    const fault_case cases[] = {
        {"whole answer", manner::whole, 200, 200, 1},
        {"late answer to another request first", manner::foreign_first, 200, 200, 1},
        {"truncated answer", manner::truncated, 502, 502, 1},
        {"connection reset", manner::reset, 502, 502, 1},
        {"not run", manner::not_run, 503, 503, 2},
        {"success without a stamp", manner::unstamped, 502, 502, 1},
        {"stamped failure", manner::failing, 500, 500, 1},
        {"bytes that are no answer", manner::garbage, 502, 502, 1},
        {"silence until the deadline", manner::silent, 504, 504, 1},
    };
    for (const fault_case& one : cases) {
        CAPTURE(one.name_);
        both({one.manner_});
        CHECK(status(request("lookup", "r-lookup")) == one.lookup_);
        both({one.manner_});
        CHECK(status(request("booking", "r-booking")) == one.booking_);
        CHECK(arrivals() == one.bookings_);
    }
}

TEST_CASE_FIXTURE(gateway_process,
                  "direct_path_endpoint_without_sign_of_life_lookup_goes_on_in_half_a_clients_patience") {
    constexpr time_ms patience_ms = 2'000;
    start_ready();
    first_.set_manners({manner::silent});
    constexpr int most_lookups = 50;
    for (int lookup = 0; lookup < most_lookups && first_.arrived().empty(); ++lookup) {
        const time_ms began = steady_now_ms();
        CHECK(status(request("lookup", "r-" + std::to_string(lookup))) == 200);
        CHECK(steady_now_ms() - began < patience_ms / 2);
    }
    CHECK_FALSE(first_.arrived().empty());
}

TEST_CASE_FIXTURE(gateway_process, "direct_path_one_endpoint_breaks_lookup_goes_on_and_booking_does_not") {
    start_ready();
    first_.set_manners({manner::reset});
    second_.set_manners({manner::whole});
    int bookings_failed = 0;
    for (int attempt = 0; attempt < 20; ++attempt) {
        CHECK(status(request("lookup", "l-" + std::to_string(attempt))) == 200);
        bookings_failed += status(request("booking", "b-" + std::to_string(attempt))) == 200 ? 0 : 1;
    }
    std::map<std::string, int> runs;
    for (const fake_endpoint* endpoint : {&first_, &second_}) {
        for (const std::string& arrived : endpoint->arrived()) {
            const std::size_t at = arrived.find("Request-Id: b-");
            if (at != std::string::npos) {
                ++runs[arrived.substr(at, arrived.find('\r', at) - at)];
            }
        }
    }
    for (const auto& [id, count] : runs) {
        CAPTURE(id);
        CHECK(count == 1);
    }
    CHECK(bookings_failed < 20);
}

TEST_CASE_FIXTURE(gateway_process, "direct_path_resumable_stream_is_cut_client_gets_each_event_once") {
    start_ready();
    both({manner::cut_stream, manner::whole_stream});
    // Whichever endpoint is first cuts; the other one must go on after the last whole event.
    first_.set_manners({manner::cut_stream});
    second_.set_manners({manner::cut_stream, manner::whole_stream});
    std::string expected;
    for (int id = 1; id <= 5; ++id) {
        expected += "id: " + std::to_string(id) + "\ndata: word\n\n";
    }
    const auto answer = call(port_, request("chat", "s-1"));
    const std::string got = ok(answer) ? value(answer).body_ : "interrupted";
    // Two cuts use up both attempts: then the stream must end as incomplete, never as a shorter whole one.
    CHECK((got == expected || got == "interrupted"));
    both({manner::whole_stream});
    const auto whole = call(port_, request("chat", "s-2"));
    REQUIRE(ok(whole));
    CHECK(value(whole).body_ == expected);
}

TEST_CASE_FIXTURE(gateway_process, "direct_path_stream_that_may_not_resume_is_cut_once_and_not_sent_again") {
    start_ready();
    both({manner::cut_stream});
    CHECK_FALSE(ok(call(port_, request("quote", "s-1"))));
    CHECK(arrivals() == 1);
}

TEST_CASE_FIXTURE(gateway_process, "direct_path_no_route_404_no_id_400_long_body_413_and_no_endpoint_503") {
    start_ready();
    CHECK(status(request("nowhere", "r-1")) == 404);
    http::request unnamed = request("lookup", "r-2");
    unnamed.headers_.erase(unnamed.headers_.begin() + 1);
    CHECK(status(unnamed) == 400);
    http::request longer = request("booking", "r-3");
    longer.body_ = std::string(2'000, 'x');
    CHECK(status(longer) == 413);
    CHECK(arrivals() == 0);
    store_.drop("keyed.servers", "i-1");
    store_.drop("keyed.servers", "i-2");
    CHECK(eventually([&] { return status(request("lookup", "r-4")) == 503; }));
}

TEST_CASE_FIXTURE(gateway_process,
                  "direct_path_store_faults_configuration_stays_and_newer_one_comes_with_its_return") {
    start_ready();
    for (const auto fault : {fake_store::fault::busy, fake_store::fault::limited, fake_store::fault::silent,
                             fake_store::fault::truncated, fake_store::fault::expired}) {
        CAPTURE(int(fault));
        store_.set_fault(fault);
        const int calls = store_.calls();
        REQUIRE(eventually([&] { return store_.calls() > calls + 1; }));
        CHECK(status(request("lookup", "during")) == 200);
    }
    nlohmann::json next = nlohmann::json::parse(configuration_text(9));
    next["routes"].erase(0);
    store_.put("keyed.op", "config", next.dump());
    store_.put("keyed.op", "config", configuration_text(5)); // older versions never return
    store_.set_fault(fake_store::fault::none);
    // The log holds version 5 last; a process that has seen 9 in between stays there, others take 5.
    CHECK(eventually([&] { return ready(); }));
    CHECK(status(request("booking", "after")) == 200);
}

TEST_CASE_FIXTURE(gateway_process, "direct_path_endpoint_leaves_it_gets_no_new_requests_within_the_bound") {
    start_ready();
    nlohmann::json leaving = nlohmann::json::parse(endpoint_text(first_, "draining"));
    leaving["sequence"] = 2;
    store_.put("keyed.servers", "i-1", leaving.dump());
    REQUIRE(eventually([&] {
        first_.set_manners({manner::whole});
        for (int attempt = 0; attempt < 8; ++attempt) {
            status(request("lookup", "probe"));
        }
        return first_.arrived().empty();
    }));
}

TEST_CASE_FIXTURE(gateway_process, "direct_path_told_to_stop_turns_unready_and_exits_in_order") {
    start_ready();
    process_.signal(SIGTERM);
    CHECK(eventually([&] { return !ready(); }));
    CHECK(process_.wait() == 0);
}

TEST_CASE_FIXTURE(gateway_process, "direct_path_store_unknown_from_the_start_answers_503_and_is_not_ready") {
    store_.set_fault(fake_store::fault::busy);
    start();
    REQUIRE(eventually([&] { return status(request("lookup", "early")) == 503; }));
    CHECK_FALSE(ready());
    store_.set_fault(fake_store::fault::none);
    CHECK(eventually([&] { return ready(); }));
}

} // namespace tamarack::direct
