#include "gateway/agent_links.hpp"

#include "tamarack/provisioning.hpp"

#include <algorithm>

namespace tamarack::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds connect_timeout{500};
constexpr time_ms reconnect_delay_ms = 500; // time between attempts to connect to an agent

// A link without frames for this time, in which several reports are due, is closed and opened again.
constexpr time_ms link_silence_timeout_ms = 1'500;

constexpr time_ms adapter_timeout_ms = 1'500; // time for an adapter to become resident

} // namespace

struct agent_links::agent {
    std::string endpoint_;
    asio::ip::tcp::endpoint address_;
    std::shared_ptr<links::link> link_;
    std::shared_ptr<asio::ip::tcp::socket> connecting_; // null unless a connection is being established
    time_ms next_attempt_ = 0;
    time_ms heard_at_ = 0;
    std::int64_t announced_incarnation_ = 0; // incarnation of the engine in the last hello
    links::stamp_keeper stamps_;             // of the agent
    std::optional<links::echo> echo_;        // of an own stamp, for the next StoreRelay
};

agent_links::agent_links(fleet_state& fleet, std::string id, std::uint64_t incarnation,
                         std::uint16_t agent_port, event_log& events, agent_link_events handlers)
    : fleet_(fleet), id_(std::move(id)), incarnation_(incarnation), agent_port_(agent_port), events_(events),
      handlers_(std::move(handlers)) {}

void agent_links::tick(time_ms now) {
    for (auto entry = agents_.begin(); entry != agents_.end();) {
        if (fleet_.endpoints().contains(entry->first)) {
            ++entry;
            continue;
        }
        const auto gone = entry->second;
        entry = agents_.erase(entry);
        if (gone->link_) {
            gone->link_->close();
        }
        if (gone->connecting_) {
            boost::system::error_code ignored;
            gone->connecting_->close(ignored);
        }
    }
    for (const auto& [id, known] : fleet_.endpoints()) {
        const fleet::service_spec* service =
            fleet_.current() == nullptr
                ? nullptr
                : fleet_.current()->configuration_->find_service(known->record().service_);
        if (service == nullptr || !service->engine_) {
            continue;
        }
        auto& one = agents_[id];
        if (one == nullptr) {
            one = std::make_shared<agent>();
            one->endpoint_ = id;
            one->address_ = {known->record().address_.address(), agent_port_};
        }
        if (one->link_ && now - one->heard_at_ > link_silence_timeout_ms) {
            one->link_->close();
        }
        if (one->link_ && one->announced_incarnation_ != known->record().incarnation_) {
            send_hello(*one);
        }
        if (!one->link_ && !one->connecting_ && now >= one->next_attempt_) {
            connect(one);
        }
    }
    expire_adapter_requests(now);
}

