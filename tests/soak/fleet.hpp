// The fleet of a soak: gateways and engine agents as real processes, stand-ins of the store and of endpoints,
// and a proxy on each connection between them.
#pragma once

#include "direct/platform_stand_ins.hpp"
#include "harness/process.hpp"
#include "soak/engine_stand_in.hpp"
#include "soak/faulty_proxy.hpp"
#include "soak/organisations.hpp"

#include <filesystem>

namespace tamarack::soak {

struct fleet_size {
    int gateways_ = 3;
    int engines_ = 4;
    int plain_endpoints_ = 2;
    bool organisations_ = false; // whether requests need keys
    bool long_bodies_ = false;   // whether requests may have long bodies
};

// One of the fleet's processes, which can be started again.
struct fleet_process {
    std::string name_;
    std::string program_;
    std::string settings_;
    std::string log_;
    harness::process process_;
    bool expected_ = false; // to run at the moment
    bool paused_ = false;

    void start();
};

struct gateway_place {
    fleet_process process_;
    std::uint16_t client_port_ = 0; // its own, behind the proxy
    std::uint16_t admin_port_ = 0;
    std::unique_ptr<faulty_proxy> clients_;
    std::unique_ptr<faulty_proxy> store_;
};

struct endpoint_place {
    std::unique_ptr<engine_stand_in> engine_;
    std::unique_ptr<faulty_proxy> requests_;     // from gateways
    std::unique_ptr<faulty_proxy> agent_engine_; // from its agent to the engine; null without an agent
    std::unique_ptr<faulty_proxy> agent_links_;  // from gateways to its agent
    fleet_process agent_;
    std::int64_t entries_ = 0; // written to the registry
    bool registered_ = true;
    bool departing_ = false; // says in its responses that it leaves
    bool leaving_ = false;   // and in the registry
    bool limited_ = false;   // names a limit on its requests
};

class fleet {
public:
    // Folder for settings and logs, which is made.
    fleet(boost::asio::io_context& context, referee& judge, std::string folder, std::uint64_t seed,
          fleet_size size);
    ~fleet();

    void start_all();

    // Writes the entries of all registered endpoints, as they do with each heartbeat.
    void heartbeat();

    // The next version of the configuration.
    void put_configuration();

    // After the store has returned from a copy, what it lost is written again: the configuration and the
    // entries of the endpoints.
    void write_again();

    bool ready(const gateway_place& one);

    std::vector<gateway_place>& gateways() { return gateways_; }
    std::vector<endpoint_place>& endpoints() { return endpoints_; }
    direct::fake_store& store() { return store_; }

    // Null if requests need no keys. A change takes effect with the next version of the configuration.
    organisations* customers() { return organisations_ ? &*organisations_ : nullptr; }
    std::vector<fleet_process*> processes();

    // Reports processes that ended by themselves.
    void watch(referee& judge);

private:
    void add_endpoint(int number, bool has_models, referee& judge, std::uint64_t seed);
    void add_gateway(int number, const std::vector<std::string>& seeds, std::uint16_t seed_port);
    std::string configuration_text() const;
    std::string write_settings(const std::string& name, const std::string& text) const;

    boost::asio::io_context& context_;
    std::string folder_;
    direct::fake_store store_;
    std::vector<gateway_place> gateways_;
    std::vector<endpoint_place> endpoints_;
    std::uint16_t agent_port_ = 0;
    std::optional<organisations> organisations_;
    std::size_t max_body_bytes_; // limit in the configuration
    int version_ = 0;
};

} // namespace tamarack::soak
