#include "direct/quarantine_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <memory>
#include <queue>
#include <random>

namespace tamarack::quarantine {

namespace {

constexpr time_ms step_ms = 10;
constexpr time_ms announcement_ms = 500;
constexpr time_ms update_ms = 250;
constexpr time_ms stable_ms = 3'000;
constexpr time_ms crashing_from = 6'000; // when the first request comes that ends engines

// Engines that may end under a part, or under a request, until sends with it are counted `stable_ms` later.
constexpr int crashes_of_part = 5;
constexpr int crashes_of_request = 3;

// Gateways and engines in virtual time.
class fleet_model {
public:
    explicit fleet_model(fleet_plan plan) : plan_(std::move(plan)), random_(plan_.seed_) {
        gateways_.resize(std::size_t(plan_.gateways_));
        engines_.resize(std::size_t(plan_.engines_));
        for (gateway& one : gateways_) {
            one.announces_at_ = below(announcement_ms);
            one.updates_at_ = below(update_ms);
            one.parts_.emplace().restore({}, 0);
        }
    }

    fleet_result run() {
        const double sends_per_step = plan_.requests_per_s_ * step_ms / 1'000;
        double due = 0;
        for (now_ = 0; now_ < plan_.duration_ms_; now_ += step_ms) {
            disturb();
            for (due += sends_per_step; due >= 1; due -= 1) {
                plan_.plain_ ? send_plain() : send();
            }
            send_again();
            for (std::size_t index = 0; index < engines_.size(); ++index) {
                work(index);
            }
            deliver();
            for (std::size_t index = 0; index < gateways_.size(); ++index) {
                act(index);
            }
        }
        for (const auto& [part, sent] : sent_after_) {
            result_.sent_after_ = std::max(result_.sent_after_, sent);
        }
        result_.sound_quarantined_ = int(sound_quarantined_.size());
        for (const gateway& one : gateways_) {
            for (const auto& [suspect, since] : one.sound_held_since_) {
                result_.sound_held_ms_ = std::max(result_.sound_held_ms_, now_ - since);
            }
        }
        return result_;
    }

private:
    struct request {
        std::size_t gateway_ = 0;
        std::vector<std::string> parts_; // what it is suspected of by name
        std::string crashing_;           // the one of them that ends engines, or empty
        int sends_ = 0;
        time_ms writes_at_ = 0;
        time_ms ends_at_ = 0;
        bool proved_ = false;
    };
    struct engine {
        std::int64_t incarnation_ = 1;
        time_ms down_until_ = 0;
        std::vector<request> batch_;
    };
    struct gateway {
        std::optional<suspect_quarantine> parts_; // nothing while the process is down
        time_ms announces_at_ = 0;
        time_ms updates_at_ = 0;
        time_ms down_until_ = 0;
        time_ms frozen_until_ = 0;
        time_ms cut_until_ = 0;
        time_ms disturbed_until_ = -stable_ms;
        std::map<std::string, time_ms> sound_held_since_;
    };
    struct message {
        time_ms due_ = 0;
        std::uint64_t number_ = 0;
        std::size_t to_ = 0;
        std::shared_ptr<const announcement> content_; // or the end of an engine
        std::size_t engine_ = 0;
        std::int64_t incarnation_ = 0;
        bool operator<(const message& other) const {
            return std::tie(other.due_, other.number_) < std::tie(due_, number_);
        }
    };

    double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
    time_ms below(time_ms bound) { return std::uniform_int_distribution<time_ms>(0, bound - 1)(random_); }
    static std::string engine_name(std::size_t index) { return "e" + std::to_string(index); }
    static bool crashes(const std::string& part) { return part.find("bad") != std::string::npos; }

    bool runs(const gateway& one) const { return one.parts_ && now_ >= one.frozen_until_; }
    bool connected(const gateway& one) const { return runs(one) && now_ >= one.cut_until_; }

