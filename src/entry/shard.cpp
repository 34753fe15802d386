#include "entry/shard.hpp"

#include "entry/answers.hpp"
#include "entry/routed_request.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace tamarack::entry {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds key_request_timeout{1'000};

http::server_limits server_limits_of(const entry_settings& settings) {
    http::server_limits limits;
    limits.header_bytes_ = std::size_t(settings.max_header_bytes_);
    limits.body_bytes_ = std::size_t(settings.max_body_bytes_);
    limits.connections_ = std::size_t(settings.max_connections_ / settings.traffic_threads_) + 1;
    limits.idle_ = std::chrono::milliseconds(settings.idle_ms_);
    limits.write_ = std::chrono::milliseconds(settings.write_ms_);
    return limits;
}

agent_status to_agent_status(const wire::status& status) {
    return {status.incarnation_, status.leaving_,  status.queued_,    status.running_,
            status.wait_ms_,     status.resident_, status.same_items_};
}

} // namespace

shard::shard(const entry_settings& settings, std::uint64_t incarnation, std::size_t index,
             metrics& process_metrics, shard_callbacks callbacks)
    : settings_(settings), incarnation_(incarnation), index_(index), metrics_(process_metrics),
      callbacks_(std::move(callbacks)), context_(1),
      server_(context_, server_limits_of(settings),
              [this](http::exchange& current) -> asio::awaitable<void> { co_await handle(current); }),
      view_(std::make_shared<entry_view>()), members_(settings.heartbeat_limit_ms_),
      random_(mix64(incarnation, index)), work_(asio::make_work_guard(context_)) {}

result<done> shard::listen() {
    return server_.listen(settings_.listen_);
}

void shard::run() {
    context_.run();
}

void shard::update(std::shared_ptr<const entry_view> view) {
    asio::post(context_, [this, view = std::move(view)] { apply_view(view); });
}

void shard::drain() {
    asio::post(context_, [this] { server_.stop_accepting(); });
}

void shard::close_links() {
    asio::post(context_, [this] {
        for (const auto& [id, link] : links_) {
            link->stop();
        }
    });
}

void shard::stop() {
    close_links();
    asio::post(context_, [this] {
        work_.reset();
        context_.stop();
    });
}

void shard::apply_view(std::shared_ptr<const entry_view> view) {
    const bool new_config = view->config_.version_ != view_->config_.version_;
    view_ = std::move(view);
    members_.apply_list(view_->instances_);
    homes_.clear();
    update_links();
    if (!new_config || index_ != 0) {
        return;
    }
    for (const auto& [id, link] : links_) {
        // The frame carries the new version; an agent with an older one requests the configuration.
        link->send(make_hello());
    }
}

void shard::update_links() {
    for (auto found = links_.begin(); found != links_.end();) {
        auto member = members_.endpoints().find(found->first);
        const bool gone = member == members_.endpoints().end();
        const bool moved = !gone && member->second.instance_.port_ != found->second->port();
        if (!gone && !moved) {
            ++found;
            continue;
        }
        found->second->retire();
        if (moved) {
            members_.connection_lost(found->first);
        }
        found = links_.erase(found);
    }
    for (const auto& [id, endpoint] : members_.endpoints()) {
        if (!links_.contains(id)) {
            links_[id] = make_link(endpoint.instance_);
            links_[id]->start();
        }
    }
    update_connected_agents();
}

wire::hello shard::make_hello() const {
    return {wire::protocol_version, settings_.id_, "entry", incarnation_};
}

std::shared_ptr<agent_link> shard::make_link(const listed_instance& instance) {
    link_callbacks callbacks;
    callbacks.on_status_ = [this](const std::string& id, const wire::status& status) {
        apply_status(id, status);
    };
    callbacks.on_disconnected_ = [this](const std::string& id) {
        members_.connection_lost(id);
        update_connected_agents();
    };
    callbacks.config_version_ = [this] { return view_->config_.version_; };
    callbacks.config_state_ = [this] { return view_->encoded_config_; };
    callbacks.on_peer_config_ = [this](std::string encoded) {
        callbacks_.on_peer_config_(std::move(encoded));
    };
    return std::make_shared<agent_link>(context_.get_executor(), instance, make_hello(),
                                        std::move(callbacks));
}

