#include "gateway/endpoint.hpp"

#include <algorithm>

namespace tamarack::gateway {

namespace {

// Agents send a report in this interval, or less often where there are many gateways.
constexpr time_ms min_report_interval_ms = 100;
constexpr time_ms report_interval_ms_per_gateway = 10;

constexpr time_ms allowed_missed_reports = 3; // consecutive reports that may be missing
constexpr time_ms report_transit_ms = 100;    // time of a report on its way to the gateway

// Time in which an endpoint's entry and its agent's reports catch up with what it holds.
constexpr time_ms rejection_ms = 2'000;

// Each gateway may open this many connections to an endpoint, even if there are many gateways.
constexpr int min_connections = 4;

constexpr double usable_connection_share = 0.9;  // part of an endpoint's limit that all gateways together use
constexpr std::size_t max_idle_connections = 24; // idle connections that a gateway keeps to one endpoint

} // namespace

endpoint::endpoint(fleet::endpoint_record record, boost::asio::any_io_executor executor)
    : record_(std::move(record)), executor_(std::move(executor)) {}

endpoint::~endpoint() {
    for (const auto& connection : idle_) {
        connection->close();
    }
}

void endpoint::update(const fleet::endpoint_record& record) {
    if (record.incarnation_ != record_.incarnation_ || record.address_ != record_.address_) {
        engine_ = engine_view();
        gone_ = false;
        forget_rejections();
    }
    if (record.models_ != record_.models_) {
        forget_rejections();
    }
    record_ = record;
}

bool endpoint::accepts_requests() const {
    return !gone_ && !record_.leaving_ && !(engine_.known_ && engine_.leaving_);
}

bool endpoint::report_overdue(time_ms now, int gateway_count) const {
    return silent_for_reports(allowed_missed_reports, now, gateway_count);
}

bool endpoint::report_missed(time_ms now, int gateway_count) const {
    return silent_for_reports(1, now, gateway_count);
}

bool endpoint::silent_for_reports(time_ms reports, time_ms now, int gateway_count) const {
    const time_ms interval =
        std::max(min_report_interval_ms, report_interval_ms_per_gateway * time_ms(gateway_count));
    return engine_.known_ && now - engine_.reported_at_ > reports * interval + report_transit_ms;
}

const std::vector<fleet::held_model>& endpoint::models() const {
    return engine_.known_ ? engine_.models_ : record_.models_;
}

void endpoint::note_rejection(const std::string& model, time_ms now) {
    std::erase_if(rejections_, [&](const auto& entry) { return now - entry.second >= rejection_ms; });
    rejections_[model] = now;
}

bool endpoint::has_rejected(const std::string& model, time_ms now) const {
    const auto found = rejections_.find(model);
    return found != rejections_.end() && now - found->second < rejection_ms;
}

const fleet::held_model* endpoint::find_model(std::string_view name) const {
    const auto& held = models();
    const auto found = std::find_if(held.begin(), held.end(),
                                    [&](const fleet::held_model& one) { return one.name_ == name; });
    return found == held.end() ? nullptr : &*found;
}

std::shared_ptr<endpoint_connection> endpoint::take_idle_connection(time_ms now, time_ms longest_idle_ms,
                                                                    std::string_view request_id) {
    const std::uint64_t id = hash64(request_id);
    for (std::size_t left = idle_.size(); left > 0; --left) {
        const std::shared_ptr<endpoint_connection> newest = idle_[left - 1];
        // Bytes that have arrived belong to no request.
        if (newest->usable_until_ <= now || newest->has_unread_bytes()) {
            drop_idle_connection(newest);
            continue;
        }
        if (now - newest->idle_since_ > longest_idle_ms) {
            return nullptr;
        }
        const auto& refused = newest->refused_ids_;
        if (std::find(refused.begin(), refused.end(), id) != refused.end()) {
            continue;
        }
        idle_.erase(idle_.begin() + std::ptrdiff_t(left - 1));
        newest->idle_ = false;
        return newest;
    }
    return nullptr;
}

void endpoint::keep_idle_connection(std::shared_ptr<endpoint_connection> connection, time_ms now,
                                    time_ms usable_ms) {
    connection->idle_ = true;
    connection->idle_since_ = now;
    connection->usable_until_ = now + usable_ms;
    idle_.push_back(connection);
    watch_idle_connection(connection);
    if (idle_.size() > max_idle_connections) {
        drop_idle_connection(idle_.front());
    }
}

// Closes an idle connection when bytes arrive, which belong to no request, or when it ends.
void endpoint::watch_idle_connection(const std::shared_ptr<endpoint_connection>& connection) {
    if (connection->watched_) {
        return;
    }
    connection->watched_ = true;
    connection->wait_readable([weak = weak_from_this(), connection](boost::system::error_code) {
        connection->watched_ = false;
        if (const auto self = weak.lock(); self && connection->idle_) {
            self->drop_idle_connection(connection);
        }
    });
}

void endpoint::drop_idle_connection(const std::shared_ptr<endpoint_connection>& connection) {
    if (std::erase(idle_, connection) == 0) {
        return;
    }
    connection->idle_ = false;
    --connections_;
    connection->close();
}

bool endpoint::may_connect(int max_connections, int gateway_count) const {
    if (max_connections <= 0) {
        return true;
    }
    const int share = int(usable_connection_share * max_connections / std::max(1, gateway_count));
    return connections_ < std::max(min_connections, share);
}

} // namespace tamarack::gateway
