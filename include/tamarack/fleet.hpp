// Fleet: the configuration of the direct path and the directory of endpoints, as a gateway knows them.
//
// Nothing here does I/O or reads a clock. Platforms implement `fleet_source`, which supplies the
// configuration and the endpoint records.
#pragma once

#include "tamarack/kernel.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace tamarack::fleet {

// The name of a model or an adapter: 1 to 128 printable ASCII characters other than space and slash. Names
// come from clients, engines and peers; one of this type can be written in any format.
class plain_name {
public:
    static constexpr std::size_t max_bytes = 128;

    // Creates an object that holds no name.
    plain_name() = default;

    // Returns nothing if the text is no such name.
    static std::optional<plain_name> parse(std::string_view text);

    const std::string& text() const { return text_; }
    bool empty() const { return text_.empty(); }
    friend bool operator==(const plain_name&, const plain_name&) = default;
    friend bool operator==(const plain_name& left, std::string_view right) { return left.text_ == right; }

private:
    std::string text_;
};

// A model that engines of a service may hold.
struct model_spec {
    std::string name_;
    double weights_mb_ = 0;
    time_ms store_load_ms_ = 0;  // load time from the weight store
    time_ms disk_load_ms_ = 0;   // load time from the engine's disk
    time_ms memory_load_ms_ = 0; // load time from the engine's main memory
    int adapters_ = 0;           // number of adapters
    double adapter_mb_ = 0;
};

// Properties shared by all engines of a service.
struct engine_spec {
    int slots_ = 1;                // most requests in one batch
    double kv_tokens_ = 0;         // size of the KV cache, in tokens
    double weights_mb_ = 0;        // memory for weights and adapters together
    int adapter_slots_ = 0;        // most adapters that are resident or being loaded
    double store_loads_per_s_ = 0; // rate limit of the weight store, over all engines
    std::vector<model_spec> models_;

    const model_spec* find_model(std::string_view name) const;
};

struct service_spec {
    std::string name_;
    std::string health_path_;
    int max_connections_ = 0;           // connections that one endpoint accepts from all callers together
    std::optional<engine_spec> engine_; // absent for plain services
};

// How often a request may run.
enum class repeat_rule {
    idempotent,   // any number of times
    at_most_once, // at most once for each time the client sends it
    stream,       // at most once, unless the route allows resuming
};

// A service that a route sends a share of its requests to, in proportion to `weight_`.
struct route_target {
    std::string service_;
    double weight_ = 1;
};

struct route_rule {
    std::string name_;
    std::string host_;   // host name; case and port are ignored
    std::string prefix_; // path prefix that begins and ends with a slash
    repeat_rule repeat_ = repeat_rule::at_most_once;
    bool resumable_ = false;     // another engine may continue an interrupted stream
    time_ms timeout_ms_ = 0;     // time limit for the complete response
    time_ms objective_ms_ = 0;   // latency objective; for streams, time to the first event
    time_ms pause_limit_ms_ = 0; // objective for the gap between events; 0 for none
    time_ms patience_ms_ = 0;    // pause in a stream after which its clients abandon it; 0 if unknown
    int rank_ = 0;               // priority; 0 is the most urgent
    int max_attempts_ = 1;       // limit of attempts that may have run; rejected ones do not count
    bool public_ = false;        // takes requests without a key where organisations are configured
    std::vector<route_target> targets_;

    // Whether a request that may have run may be sent again.
    bool repeatable() const {
        return repeat_ == repeat_rule::idempotent || (repeat_ == repeat_rule::stream && resumable_);
    }
};

// Limits on client requests and connections.
struct client_limits {
    std::size_t header_bytes_ = 16 * 1024;
    std::size_t body_bytes_ = 4 * 1024 * 1024;
    time_ms header_ms_ = 3'000; // time from the first byte of a request to the end of its header
    time_ms idle_ms_ = 15'000;  // idle time between requests on one connection
};

// What an organisation may use, over all gateways together. A request counts as 1, or as its tokens.
struct usage_limit {
    double per_s_ = 0; // 0 for no limit
    double burst_ = 0; // what may be used at once beyond the rate
    bool counts_tokens_ = false;
    double default_tokens_ = 0; // tokens of a request that does not say how many it has
};

