#include "soak/referee.hpp"

#include <algorithm>

namespace tamarack::soak {

namespace {

// Statuses that promise that the request has not run and never will.
bool promises_not_run(int status) {
    constexpr int statuses[] = {408, 421, 429, 503};
    return std::find(std::begin(statuses), std::end(statuses), status) != std::end(statuses);
}

} // namespace

void referee::disturb(const std::string& part, time_ms from, time_ms until) {
    disturbances_.push_back({part, from, until});
}

// Whether the part was disturbed in a span or too shortly before it.
bool referee::disturbed(const std::string& part, time_ms from, time_ms until) const {
    return std::any_of(disturbances_.begin(), disturbances_.end(), [&](const span& one) {
        return (one.part_ == part || one.part_ == "all") && one.from_ <= until &&
               from <= one.until_ + bounds_.stable_ms_;
    });
}

void referee::sent(const sent_request& one) {
    requests_[one.id_].sent_ = one;
}

void referee::ran(const std::string& id, const std::string& engine, time_ms now) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        broken("an engine ran a request that no client sent: " + id);
        return;
    }
    request& one = found->second;
    one.runs_.push_back(engine);
    if (!one.sent_.repeatable_ && one.runs_.size() > 1) {
        broken("a request that must not run twice did: " + id);
    }
    if (!one.sent_.repeatable_ && one.refused_) {
        broken("a request ran after it was said not to have run: " + id);
    }
    if (one.sent_.repeatable_ && int(one.runs_.size()) > bounds_.most_attempts_) {
        broken("a request ran at too many engines: " + id);
    }
    const auto leaving = leaving_since_.find(engine);
    if (leaving != leaving_since_.end() && now > leaving->second + bounds_.drain_ms_ &&
        !disturbed(one.sent_.gateway_, leaving->second, now) && !disturbed(engine, leaving->second, now) &&
        !disturbed("store", leaving->second, now)) {
        broken("a leaving engine got a request " + std::to_string(now - leaving->second) +
               " ms later: " + id);
    }
}

void referee::answered(const std::string& id, const received_answer& answer, time_ms now) {
    constexpr int success = 200;
    request& one = requests_[id];
    one.final_ = true;
    one.status_ = answer.status_;
    one.answered_at_ = now;
    const auto said = said_leaving_.find(id);
    if (said != said_leaving_.end() && answer.status_ > 0) {
        told_leaving_.try_emplace({one.sent_.gateway_, said->second.first, said->second.second}, now);
    }
    if (promises_not_run(answer.status_)) {
        one.refused_ = true;
        if (!one.sent_.repeatable_ && !one.runs_.empty()) {
            broken("a request was said not to have run, though it had: " + id);
        }
    }
    if (answer.status_ == success && answer.complete_) {
        if (!answer.genuine_) {
            broken("a success is not what the engine made: " + id);
        }
        if (!answer.gapless_) {
            broken("a stream has a gap or a repeat: " + id);
        }
        one.served_ = answer.genuine_ && answer.gapless_;
        served_ += one.served_ ? 1 : 0;
    }
    constexpr int unauthorized = 401;
    if (answer.status_ == unauthorized) {
        judge_refused_key(one.sent_, now);
    }
    const time_ms due = one.sent_.sent_at_ + one.sent_.limit_ms_ + bounds_.late_answer_ms_;
    if (now > due && !disturbed(one.sent_.gateway_, one.sent_.sent_at_, now)) {
        broken("a final answer came " + std::to_string(now - due) + " ms too late: " + id);
    }
}

void referee::check_unanswered(time_ms now) {
    for (auto& [id, one] : requests_) {
        const time_ms due = one.sent_.sent_at_ + one.sent_.limit_ms_ + bounds_.late_answer_ms_;
        if (!one.final_ && now > due) {
            one.final_ = true;
            if (!disturbed(one.sent_.gateway_, one.sent_.sent_at_, now)) {
                broken("a request got no final answer: " + id);
            }
        }
    }
}

