// Fleet: the configuration of the direct path and the directory of endpoints, as a gateway knows them.
//
// Pure types and functions: no socket, thread or clock. Sources of both plug in behind `fleet_source`.
#pragma once

#include "tamarack/kernel.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace tamarack::fleet {

// A model that engines of a service may hold.
struct model_spec {
    std::string name_;
    double weights_mb_ = 0;
    time_ms store_load_ms_ = 0;  // from the weight store
    time_ms disk_load_ms_ = 0;   // from the engine's disk
    time_ms memory_load_ms_ = 0; // from the engine's main memory
    int adapters_ = 0;
    double adapter_mb_ = 0;
};

// What all engines of a service have in common.
struct engine_spec {
    int slots_ = 1;                // requests in one batch
    double kv_tokens_ = 0;         // KV cache, in tokens
    double weights_mb_ = 0;        // memory for weights and adapters together
    int adapter_slots_ = 0;        // adapters resident or in transit
    double store_loads_per_s_ = 0; // of the weight store, over all engines
    std::vector<model_spec> models_;

    const model_spec* find_model(std::string_view name) const;
};

struct service_spec {
    std::string name_;
    std::string health_path_;
    int max_connections_ = 0;           // accepted by one endpoint from all callers together
    std::optional<engine_spec> engine_; // absent for plain services
};

// How often a request may run.
enum class repeat_rule {
    idempotent,   // any number of times
    at_most_once, // once for each attempt of the client
    stream,       // at most once, unless the route allows resuming
};

struct route_target {
    std::string service_;
    double weight_ = 1;
};

struct route_rule {
    std::string name_;
    std::string host_;   // in lower case, without port
    std::string prefix_; // begins and ends with a slash
    repeat_rule repeat_ = repeat_rule::at_most_once;
    bool resumable_ = false;     // a stream may go on at another engine
    time_ms timeout_ms_ = 0;     // longest time until the final answer
    time_ms objective_ms_ = 0;   // latency objective; for streams until the first event
    time_ms pause_limit_ms_ = 0; // longest pause between events that is in time; 0 for none
    time_ms patience_ms_ = 0;    // clients leave a stream after such a pause; 0 if not known
    int rank_ = 0;               // 0 is the most urgent
    int max_attempts_ = 1;       // endpoints that one request may be sent to
    std::vector<route_target> targets_;

    // Whether a request that may have run may run again.
    bool repeatable() const {
        return repeat_ == repeat_rule::idempotent || (repeat_ == repeat_rule::stream && resumable_);
    }
};

// Limits for what clients send.
struct client_limits {
    std::size_t header_bytes_ = 16 * 1024;
    std::size_t body_bytes_ = 4 * 1024 * 1024;
    time_ms header_ms_ = 3'000; // from the first byte of a request to the end of its header
    time_ms idle_ms_ = 15'000;  // between requests on one connection
};

// One version of the operator's configuration. Immutable once built.
struct configuration {
    std::int64_t version_ = -1;
    std::vector<route_rule> routes_;
    std::vector<service_spec> services_;
    client_limits limits_;

    const service_spec* find_service(std::string_view name) const;
};

// Finds routes by host and longest matching prefix, in time that does not grow with the number of routes.
class route_index {
public:
    explicit route_index(const configuration& configuration);

    // The route for a Host header, with or without port, and a path without query; null if none matches.
    const route_rule* match(std::string_view host, std::string_view path) const;

private:
    std::unordered_map<std::string, const route_rule*> routes_; // by host, a newline and the prefix
};

// The target of a request on a split route. `point` in [0, 1) selects by weight.
const std::string* choose_target(const route_rule& route, double point);

// A model that an engine holds, with its adapters.
struct held_model {
    std::string name_;
    std::set<std::string, std::less<>> adapters_;

    bool operator==(const held_model&) const = default;
};

// An endpoint as it registered itself.
struct endpoint_record {
    std::string id_;
    std::string service_;
    boost::asio::ip::tcp::endpoint address_;
    std::string data_centre_;
    int slots_ = 1;
    bool leaving_ = false;
    std::vector<held_model> models_;
    std::int64_t incarnation_ = 0; // rises with each start of the endpoint
    std::int64_t sequence_ = 0;    // rises with each record of one incarnation
};

// Whether `candidate` was written before `known`, so that a late record does not undo a newer one.
bool is_older(const endpoint_record& candidate, const endpoint_record& known);

// A change in what the registry of endpoints says.
struct endpoint_removed {
    std::string id_;
};
using endpoint_change = std::variant<endpoint_record, endpoint_removed>;

// Time after the registry's return in which endpoints that lapsed during an outage register again.
// Source: the platform's promise of about two seconds.
inline constexpr time_ms registry_return_grace_ms = 2'000;

// The endpoints in service. Entries that lapsed while the registry was away stay until the grace has passed.
class directory {
public:
    void apply(const endpoint_change& change, time_ms now);

    // The registry cannot be read, or can be read again.
    void registry_lost(time_ms now);
    void registry_returned(time_ms now);

    // Removes lapsed entries whose grace has passed. Returns whether anything changed.
    bool expire(time_ms now);

    const std::map<std::string, endpoint_record, std::less<>>& endpoints() const { return endpoints_; }

private:
    bool grace(time_ms now) const;

    std::map<std::string, endpoint_record, std::less<>> endpoints_;
    std::set<std::string> lapsed_;
    bool away_ = false;
    time_ms returned_at_ = -registry_return_grace_ms;
};

// What a source tells about the fleet. Called on the executor that the source was made with.
struct fleet_events {
    std::function<void(std::shared_ptr<const configuration>, const std::string& encoded)> configuration_;
    std::function<void(std::vector<endpoint_change>)> endpoints_;
    std::function<void(bool reachable)> registry_; // on each loss and return
    std::function<void(std::string bytes)> relay_; // what gateways that do not read should get
    std::function<void(const error&)> skipped_;    // a record that cannot be used
};

// Follows the operator's configuration and the registry of endpoints.
class fleet_source {
public:
    virtual ~fleet_source() = default;
    virtual void start() = 0;

    // Whether this process reads for itself and relays, or takes what others relay. It reads at first. Of
    // several that read, the `first` relays at once.
    virtual void set_reads_store(bool reads, bool first) = 0;
    virtual void take_relayed(const std::string& bytes) = 0;

    // All that is known, for a gateway that starts while it cannot reach the store; taken by `take_relayed`.
    virtual std::vector<std::string> snapshot() const = 0;

    // Decodes a configuration that a peer relayed. Fails with `invalid`.
    virtual result<std::shared_ptr<const configuration>> decode(const std::string& encoded) const = 0;
};

// Makes a source; registered by the name of the platform.
using fleet_source_factory = std::function<std::unique_ptr<fleet_source>(
    boost::asio::io_context&, boost::asio::ip::tcp::endpoint store, fleet_events events)>;

// Splits "model/adapter"; the adapter is empty if none is named.
struct model_reference {
    std::string_view model_;
    std::string_view adapter_;
};
model_reference parse_model_reference(std::string_view text);

} // namespace tamarack::fleet
