// traffic: what the gateways tell each other of the organisations' quotas.
#include "gateway/traffic.hpp"

#include <algorithm>

namespace tamarack::gateway {

namespace {

// Organisations with metrics of their own. The others share one series.
constexpr std::size_t max_reported_organisations = 16;
constexpr const char* other_organisations = "other";

constexpr std::int64_t ticks_per_report = 4;

// What was added since `before`. Totals fall when amounts are given back, and begin anew when an organisation
// gets a limit again.
double increase(double total, double before) {
    return std::max(0.0, total - before);
}

} // namespace

// Adds what this gateway uses of the quotas.
void traffic::add_quotas(links::gateway_digest& digest) {
    for (const quotas::announcement& one : fleet_.quotas_.announce(boot_now_ms())) {
        digest.quotas.emplace_back(hash64(one.organisation_), one.used_, float(one.expected_use_per_s_),
                                   float(one.demand_per_s_), float(one.level_));
    }
}

// Takes what another gateway uses of the quotas. Frames from a peer may be damaged, so no more than a sound
// one has are taken.
void traffic::apply_quotas(const links::gateway_digest& digest, time_ms late_ms) {
    std::vector<quotas::announcement> announced;
    const std::size_t count = std::min(digest.quotas.size(), quotas::max_announcements);
    for (std::size_t index = 0; index < count; ++index) {
        const links::quota_use& one = digest.quotas[index];
        const std::string* organisation = fleet_.quotas_.find_organisation(one.organisation());
        if (organisation) {
            announced.push_back(
                {*organisation, one.used(), one.expected_per_s(), one.demand_per_s(), one.level()});
        }
    }
    fleet_.quotas_.apply(digest.from, digest.incarnation, announced, late_ms, boot_now_ms());
}

// Divides the quotas anew, and reports them once a second. An organisation that once had metrics of its own
// keeps them, so that their number stays bounded.
void traffic::update_quotas() {
    const time_ms now = boot_now_ms();
    fleet_.quotas_.update(now, !shutting_down_);
    if (ticks_ % ticks_per_report != 0) {
        return;
    }
    for (const quotas::quota_state& one : fleet_.quotas_.report(now)) {
        const auto found = quota_totals_.find(one.organisation_);
        const auto reported = std::count_if(quota_totals_.begin(), quota_totals_.end(),
                                            [](const auto& entry) { return entry.second.own_series_; });
        const bool own_series = found != quota_totals_.end()
                                    ? found->second.own_series_
                                    : std::size_t(reported) < max_reported_organisations;
        quota_totals& before = quota_totals_[one.organisation_];
        before.own_series_ = own_series;
        const labels series = {{"organisation", own_series ? one.organisation_ : other_organisations}};
        measures_.count("tamarack_quota_used_total", "Amounts of quotas that this gateway used", series,
                        increase(one.used_, before.used_));
        measures_.count("tamarack_quota_refused_total", "Amounts that this gateway refused beyond quotas",
                        series, increase(one.refused_, before.refused_));
        before.used_ = one.used_;
        before.refused_ = one.refused_;
        if (own_series) {
            measures_.set("tamarack_quota_level", "Estimate of what is left of a quota", series, one.level_);
            measures_.set("tamarack_quota_sharers", "Gateways that use a quota", series,
                          double(one.sharers_));
        }
    }
    std::erase_if(quota_totals_, [&](const auto& entry) {
        return !entry.second.own_series_ && !fleet_.quotas_.limited(entry.first);
    });
}

} // namespace tamarack::gateway