void referee::ordered(const std::string& engine, std::int64_t incarnation, const std::string& holder,
                      std::int64_t token) {
    engine_orders& known = orders_[engine];
    if (known.incarnation_ == incarnation && known.holder_ != holder) {
        broken("an engine took orders of two holders: " + engine);
    }
    if (known.incarnation_ == incarnation && token < known.token_) {
        broken("the fencing token fell at " + engine);
    }
    known = {incarnation, holder, token};
}

void referee::holds(const std::string& engine, double used_mb, double capacity_mb, int adapters,
                    int adapter_slots) {
    if (used_mb > capacity_mb) {
        broken("the memory of " + engine + " is overcommitted");
    }
    if (adapters > adapter_slots) {
        broken("the adapter slots of " + engine + " are overcommitted");
    }
}

void referee::limits(const std::string& engine, std::optional<double> per_s, time_ms now) {
    if (!per_s) {
        limited_.erase(engine);
        return;
    }
    limited_engine& one = limited_[engine];
    if (one.limits_.empty()) {
        one.first_named_at_ = now;
    }
    one.limits_.emplace_back(now, *per_s);
}

void referee::told_limit(const std::string& id, const std::string& engine, time_ms now) {
    const auto found = limited_.find(engine);
    const auto sent = requests_.find(id);
    if (found != limited_.end() && sent != requests_.end()) {
        found->second.told_.try_emplace(sent->second.sent_.gateway_, now);
    }
}

// Requests that the limits of an engine let arrive in a span.
double referee::allowed_by(const limited_engine& one, time_ms from, time_ms until) {
    constexpr double ms_per_s = 1'000;
    double allowed = 0;
    for (std::size_t index = 0; index < one.limits_.size(); ++index) {
        const auto& [since, per_s] = one.limits_[index];
        const time_ms end = index + 1 < one.limits_.size() ? one.limits_[index + 1].first : until;
        const time_ms held = std::min(end, until) - std::max(since, from);
        allowed += per_s * double(std::max<time_ms>(0, held)) / ms_per_s;
    }
    return allowed;
}

void referee::said_leaving(const std::string& id, const std::string& engine, std::int64_t incarnation) {
    said_leaving_[id] = {engine, incarnation};
}

void referee::asked_back_off(const std::string& id, const std::string& engine, time_ms asked, time_ms now) {
    const auto sent = requests_.find(id);
    if (sent != requests_.end()) {
        back_offs_[{sent->second.sent_.gateway_, engine}].push_back(
            {now + bounds_.back_off_told_ms_, now + asked, 0});
    }
}

void referee::forgets(const std::string& gateway) {
    std::erase_if(told_leaving_, [&](const auto& entry) { return std::get<0>(entry.first) == gateway; });
    std::erase_if(back_offs_, [&](const auto& entry) { return entry.first.first == gateway; });
    std::erase_if(said_leaving_, [&](const auto& entry) {
        const auto sent = requests_.find(entry.first);
        return sent != requests_.end() && sent->second.sent_.gateway_ == gateway;
    });
}

void referee::arrived_at(const std::string& id, const std::string& engine, std::int64_t incarnation,
                         time_ms now) {
    const auto sent = requests_.find(id);
    if (sent != requests_.end()) {
        note_arrival_after_leaving(sent->second.sent_.gateway_, engine, incarnation, now);
        note_arrival_in_back_off(sent->second.sent_.gateway_, engine, now);
    }
}

// Holds whether or not the gateway reaches the store, and while the store is away.
void referee::note_arrival_after_leaving(const std::string& gateway, const std::string& engine,
                                         std::int64_t incarnation, time_ms now) {
    const auto told = told_leaving_.find({gateway, engine, incarnation});
    if (told == told_leaving_.end() || now <= told->second + bounds_.drain_ms_) {
        return;
    }
    broken(gateway + " sent a request to " + engine + " " + std::to_string(now - told->second) +
           " ms after it had passed on an answer that it leaves");
    told_leaving_.erase(told);
}