// A customer. Its programs present one of its keys with each request.
struct organisation {
    std::string name_;
    std::vector<std::string> keys_;
    std::optional<int> rank_; // replaces the rank of the route
    usage_limit limit_;
};

// One version of the operator's configuration. Immutable once built.
struct configuration {
    std::int64_t version_ = -1;
    std::vector<route_rule> routes_;
    std::vector<service_spec> services_;
    client_limits limits_;

    // If set, only requests with a key of one of these are taken, except on public routes. Otherwise requests
    // carry no key.
    std::optional<std::vector<organisation>> organisations_;

    // Terms of the operator's record that this program does not know and does not follow.
    std::vector<std::string> ignored_terms_;

    const service_spec* find_service(std::string_view name) const;
};

// Finds routes by host and longest matching prefix. The lookup time does not depend on the number of routes.
class route_index {
public:
    explicit route_index(const configuration& configuration);

    // Returns the route for a Host header, with or without port, and a path without query, or null if none
    // matches.
    const route_rule* match(std::string_view host, std::string_view path) const;

private:
    std::unordered_map<std::string, const route_rule*> routes_; // routes with the key "host\nprefix"
};

// Chooses the service for a request among the route's targets, by weight. `point` is in [0, 1). Returns null
// if no target has a positive weight.
const std::string* choose_target(const route_rule& route, double point);

// A model that is resident on an engine, with its resident adapters.
struct held_model {
    std::string name_;
    std::set<std::string, std::less<>> adapters_;

    bool operator==(const held_model&) const = default;
};

// Where a record stands in the registry's log. Offsets of one epoch grow with each record.
struct registry_position {
    std::int64_t epoch_ = 0;
    std::int64_t offset_ = -1; // negative if unknown
};

// An endpoint's entry in the registry.
struct endpoint_record {
    std::string id_;
    std::string service_;
    boost::asio::ip::tcp::endpoint address_;
    std::string data_centre_;
    int slots_ = 1;
    bool leaving_ = false;
    std::vector<held_model> models_;
    std::int64_t incarnation_ = 0; // names a start of the endpoint; increases unless its clock is set back
    std::int64_t sequence_ = 0;    // increases with each record of one incarnation
    bool rolled_back_ = false; // read after the registry was rolled back; the endpoint may have left since
    registry_position position_;

    // Incarnation of the start before this one, if it is higher; 0 otherwise. Set by the directory.
    std::int64_t replaced_incarnation_ = 0;
};

// Whether `candidate` was written before `known`. Used to ignore records that arrive out of order. Starts are
// ordered by the registry's log where it tells, since an endpoint's clock may be set back between two of
// them.
bool is_older(const endpoint_record& candidate, const endpoint_record& known);

struct endpoint_removed {
    std::string id_;
};

// A change in the registry of endpoints.
using endpoint_change = std::variant<endpoint_record, endpoint_removed>;

// The id of the endpoint that changed.
const std::string& endpoint_id(const endpoint_change& change);

// A time before all others, for what has never happened.
inline constexpr time_ms never = std::numeric_limits<time_ms>::min() / 2;

// How current the data of a fleet source is. Times are those of `boot_now_ms`.
struct freshness {
    time_ms as_of_ = never; // changes that the platform acknowledged before this time are included

    // Start of the period up to `as_of_` in which the platform was read without a longer gap than
    // `max_reading_gap_ms`, by this process or by those that relayed to it.
    time_ms continuous_since_ = never;

    bool relayed_ = false; // the latest data came from another gateway
};

// Longest gap between two readings of the registry in which no entry can have expired for want of a registry.
// Endpoints renew their entries each 1.2 s, and entries last for three times as long.
inline constexpr time_ms max_reading_gap_ms = 2'000;

// Age of the data in ms; -1 if there has been none.
time_ms age_ms(const freshness& current, time_ms now);

// Joins the freshness of data that was known with that of newly received data.
freshness join(const freshness& known, const freshness& received);

// Time after a registry outage within which endpoints whose entries expired register again. The platform
// promises that this takes about two seconds.
inline constexpr time_ms registry_return_grace_ms = 2'000;

// What a change did to the directory.
enum class directory_effect {
    none,    // the change was older than the known entry, or concerned no known endpoint
    renewed, // a heartbeat, or a change of what the endpoint holds
    listed,  // an endpoint that was not known
    leaving, // the endpoint says that it is shutting down
    doubted, // a rollback of the registry brought back the entry of an endpoint that had left
    kept,    // the entry was removed from the registry; the endpoint is kept
    removed,
};