void agent_links::connect(const std::shared_ptr<agent>& one) {
    const auto socket = std::make_shared<asio::ip::tcp::socket>(fleet_.executor_);
    one->connecting_ = socket;
    const auto timer = std::make_shared<asio::steady_timer>(fleet_.executor_, connect_timeout);
    timer->async_wait([socket](boost::system::error_code cancelled) {
        if (!cancelled) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
    socket->async_connect(one->address_, [this, one, socket, timer](boost::system::error_code failed) {
        timer->cancel();
        one->connecting_ = nullptr;
        one->next_attempt_ = steady_now_ms() + reconnect_delay_ms;
        if (!failed && socket->is_open()) {
            on_connected(one, std::move(*socket));
        }
    });
}

void agent_links::on_connected(const std::shared_ptr<agent>& one, asio::ip::tcp::socket socket) {
    one->heard_at_ = steady_now_ms();
    links::link::events handlers;
    handlers.frame_ = [this, one](const links::frame& received) { handle_frame(*one, received); };
    handlers.closed_ = [this, one] { on_link_closed(*one); };
    one->link_ = std::make_shared<links::link>(std::move(socket), std::move(handlers));
    one->link_->start();
    send_hello(*one);
    events_.write({event_kind::dependency, "gateway", "agent_linked", {}, {{"endpoint", one->endpoint_}}});
}

// Identifies this gateway to the agent, and the engine that the registry lists at its address.
void agent_links::send_hello(agent& one) {
    const auto found = fleet_.endpoints().find(one.endpoint_);
    if (found == fleet_.endpoints().end()) {
        return;
    }
    one.announced_incarnation_ = found->second->record().incarnation_;
    links::hello greeting;
    greeting.protocol = links::protocol_version;
    greeting.id = id_;
    greeting.incarnation = incarnation_;
    greeting.engine = one.endpoint_;
    greeting.engine_incarnation = one.announced_incarnation_;
    greeting.sent_at = boot_now_ms();
    one.link_->send(links::make_frame(greeting));
}

void agent_links::on_link_closed(agent& one) {
    one.link_ = nullptr;
    one.stamps_ = {};
    one.echo_ = std::nullopt;
    one.next_attempt_ = steady_now_ms() + reconnect_delay_ms;
    const auto found = fleet_.endpoints().find(one.endpoint_);
    if (found != fleet_.endpoints().end()) {
        // Without reports, the models that the engine holds are taken from the registry.
        found->second->engine_.known_ = false;
    }
    events_.write({event_kind::dependency, "gateway", "agent_lost", {}, {{"endpoint", one.endpoint_}}});
    std::vector<std::function<void(bool)>> failed;
    std::erase_if(adapter_requests_, [&](auto& entry) {
        if (entry.second.endpoint_ != one.endpoint_) {
            return false;
        }
        failed.push_back(std::move(entry.second.on_done_));
        return true;
    });
    for (const auto& done : failed) {
        done(false);
    }
}

void agent_links::handle_frame(agent& one, const links::frame& received) {
    one.heard_at_ = steady_now_ms();
    switch (received.body.type) {
    case links::fbs::Body::EngineStatus:
        handle_status(one, *received.body.AsEngineStatus());
        return;
    case links::fbs::Body::AdapterState:
        handle_adapter_state(*received.body.AsAdapterState());
        return;
    case links::fbs::Body::GatewayDigest:
        handlers_.digest_(*received.body.AsGatewayDigest());
        return;
    case links::fbs::Body::Echo:
        one.echo_ = *received.body.AsEcho();
        return;
    case links::fbs::Body::StoreRelay:
        handle_store_relay(one, *received.body.AsStoreRelay());
        return;
    case links::fbs::Body::ConfigurationRelay:
        handlers_.configuration_(*received.body.AsConfigurationRelay());
        return;
    default:
        return;
    }
}

void agent_links::handle_store_relay(agent& one, const links::store_relay& relay) {
    fleet::relayed_data data{{relay.bytes.begin(), relay.bytes.end()}, fleet::never};
    const auto echo = std::exchange(one.echo_, std::nullopt);
    if (echo && relay.age_ms >= 0) {
        const time_ms now = boot_now_ms();
        data.as_of_ = now - relay.age_ms - links::max_transit_ms(*echo, now);
    }
    handlers_.store_(std::move(data));
}

void agent_links::handle_status(agent& one, const links::engine_status& status) {
    one.stamps_.note(status.sent_at, boot_now_ms());
    const auto found = fleet_.endpoints().find(one.endpoint_);
    if (found == fleet_.endpoints().end()) {
        return;
    }
    endpoint& at = *found->second;
    engine_view& view = at.engine_;
    const time_ms now = steady_now_ms();
    const std::int64_t listed = at.record().incarnation_;
    if (status.incarnation != 0 && listed != 0 && status.incarnation != listed) {
        // The engine runs in another incarnation than the registry lists; the registry will catch up.
        // What it holds is not known until then.
        view.known_ = true;
        view.reachable_ = false;
        view.models_.clear();
        view.reported_at_ = now;
        fleet_.quarantine_.note_ended(one.endpoint_, listed, boot_now_ms());
        return;
    }
    const bool was_reachable = view.reachable_ || !view.known_;
    const bool has_models = status.has_models;
    view.known_ = view.known_ || has_models;
    view.reachable_ = status.reachable;
    if (!status.reachable) {
        fleet_.quarantine_.note_ended(one.endpoint_, listed, boot_now_ms());
    }
    view.leaving_ = status.leaving;
    if (status.leaving && status.incarnation == listed &&
        fleet_.notices_.note_leaving(key_of(at), notices::leaving_source::report, boot_now_ms())) {
        events_.write({event_kind::fleet_view,
                       "gateway",
                       "endpoint_says_leaving",
                       {},
                       {{"endpoint", one.endpoint_},
                        {"incarnation", listed},
                        {"source", notices::to_string(notices::leaving_source::report)}}});
    }
    view.incarnation_ = status.incarnation;
    view.gone_at_ =
        status.remaining_ms >= 0 ? std::optional<time_ms>(now + status.remaining_ms) : std::nullopt;
    view.running_ = status.running;
    view.queued_ = status.queued;
    view.unread_ = status.unread;
    view.kv_used_ = double(status.kv_used);
    view.kv_total_ = double(status.kv_total);
    view.busy_ = status.busy;
    if (view.loading_ != status.loading) {
        view.loading_ = status.loading;
        view.loading_since_ = now;
    }
    view.reported_at_ = now;
    at.begun_since_report_ = 0;
    at.prompt_tokens_since_report_ = 0;
    if (has_models) {
        at.forget_rejections();
        view.models_.clear();
        for (const auto& model : status.models) {
            view.models_.push_back({model->name, {model->adapters.begin(), model->adapters.end()}});
        }
        view.cached_models_ = {status.nearby.begin(), status.nearby.end()};
    }
    view.store_loads_.clear();
    for (const int age : status.store_load_ages_ms) {
        view.store_loads_.push_back(now - age);
    }
    if (was_reachable != status.reachable) {
        events_.write({event_kind::fleet_view,
                       "gateway",
                       status.reachable ? "engine_back" : "engine_down",
                       {},
                       {{"endpoint", one.endpoint_}}});
    }
}

// Number of adapters that fit on an engine beside its models; 0 if its service is not known or has no
// engines.
int agent_links::most_adapters(const endpoint& at) const {
    const fleet::service_spec* service =
        fleet_.current() == nullptr ? nullptr
                                    : fleet_.current()->configuration_->find_service(at.record().service_);
    return service == nullptr || !service->engine_
               ? 0
               : provisioning::adapters_that_fit(*service->engine_, at.models());
}

std::uint64_t agent_links::request_adapter(endpoint& at, const std::string& model, const std::string& adapter,
                                           std::function<void(bool ready)> done) {
    const std::uint64_t number = next_adapter_request_++;
    const auto found = agents_.find(at.record().id_);
    if (found == agents_.end() || !found->second->link_) {
        if (done) {
            asio::post(fleet_.executor_, [done = std::move(done)] { done(false); });
        }
        return number;
    }
    if (done) {
        adapter_requests_[number] = {at.record().id_, steady_now_ms() + adapter_timeout_ms, std::move(done)};
    }
    links::adapter_wanted wanted;
    wanted.number = number;
    wanted.model = model;
    wanted.adapter = adapter;
    wanted.most_adapters = most_adapters(at);
    found->second->link_->send(links::make_frame(wanted));
    return number;
}

void agent_links::release_adapter(std::string_view endpoint, std::uint64_t number) {
    adapter_requests_.erase(number);
    const auto found = agents_.find(endpoint);
    if (found != agents_.end() && found->second->link_) {
        links::adapter_released released;
        released.number = number;
        found->second->link_->send(links::make_frame(released));
    }
}

void agent_links::handle_adapter_state(const links::adapter_state& state) {
    const auto found = adapter_requests_.find(state.number);
    if (found == adapter_requests_.end()) {
        return;
    }
    const auto done = std::move(found->second.on_done_);
    adapter_requests_.erase(found);
    done(state.ready);
}

void agent_links::expire_adapter_requests(time_ms now) {
    std::vector<std::function<void(bool)>> expired;
    std::erase_if(adapter_requests_, [&](auto& entry) {
        if (entry.second.expires_at_ > now) {
            return false;
        }
        expired.push_back(std::move(entry.second.on_done_));
        return true;
    });
    for (const auto& done : expired) {
        done(false);
    }
}

bool agent_links::send_order(std::string_view engine, const links::placement_order& one) {
    const auto found = agents_.find(engine);
    if (found == agents_.end() || !found->second->link_) {
        return false;
    }
    found->second->link_->send(links::make_frame(one));
    return true;
}

agent_links::agent* agent_links::relaying_agent() {
    const auto linked = std::find_if(agents_.begin(), agents_.end(),
                                     [](const auto& entry) { return entry.second->link_ != nullptr; });
    return linked == agents_.end() ? nullptr : linked->second.get();
}

void agent_links::relay(const links::frame& one) {
    if (agent* const relaying = relaying_agent()) {
        relaying->link_->send(one);
    }
}

void agent_links::relay_store_reading(const fleet::relayed_data& data) {
    agent* const relaying = relaying_agent();
    if (relaying == nullptr) {
        return;
    }
    const time_ms now = boot_now_ms();
    links::store_relay relay;
    relay.from = id_;
    relay.bytes.assign(data.bytes_.begin(), data.bytes_.end());
    const auto echo = relaying->stamps_.make_echo(now);
    if (echo && data.as_of_ != fleet::never) {
        relay.age_ms = now - data.as_of_;
        relay.echo = std::make_unique<links::echo>(*echo);
    }
    relaying->link_->send(links::make_frame(std::move(relay)));
}

} // namespace tamarack::gateway
