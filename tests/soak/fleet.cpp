#include "soak/fleet.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <unistd.h>

namespace tamarack::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;

namespace {

constexpr int first_endpoint_host = 11; // endpoints stand at 127.0.0.11 and up, each with its agent

tcp::endpoint at(std::uint32_t host, std::uint16_t port) {
    constexpr std::uint32_t loopback_network = 0x7f000000;
    return {asio::ip::address_v4(loopback_network + host), port};
}

tcp::endpoint local(std::uint16_t port) {
    return at(1, port);
}

std::string text_of(const tcp::endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// A port that nobody has, below those that connections take, so that it stays free while its process is down.
std::uint16_t free_port(std::uint32_t host) {
    constexpr std::uint16_t first = 20'000;
    constexpr std::uint16_t count = 12'000;
    static std::uint16_t next = std::uint16_t(::getpid() * 97 % count);
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::v4());
    boost::system::error_code taken;
    do {
        next = std::uint16_t((next + 1) % count);
        acceptor.bind(at(host, std::uint16_t(first + next)), taken);
    } while (taken);
    return std::uint16_t(first + next);
}

std::string model_name(int number) {
    return "m" + std::to_string(number);
}

json route(const char* name, const char* kind, const char* service, bool resumes) {
    return {{"name", name},      {"host", "soak.example"}, {"path_prefix", std::string("/") + name + "/"},
            {"kind", kind},      {"timeout_ms", 3'000},    {"target_latency_ms", 300},
            {"gap_aim_ms", 300}, {"priority", 1},          {"service", service},
            {"max_attempts", 2}, {"can_resume", resumes}};
}

constexpr std::size_t short_body_bytes = 100'000;
constexpr std::size_t long_body_bytes = 4'000'000;

json configuration_of(int version, std::size_t max_body_bytes) {
    json models = json::array();
    for (int model = 0; model < model_count; ++model) {
        models.push_back({{"name", model_name(model)},
                          {"weights_mb", model_mb},
                          {"load_time_s", double(store_load_ms) / 1'000},
                          {"disk_s", double(disk_load_ms) / 1'000},
                          {"warm_s", double(disk_load_ms) / 1'000},
                          {"adapters", adapters_per_model},
                          {"adapter_mb", adapter_mb}});
    }
    const json engine = {{"slots", 16},      {"kv_tokens", 100'000},           {"weights_mb", engine_mb},
                         {"loads_per_s", 2}, {"adapter_slots", adapter_slots}, {"models", models}};
    return {
        {"version", version},
        {"routes",
         {route("lookup", "safe", "plain", false), route("booking", "unsafe", "plain", false),
          route("chat", "stream", "engines", true), route("quote", "stream", "engines", false)}},
        {"services",
         {{{"name", "plain"}, {"health_path", "/healthz"}, {"max_connections", 100}},
          {{"name", "engines"}, {"health_path", "/healthz"}, {"max_connections", 200}, {"engine", engine}}}},
        {"limits", {{"max_header_bytes", 8'192}, {"max_body_bytes", max_body_bytes}}}};
}

} // namespace

void fleet_process::start() {
    process_ = harness::process(program_, {"--settings=" + settings_}, log_, true);
    expected_ = true;
    paused_ = false;
}

fleet::fleet(asio::io_context& context, referee& judge, std::string folder, std::uint64_t seed,
             fleet_size size)
    : context_(context), folder_(std::move(folder)),
      max_body_bytes_(size.long_bodies_ ? long_body_bytes : short_body_bytes) {
    std::filesystem::create_directories(folder_);
    agent_port_ = free_port(first_endpoint_host);
    if (size.organisations_) {
        organisations_.emplace(seed);
        for (const organisation& one : organisations_->all()) {
            for (const std::string& key : one.keys_) {
                judge.key_added(key, one.name_, 0);
            }
            if (one.limit_) {
                judge.limits_organisation(one.name_, *one.limit_, 0);
            }
        }
    }
    put_configuration();
    for (int number = 0; number < size.engines_ + size.plain_endpoints_; ++number) {
        add_endpoint(number, number < size.engines_, judge, seed * 101 + std::uint64_t(number));
    }
    std::vector<std::string> seeds;
    std::vector<std::uint16_t> seed_ports;
    for (int number = 0; number < size.gateways_; ++number) {
        seed_ports.push_back(free_port(1));
        seeds.push_back(text_of(local(seed_ports.back())));
    }
    for (int number = 0; number < size.gateways_; ++number) {
        add_gateway(number, seeds, seed_ports[std::size_t(number)]);
    }
    heartbeat();
}

fleet::~fleet() {
    for (fleet_process* one : processes()) {
        one->process_.kill();
    }
}

std::string fleet::write_settings(const std::string& name, const std::string& text) const {
    const std::string path = folder_ + "/" + name + ".json";
    std::ofstream(path) << text;
    return path;
}

void fleet::add_endpoint(int number, bool has_models, referee& judge, std::uint64_t seed) {
    const std::string name = (has_models ? "engine-" : "plain-") + std::to_string(number);
    const auto host = std::uint32_t(first_endpoint_host + number);
    std::vector<std::string> models;
    if (has_models) {
        models = {model_name(number % model_count), model_name((number + 1) % model_count),
                  model_name((number + 2) % model_count)};
    }
    endpoint_place place;
    place.engine_ = std::make_unique<engine_stand_in>(context_, judge, name, seed, std::move(models));
    place.requests_ = std::make_unique<faulty_proxy>(context_, at(host, 0), local(place.engine_->port()));
    if (has_models) {
        const std::uint16_t agent_own_port = free_port(1);
        place.agent_engine_ =
            std::make_unique<faulty_proxy>(context_, local(0), local(place.engine_->port()));
        place.agent_links_ =
            std::make_unique<faulty_proxy>(context_, at(host, agent_port_), local(agent_own_port));
        const json settings = {{"id", "agent-" + std::to_string(number)},
                               {"listen", text_of(local(agent_own_port))},
                               {"metrics", text_of(local(free_port(1)))},
                               {"engine", text_of(place.agent_engine_->address())}};
        place.agent_.name_ = "agent-" + std::to_string(number);
        place.agent_.program_ = "build/release/tamarack-engine-agent";
        place.agent_.settings_ = write_settings(place.agent_.name_, settings.dump());
        place.agent_.log_ = folder_ + "/" + place.agent_.name_ + ".log";
    }
    endpoints_.push_back(std::move(place));
}

void fleet::add_gateway(int number, const std::vector<std::string>& seeds, std::uint16_t seed_port) {
    gateway_place place;
    place.client_port_ = free_port(1);
    place.admin_port_ = free_port(1);
    place.clients_ = std::make_unique<faulty_proxy>(context_, local(0), local(place.client_port_));
    place.store_ = std::make_unique<faulty_proxy>(context_, local(0), store_.address());
    fleet_process& process = place.process_;
    process.name_ = "gateway-" + std::to_string(number);
    const json settings = {{"id", process.name_},
                           {"data_centre", "z1"},
                           {"listen", text_of(local(place.client_port_))},
                           {"admin", text_of(local(place.admin_port_))},
                           {"metrics", text_of(local(free_port(1)))},
                           {"store", text_of(place.store_->address())},
                           {"peers", text_of(local(seed_port))},
                           {"seeds", seeds},
                           {"shutdown_grace_s", 5},
                           {"agent_port", agent_port_}};
    process.program_ = "build/release/tamarack-gateway";
    process.settings_ = write_settings(process.name_, settings.dump());
    process.log_ = folder_ + "/" + process.name_ + ".log";
    gateways_.push_back(std::move(place));
}

std::vector<fleet_process*> fleet::processes() {
    std::vector<fleet_process*> all;
    for (gateway_place& one : gateways_) {
        all.push_back(&one.process_);
    }
    for (endpoint_place& one : endpoints_) {
        if (one.agent_engine_) {
            all.push_back(&one.agent_);
        }
    }
    return all;
}

void fleet::start_all() {
    for (fleet_process* one : processes()) {
        one->start();
    }
}

void fleet::heartbeat() {
    for (endpoint_place& one : endpoints_) {
        if (one.registered_) {
            store_.put("keyed.servers", one.engine_->id(),
                       one.engine_->entry(text_of(one.requests_->address()),
                                          one.leaving_ ? "draining" : "ready", ++one.entries_));
        }
    }
}

std::string fleet::configuration_text() const {
    json body = configuration_of(version_, max_body_bytes_);
    if (organisations_) {
        json open = route("open", "safe", "plain", false);
        open["public"] = true;
        body["routes"].push_back(open);
        body["tenants"] = organisations_->rows();
    }
    return body.dump();
}

void fleet::put_configuration() {
    constexpr int version_step = 3; // versions need not follow each other
    version_ += version_step;
    store_.put("keyed.op", "config", configuration_text());
}

void fleet::write_again() {
    store_.put("keyed.op", "config", configuration_text());
    for (const endpoint_place& one : endpoints_) {
        if (!one.registered_) {
            store_.drop("keyed.servers", one.engine_->id());
        }
    }
    heartbeat();
}

void fleet::watch(referee& judge) {
    for (fleet_process* one : processes()) {
        if (one->expected_ && !one->process_.running()) {
            one->expected_ = false;
            judge.ended(one->name_);
        }
    }
}

} // namespace tamarack::soak
