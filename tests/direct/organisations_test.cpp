// Keys and names of organisations at one gateway process: which requests are taken, and what endpoints
// receive.
#include "direct/gateway_process.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <cctype>
#include <sstream>

namespace tamarack::direct {

namespace {

using nlohmann::json;

constexpr int config_ms = 3'000; // time within which a version takes effect
constexpr std::size_t max_header_bytes = 16 * 1'024;

const std::string valid_key = "valid5f0c2a91d7e4b386";
const std::string second_key = "second81b6e0d39f5a7c24";
const std::string other_key = "other3c9d72e1f8a0465b";
const std::string added_key = "added6e2b90c4d1f7a853";
const std::string limited_key = "limited07a4f8e2c6b91d35";
const std::string unknown_key = "unknowna95d3e7f12b08c64";
const std::string long_key = "longb7d1" + std::string(8 * 1'024, 'k');

// The first bytes of all keys, so that a key that was cut short is found too.
std::vector<std::string> secrets() {
    constexpr std::size_t first_bytes = 12;
    std::vector<std::string> all;
    for (const std::string& key :
         {valid_key, second_key, other_key, added_key, limited_key, unknown_key, long_key}) {
        all.push_back(key.substr(0, first_bytes));
    }
    return all;
}

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return char(std::tolower(letter)); });
    return text;
}

bool contains_key(const std::string& text) {
    const std::string searched = lower(text);
    const std::vector<std::string> keys = secrets();
    return std::any_of(keys.begin(), keys.end(),
                       [&](const std::string& key) { return searched.find(key) != std::string::npos; });
}

bool contains_key_header(const std::string& text) {
    return lower(text).find("x-api-key") != std::string::npos;
}

// Values of a header in the head of a message, whatever the case of its name's letters.
std::vector<std::string> values_of(const std::string& message, const std::string& name) {
    std::vector<std::string> values;
    std::istringstream lines(message.substr(0, message.find("\r\n\r\n")));
    for (std::string line; std::getline(lines, line);) {
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos && lower(line.substr(0, colon)) == lower(name)) {
            const std::size_t begin = line.find_first_not_of(' ', colon + 1);
            const std::size_t end = line.find_last_not_of(" \r");
            values.push_back(begin == std::string::npos || end < begin ? ""
                                                                       : line.substr(begin, end - begin + 1));
        }
    }
    return values;
}

using organisation_keys = std::vector<std::pair<std::string, std::vector<std::string>>>;