void shard::apply_status(const std::string& id, const wire::status& status) {
    members_.apply_status(id, to_agent_status(status), steady_now_ms());
    sent_since_status_[id] = 0;
    update_connected_agents();
}

void shard::update_connected_agents() {
    connected_agents_ = std::count_if(members_.endpoints().begin(), members_.endpoints().end(),
                                      [](const auto& entry) { return entry.second.connected_; });
}

const home_map& shard::homes(const std::string& pool) {
    auto found = homes_.find(pool);
    if (found != homes_.end()) {
        return found->second;
    }
    std::vector<std::string> endpoints;
    for (const endpoint_view* endpoint : members_.pool_endpoints(pool)) {
        if (!endpoint->instance_.leaving_) {
            endpoints.push_back(endpoint->instance_.id_);
        }
    }
    const pool_row& row = view_->config_.tables_.pools_.find(pool)->second;
    return homes_.emplace(pool, assign_homes(row, endpoints)).first->second;
}

asio::awaitable<void> shard::handle(http::exchange& current) {
    ++in_flight_;
    const std::string_view path = current.incoming().path();
    const std::string& method = current.incoming().method_;
    if (path == "/v1/models" && method == "GET") {
        co_await list_models(current);
    } else if (path == "/v1/keys" && method == "POST") {
        co_await issue_key(current);
    } else {
        co_await serve(current);
    }
    --in_flight_;
}

asio::awaitable<void> shard::list_models(http::exchange& current) {
    nlohmann::json models = nlohmann::json::array();
    for (const auto& [name, pool] : view_->config_.tables_.pools_) {
        for (const model_row& model : pool.models_) {
            models.push_back({{"id", model.name_}, {"object", "model"}, {"owned_by", name}});
            for (const adapter_row& adapter : model.adapters_) {
                const std::string id = model.name_ + ":" + adapter.name_;
                models.push_back({{"id", id}, {"object", "model"}, {"owned_by", name}});
            }
        }
    }
    const nlohmann::json body = {{"object", "list"}, {"data", std::move(models)}};
    co_await current.reply(http::json_response(200, body.dump()));
}

// Issues a key that is bound to one agent of the pool named by the query parameter `pool`.
asio::awaitable<void> shard::issue_key(http::exchange& current) {
    const auto pool = current.incoming().query("pool");
    std::vector<std::string> usable;
    for (const endpoint_view* endpoint : members_.pool_endpoints(pool.value_or(""))) {
        if (members_.accepts_new_requests(*endpoint, steady_now_ms())) {
            usable.push_back(endpoint->instance_.id_);
        }
    }
    if (usable.empty()) {
        co_await current.reply(not_run_response(refusal_reason::no_endpoint, settings_.list_interval_ms_));
        co_return;
    }
    const std::shared_ptr<agent_link> link = links_[usable[random_() % usable.size()]];
    const std::uint64_t attempt_id = next_attempt_++;
    auto box = std::make_shared<mailbox>(context_.get_executor());
    std::optional<attempt_event> event;
    if (link->request_key(attempt_id, box)) {
        event = co_await box->receive(std::chrono::steady_clock::now() + key_request_timeout);
    }
    link->release(attempt_id);
    const auto* issued = event ? std::get_if<wire::key_issued>(&*event) : nullptr;
    if (issued == nullptr) {
        co_await current.reply(not_run_response(refusal_reason::no_endpoint, settings_.list_interval_ms_));
        co_return;
    }
    const nlohmann::json body = {{"key", issued->key_}};
    co_await current.reply(http::json_response(200, body.dump()));
}

} // namespace tamarack::entry
