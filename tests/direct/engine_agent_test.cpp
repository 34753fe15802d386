// The process of an engine's agent, and what it relays.
#include "direct/crowd.hpp"
#include "direct/engine_agent_process.hpp"

namespace tamarack::direct {

namespace {

// An agent that is told of a part of the contract that it does not know.
struct engine_agent_told_of_parts : engine_agent_process {
    engine_agent_told_of_parts()
        : engine_agent_process(nlohmann::json{{"contract_parts", {"base", "sessions"}}}) {}
};

links::gateway_digest make_digest(int models) {
    links::gateway_digest digest;
    digest.from = "a";
    for (int index = 0; index < models; ++index) {
        auto demand = std::make_unique<links::model_demand>();
        demand->model = "m" + std::to_string(index);
        demand->work = index;
        digest.demand.push_back(std::move(demand));
    }
    return digest;
}

} // namespace

// UNASKED, ROUTE, CONFIG, QUOTA: the settings named parts of the contract that nothing kept, and no line said
// so.
TEST_CASE_FIXTURE(engine_agent_told_of_parts,
                  "agent_process_terms_of_the_contract_that_it_does_not_keep_are_named") {
    agent_.signal(SIGHUP); // so that there is a line in any case
    CHECK(agent_.read_line().find(R"("contract_terms_ignored","terms":"sessions")") != std::string::npos);
}

// An agent read beyond the sizes of a placement that named more models than sizes.
TEST_CASE_FIXTURE(engine_agent_process, "agent_process_placement_without_sizes_is_ignored") {
    links::placement_order order;
    order.planner = "a";
    order.load = "m0";
    constexpr int models = 100'000;
    for (int index = 0; index < models; ++index) {
        order.model_names.push_back("m" + std::to_string(index));
    }
    boost::asio::ip::tcp::socket planner = connect("a");
    boost::asio::write(planner, boost::asio::buffer(links::encode(links::make_frame(order))));
    std::string line = agent_.read_line();
    while (!line.empty() && line.find("placement") == std::string::npos) {
        line = agent_.read_line();
    }
    CHECK(line.find("placement_ignored") != std::string::npos);
}

// Fault: a name that is no UTF-8 was written into an order, which ended the agent, and the agents of all
// further engines that were tried.
TEST_CASE("agent_process_names_that_no_order_can_hold_are_refused_and_the_agent_stays") {
    fake_endpoint engine("i-1");
    engine.set_body(R"({"models":[{"name":"m","adapters":[]}],"born":7})");
    engine_agent_process agent(
        nlohmann::json{{"engine", "127.0.0.1:" + std::to_string(engine.address().port())}});
    boost::asio::ip::tcp::socket socket = agent.connect("a");
    links::hello greeting;
    greeting.protocol = links::protocol_version;
    greeting.id = "a";
    greeting.engine = "i-1";
    greeting.engine_incarnation = 7;
    boost::asio::write(socket, boost::asio::buffer(links::encode(links::make_frame(greeting))));
    REQUIRE(gateway_process::eventually([&] { return engine.received_requests().size() > 2; }));
    std::uint64_t number = 0;
    for (const std::string& odd :
         {std::string("\xff\xfe"), std::string("a\n"), std::string(200, 'a'), std::string()}) {
        links::adapter_wanted wanted;
        wanted.number = ++number;
        wanted.model = "m";
        wanted.adapter = odd;
        wanted.most_adapters = 4;
        boost::asio::write(socket, boost::asio::buffer(links::encode(links::make_frame(wanted))));
        links::placement_order order;
        order.planner = "a";
        order.load = odd;
        order.drop = {"m", odd};
        order.model_names = {odd};
        order.model_mb = {1};
        order.adapter_mb = {1};
        order.capacity_mb = 10;
        boost::asio::write(socket, boost::asio::buffer(links::encode(links::make_frame(order))));
    }
    const std::size_t reports = engine.received_requests().size();
    CHECK(gateway_process::eventually([&] { return engine.received_requests().size() > reports + 20; }));
    CHECK(agent.agent_.running());
    for (const std::string& request : engine.received_requests()) {
        CHECK(request.starts_with("GET "));
    }
}

TEST_CASE_FIXTURE(engine_agent_process, "agent_process_settings_reloaded_twice_still_stops_on_sigterm") {
    agent_.signal(SIGHUP);
    REQUIRE(agent_.read_line().find("settings_kept") != std::string::npos);
    agent_.signal(SIGHUP);
    REQUIRE(agent_.read_line().find("settings_kept") != std::string::npos);
    agent_.signal(SIGTERM);
    CHECK(gateway_process::eventually([&] { return !agent_.running(); }));
}

// An agent that relayed for 103 gateways was ended, since what was queued for them exceeded its memory.
TEST_CASE_FIXTURE(engine_agent_process, "agent_process_many_gateways_do_not_read_memory_stays_bounded") {
    constexpr int gateways = 103;
    constexpr std::int64_t memory_limit_kb = 192 * 1024;
    std::vector<boost::asio::ip::tcp::socket> silent;
    for (int index = 0; index < gateways; ++index) {
        silent.push_back(connect("silent-" + std::to_string(index)));
    }
    auto sender = connect("sender");
    links::configuration_relay relay;
    relay.version = 1;
    relay.encoded = std::string(1'000'000, 'x');
    const std::string bytes = links::encode(links::make_frame(relay));
    for (int count = 0; count < 6; ++count) {
        boost::asio::write(sender, boost::asio::buffer(bytes));
    }
    links::hello last;
    last.protocol = links::protocol_version + 1; // the agent closes the link when it has read everything
    boost::asio::write(sender, boost::asio::buffer(links::encode(links::make_frame(last))));
    boost::system::error_code closed;
    char byte = 0;
    while (!closed) {
        sender.read_some(boost::asio::buffer(&byte, 1), closed);
    }
    CHECK(agent_.running());
    CHECK(harness::peak_kb(agent_.pid()) < memory_limit_kb);
}

// Connections that announce large frames and never fill them took more memory than the machine has.
TEST_CASE_FIXTURE(engine_agent_process, "misbehaving_clients_at_the_links_of_an_agent_memory_is_bounded") {
    constexpr int crowd_size = 128;
    constexpr std::int64_t memory_limit_kb = 192 * 1024;
    const shared_text frame = share(unfinished_frame());
    crowd silent;
    silent.play(std::vector<client_plan>(crowd_size, client_plan{port_, frame}), [] {});
    wait_until_idle(agent_.pid(), [] {});
    auto gateway = connect("gateway");
    char byte = 0;
    boost::system::error_code failed;
    CHECK(gateway.read_some(boost::asio::buffer(&byte, 1), failed) == 1);
    CHECK(agent_.running());
    CHECK(harness::peak_kb(agent_.pid()) <= memory_limit_kb);
}

TEST_CASE("digest_many_models_in_demand_brief_one_keeps_the_busiest") {
    const links::gateway_digest brief = links::make_brief(make_digest(100));
    REQUIRE(brief.demand.size() == links::brief_demand_models);
    for (const auto& one : brief.demand) {
        CHECK(one->work >= 100 - double(links::brief_demand_models));
    }
    CHECK(links::make_brief(make_digest(3)).demand.size() == 3);
}

// Control grew with the models times the square of the gateways.
TEST_CASE("digest_large_fleet_brief_one_is_under_a_tenth_of_the_whole") {
    const links::gateway_digest whole = make_digest(100);
    const std::size_t whole_bytes = links::encode(links::make_frame(whole)).size();
    CHECK(10 * links::encode(links::make_frame(links::make_brief(whole))).size() < whole_bytes);
}

} // namespace tamarack::direct