void referee::note_arrival_in_back_off(const std::string& gateway, const std::string& engine, time_ms now) {
    const auto found = back_offs_.find({gateway, engine});
    if (found == back_offs_.end()) {
        return;
    }
    for (back_off& one : found->second) {
        const bool inside = now >= one.from_ && now < one.until_;
        const bool excused = disturbed(gateway, one.from_ - bounds_.back_off_told_ms_, now) ||
                             disturbed(engine, one.from_ - bounds_.back_off_told_ms_, now);
        if (inside && !excused && ++one.arrivals_ == bounds_.sends_in_back_off_ + 1) {
            broken(engine + " wanted no requests of " + gateway + " and got " +
                   std::to_string(one.arrivals_));
        }
    }
}

void referee::crashed_by_part(time_ms now) {
    crashing_part_.crashes_.push_back(now);
}

void referee::crashed_by_request(const std::string& path, time_ms now) {
    crashing_requests_[path].crashes_.push_back(now);
}

void referee::note_crashing_arrival(const request& one, time_ms now) {
    if (one.sent_.crashing_) {
        note_crashing_arrival("the part", crashing_part_, bounds_.crashes_of_part_, one, now);
    }
    if (const std::string& path = one.sent_.crashing_request_; !path.empty()) {
        note_crashing_arrival(path, crashing_requests_[path], bounds_.crashes_of_request_, one, now);
    }
}

// Counts an arrival later than `stable_ms_` after so many engines had ended for the cause.
void referee::note_crashing_arrival(const std::string& name, crash_cause& cause, int crashes,
                                    const request& one, time_ms now) {
    if (cause.crashes_.size() < std::size_t(crashes)) {
        return;
    }
    const time_ms from = cause.crashes_[std::size_t(crashes) - 1] + bounds_.stable_ms_;
    if (now <= from || disturbed(one.sent_.gateway_, from - bounds_.stable_ms_, now) ||
        disturbed("store", from - bounds_.stable_ms_, now)) {
        return;
    }
    // A request that is itself the cause counts once, however many engines it reaches.
    const bool counted = one.sent_.crashing_request_.empty() || cause.counted_.insert(one.sent_.id_).second;
    if (counted && ++cause.sends_after_ == bounds_.sends_after_crashes_ + 1) {
        broken("requests with " + name + ", under which " + std::to_string(crashes) +
               " engines had ended, arrived " + std::to_string(cause.sends_after_) +
               " times more, the last from " + one.sent_.gateway_);
    }
}

void referee::check_sound_requests(time_ms now) {
    const std::vector<time_ms>& crashes = crashing_part_.crashes_;
    if (crashes.empty()) {
        return;
    }
    const std::size_t deciding = std::min(crashes.size(), std::size_t(bounds_.crashes_of_part_)) - 1;
    const time_ms from = crashes[deciding] + 2 * bounds_.stable_ms_;
    struct counts {
        int sent_ = 0;
        int begun_ = 0;
    };
    std::map<std::string, std::pair<counts, counts>>
        by_part; // counts before the first crash and after `from`
    for (const auto& [id, one] : requests_) {
        const sent_request& sent = one.sent_;
        const bool before = sent.sent_at_ + bounds_.stable_ms_ < crashes.front();
        const bool after = sent.sent_at_ >= from && sent.sent_at_ + sent.limit_ms_ < now;
        if (sent.first_part_.empty() || sent.crashing_ || !sent.owed_ || (!before && !after) ||
            disturbed(sent.gateway_, sent.sent_at_, sent.sent_at_) ||
            disturbed("store", sent.sent_at_, sent.sent_at_) ||
            disturbed("links", sent.sent_at_, sent.sent_at_)) {
            continue;
        }
        counts& part = before ? by_part[sent.first_part_].first : by_part[sent.first_part_].second;
        ++part.sent_;
        part.begun_ += one.runs_.empty() ? 0 : 1;
    }
    for (const auto& [part, both] : by_part) {
        const auto& [usual, later] = both;
        const int least = bounds_.least_sound_requests_;
        if (usual.sent_ >= least && later.sent_ >= least &&
            2.0 * later.begun_ / later.sent_ < double(usual.begun_) / usual.sent_) {
            broken("sound requests with the first part " + part + " began " + std::to_string(later.begun_) +
                   " of " + std::to_string(later.sent_) + " times after the crashes, " +
                   std::to_string(usual.begun_) + " of " + std::to_string(usual.sent_) + " times before");
        }
    }
}

