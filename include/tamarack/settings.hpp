// Settings: the validated JSON files that hold the addresses, data centre and limits of each program.
#pragma once

#include "tamarack/contract.hpp"
#include "tamarack/kernel.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace tamarack {

struct entry_settings {
    std::string id_;
    std::string data_centre_;
    boost::asio::ip::tcp::endpoint listen_; // address for clients
    boost::asio::ip::tcp::endpoint admin_;  // address for /metrics, /healthz and /readyz
    boost::asio::ip::tcp::endpoint log_;
    boost::asio::ip::tcp::endpoint list_;
    std::string log_level_ = "info";
    std::int64_t traffic_threads_ = 2;
    std::int64_t heartbeat_limit_ms_ = 2'500; // heartbeat age above which an agent gets no new requests
    std::int64_t list_interval_ms_ = 500;     // time between reads of the instance list
    std::int64_t shutdown_ms_ = 60'000;       // time for requests in flight after SIGTERM
    std::int64_t max_body_bytes_ = 4 * 1024 * 1024;
    std::int64_t max_header_bytes_ = 16 * 1024;
    std::int64_t max_connections_ = 10'000;
    std::int64_t idle_ms_ = 60'000;
    std::int64_t write_ms_ = 30'000;
};

struct agent_settings {
    std::string id_;
    std::string pool_;
    std::string data_centre_;
    boost::asio::ip::tcp::endpoint listen_; // address for entries and other agents
    boost::asio::ip::tcp::endpoint admin_;
    boost::asio::ip::tcp::endpoint endpoint_; // address of the engine or service
    boost::asio::ip::tcp::endpoint log_;
    boost::asio::ip::tcp::endpoint list_;
    std::string log_level_ = "info";
    std::string placement_ = "rendezvous";
    std::int64_t heartbeat_ms_ = 1'000;
    std::int64_t report_interval_ms_ = 100;
    std::int64_t settle_ms_ = 3'000;       // time after which no order or report is still in transit
    std::int64_t list_interval_ms_ = 500;  // time between reads of the instance list
    std::int64_t claims_limit_ms_ = 1'500; // time limit for a call to the log, without the wait of a read
    std::int64_t claims_window_ms_ = 3'600'000; // time for which claims are kept; older keys are refused
    std::int64_t shutdown_ms_ = 60'000;
};

// Settings of the gateway, which sends clients' requests directly to the endpoints.
struct gateway_settings {
    std::string id_;
    std::string data_centre_;
    boost::asio::ip::tcp::endpoint listen_;  // address for clients
    boost::asio::ip::tcp::endpoint admin_;   // address for readiness checks
    boost::asio::ip::tcp::endpoint metrics_; // address for /metrics
    boost::asio::ip::tcp::endpoint store_;   // address of the platform's store
    boost::asio::ip::tcp::endpoint peers_;   // address for gateways that cannot reach the store; optional
    std::vector<boost::asio::ip::tcp::endpoint> seeds_; // peer addresses of other gateways, perhaps stale
    std::vector<std::string>
        released_suspects_; // names of requests and parts of prompts to be released from quarantine
    std::string platform_ = "log-store"; // name of the platform plug-in
    std::string ready_path_ = "/readyz";
    std::int64_t agent_port_ = 0; // listening port of every engine agent
    std::int64_t memory_mb_ = 0;  // memory that the process may use, in MB of 2^20 bytes; 0 for the machine's
    std::int64_t max_descriptors_ = 0;   // descriptors that the process may open; 0 for its resource limit
    double shutdown_grace_s_ = 8;        // time from SIGTERM until the platform kills the process
    double retry_ratio_ = 0.2;           // retries per request, summed over all gateways
    double retry_slack_ = 50;            // retries allowed beyond the ratio, summed over all gateways
    double retry_window_s_ = 10;         // sliding window over which requests and retries are counted
    double load_window_s_ = 5;           // time window for the load rate of the weight store
    double quota_window_s_ = 8;          // sliding window over which the use of organisations is judged
    double quota_over_ = 0;              // part by which that use may exceed the limit
    double quota_slack_ = 0;             // tokens by which it may exceed that
    bool strict_revocation_ = false;     // whether keys are refused if they are not confirmed in time
    double revocation_limit_ms_ = 5'000; // greatest age of a configuration that confirms its keys
    contract::terms contract_;           // terms of the deployment's contract, by the platform's names

    bool operator==(const gateway_settings&) const = default;
};

// Settings of the engine agent, the only process that sends orders to its engine.
struct engine_agent_settings {
    std::string id_;
    boost::asio::ip::tcp::endpoint listen_;  // address for gateways
    boost::asio::ip::tcp::endpoint metrics_; // address for /metrics
    boost::asio::ip::tcp::endpoint engine_;
    std::string platform_ = "log-store"; // name of the platform plug-in
    contract::terms contract_;           // terms of the deployment's contract, by the platform's names

    bool operator==(const engine_agent_settings&) const = default;
};

// Loads and validates a settings file. Fails with `not_found` or `invalid`; the message lists every fault.
result<entry_settings> load_entry_settings(const std::string& path);
result<agent_settings> load_agent_settings(const std::string& path);
result<gateway_settings> load_gateway_settings(const std::string& path);
result<engine_agent_settings> load_engine_agent_settings(const std::string& path);

// Parses and validates the text of a settings file. Fails with `invalid`.
result<entry_settings> parse_entry_settings(std::string_view text);
result<agent_settings> parse_agent_settings(std::string_view text);
result<gateway_settings> parse_gateway_settings(std::string_view text);
result<engine_agent_settings> parse_engine_agent_settings(std::string_view text);

} // namespace tamarack
