// traffic: what the gateways tell each other of parts of prompts that end engines.
#include "gateway/traffic.hpp"

#include <boost/asio/post.hpp>

namespace tamarack::gateway {

namespace asio = boost::asio;

void traffic::restore_quarantine(std::vector<std::string> parts) {
    asio::post(context_, [this, parts = std::move(parts)] {
        fleet_.quarantine_.restore(parts, boot_now_ms());
        update_quarantine();
    });
}

void traffic::release_parts(std::vector<std::string> parts) {
    asio::post(context_, [this, parts = std::move(parts)] {
        for (const std::string& part : parts) {
            fleet_.quarantine_.release(part, boot_now_ms());
        }
        update_quarantine();
    });
}

// Adds what the others should know of engines that ended, and of the quarantined parts.
void traffic::add_quarantine(links::gateway_digest& digest) {
    const bool whole = reader_rank_ < store_reader_count;
    const quarantine::announcement all = fleet_.quarantine_.announce(boot_now_ms(), whole);
    for (const quarantine::engine_end& one : all.ends_) {
        auto end = std::make_unique<links::engine_end>();
        end->engine = one.engine_;
        end->incarnation = one.incarnation_;
        end->age_ms = one.age_ms_;
        end->suspects = one.suspects_;
        digest.ends.push_back(std::move(end));
    }
    for (const quarantine::part_state& one : all.parts_) {
        auto part = std::make_unique<links::part_state>();
        part->part = one.part_;
        part->quarantined = one.quarantined_;
        part->age_ms = one.age_ms_;
        part->trial_ms = one.trial_ms_;
        digest.parts.push_back(std::move(part));
    }
    digest.parts_complete = all.complete_;
}

void traffic::apply_quarantine(const links::gateway_digest& digest, time_ms late_ms) {
    if (digest.from == settings_.id_) {
        return;
    }
    quarantine::announcement announced;
    for (const auto& one : digest.ends) {
        announced.ends_.push_back({one->engine, one->incarnation, one->age_ms, one->suspects});
    }
    for (const auto& one : digest.parts) {
        announced.parts_.push_back({one->part, one->quarantined, one->age_ms, one->trial_ms});
    }
    announced.complete_ = digest.parts_complete;
    if (!announced.empty()) {
        fleet_.quarantine_.apply(announced, late_ms, boot_now_ms());
        update_quarantine();
    }
}

// Logs what has changed, and ends the requests that now have a quarantined part.
void traffic::update_quarantine() {
    const auto changes = fleet_.quarantine_.update(boot_now_ms());
    if (fleet_.quarantine_.informed() && !std::exchange(quarantine_known_, true)) {
        handlers_.quarantine_known_();
    }
    bool parts_changed = false;
    for (const quarantine::change& one : changes) {
        std::string engines;
        for (const std::string& engine : one.engines_) {
            engines += (engines.empty() ? "" : ",") + engine;
        }
        events_.write({event_kind::fleet_view,
                       "gateway",
                       std::string(quarantine::to_string(one.kind_)),
                       {},
                       {{"part", one.part_},
                        {"engines", engines},
                        {"suspects", one.suspects_},
                        {"reason", one.reason_}}});
        measures_.count("tamarack_quarantine_changes_total",
                        "Engines that ended with requests, and parts of prompts quarantined and released",
                        {{"change", std::string(quarantine::to_string(one.kind_))}});
        parts_changed = parts_changed || one.kind_ != quarantine::change_kind::engine_ended;
    }
    if (!parts_changed) {
        return;
    }
    const std::vector<std::string> parts = fleet_.quarantine_.quarantined();
    measures_.set("tamarack_quarantined_parts", "Parts of prompts that are quarantined", {},
                  double(parts.size()));
    handlers_.quarantine_changed_(parts, reader_rank_ == 0);
    const std::vector<std::shared_ptr<response_sink>> open(sessions_.begin(), sessions_.end());
    for (const auto& one : open) {
        std::static_pointer_cast<client_session>(one)->end_if_quarantined();
    }
}

} // namespace tamarack::gateway
