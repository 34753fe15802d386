// traffic: what the gateways tell each other of engines that end, and of what ends them.
#include "gateway/traffic.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>

namespace tamarack::gateway {

namespace asio = boost::asio;

namespace {

// Time of day as of the start of this process, on the clock of `boot_now_ms`. A later step of the time of day
// does not change what the store is to keep.
std::int64_t unix_ms(time_ms boot_now) {
    using namespace std::chrono;
    static const std::int64_t unix_of_boot =
        duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count() - boot_now_ms();
    return unix_of_boot + boot_now;
}

} // namespace

void traffic::restore_quarantine(std::map<std::string, std::string> records) {
    asio::post(context_, [this, records = std::move(records)] {
        const time_ms now = boot_now_ms();
        fleet_.quarantine_.restore(quarantine::from_records(records, unix_ms(now)), now);
        update_quarantine();
    });
}

void traffic::release_suspects(std::vector<std::string> suspects) {
    asio::post(context_, [this, suspects = std::move(suspects)] {
        for (const std::string& suspect : suspects) {
            fleet_.quarantine_.release(suspect, boot_now_ms());
        }
        update_quarantine();
    });
}

// Adds what the others should know of engines that ended, and of what is quarantined.
void traffic::add_quarantine(links::gateway_digest& digest) {
    const bool whole = reader_rank_ < store_reader_count;
    const quarantine::announcement all = fleet_.quarantine_.announce(boot_now_ms(), whole);
    for (const quarantine::engine_end& one : all.ends_) {
        auto end = std::make_unique<links::engine_end>();
        end->engine = one.engine_;
        end->incarnation = one.incarnation_;
        end->age_ms = one.age_ms_;
        end->suspects = one.suspects_;
        end->answered = one.answered_;
        digest.ends.push_back(std::move(end));
    }
    for (const quarantine::suspect_state& one : all.states_) {
        auto part = std::make_unique<links::part_state>();
        part->part = one.suspect_;
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
        announced.ends_.push_back({one->engine, one->incarnation, one->age_ms, one->suspects, one->answered});
    }
    for (const auto& one : digest.parts) {
        announced.states_.push_back({one->part, one->quarantined, one->age_ms, one->trial_ms});
    }
    announced.complete_ = digest.parts_complete;
    quarantine::drop_unknown_names(announced);
    if (!announced.empty()) {
        fleet_.quarantine_.apply(announced, late_ms, boot_now_ms());
        update_quarantine();
    }
}

// Logs what has changed, and ends the requests that are now quarantined.
void traffic::update_quarantine() {
    const auto changes = fleet_.quarantine_.update(boot_now_ms());
    if (fleet_.quarantine_.informed() && !std::exchange(quarantine_known_, true)) {
        handlers_.quarantine_known_();
    }
    bool list_changed = false;
    for (const quarantine::change& one : changes) {
        std::string engines;
        for (const std::string& engine : one.engines_) {
            engines += (engines.empty() ? "" : ",") + engine;
        }
        events_.write({event_kind::fleet_view,
                       "gateway",
                       std::string(quarantine::to_string(one.kind_)),
                       {},
                       {{"suspect", one.suspect_},
                        {"engines", engines},
                        {"suspects", one.suspects_},
                        {"reason", one.reason_}}});
        measures_.count("tamarack_quarantine_changes_total",
                        "Engines that ended with requests, and suspects quarantined and released",
                        {{"change", std::string(quarantine::to_string(one.kind_))}});
        list_changed = list_changed || one.kind_ != quarantine::change_kind::engine_ended;
    }
    if (fleet_.quarantine_.take_memory_changed()) {
        tell_quarantine_memory();
    }
    if (!list_changed) {
        return;
    }
    const std::vector<std::string> suspects = fleet_.quarantine_.quarantined();
    const auto requests = std::count_if(suspects.begin(), suspects.end(), quarantine::names_request);
    const auto set = [&](const char* kind, std::int64_t count) {
        measures_.set("tamarack_quarantined", "Requests and parts of prompts that are quarantined",
                      {{"kind", kind}}, double(count));
    };
    set("request", requests);
    set("part", std::int64_t(suspects.size()) - requests);
    listener_.end_quarantined();
}

// Tells the control thread what the store should keep.
void traffic::tell_quarantine_memory() {
    const time_ms now = boot_now_ms();
    handlers_.quarantine_changed_(quarantine::to_records(fleet_.quarantine_.memory(now), unix_ms(now)),
                                  reader_rank_ == 0);
}

} // namespace tamarack::gateway
