#include "entry/control.hpp"

#include "platform/admin.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace tamarack::entry {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds platform_limit{2'000};
constexpr std::chrono::milliseconds drain_interval{20};

// Share of the hash space, for spreading instances over time.
double share_of(const std::string& id) {
    constexpr double hash_space = 18446744073709551616.0;
    return double(hash64(id)) / hash_space;
}

} // namespace

control::control(const entry_settings& settings)
    : settings_(settings), incarnation_(new_incarnation()), context_(1),
      list_(
          (*registry<instance_list_client_factory>::instance().find("http"))(settings.list_, platform_limit)),
      config_(
          context_.get_executor(),
          (*registry<log_client_factory>::instance().find("http"))(settings.log_, platform_limit),
          [this](const config_state&) { publish_view(); }, true, share_of(settings.id_)),
      admin_(context_, http::server_limits(),
             [this](http::exchange& current) -> asio::awaitable<void> { co_await handle_admin(current); }) {
    for (std::size_t index = 0; index < std::size_t(settings.traffic_threads_); ++index) {
        shard_events events;
        events.peer_config_ = [this](std::string encoded) {
            asio::post(context_, [this, encoded = std::move(encoded)] { config_.apply_peer_state(encoded); });
        };
        shards_.push_back(
            std::make_unique<shard>(settings, incarnation_, index, measures_, std::move(events)));
    }
}

int control::run() {
    for (const auto& one : shards_) {
        const auto listening = one->listen();
        if (!ok(listening)) {
            log_warning("entry", to_string(failure(listening)) + ".");
            return 1;
        }
    }
    const auto admin_listening = admin_.listen(settings_.admin_);
    if (!ok(admin_listening)) {
        log_warning("entry", to_string(failure(admin_listening)) + ".");
        return 1;
    }
    for (const auto& one : shards_) {
        threads_.emplace_back([&one] { one->run(); });
    }
    config_.start();
    asio::co_spawn(context_, follow_list(), asio::detached);
    asio::signal_set signals(context_, SIGTERM, SIGINT);
    signals.async_wait([this](boost::system::error_code failed, int) {
        if (!failed) {
            asio::co_spawn(context_, shut_down(), asio::detached);
        }
    });
    log_info("entry", "Listens on port " + std::to_string(settings_.listen_.port()) + ".");
    context_.run();
    for (std::thread& thread : threads_) {
        thread.join();
    }
    log_info("entry", "Stopped.");
    return 0;
}

void control::publish_view() {
    auto view = std::make_shared<entry_view>();
    view->config_ = config_.state();
    view->encoded_config_ = encode_state(config_.state());
    view->instances_ = instances_;
    for (const auto& one : shards_) {
        one->update(view);
    }
    measures_.set("tamarack_config_version", "Version of the tables in force", {},
                  double(view->config_.version_));
}

asio::awaitable<void> control::follow_list() {
    asio::steady_timer pause(context_);
    while (!leaving_) {
        result<std::vector<listed_instance>> fetched = co_await list_.fetch_();
        if (ok(fetched) && value(fetched) != instances_) {
            instances_ = std::move(value(fetched));
            publish_view();
        }
        pause.expires_after(std::chrono::milliseconds(settings_.list_interval_ms_));
        co_await pause.async_wait(asio::use_awaitable);
    }
}

bool control::ready() const {
    const bool connected = std::any_of(shards_.begin(), shards_.end(),
                                       [](const auto& one) { return one->connected_agents() > 0; });
    return !leaving_ && config_.state().version_ != no_version && connected;
}

std::int64_t control::in_service() const {
    std::int64_t total = 0;
    for (const auto& one : shards_) {
        total += one->in_service();
    }
    return total;
}

asio::awaitable<void> control::handle_admin(http::exchange& current) {
    nlohmann::json body = {{"ready", ready()}, {"version", config_.state().version_}, {"leaving", leaving_}};
    body["in_service"] = in_service();
    http::response answer = admin_response(current.incoming().path(), measures_, ready(), body.dump());
    co_await current.reply(std::move(answer));
}

// Requests in service go on; the process ends once all are answered or the limit has passed.
asio::awaitable<void> control::shut_down() {
    leaving_ = true;
    log_info("entry", "Leaves; " + std::to_string(in_service()) + " requests are in service.");
    for (const auto& one : shards_) {
        one->drain();
    }
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(settings_.shutdown_ms_);
    asio::steady_timer pause(context_);
    while (in_service() > 0 && std::chrono::steady_clock::now() < until) {
        pause.expires_after(drain_interval);
        co_await pause.async_wait(asio::use_awaitable);
    }
    if (in_service() > 0) {
        log_warning("entry", std::to_string(in_service()) + " requests were cut by the shutdown limit.");
    }
    for (const auto& one : shards_) {
        one->stop();
    }
    context_.stop();
}

} // namespace tamarack::entry