// The configuration of the other tests, with a public route and these organisations.
json with_organisations(int version, const organisation_keys& organisations) {
    json body = json::parse(configuration_text(version, max_header_bytes, 100'000));
    json open = body["routes"][1];
    open["name"] = "open";
    open["path_prefix"] = "/open/";
    open["public"] = true;
    body["routes"].push_back(open);
    body["tenants"] = json::array();
    for (const auto& [name, keys] : organisations) {
        body["tenants"].push_back({{"name", name}, {"api_keys", keys}, {"priority", 1}});
    }
    return body;
}

// A connection of a client that writes its bytes itself and keeps the connection.
class raw_client {
public:
    explicit raw_client(std::uint16_t port) : socket_(context_) {
        socket_.connect({boost::asio::ip::address_v4::loopback(), port});
    }

    // Returns the bytes of the response; what came of it if it is not complete within 4 s.
    std::string call(const std::string& bytes) {
        std::string received;
        char part[4'096];
        bool ended = false;
        boost::system::error_code failed;
        boost::asio::write(socket_, boost::asio::buffer(bytes), failed);
        while (!ended && !complete(received)) {
            context_.restart();
            ended = true;
            socket_.async_read_some(boost::asio::buffer(part),
                                    [&](boost::system::error_code error, std::size_t count) {
                                        received.append(part, count);
                                        ended = bool(error);
                                    });
            context_.run_for(std::chrono::seconds(4));
            if (!context_.stopped()) {
                socket_.cancel();
                context_.run();
                ended = true;
            }
        }
        return received;
    }

private:
    static bool complete(const std::string& received) {
        const std::size_t head = received.find("\r\n\r\n");
        if (head == std::string::npos) {
            return false;
        }
        if (const auto length = values_of(received, "Content-Length"); !length.empty()) {
            return received.size() >= head + 4 + std::stoul(length.front());
        }
        return received.ends_with("\r\n0\r\n\r\n");
    }

    boost::asio::io_context context_{1};
    boost::asio::ip::tcp::socket socket_;
};

int status_of(const std::string& response) {
    constexpr std::size_t status_at = std::string_view("HTTP/1.1 ").size();
    return response.size() < status_at + 3 ? 0 : std::stoi(response.substr(status_at, 3));
}

struct organisations_fixture : gateway_process {
    int version_ = 3;
    int next_id_ = 1;
    std::string responses_; // of all requests

    organisations_fixture() { put({{"o-1", {valid_key, second_key}}, {"o-2", {other_key}}}); }

    void put_version(const json& body) { store_.put("keyed.op", "config", body.dump()); }
    void put(const organisation_keys& organisations) {
        version_ += 3;
        put_version(with_organisations(version_, organisations));
    }

    void start_with_keys() {
        start();
        REQUIRE(eventually([&] { return ready(); }));
        REQUIRE(eventually([&] { return status_with("lookup", valid_key) == 200; }));
        set_behaviours_of_both({behaviour::complete});
    }

    std::string head(const std::string& route, const std::string& fields) {
        return (route == "lookup" ? "GET /" : "POST /") + route +
               "/x HTTP/1.1\r\nHost: shop.example\r\nTamarackbeam-Request-Id: o-" +
               std::to_string(next_id_++) + "\r\nTamarackbeam-Deadline-Ms: 1200\r\n" + fields + "\r\n";
    }

    std::string send(const std::string& bytes) {
        const std::string response = raw_client(port_).call(bytes);
        responses_ += response;
        return response;
    }

    int status_with(const std::string& route, const std::string& key) {
        return status_of(send(head(route, "X-Api-Key: " + key + "\r\n")));
    }

    std::vector<std::string> received() const {
        std::vector<std::string> all = first_.received_requests();
        const std::vector<std::string> others = second_.received_requests();
        all.insert(all.end(), others.begin(), others.end());
        return all;
    }

    // Whether each of the requests that endpoints received names this organisation alone, or none, and has no
    // key.
    bool received_as(const std::string& organisation) const {
        const std::vector<std::string> requests = received();
        const std::vector<std::string> expected =
            organisation.empty() ? std::vector<std::string>() : std::vector<std::string>{organisation};
        return std::all_of(requests.begin(), requests.end(), [&](const std::string& request) {
            return values_of(request, "Tamarackbeam-Tenant") == expected && !contains_key(request) &&
                   !contains_key_header(request);
        });
    }

    // Whether the condition holds within the time that a version has to take effect.
    template <typename Condition>
    static bool in_time(Condition condition) {
        const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(config_ms);
        while (!condition()) {
            if (std::chrono::steady_clock::now() > until) {
                return false;
            }
            ::usleep(25'000);
        }
        return true;
    }

    std::string log() const {
        std::ifstream file(folder_ + "/log");
        return {std::istreambuf_iterator<char>(file), {}};
    }
};

struct key_case {
    std::string name_;
    const char* route_;
    std::string fields_; // header lines
    int status_;
    const char* organisation_; // that endpoints are told; empty for none
    std::string body_;         // with the fields for it
};

std::vector<key_case> key_cases() {
    const std::string key = "X-Api-Key: ";
    const std::string end = "\r\n";
    const std::string valid = key + valid_key + end;
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string trailed = "4\r\nbody\r\n0\r\nX-Api-Key: ";
    return {
        {"no key", "lookup", "", 401, "", ""},
        {"key", "lookup", valid, 200, "o-1", ""},
        {"second key", "booking", key + second_key + end, 200, "o-1", ""},
        {"key of another organisation", "lookup", key + other_key + end, 200, "o-2", ""},
        {"unknown key", "lookup", key + unknown_key + end, 401, "", ""},
        {"unknown key of a booking", "booking", key + unknown_key + end, 401, "", ""},
        {"unknown key of a stream", "chat", key + unknown_key + end, 401, "", ""},
        {"empty key", "lookup", key + end, 401, "", ""},
        {"key of 8 KB", "lookup", key + long_key + end, 401, "", ""},
        {"first part of a key", "lookup", key + valid_key.substr(0, 20) + end, 401, "", ""},
        {"longer than a key", "lookup", key + valid_key + "0" + end, 401, "", ""},
        {"capital letters of a key", "lookup", "X-Api-Key: VALID5F0C2A91D7E4B386" + end, 401, "", ""},
        {"scheme before a key", "lookup", key + "Bearer " + valid_key + end, 401, "", ""},
        {"two keys in one header", "lookup", key + valid_key + ", " + second_key + end, 401, "", ""},
        {"two headers, the second unknown", "lookup", valid + key + unknown_key + end, 401, "", ""},
        {"two headers, the first unknown", "lookup", key + unknown_key + end + valid, 401, "", ""},
        {"two headers of two organisations", "lookup", valid + key + other_key + end, 401, "", ""},
        {"name in odd case", "lookup", "x-aPI-kEY: " + valid_key + end, 200, "o-1", ""},
        {"spaces around a key", "lookup", "X-Api-Key:  " + valid_key + "  \r\n", 200, "o-1", ""},
        {"header of a connection", "lookup", valid + "Connection: X-Api-Key\r\n", 200, "o-1", ""},
        {"header of a connection in odd case", "lookup", "Connection: x-api-key\r\n" + valid, 200, "o-1", ""},
        {"organisation header of a connection", "lookup",
         valid + "Connection: Tamarackbeam-Tenant\r\nTamarackbeam-Tenant: o-2\r\n", 200, "o-1", ""},
        {"key in another header", "lookup", "Authorization: " + valid_key + end, 401, "", ""},
        {"own organisation header", "lookup", valid + "Tamarackbeam-Tenant: o-2\r\n", 200, "o-1", ""},
        {"own organisation header in odd case", "lookup", "tamarackBEAM-tenant: o-2\r\n" + valid, 200, "o-1",
         ""},
        {"own organisation headers, several", "booking",
         "Tamarackbeam-Tenant: o-2\r\n" + valid + "TAMARACKBEAM-TENANT: o-3\r\n", 200, "o-1", ""},
        {"organisation header without a key", "lookup", "Tamarackbeam-Tenant: o-1\r\n", 401, "", ""},
        {"public route without a key", "open", "", 200, "", ""},
        {"public route, unknown key", "open", key + unknown_key + end, 200, "", ""},
        {"public route, empty key", "open", key + end, 200, "", ""},
        {"public route, two headers", "open", key + unknown_key + end + key + other_key + end, 200, "", ""},
        {"public route, own organisation header", "open", "tamarackbeam-Tenant: o-2\r\n", 200, "", ""},
        {"public route, own organisation header and key", "open",
         "Tamarackbeam-Tenant: o-2\r\n" + key + unknown_key + end, 200, "", ""},
        {"no route", "nowhere", valid, 404, "", ""},
        {"key in the trailer alone", "booking", chunked, 401, "", trailed + valid_key + "\r\n\r\n"},
        {"key, and another in the trailer", "booking", valid + chunked, 200, "o-1",
         trailed + other_key + "\r\n\r\n"},
        {"organisation in the trailer", "booking", valid + chunked, 200, "o-1",
         "4\r\nbody\r\n0\r\nTamarackbeam-Tenant: o-2\r\n\r\n"},
    };
}

} // namespace

// UNASKED, ROUTE: endpoints got requests with the client's key and without the name of its organisation, and
// requests with unknown keys or none ran.
TEST_CASE_FIXTURE(organisations_fixture,
                  "organisations_key_of_a_request_decides_its_status_and_what_endpoints_receive") {
    start_with_keys();
    for (const key_case& one : key_cases()) {
        CAPTURE(one.name_);
        set_behaviours_of_both({behaviour::complete});
        const int status = status_of(send(head(one.route_, one.fields_) + one.body_));
        CHECK(status == one.status_);
        CHECK(received_count() == (one.status_ == 200 ? 1 : 0));
        CHECK(received_as(one.organisation_));
    }
}

// UNASKED: a further attempt is built anew, and must not fall back on what the client sent.
TEST_CASE_FIXTURE(organisations_fixture,
                  "organisations_further_attempts_bear_the_name_of_the_organisation_and_no_key") {
    start_with_keys();
    const std::string fields = "X-Api-Key: " + other_key + "\r\nTamarackbeam-Tenant: o-1\r\n";
    struct attempt_case {
        std::string name_;
        const char* route_;
        std::string fields_;
        behaviour behaviour_;
        std::size_t attempts_; // least number
    };
    const attempt_case cases[] = {
        {"rejection", "lookup", fields, behaviour::not_run, 2},
        {"rejection of a booking", "booking", fields, behaviour::not_run, 2},
        {"reset", "lookup", fields, behaviour::reset, 2},
        {"stream that is resumed", "chat", fields, behaviour::truncated_stream, 2},
        {"stream that its client resumes", "chat", fields + "Last-Event-Id: 2\r\n",
         behaviour::complete_stream, 1},
    };
    for (const attempt_case& one : cases) {
        CAPTURE(one.name_);
        set_behaviours_of_both({one.behaviour_});
        send(head(one.route_, one.fields_));
        CHECK(received_count() >= one.attempts_);
        CHECK(received_as("o-2"));
    }
}

// CONFIG: requests with keys that had been taken away ran, also on connections that were open before.
TEST_CASE_FIXTURE(organisations_fixture, "organisations_key_revoked_by_a_version_is_refused_in_time") {
    start_with_keys();
    const auto with = [this](const std::string& key) { return head("lookup", "X-Api-Key: " + key + "\r\n"); };
    raw_client connected(port_);
    CHECK(status_of(connected.call(with(other_key))) == 200);
    put({{"o-1", {valid_key}}, {"o-2", {added_key}}});
    bool others_served = true;
    CHECK(in_time([&] {
        others_served = others_served && status_with("lookup", valid_key) == 200;
        return status_with("lookup", other_key) == 401;
    }));
    CHECK(others_served);
    set_behaviours_of_both({behaviour::complete});
    CHECK(status_of(connected.call(with(other_key))) == 401);
    CHECK(status_with("lookup", second_key) == 401);
    CHECK(received_count() == 0);
    CHECK(status_with("lookup", added_key) == 200);
    CHECK(received_count() == 1);
    CHECK(received_as("o-2"));

    // A key that another organisation gets bears that one's name.
    put({{"o-1", {valid_key}}, {"o-2", {}}, {"o-3", {added_key}}});
    CHECK(in_time([&] {
        set_behaviours_of_both({behaviour::complete});
        return status_with("lookup", added_key) == 200 && received_as("o-3");
    }));

    // All keys of all organisations are taken away, and a list without organisations is not one for
    // everybody.
    put({{"o-1", {}}, {"o-3", {}}});
    CHECK(in_time([&] { return status_with("lookup", valid_key) == 401; }));
    CHECK(status_with("lookup", added_key) == 401);
    put(organisation_keys());
    ::usleep(config_ms * 1'000);
    CHECK(status_with("lookup", valid_key) == 401);
    CHECK(status_of(send(head("open", ""))) == 200);
}

// CONFIG: a gateway out of touch with the store served keys that had been taken away, where a limit for that
// was set; without one, a lost store must not end what can be served.
TEST_CASE_FIXTURE(organisations_fixture,
                  "organisations_keys_while_the_store_is_away_follow_the_revocation_rule") {
    constexpr int limit_ms = 3'000;
    for (const bool strict : {false, true}) {
        CAPTURE(strict);
        further_settings_ = {{"strict_revocation", strict}, {"revocation_limit_ms", limit_ms}};
        start_with_keys();
        store_.set_fault(fake_store::fault::busy);
        ::usleep(1'500'000); // longer than a waiting read, which would return the next version
        put({{"o-2", {other_key}}});
        ::usleep((limit_ms + 500) * 1'000);
        set_behaviours_of_both({behaviour::complete});
        for (const std::string& key : {valid_key, other_key}) {
            const std::string response = send(head("lookup", "X-Api-Key: " + key + "\r\n"));
            CHECK(status_of(response) == (strict ? 503 : 200));
            CHECK(values_of(response, "Retry-After").size() == (strict ? 1 : 0));
        }
        CHECK(status_with("lookup", unknown_key) == 503);
        CHECK(received_count() == (strict ? 0 : 2));
        CHECK(status_of(send(head("open", ""))) == 200);
        store_.set_fault(fake_store::fault::none);
        CHECK(in_time([&] { return status_with("lookup", other_key) == 200; }));
        CHECK(in_time([&] { return status_with("lookup", valid_key) == 401; }));
        put({{"o-1", {valid_key}}, {"o-2", {other_key}}});
        process_.kill();
    }
}

// CONFIG, ROUTE: a request must be judged by the keys and the routes of one version.
TEST_CASE_FIXTURE(organisations_fixture, "organisations_key_and_route_of_one_version_take_effect_together") {
    start_with_keys();
    json changed = with_organisations(version_ + 3, {{"o-1", {added_key}}});
    changed["routes"][0]["name"] = "moved";
    changed["routes"][0]["path_prefix"] = "/moved/";
    put_version(changed);
    bool mixed = false;
    CHECK(in_time([&] {
        mixed = mixed || status_with("lookup", added_key) == 200 || status_with("moved", valid_key) == 200;
        return status_with("moved", added_key) == 200;
    }));
    CHECK_FALSE(mixed);
    CHECK(status_with("lookup", added_key) == 404);
    CHECK(status_with("moved", valid_key) == 401);
    CHECK(status_with("lookup", valid_key) != 200);
}

// QUOTA: no limit of an organisation was kept.
TEST_CASE_FIXTURE(organisations_fixture,
                  "organisations_limit_of_tokens_is_passed_requests_are_refused_with_retry_after") {
    constexpr int requests = 40;
    constexpr int tokens = 100; // of each request
    constexpr int burst = 500;
    json limited = with_organisations(version_ + 3, {{"o-1", {valid_key}}, {"o-2", {limited_key}}});
    json& organisation = limited["tenants"][1];
    organisation["unit"] = "tokens";
    organisation["plain_tokens"] = tokens;
    organisation["rate_per_s"] = 10;
    organisation["burst"] = burst;
    put_version(limited);
    start_with_keys();
    int served = 0;
    int refused = 0;
    for (int number = 0; number < requests; ++number) {
        // Half of the requests say how many tokens they have.
        const std::string usage = number % 2 == 0 ? "" : "Tamarackbeam-Token-Usage: 60,40\r\n";
        const std::string response = send(head("booking", "X-Api-Key: " + limited_key + "\r\n" + usage));
        served += status_of(response) == 200 ? 1 : 0;
        if (status_of(response) == 429) {
            const auto after = values_of(response, "Retry-After");
            ++refused;
            REQUIRE(after.size() == 1);
            CHECK(std::stod(after.front()) > 0);
        }
    }
    CHECK(served >= 1);
    CHECK(served * tokens <= 2 * burst);
    CHECK(served + refused == requests);
    CHECK(received_count() == std::size_t(served));
    CHECK(status_with("booking", valid_key) == 200);
}

// A key gives access, so whoever reads logs or metrics must not learn one.
TEST_CASE_FIXTURE(organisations_fixture, "organisations_keys_of_all_cases_appear_in_no_output") {
    start_with_keys();
    const auto text_of = [](std::uint16_t port, const std::string& path) {
        return raw_client(port).call("GET " + path + " HTTP/1.1\r\nHost: a\r\nX-Api-Key: " + valid_key +
                                     "\r\n\r\n");
    };
    for (const behaviour one : {behaviour::complete, behaviour::not_run, behaviour::reset, behaviour::garbage,
                                behaviour::server_error}) {
        set_behaviours_of_both({one});
        for (const key_case& current : key_cases()) {
            send(head(current.route_, current.fields_) + current.body_);
        }
    }
    // Heads and bodies that are refused for other reasons.
    const std::string key = "X-Api-Key: " + valid_key + "\r\n";
    send("GET /lookup/x HTTP/1.1\r\nHost: shop.example\r\n" + key + "\r\n");
    send(head("booking", key + "Content-Length: 200000\r\n"));
    send(head("lookup", key + "X-Long: " + std::string(max_header_bytes, 'x') + "\r\n"));
    send("GET /lookup/x HTTP/1.1\r\n" + key + "no field\r\n\r\n");
    const std::string ready = text_of(admin_port_, "/readyz");
    const std::string metrics = text_of(metrics_port_, "/metrics");
    put({{"o-1", {valid_key}}});
    ::usleep(config_ms * 1'000);
    process_.signal(SIGTERM);
    process_.wait();
    CHECK(status_of(ready) == 200);
    CHECK(metrics.find("tamarack_") != std::string::npos);
    CHECK_FALSE(log().empty());
    CHECK_FALSE(contains_key(ready));
    CHECK_FALSE(contains_key(metrics));
    CHECK_FALSE(contains_key(responses_));
    CHECK_FALSE(contains_key(log()));
}

} // namespace tamarack::direct