void referee::arrived(const std::string& id, const std::string& engine, time_ms now) {
    const auto found = limited_.find(engine);
    const auto sent = requests_.find(id);
    if (sent != requests_.end()) {
        note_crashing_arrival(sent->second, now);
    }
    if (found == limited_.end() || sent == requests_.end()) {
        return;
    }
    limited_engine& one = found->second;
    ++one.arrived_;
    const std::string& gateway = sent->second.sent_.gateway_;
    const auto told = one.told_.find(gateway);
    if (told == one.told_.end() || now < told->second + bounds_.limit_told_ms_ ||
        now < one.first_named_at_ + bounds_.stable_ms_) {
        return;
    }
    one.arrivals_.emplace_back(now, gateway);
    const time_ms from = now - bounds_.limit_window_ms_;
    while (one.arrivals_.front().first <= from) {
        one.arrivals_.pop_front();
    }
    const auto count = std::count_if(one.arrivals_.begin(), one.arrivals_.end(), [&](const auto& arrival) {
        return !disturbed(arrival.second, from, now);
    });
    const double allowed = bounds_.limit_share_ * allowed_by(one, from, now) + bounds_.limit_slack_;
    if (double(count) > allowed && !std::exchange(one.reported_, true)) {
        broken(engine + " limits its requests and got " + std::to_string(count) + " where " +
               std::to_string(int(allowed)) + " were allowed");
    }
}

void referee::loads_from_store(time_ms now) {
    store_loads_.push_back(now);
    while (store_loads_.front() <= now - bounds_.load_window_ms_) {
        store_loads_.pop_front();
    }
    if (int(store_loads_.size()) > bounds_.loads_in_window_ &&
        !disturbed("links", now - bounds_.load_window_ms_, now)) {
        broken(std::to_string(store_loads_.size()) + " loads from the weight store began in one window");
    }
}

std::vector<std::string> referee::unserved(time_ms started_at) const {
    std::vector<std::string> lines;
    for (const auto& [id, one] : requests_) {
        if (one.served_) {
            continue;
        }
        std::string line = id + " sent to " + one.sent_.gateway_ + " at " +
                           std::to_string(one.sent_.sent_at_ - started_at) + " ms: ";
        line += one.answered_at_ == 0 ? "no answer"
                                      : "status " + std::to_string(one.status_) + " after " +
                                            std::to_string(one.answered_at_ - one.sent_.sent_at_) + " ms";
        for (const std::string& engine : one.runs_) {
            line += ", ran at " + engine;
        }
        lines.push_back(std::move(line));
    }
    return lines;
}

double referee::served_share(time_ms from, time_ms until) const {
    int sent = 0;
    int served = 0;
    for (const auto& [id, one] : requests_) {
        if (one.sent_.owed_ && one.sent_.sent_at_ >= from && one.sent_.sent_at_ < until) {
            ++sent;
            served += one.served_ ? 1 : 0;
        }
    }
    return sent == 0 ? 1 : double(served) / sent;
}

} // namespace tamarack::soak
