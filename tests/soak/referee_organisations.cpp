// Judgements of keys, names and limits of organisations.
#include "soak/referee.hpp"

#include <algorithm>
#include <cctype>

namespace tamarack::soak {

namespace {

bool contains_key_header(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return char(std::tolower(letter)); });
    return text.find("x-api-key") != std::string::npos;
}

} // namespace

// Notes the first few breaches of a rule; a gateway without the rule would break it with each request.
void referee::broken_rule(const std::string& rule, const std::string& what) {
    constexpr int most_reported = 3;
    if (++broken_rules_[rule] <= most_reported) {
        broken(rule + ": " + what);
    }
}

void referee::key_added(const std::string& key, const std::string& organisation, time_ms now) {
    keys_[key] = {organisation, now, std::nullopt};
}

void referee::key_revoked(const std::string& key, time_ms now) {
    keys_[key].revoked_at_ = now;
}

// The key of a request that has exactly one, if any version ever had it.
const referee::known_key* referee::sole_key(const sent_request& one) const {
    const auto found = one.keys_.size() == 1 ? keys_.find(one.keys_.front()) : keys_.end();
    return found == keys_.end() ? nullptr : &found->second;
}

// Whether a gateway may have missed the newest version at some time in a span.
bool referee::out_of_touch(const std::string& gateway, time_ms from, time_ms until) const {
    return disturbed(gateway, from - bounds_.config_ms_, until) ||
           disturbed("store", from - bounds_.config_ms_, until);
}

void referee::ran_as(const std::string& id, const received_request& seen, time_ms now) {
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.sent_.key_rule_ == key_rule::none) {
        return;
    }
    const sent_request& one = found->second.sent_;
    const bool passed_on = std::any_of(one.keys_.begin(), one.keys_.end(), [&](const std::string& key) {
        return !key.empty() && seen.text_.find(key) != std::string::npos;
    });
    if (passed_on || contains_key_header(seen.text_)) {
        broken_rule("UNASKED", "an endpoint got the key of a request: " + id);
    }
    const known_key* key = sole_key(one);
    if (one.key_rule_ == key_rule::needed && key == nullptr) {
        broken_rule("ROUTE", "a request ran without a key of any version: " + id);
        return;
    }
    const bool named = one.key_rule_ == key_rule::needed;
    const auto expected = named ? std::vector<std::string>{key->organisation_} : std::vector<std::string>();
    if (seen.organisations_ != expected) {
        broken_rule("UNASKED", "an endpoint was told another organisation, or none: " + id);
    }
    if (!named) {
        return;
    }
    if (key->revoked_at_ && one.sent_at_ > *key->revoked_at_ + bounds_.config_ms_ &&
        !out_of_touch(one.gateway_, one.sent_at_, now)) {
        broken_rule("CONFIG", "a request ran that was sent " +
                                  std::to_string(one.sent_at_ - *key->revoked_at_) +
                                  " ms after its key was revoked: " + id);
    }
    note_usage(key->organisation_, one, now);
}

void referee::judge_refused_key(const sent_request& one, time_ms now) {
    if (one.key_rule_ == key_rule::open) {
        broken_rule("CONFIG", "a request to a public route was refused for its key: " + one.id_);
    }
    const known_key* key = sole_key(one);
    if (one.key_rule_ != key_rule::needed || key == nullptr ||
        (key->revoked_at_ && *key->revoked_at_ <= now)) {
        return;
    }
    // Keys of the first version were in all of them, so no delay excuses the refusal.
    const bool new_key = key->added_at_ > 0 && (one.sent_at_ <= key->added_at_ + bounds_.config_ms_ ||
                                                out_of_touch(one.gateway_, one.sent_at_, now));
    if (!new_key) {
        broken_rule("CONFIG", "a request with a valid key was refused: " + one.id_);
    }
}

void referee::limits_organisation(const std::string& organisation, const usage_limit& limit, time_ms now) {
    organisations_[organisation].limits_.emplace_back(now, limit);
}

// Tokens that may be used in the window that ends now. A version lowers the limit of windows that begin after
// it has taken effect, if no gateway was out of touch since.
double referee::allowed_by(const limited_organisation& one, time_ms now) const {
    constexpr double ms_per_s = 1'000;
    const time_ms began = now - bounds_.quota_window_ms_ - bounds_.config_ms_;
    const auto in_touch_since = [&](time_ms changed_at) {
        return std::none_of(disturbances_.begin(), disturbances_.end(), [&](const span& fault) {
            const bool concerns =
                fault.part_ == "all" || fault.part_ == "store" || fault.part_.starts_with("gateway");
            return concerns && fault.from_ <= now && fault.until_ + bounds_.stable_ms_ >= changed_at;
        });
    };
    double most = 0;
    for (std::size_t index = 0; index < one.limits_.size(); ++index) {
        const usage_limit& limit = one.limits_[index].second;
        const bool last = index + 1 == one.limits_.size();
        const time_ms replaced_at = last ? now : one.limits_[index + 1].first;
        if (last || replaced_at >= began || !in_touch_since(replaced_at)) {
            most = std::max(most, limit.per_s_ * double(bounds_.quota_window_ms_) / ms_per_s + limit.burst_);
        }
    }
    return most * bounds_.quota_share_ + bounds_.quota_slack_;
}

// Counts a request once, however many endpoints run it.
void referee::note_usage(const std::string& organisation, const sent_request& one, time_ms now) {
    const auto found = organisations_.find(organisation);
    if (found == organisations_.end() || !found->second.counted_.insert(one.id_).second) {
        return;
    }
    limited_organisation& limited = found->second;
    limited.used_.push_back({one.sent_at_, now, one.tokens_});
    const time_ms from = now - bounds_.quota_window_ms_;
    while (limited.used_.front().ran_at_ <= from) {
        limited.used_.pop_front();
    }
    double used = 0;
    for (const usage& counted : limited.used_) {
        used += counted.sent_at_ > from ? counted.tokens_ : 0;
    }
    const double allowed = allowed_by(limited, now);
    if (used > allowed && !std::exchange(limited.reported_, true)) {
        broken_rule("QUOTA", organisation + " used " + std::to_string(int(used)) + " tokens where " +
                                 std::to_string(int(allowed)) + " were allowed");
    }
}

} // namespace tamarack::soak
