#include "harness/cluster.hpp"

#include "harness/port_pool.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

namespace tamarack::harness {

namespace {

const char* const loopback = "127.0.0.1:";

std::string address(std::uint16_t port) {
    return loopback + std::to_string(port);
}

void give_ports(endpoint_node& node) {
    node.agent_port_ = free_port();
    node.admin_port_ = free_port();
    node.settings_["listen"] = address(node.agent_port_);
    node.settings_["admin"] = address(node.admin_port_);
}

} // namespace

std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::uint16_t free_port() {
    static port_pool pool((std::filesystem::temp_directory_path() / "tamarack-ports").string());
    return pool.take();
}

std::string program_folder() {
    return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

cluster::cluster(std::string programs) : programs_(std::move(programs)) {
    std::string pattern = (std::filesystem::temp_directory_path() / "tamarack.XXXXXX").string();
    folder_ = ::mkdtemp(pattern.data());
}

// With TAMARACK_KEEP_LOGS set, the logs of the processes stay.
cluster::~cluster() {
    if (std::getenv("TAMARACK_KEEP_LOGS") != nullptr) {
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::uint16_t cluster::start_standin(process& into, const std::string& name, std::vector<std::string> flags) {
    into = process(programs_ + "/" + name, std::move(flags), folder_ + "/" + name + ".log");
    const std::string line = into.read_line();
    const std::size_t space = line.find(' ');
    return space == std::string::npos ? 0 : std::uint16_t(std::stoi(line.substr(space + 1)));
}

std::string cluster::write_file(const std::string& name, const json& content) {
    const std::string path = folder_ + "/" + name;
    std::ofstream(path) << content.dump(2);
    return path;
}

json cluster::platform_settings() const {
    return {{"log", address(log_port_)}, {"list", address(list_port_)}};
}

void cluster::start_platform(std::vector<std::string> log_flags, std::vector<std::string> store_flags) {
    log_port_ = start_standin(log_, "fake-log", std::move(log_flags));
    list_port_ = start_standin(list_, "fake-list", {});
    store_port_ = start_standin(store_, "fake-store", std::move(store_flags));
}

endpoint_node& cluster::add_endpoint(const std::string& id, const std::string& pool,
                                     const endpoint_options& options) {
    endpoint_node& node = endpoints_[id];
    node.id_ = id;
    node.pool_ = pool;
    node.data_centre_ = options.data_centre_;
    std::vector<std::string> flags = options.engine_flags_;
    flags.push_back("--store=" + address(store_port_));
    node.endpoint_port_ = options.engine_ ? start_standin(node.endpoint_, "fake-engine", flags)
                                          : start_standin(node.endpoint_, "fake-service", {});
    node.settings_ = platform_settings();
    give_ports(node);
    node.settings_["id"] = id;
    node.settings_["pool"] = pool;
    node.settings_["data_centre"] = options.data_centre_;
    node.settings_["endpoint"] = address(node.endpoint_port_);
    node.settings_["list_interval_ms"] = 200;
    node.settings_.merge_patch(options.agent_settings_);
    start_agent(node);
    return node;
}

void cluster::start_agent(endpoint_node& node) {
    const std::string settings = write_file(node.id_ + ".json", node.settings_);
    node.agent_ =
        process(programs_ + "/tamarack-agent", {"--settings=" + settings}, folder_ + "/" + node.id_ + ".log");
}

process cluster::start_replacement(endpoint_node& node) {
    give_ports(node);
    process earlier = std::move(node.agent_);
    start_agent(node);
    return earlier;
}

entry_node& cluster::add_entry(const std::string& id, const json& settings) {
    entry_node& node = entries_[id];
    node.id_ = id;
    node.port_ = free_port();
    node.admin_port_ = free_port();
    node.settings_ = platform_settings();
    node.settings_["id"] = id;
    node.settings_["data_centre"] = "dc1";
    node.settings_["listen"] = address(node.port_);
    node.settings_["admin"] = address(node.admin_port_);
    node.settings_["list_interval_ms"] = 200;
    node.settings_.merge_patch(settings);
    start_entry(node);
    return node;
}

void cluster::start_entry(entry_node& node) {
    const std::string settings = write_file(node.id_ + ".json", node.settings_);
    node.entry_ =
        process(programs_ + "/tamarack-entry", {"--settings=" + settings}, folder_ + "/" + node.id_ + ".log");
}

void cluster::publish_list() {
    json instances = json::array();
    for (const auto& [id, node] : endpoints_) {
        instances.push_back({{"id", id},
                             {"role", "agent"},
                             {"pool", node.pool_},
                             {"data_centre", node.data_centre_},
                             {"address", "127.0.0.1"},
                             {"port", node.agent_port_},
                             {"state", node.leaving_ ? "leaving" : "live"}});
    }
    const json body = {{"instances", std::move(instances)}};
    call(list_port_, {"POST", "/v1/instances", {}, body.dump()});
}

int cluster::run_ctl(std::vector<std::string> arguments) {
    process ctl(programs_ + "/tamarackctl", std::move(arguments), folder_ + "/ctl.log");
    ctl_output_ = ctl.read_all();
    return ctl.wait();
}

int cluster::publish(const json& routes, const json& pools, std::vector<std::string> flags) {
    const std::string mark = std::to_string(now_ms());
    const std::string routes_file = write_file("routes-" + mark + ".json", {{"routes", routes}});
    const std::string pools_file = write_file("pools-" + mark + ".json", {{"pools", pools}});
    std::vector<std::string> arguments = {"publish", "--json", "--log=" + address(log_port_),
                                          "--routes=" + routes_file, "--pools=" + pools_file};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    return run_ctl(std::move(arguments));
}

void cluster::set_faults(std::uint16_t port, const json& faults) {
    call(port, {"POST", "/faults", {}, faults.dump()});
}

json cluster::get(std::uint16_t port, const std::string& path) {
    const caller_answer answer = call(port, {"GET", path, {}, {}}, 2'000);
    json body = json::parse(answer.body_, nullptr, false);
    return body.is_object() ? body : json::object();
}

bool cluster::wait_for(const std::function<bool()>& condition, std::int64_t limit_ms) {
    constexpr std::chrono::milliseconds poll_interval{10};
    const std::int64_t until = now_ms() + limit_ms;
    while (!condition()) {
        if (now_ms() >= until) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

bool cluster::wait_until_ready(std::int64_t limit_ms) {
    return wait_for(
        [this] {
            for (auto& [id, node] : endpoints_) {
                const json body = get(node.admin_port_, "/readyz");
                const bool homes_held = body.value("ready", false) && [&] {
                    for (const auto& home : body["homes"]) {
                        const std::string prefix = home.get<std::string>() + "@";
                        const auto& resident = body["resident"];
                        const bool held =
                            std::any_of(resident.begin(), resident.end(), [&](const json& item) {
                                return item.get<std::string>().starts_with(prefix);
                            });
                        if (!held) {
                            return false;
                        }
                    }
                    return true;
                }();
                if (!homes_held && !node.leaving_) {
                    return false;
                }
            }
            for (auto& [id, node] : entries_) {
                if (!get(node.admin_port_, "/readyz").value("ready", false)) {
                    return false;
                }
            }
            return true;
        },
        limit_ms);
}

std::int64_t cluster::connected_agents(const entry_node& node) {
    return get(node.admin_port_, "/readyz").value("connected_agents", std::int64_t(0));
}

bool cluster::wait_until_version(std::int64_t version, std::int64_t limit_ms) {
    return wait_for(
        [this, version] {
            for (auto& [id, node] : endpoints_) {
                if (get(node.admin_port_, "/readyz").value("version", std::int64_t(-1)) < version) {
                    return false;
                }
            }
            for (auto& [id, node] : entries_) {
                if (get(node.admin_port_, "/readyz").value("version", std::int64_t(-1)) < version) {
                    return false;
                }
            }
            return true;
        },
        limit_ms);
}

std::map<std::string, std::int64_t> cluster::service_runs(const std::string& pool) {
    std::map<std::string, std::int64_t> total;
    for (auto& [id, node] : endpoints_) {
        if (node.pool_ != pool) {
            continue;
        }
        const json body = get(node.endpoint_port_, "/v1/runs");
        for (const auto& [ref, count] : body["runs"].items()) {
            total[ref] += count.get<std::int64_t>();
        }
    }
    return total;
}

std::int64_t cluster::overcommits() {
    std::int64_t total = 0;
    for (auto& [id, node] : endpoints_) {
        total += get(node.endpoint_port_, "/v1/ledger").value("overcommits", std::int64_t(0));
    }
    return total;
}

} // namespace tamarack::harness
