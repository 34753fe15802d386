#include "entry/control.hpp"

#include "platform/admin.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace tamarack::entry {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds platform_timeout{2'000};
constexpr std::chrono::milliseconds drain_poll_interval{20};

// Time for the last responses to be written.
constexpr std::chrono::milliseconds last_response_time{150};

// Hash of the id as a fraction of the hash space. Spreads the instances' snapshot writes over time.
double hash_fraction(const std::string& id) {
    constexpr double hash_space = 18446744073709551616.0;
    return double(hash64(id)) / hash_space;
}

} // namespace

control_thread::control_thread(const entry_settings& settings)
    : settings_(settings), incarnation_(new_incarnation()), context_(1),
      list_client_((*registry<instance_list_client_factory>::instance().find("http"))(settings.list_,
                                                                                      platform_timeout)),
      config_(
          context_.get_executor(),
          (*registry<log_client_factory>::instance().find("http"))(settings.log_, platform_timeout),
          [this](const config_state&) { publish_view(); }, true, hash_fraction(settings.id_)),
      admin_(context_, http::server_limits(),
             [this](http::exchange& current) -> asio::awaitable<void> { co_await handle_admin(current); }) {
    for (std::size_t index = 0; index < std::size_t(settings.traffic_threads_); ++index) {
        shard_callbacks callbacks;
        callbacks.on_peer_config_ = [this](std::string encoded) {
            asio::post(context_, [this, encoded = std::move(encoded)] { config_.apply_peer_state(encoded); });
        };
        shards_.push_back(
            std::make_unique<shard>(settings, incarnation_, index, metrics_, std::move(callbacks)));
    }
}

int control_thread::run() {
    for (const auto& shard_ptr : shards_) {
        const auto listening = shard_ptr->listen();
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
    for (const auto& shard_ptr : shards_) {
        threads_.emplace_back([&shard_ptr] { shard_ptr->run(); });
    }
    config_.start();
    asio::co_spawn(context_, poll_instance_list(), asio::detached);
    asio::signal_set signals(context_, SIGTERM, SIGINT);
    signals.async_wait([this](boost::system::error_code failed, int) {
        if (!failed) {
            asio::co_spawn(context_, shut_down(), asio::detached);
        }
    });
    log_info("entry", "Listening on port " + std::to_string(settings_.listen_.port()) + ".");
    context_.run();
    for (std::thread& thread : threads_) {
        thread.join();
    }
    log_info("entry", "Stopped.");
    return 0;
}

void control_thread::publish_view() {
    auto view = std::make_shared<entry_view>();
    view->config_ = config_.state();
    view->encoded_config_ = encode_state(config_.state());
    view->instances_ = instances_;
    for (const auto& shard_ptr : shards_) {
        shard_ptr->update(view);
    }
    metrics_.set("tamarack_config_version", "Version of the tables in force", {},
                 double(view->config_.version_));
}

asio::awaitable<void> control_thread::poll_instance_list() {
    asio::steady_timer timer(context_);
    while (!shutting_down_) {
        const time_ms called_at = boot_now_ms();
        result<std::vector<listed_instance>> fetched = co_await list_client_.fetch_();
        list_as_of_ = ok(fetched) ? called_at : list_as_of_;
        if (ok(fetched) && value(fetched) != instances_) {
            instances_ = std::move(value(fetched));
            publish_view();
        }
        timer.expires_after(std::chrono::milliseconds(settings_.list_interval_ms_));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

// Callers' connections are spread over the shards, so the entry can serve only as well as its worst one.
std::int64_t control_thread::connected_agents() const {
    std::int64_t least = std::numeric_limits<std::int64_t>::max();
    for (const auto& shard_ptr : shards_) {
        least = std::min(least, shard_ptr->connected_agents());
    }
    return least;
}

bool control_thread::ready() const {
    return !shutting_down_ && config_.state().version_ != no_version && connected_agents() > 0;
}

std::int64_t control_thread::requests_in_flight() const {
    std::int64_t total = 0;
    for (const auto& shard_ptr : shards_) {
        total += shard_ptr->requests_in_flight();
    }
    return total;
}

asio::awaitable<void> control_thread::handle_admin(http::exchange& current) {
    nlohmann::json body = {
        {"ready", ready()}, {"version", config_.state().version_}, {"leaving", shutting_down_}};
    body["in_service"] = requests_in_flight();
    body["connected_agents"] = connected_agents();
    body["list_age_ms"] = list_as_of_ < 0 ? -1 : boot_now_ms() - list_as_of_;
    http::response response = admin_response(current.incoming().path(), metrics_, ready(), body.dump());
    co_await current.reply(std::move(response));
}

asio::awaitable<void> control_thread::wait_until_idle(std::chrono::steady_clock::time_point until) {
    asio::steady_timer timer(context_);
    while (requests_in_flight() > 0 && std::chrono::steady_clock::now() < until) {
        timer.expires_after(drain_poll_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

// Lets the requests in flight finish and stops the process once none remains or `shutdown_ms_` has elapsed.
// Callers whose requests are still at an endpoint then learn that the outcome is unknown.
asio::awaitable<void> control_thread::shut_down() {
    shutting_down_ = true;
    log_info("entry", "Shutting down; " + std::to_string(requests_in_flight()) + " requests are in flight.");
    for (const auto& shard_ptr : shards_) {
        shard_ptr->drain();
    }
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(settings_.shutdown_ms_);
    co_await wait_until_idle(until);
    if (requests_in_flight() > 0) {
        log_warning("entry",
                    std::to_string(requests_in_flight()) + " requests were ended at the shutdown timeout.");
        for (const auto& shard_ptr : shards_) {
            shard_ptr->close_links();
        }
        co_await wait_until_idle(until + last_response_time);
    }
    for (const auto& shard_ptr : shards_) {
        shard_ptr->stop();
    }
    context_.stop();
}

} // namespace tamarack::entry