    void disturb() {
        constexpr double mean_between_ms = 2'500;
        if (plan_.engines_crash_ && chance() < step_ms / mean_between_ms) {
            const bool all = chance() < 0.2;
            const std::size_t which = std::size_t(below(plan_.engines_));
            for (std::size_t index = 0; index < engines_.size(); ++index) {
                if (all || index == which) {
                    end_engine(index);
                }
            }
        }
        if (plan_.gateways_fail_ && chance() < step_ms / mean_between_ms) {
            const bool all = plan_.all_gateways_fail_ && chance() < 0.1;
            const std::size_t which = std::size_t(below(plan_.gateways_));
            const time_ms lasts = 200 + below(4'000);
            const time_ms kind = below(3);
            for (std::size_t index = 0; index < gateways_.size(); ++index) {
                gateway& one = gateways_[index];
                if (index != which && !(all && kind == 0)) {
                    continue;
                }
                one.disturbed_until_ = std::max(one.disturbed_until_, now_ + lasts);
                if (kind == 0) {
                    one.parts_.reset();
                    one.down_until_ = now_ + lasts;
                    one.sound_held_since_.clear();
                } else {
                    (kind == 1 ? one.frozen_until_ : one.cut_until_) = now_ + lasts;
                }
            }
        }
    }

    void send() {
        request one;
        const bool bad = now_ >= crashing_from && chance() < plan_.crashing_share_;
        const auto subject = time_ms(double(plan_.subjects_) * std::pow(chance(), 1.5));
        const std::string middle =
            bad ? "bad" + std::to_string(below(plan_.crashing_parts_)) : "s" + std::to_string(subject);
        one.parts_ = {"first", middle};
        one.crashing_ = bad ? middle : "";
        one.gateway_ = std::size_t(below(plan_.gateways_));
        place(std::move(one));
    }

    void send_plain() {
        request one;
        one.parts_ = {chance() < plan_.popular_share_ ? "request-popular"
                                                      : "request-" + std::to_string(++last_request_)};
        one.gateway_ = std::size_t(below(plan_.gateways_));
        place(std::move(one));
        for (int number = 0; number < plan_.crashing_parts_; ++number) {
            if (now_ >= crashing_from && chance() < plan_.repeats_per_s_ / plan_.requests_per_s_) {
                request bad;
                bad.crashing_ = "request-bad" + std::to_string(number);
                bad.parts_ = {bad.crashing_};
                bad.gateway_ = std::size_t(below(plan_.gateways_));
                place(std::move(bad));
            }
        }
    }

    // Lost requests are sent again: by the gateway that sent them first, and then by the client to any
    // gateway.
    void send_again() {
        for (std::size_t count = awaiting_resend_.size(); count > 0; --count) {
            request one = std::move(awaiting_resend_.front());
            awaiting_resend_.pop_front();
            if (one.sends_ % sends_of_attempt() == 0) {
                one.gateway_ = std::size_t(below(plan_.gateways_));
            }
            place(std::move(one));
        }
    }

    int sends_of_attempt() const { return plan_.runs_once_ ? 1 : 2; }

    void place(request one) {
        gateway& from = gateways_[one.gateway_];
        const bool bad = !one.crashing_.empty();
        const bool first_of_attempt = one.sends_ % sends_of_attempt() == 0;
        result_.sound_ += !bad && one.sends_ == 0 && runs(from) ? 1 : 0;
        if (!runs(from)) {
            return;
        }
        const auto quarantined = from.parts_->find_quarantined(one.parts_);
        if (quarantined && (one.gateway_ != 0 || !from.parts_->begin_trial(*quarantined, now_))) {
            result_.sound_refused_ += bad ? 0 : 1;
            return;
        }
        std::vector<engine*> up;
        for (engine& candidate : engines_) {
            if (now_ >= candidate.down_until_) {
                up.push_back(&candidate);
            }
        }
        if (up.empty()) {
            return;
        }
        one.writes_at_ = now_ + (plan_.plain_ ? below(bad ? 100 : 60) : 20 + below(300));
        one.ends_at_ = one.writes_at_ + (plan_.plain_ ? 10 : 20 + below(3'000));
        one.proved_ = false;
        ++one.sends_;
        if (bad && (first_of_attempt || !plan_.plain_)) {
            const auto& ends = ends_under_[one.crashing_];
            const std::size_t bound = plan_.plain_ ? crashes_of_request : crashes_of_part;
            const bool judged = ends.size() >= bound && now_ > ends[bound - 1] + stable_ms &&
                                now_ > from.disturbed_until_ + stable_ms;
            sent_after_[one.crashing_] += judged ? 1 : 0;
        }
        up[std::size_t(below(time_ms(up.size())))]->batch_.push_back(std::move(one));
    }

    void work(std::size_t index) {
        engine& one = engines_[index];
        for (request& current : one.batch_) {
            if (now_ >= current.writes_at_ && !current.crashing_.empty()) {
                ends_under_[current.crashing_].push_back(now_);
                ++result_.ended_;
                end_engine(index);
                return;
            }
            gateway& from = gateways_[current.gateway_];
            const bool proves = now_ >= std::min(current.ends_at_, current.writes_at_ + writing_proof_ms);
            if (proves && !current.proved_ && runs(from)) {
                current.proved_ = true;
                from.parts_->note_sound(current.parts_, now_);
            }
        }
        std::erase_if(one.batch_, [&](const request& current) { return now_ >= current.ends_at_; });
    }

    void end_engine(std::size_t index) {
        engine& one = engines_[index];
        if (now_ < one.down_until_) {
            return;
        }
        for (const request& lost : one.batch_) {
            gateway& from = gateways_[lost.gateway_];
            if (runs(from) && now_ < lost.writes_at_ + writing_proof_ms) {
                from.parts_->note_lost(engine_name(index), one.incarnation_, lost.parts_, now_);
            }
            if (plan_.plain_ && lost.sends_ < 2 * sends_of_attempt()) {
                awaiting_resend_.push_back(lost);
            }
        }
        for (std::size_t to = 0; to < gateways_.size(); ++to) {
            const time_ms noticed = now_ + 50 + below(300);
            messages_.push({noticed, next_message_++, to, nullptr, index, one.incarnation_});
        }
        one.batch_.clear();
        ++one.incarnation_;
        one.down_until_ = now_ + 1'500 + below(3'000);
    }

    void deliver() {
        while (!messages_.empty() && messages_.top().due_ <= now_) {
            message next = messages_.top();
            messages_.pop();
            gateway& to = gateways_[next.to_];
            if (!connected(to)) {
                if (to.parts_ && next.content_ == nullptr && now_ < to.frozen_until_) {
                    next.due_ = to.frozen_until_;
                    messages_.push(next);
                }
                continue;
            }
            if (next.content_) {
                to.parts_->apply(*next.content_, 0, now_);
            } else {
                to.parts_->note_ended(engine_name(next.engine_), next.incarnation_, now_);
            }
        }
    }

    void act(std::size_t index) {
        gateway& one = gateways_[index];
        if (!one.parts_ && now_ >= one.down_until_) {
            one.parts_.emplace().restore(from_records(stored_, now_), now_);
        }
        if (!runs(one)) {
            return;
        }
        if (now_ >= one.updates_at_) {
            one.updates_at_ = now_ + update_ms;
            for (const change& current : one.parts_->update(now_)) {
                note(one, current);
            }
        }
        // One gateway writes to the store; another one takes over while it is away.
        if (one.parts_->take_memory_changed() && writes_store(index)) {
            stored_ = to_records(one.parts_->memory(now_), now_);
        }
        if (now_ < one.announces_at_ && !one.parts_->announcement_is_due()) {
            return;
        }
        one.announces_at_ = now_ + announcement_ms;
        const auto content = std::make_shared<const announcement>(one.parts_->announce(now_, index < 2));
        if ((content->ends_.empty() && content->states_.empty()) || !connected(one)) {
            return;
        }
        for (std::size_t to = 0; to < gateways_.size(); ++to) {
            if (to == index || (plan_.late_ && chance() < 0.05)) {
                continue;
            }
            const time_ms delay = 5 + below(40) + (plan_.late_ && chance() < 0.1 ? below(400) : 0);
            messages_.push({now_ + delay, next_message_++, to, content, 0, 0});
        }
    }

    bool writes_store(std::size_t index) const {
        const auto first = std::find_if(gateways_.begin(), gateways_.end(),
                                        [&](const gateway& one) { return connected(one); });
        return first != gateways_.end() && std::size_t(first - gateways_.begin()) == index;
    }

    void note(gateway& one, const change& current) {
        if (current.suspect_.empty() || crashes(current.suspect_)) {
            return;
        }
        if (current.kind_ == change_kind::quarantined) {
            sound_quarantined_.insert(current.suspect_);
            one.sound_held_since_[current.suspect_] = now_;
        } else if (const auto held = one.sound_held_since_.find(current.suspect_);
                   held != one.sound_held_since_.end()) {
            result_.sound_held_ms_ = std::max(result_.sound_held_ms_, now_ - held->second);
            one.sound_held_since_.erase(held);
        }
    }

    fleet_plan plan_;
    std::mt19937_64 random_;
    std::vector<gateway> gateways_;
    std::vector<engine> engines_;
    std::priority_queue<message> messages_;
    std::uint64_t next_message_ = 0;
    std::uint64_t last_request_ = 0;
    std::deque<request> awaiting_resend_;
    std::map<std::string, std::vector<time_ms>> ends_under_;
    std::map<std::string, int> sent_after_;
    std::set<std::string> sound_quarantined_;
    std::map<std::string, std::string> stored_;
    fleet_result result_;
    time_ms now_ = 0;
};

} // namespace

fleet_result run_fleet(const fleet_plan& plan) {
    return fleet_model(plan).run();
}

} // namespace tamarack::quarantine