std::string_view to_string(directory_effect effect);

// Time for which endpoints that have left are remembered; a registry is rolled back by some seconds only.
inline constexpr time_ms departed_retention_ms = 60'000;

// The endpoints in service. If the registry was out of service, endpoints may have been unable to renew their
// entries. Those that are then missing are kept until the registry has been read for the grace period after
// its return, unless the endpoint was shutting down. If the registry was rolled back, endpoints that had left
// are in it again; they are listed only when their entry is written anew.
class directory {
public:
    // Applies a change that came with data of this freshness.
    directory_effect apply(const endpoint_change& change, const freshness& current);

    // Erases the removed entries that were kept, if the data is from after the grace period. Returns their
    // ids.
    std::vector<std::string> expire(const freshness& current);

    const std::map<std::string, endpoint_record, std::less<>>& endpoints() const { return endpoints_; }

private:
    struct departure {
        std::int64_t incarnation_ = 0;
        time_ms as_of_ = 0;
    };

    void erase(std::string_view id, const freshness& current);

    std::map<std::string, endpoint_record, std::less<>> endpoints_;
    std::set<std::string> lapsed_; // entries removed from the registry but still kept
    std::map<std::string, departure, std::less<>> departed_;
};

// Data that one gateway relays to others. `as_of_` is the time from which it is, on the clock of the process
// that holds it; `never` if it is not known how long the data was on its way.
struct relayed_data {
    std::string bytes_;
    time_ms as_of_ = never;
};

// Callbacks of a fleet source. They run on the executor that the source was created with.
struct fleet_events {
    std::function<void(std::shared_ptr<const configuration>, const std::string& encoded)> configuration_;

    // Called after `configuration_` whenever the configuration is known to be the operator's newest.
    std::function<void(const freshness&)> configuration_current_ = [](const freshness&) {};

    // Changes in the registry. Also called without changes, when the data is known to be current.
    std::function<void(std::vector<endpoint_change>, const freshness&)> endpoints_;

    std::function<void(bool reached)> store_reached_; // this process reaches the store, or no longer does

    // A call for a topic of the store has failed.
    std::function<void(const std::string& topic, const error& why)> call_failed_ = [](const std::string&,
                                                                                      const error&) {};
    std::function<void()> rolled_back_;         // the registry has lost what was written last
    std::function<void(relayed_data)> relay_;   // data for gateways that do not read the store
    std::function<void(const error&)> skipped_; // a record could not be used

    // The records of the quarantine in the store, read once after the start.
    std::function<void(std::map<std::string, std::string>)> quarantine_;
};

// Follows the operator's configuration and the registry of endpoints.
class fleet_source {
public:
    virtual ~fleet_source() = default;
    virtual void start() = 0;

    // Sets whether this process reads the store and relays what it reads, or relies on data that others
    // relay. A source reads initially. Of several readers, the `first` relays without delay.
    virtual void set_reads_store(bool reads, bool first) = 0;

    // Applies data that another gateway relayed.
    virtual void take_relayed(const relayed_data& data) = 0;

    // Returns all known state, as input for `take_relayed` of a gateway that starts while the store is
    // unreachable.
    virtual std::vector<relayed_data> snapshot() const = 0;

    // Sets the records that the store keeps of the quarantine. Writes the differences to what is known to be
    // there, and repeats that until the store accepts them. All are written again after a rollback.
    virtual void write_quarantine(std::map<std::string, std::string> records) = 0;

    // Decodes a configuration that a peer relayed. Fails with `invalid`.
    virtual result<std::shared_ptr<const configuration>> decode(const std::string& encoded) const = 0;
};

// Creates a source. Registered under the name of the platform.
using fleet_source_factory = std::function<std::unique_ptr<fleet_source>(
    boost::asio::io_context&, boost::asio::ip::tcp::endpoint store, fleet_events events)>;

// A model and optionally one of its adapters. The adapter is empty if none is named.
struct model_reference {
    std::string_view model_;
    std::string_view adapter_;
};

// Splits "model/adapter".
model_reference parse_model_reference(std::string_view text);

} // namespace tamarack::fleet
