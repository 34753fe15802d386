// A whole small system of real processes on the loopback address, for the demo and the process tests.
#pragma once

#include "harness/process.hpp"
#include "tamarack/http.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>

namespace tamarack::harness {

using json = nlohmann::json;

// An answer as a caller sees it. Status 0 means that the connection broke before a whole answer arrived.
struct caller_answer {
    int status_ = 0;
    std::map<std::string, std::string> headers_; // names in lower case
    std::string body_;
    bool whole_ = false;
    std::int64_t elapsed_ms_ = 0;

    std::string header(const std::string& name) const;

    // What the answer says became of the request: "answered", "not_run", "unknown", or "cut".
    std::string outcome() const;
};

struct caller_request {
    std::string method_ = "POST";
    std::string path_;
    std::vector<http::header> headers_;
    std::string body_;
};

// Sends one request on its own connection and fills in the answer. Both outlive the call.
boost::asio::awaitable<void> exchange(std::uint16_t port, const caller_request& request,
                                      std::int64_t limit_ms, caller_answer& answer);

// Sends one request and waits for the answer.
caller_answer call(std::uint16_t port, const caller_request& request, std::int64_t limit_ms = 30'000);

// Sends one request on each port at the same time; answers in the order of the ports.
std::vector<caller_answer> call_all(const std::vector<std::pair<std::uint16_t, caller_request>>& requests,
                                    std::int64_t limit_ms = 30'000);

// A completion request, and the text that the stand-in engine gives for it.
caller_request completion(const std::string& model, const std::string& prompt, std::int64_t tokens,
                          bool stream);
std::string expected_text(const caller_request& request);

// The text of an answer, whether it was streamed or not; empty unless it is complete.
std::string answer_text(const caller_answer& answer);

// One endpoint with its stand-in, its agent and the settings to start another agent in its place.
struct endpoint_node {
    std::string id_;
    std::string pool_;
    std::string data_centre_;
    bool leaving_ = false;
    std::uint16_t endpoint_port_ = 0;
    std::uint16_t agent_port_ = 0;
    std::uint16_t admin_port_ = 0;
    json settings_;
    process endpoint_;
    process agent_;
};

struct entry_node {
    std::string id_;
    std::uint16_t port_ = 0;
    std::uint16_t admin_port_ = 0;
    json settings_;
    process entry_;
};

struct endpoint_options {
    std::string data_centre_ = "dc1";
    bool engine_ = true;
    std::vector<std::string> engine_flags_;
    json agent_settings_ = json::object(); // merged over the defaults
};

class cluster {
public:
    // `programs` is the folder of the built programs.
    explicit cluster(std::string programs);
    ~cluster();

    // Starts the stand-ins of the platform: log, list and weight store.
    void start_platform(std::vector<std::string> log_flags = {}, std::vector<std::string> store_flags = {});

    endpoint_node& add_endpoint(const std::string& id, const std::string& pool,
                                const endpoint_options& options);
    entry_node& add_entry(const std::string& id, const json& settings = json::object());

    void start_agent(endpoint_node& node);
    void start_entry(entry_node& node);

    // Starts another agent of the same slot beside the present one, which is kept; on another port.
    process start_replacement(endpoint_node& node);

    // Gives the platform's list the nodes as they are now.
    void publish_list();

    // Publishes tables with tamarackctl; returns its exit code and prints to `output`.
    int publish(const json& routes, const json& pools, std::vector<std::string> flags = {});
    int run_ctl(std::vector<std::string> arguments);
    const std::string& ctl_output() const { return ctl_output_; }

    // Sets faults of a stand-in.
    void set_faults(std::uint16_t port, const json& faults);
    json get(std::uint16_t port, const std::string& path);

    // Waits until the condition holds; returns whether it did within the limit.
    static bool wait_for(const std::function<bool()>& condition, std::int64_t limit_ms = 20'000);

    bool wait_until_ready(std::int64_t limit_ms = 20'000);
    // Number of agents that every traffic thread of the entry is connected to.
    std::int64_t connected_agents(const entry_node& node);

    bool wait_until_version(std::int64_t version, std::int64_t limit_ms = 20'000);

    // Runs counted by the plain services of a pool, by "ref".
    std::map<std::string, std::int64_t> service_runs(const std::string& pool);

    // Overcommitments counted by all engines.
    std::int64_t overcommits();

    std::map<std::string, endpoint_node>& endpoints() { return endpoints_; }
    std::map<std::string, entry_node>& entries() { return entries_; }
    std::uint16_t log_port() const { return log_port_; }
    std::uint16_t list_port() const { return list_port_; }
    std::uint16_t store_port() const { return store_port_; }
    const std::string& folder() const { return folder_; }

private:
    std::uint16_t start_standin(process& into, const std::string& name, std::vector<std::string> flags);
    std::string write_file(const std::string& name, const json& content);
    json platform_settings() const;

    std::string programs_;
    std::string folder_;
    std::string ctl_output_;
    std::uint16_t log_port_ = 0;
    std::uint16_t list_port_ = 0;
    std::uint16_t store_port_ = 0;
    process log_;
    process list_;
    process store_;
    std::map<std::string, endpoint_node> endpoints_;
    std::map<std::string, entry_node> entries_;
};

// A port that was free a moment ago.
std::uint16_t free_port();

// The folder of the running program, where its siblings stand too.
std::string program_folder();

std::int64_t now_ms();
std::int64_t unix_ms();

} // namespace tamarack::harness
