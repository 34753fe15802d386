// Random histories of a store that returns from copies, against a simple model of its log. Followers read it,
// relay to each other and start in the middle; everything happens in virtual time.
#include "direct/virtual_time.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <numeric>
#include <random>

namespace tamarack::platform {

namespace {

// An endpoint's entry as the model writes it.
struct entry {
    std::int64_t incarnation_ = 1;
    std::int64_t sequence_ = 0;
    bool leaving_ = false;

    std::string text() const {
        return std::to_string(incarnation_) + " " + std::to_string(sequence_) + " " + (leaving_ ? "1" : "0");
    }
};

fleet::endpoint_record to_record(const std::string& key, const std::string& text, bool rolled_back) {
    fleet::endpoint_record record;
    record.id_ = key;
    int leaving = 0;
    std::sscanf(text.c_str(), "%ld %ld %d", &record.incarnation_, &record.sequence_, &leaving);
    record.leaving_ = leaving != 0;
    record.rolled_back_ = rolled_back;
    return record;
}

// What matters of an entry. Renewals that change only the sequence are not relayed.
std::uint64_t content_of(const std::string& text) {
    const fleet::endpoint_record record = to_record("", text, false);
    return std::uint64_t(record.incarnation_ * 2 + (record.leaving_ ? 1 : 0));
}

bool same_content(const std::map<std::string, std::string>& left,
                  const std::map<std::string, std::string>& right) {
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(), [](const auto& one, const auto& other) {
            return one.first == other.first && content_of(one.second) == content_of(other.second);
        });
}

// The store: a log of which old records expire, and which may return to an earlier state.
class log_model {
public:
    void append(const std::string& key, std::optional<std::string> value) {
        records_.emplace_back(key, std::move(value));
    }

    // Returns from a copy that lacks the last records.
    void restore(std::size_t lost) {
        records_.resize(records_.size() - std::min(lost, records_.size()));
        first_ = std::min(first_, std::int64_t(records_.size()));
        ++epoch_;
    }

    void expire(std::size_t kept) {
        first_ = std::max(first_, std::int64_t(records_.size()) - std::int64_t(kept));
    }

    std::map<std::string, std::string> newest() const {
        std::map<std::string, std::string> all;
        for (const auto& [key, value] : records_) {
            if (value) {
                all[key] = *value;
            } else {
                all.erase(key);
            }
        }
        return all;
    }

    newest_page page(const std::string& after, std::size_t size) const {
        newest_page page;
        page.end_ = std::int64_t(records_.size());
        page.epoch_ = epoch_;
        std::map<std::string, std::int64_t> offsets;
        for (std::size_t offset = 0; offset < records_.size(); ++offset) {
            offsets[records_[offset].first] = std::int64_t(offset);
        }
        for (const auto& [key, value] : newest()) {
            if (key <= after) {
                continue;
            }
            if (page.records_.size() == size) {
                page.has_more_ = true;
                break;
            }
            page.records_.push_back({key, value, offsets[key], false});
        }
        return page;
    }

    result<read_batch> read(std::int64_t from) const {
        const auto end = std::int64_t(records_.size());
        if (from < first_ || from > end) {
            return error{error_kind::not_found, "expired", ""};
        }
        read_batch batch{end, end, epoch_, {}, 0};
        for (std::int64_t offset = from; offset < end; ++offset) {
            const auto& [key, value] = records_[std::size_t(offset)];
            batch.records_.push_back({key, value, offset, false});
        }
        return batch;
    }

private:
    std::vector<std::pair<std::string, std::optional<std::string>>> records_;
    std::int64_t first_ = 0;
    std::int64_t epoch_ = 1;
};

class history : direct::virtual_time {
public:
    // With `refuses_pages`, the store cannot return the page after some key, in turn or until the end.
    explicit history(std::uint64_t seed, bool refuses_pages = false)
        : random_(seed), page_random_(seed), refuses_pages_(refuses_pages) {}

    // Returns what went wrong; empty if nothing did.
    std::string run() {
        for (int endpoint = 0; endpoint < endpoint_count; ++endpoint) {
            write(endpoint);
        }
        for (std::size_t number = 0; number < followers_.size(); ++number) {
            at(now_ + below(400), [this, number] { start(number); });
        }
        disturbed_until_ = now_ + 3'000 + below(6'000);
        at(now_ + 50, [this] { act(); });
        if (refuses_pages_) {
            choose_refused_page();
        }
        run_until(disturbed_until_);
        available_ = true;
        for (follower& one : followers_) {
            one.cut_ = false;
        }
        write_all_again();
        // More than a follower waits before it calls again, and before it takes unread entries from the log.
        constexpr time_ms call_again_ms = 12'000;
        constexpr time_ms renewal_ms = 12'000;
        const time_ms quiet_ms = refuses_pages_ ? call_again_ms + renewal_ms : call_again_ms;
        constexpr time_ms heartbeat_ms = 1'200;
        for (time_ms beat = 2'000; beat < quiet_ms - 1'500; beat += heartbeat_ms) {
            at(now_ + beat, [this] { renew_all(); });
        }
        run_until(now_ + quiet_ms);
        const auto expected = log_.newest();
        for (const follower& one : followers_) {
            if (fault_.empty() && !same_content(one.view_, expected)) {
                fault_ = "a view differs from the store after quiet";
            }
            if (fault_.empty()) {
                check_directory(one, expected);
            }
        }
        return fault_;
    }

private:
    static constexpr int endpoint_count = 4;
    static constexpr time_ms retained_ms = 30'000;

    struct follower {
        std::unique_ptr<topic_follower> topic_;
        std::uint64_t life_ = 0; // rises with each start, so that late callbacks are dropped
        std::uint64_t timer_ = 0;
        bool reads_ = true;
        bool cut_ = false; // from the store
        std::map<std::string, std::string> view_;
        fleet::directory directory_;
        std::map<std::string, std::int64_t> left_; // incarnations that were seen leaving
    };

    time_ms below(time_ms bound) { return time_ms(random_() % std::uint64_t(bound)); }

    void write(int endpoint) {
        ++entries_[endpoint].sequence_;
        log_.append("e" + std::to_string(endpoint), entries_[endpoint].text());
    }

    void renew_all() {
        for (int endpoint = 0; endpoint < endpoint_count; ++endpoint) {
            if (!gone_[endpoint]) {
                write(endpoint);
            }
        }
    }

    // After a return, the endpoints that live write their entries again, in any order. Entries of those that
    // are gone vanish later.
    void write_all_again() {
        for (int endpoint = 0; endpoint < endpoint_count; ++endpoint) {
            at(now_ + below(1'500), [this, endpoint] {
                if (!gone_[endpoint]) {
                    write(endpoint);
                } else if (log_.newest().contains("e" + std::to_string(endpoint))) {
                    log_.append("e" + std::to_string(endpoint), std::nullopt);
                }
            });
        }
    }

    void choose_refused_page() {
        constexpr int choices = endpoint_count + 1; // the last choice refuses no page
        refused_after_ = "e" + std::to_string(page_random_() % choices);
        at(now_ + time_ms(page_random_() % 4'000), [this] {
            if (now_ < disturbed_until_) {
                choose_refused_page();
            }
        });
    }

    // One random event; the next follows.
    void act() {
        if (now_ >= disturbed_until_) {
            return;
        }
        const int endpoint = int(below(endpoint_count));
        follower& one = followers_[std::size_t(below(time_ms(followers_.size())))];
        switch (below(12)) {
        case 0: // leaves
            entries_[endpoint].leaving_ = true;
            if (!gone_[endpoint]) {
                write(endpoint);
            }
            break;
        case 1: // ends, its entry with it
            if (!gone_[endpoint]) {
                gone_[endpoint] = true;
                log_.append("e" + std::to_string(endpoint), std::nullopt);
            }
            break;
        case 2: // starts again
            if (gone_[endpoint]) {
                gone_[endpoint] = false;
                entries_[endpoint] = {entries_[endpoint].incarnation_ + 1, 0, false};
                write(endpoint);
            }
            break;
        case 3: // absent, then back from a copy
            if (available_) {
                available_ = false;
                at(now_ + below(1'000), [this, lost = std::size_t(below(6))] {
                    log_.restore(lost);
                    available_ = true;
                    write_all_again();
                });
            }
            break;
        case 4:
            log_.expire(std::size_t(below(5)));
            break;
        case 5:
            one.cut_ = !one.cut_;
            break;
        case 6: // a process starts anew
            start(std::size_t(&one - followers_.data()));
            break;
        case 7: // others read the store from now on
            one.reads_ = !one.reads_;
            if (one.topic_) {
                one.topic_->set_reads_store(one.reads_);
            }
            break;
        default:
            if (!gone_[endpoint] && available_) {
                write(endpoint);
            }
            break;
        }
        at(now_ + below(250), [this] { act(); });
    }

    void start(std::size_t number) {
        follower& one = followers_[number];
        const std::uint64_t life = ++one.life_;
        one.view_.clear();
        one.directory_ = {};
        one.left_.clear();
        one.topic_ = std::make_unique<topic_follower>(
            make_io(number, life), "registry",
            read_timing{std::chrono::milliseconds(0), std::chrono::milliseconds(600), true},
            make_events(number, life));
        one.topic_->set_reads_store(one.reads_);
        one.topic_->start();
        // The process may also learn what another one knows.
        const follower& other = followers_[std::size_t(below(time_ms(followers_.size())))];
        if (&other != &one && other.topic_ && below(2) == 0) {
            if (const auto known = other.topic_->snapshot()) {
                deliver(number, *known, other.topic_->current());
            }
        }
    }

    // Runs a callback of a follower later, unless it has started anew meanwhile.
    void later(std::size_t number, std::uint64_t life, time_ms pause, std::function<void()> run) {
        at(now_ + pause, [this, number, life, run = std::move(run)] {
            if (followers_[number].life_ == life) {
                run();
            }
        });
    }

    template <typename Result>
    void call(std::size_t number, std::uint64_t life, std::function<result<Result>()> answer,
              std::function<void(result<Result>)> done) {
        const time_ms way = 1 + below(40);
        later(number, life, way, [this, number, life, way, answer, done] {
            const bool reached = available_ && !followers_[number].cut_;
            const result<Result> outcome =
                reached ? answer() : result<Result>(error{error_kind::unavailable, "away", ""});
            later(number, life, way, [outcome, done] { done(outcome); });
        });
    }

    follower_io make_io(std::size_t number, std::uint64_t life) {
        follower_io io;
        io.now_ = [this] { return now_; };
        io.run_later_ = [this, number, life](std::chrono::milliseconds pause, std::function<void()> step) {
            const std::uint64_t timer = ++followers_[number].timer_;
            later(number, life, pause.count(), [this, number, timer, step] {
                if (followers_[number].timer_ == timer) {
                    step();
                }
            });
        };
        io.cancel_ = [this, number] { ++followers_[number].timer_; };
        io.read_newest_ = [this, number, life](const std::string& after, auto done) {
            call<newest_page>(
                number, life,
                [this, after] {
                    return after == refused_after_
                               ? result<newest_page>(error{error_kind::invalid, "refused", ""})
                               : result<newest_page>(log_.page(after, 2));
                },
                done);
        };
        io.read_ = [this, number, life](std::int64_t from, std::chrono::milliseconds, auto done) {
            call<read_batch>(
                number, life, [this, from] { return log_.read(from); }, done);
        };
        return io;
    }

    topic_follower::events make_events(std::size_t number, std::uint64_t life) {
        topic_follower::events events = direct::ignoring_events();
        events.records_ = [this, number](std::vector<keyed_record> records) {
            for (const keyed_record& record : records) {
                apply(followers_[number], record);
            }
        };
        events.keys_ = [this, number](std::set<std::string> keys) {
            follower& one = followers_[number];
            std::vector<std::string> missing;
            for (const auto& [key, value] : one.view_) {
                if (!keys.contains(key)) {
                    missing.push_back(key);
                }
            }
            for (const std::string& key : missing) {
                apply(one, {key, std::nullopt, -1, false});
            }
        };
        events.read_ = [this, number, life](topic_span span) { relay(number, life, std::move(span)); };
        events.content_hash_ = [](const keyed_record& record) {
            return std::optional(content_of(*record.value_));
        };
        return events;
    }

    void apply(follower& one, const keyed_record& record) {
        const fleet::freshness current = one.topic_->current();
        one.directory_.expire(current);
        if (!record.value_) {
            one.view_.erase(record.key_);
            one.directory_.apply(fleet::endpoint_removed{record.key_}, current);
            return;
        }
        one.view_[record.key_] = *record.value_;
        one.directory_.apply(to_record(record.key_, *record.value_, record.rolled_back_), current);
        const auto listed = one.directory_.endpoints().find(record.key_);
        if (listed == one.directory_.endpoints().end()) {
            return;
        }
        const fleet::endpoint_record& known = listed->second;
        std::int64_t& left = one.left_[record.key_];
        if (known.leaving_) {
            left = std::max(left, known.incarnation_);
        } else if (known.incarnation_ <= left && fault_.empty()) {
            fault_ = "an endpoint that was leaving looks ready again: " + record.key_;
        }
    }

    // A reader relays what it read; relays are late, overtake each other and get lost.
    void relay(std::size_t from, std::uint64_t life, topic_span span) {
        if (!followers_[from].reads_) {
            return;
        }
        // The follower passes its records on after this, and its freshness is then up to date.
        later(from, life, 0, [this, from, span] {
            const fleet::freshness current = followers_[from].topic_->current();
            for (std::size_t to = 0; to < followers_.size(); ++to) {
                const time_ms way = below(8) == 0 ? below(2'500) : below(60);
                if (to != from && below(20) != 0) {
                    at(now_ + way, [this, to, span, current] { deliver(to, span, current); });
                }
            }
        });
    }

    void deliver(std::size_t to, const topic_span& span, const fleet::freshness& sent) {
        follower& one = followers_[to];
        if (one.topic_) {
            // The message tells for how long the sender had read without a gap.
            one.topic_->apply_span(span, {sent.as_of_, sent.continuous_since_, true});
        }
    }

    void check_directory(const follower& one, const std::map<std::string, std::string>& expected) {
        for (const auto& [key, value] : expected) {
            const auto listed = one.directory_.endpoints().find(key);
            const fleet::endpoint_record record = to_record(key, value, false);
            if (listed == one.directory_.endpoints().end()) {
                fault_ = "an endpoint that lives is not listed: " + key;
            } else if (listed->second.leaving_ != record.leaving_) {
                fault_ = "an endpoint's state differs from its entry: " + key;
            }
        }
    }

    std::mt19937_64 random_;
    std::mt19937_64 page_random_;
    bool refuses_pages_ = false;
    std::optional<std::string> refused_after_;
    log_model log_;
    std::array<entry, endpoint_count> entries_;
    std::array<bool, endpoint_count> gone_{};
    std::array<follower, 3> followers_;
    std::string fault_;
    bool available_ = true;
    time_ms disturbed_until_ = 0;
};

} // namespace

namespace {

// `further_seeds` are those beyond the first ones that have failed.
void check_histories(bool refuses_pages, const std::vector<std::uint64_t>& further_seeds) {
    const char* asked = std::getenv("TAMARACK_HISTORIES"); // for long runs by hand
    const std::uint64_t histories = asked == nullptr ? 10'000 : std::strtoull(asked, nullptr, 10);
    std::vector<std::uint64_t> seeds(histories);
    std::iota(seeds.begin(), seeds.end(), 1);
    seeds.insert(seeds.end(), further_seeds.begin(), further_seeds.end());
    int failed = 0;
    for (const std::uint64_t seed : seeds) {
        if (failed == 5) {
            break;
        }
        const std::string fault = history(seed, refuses_pages).run();
        if (!fault.empty()) {
            ++failed;
            CAPTURE(seed);
            FAIL_CHECK(fault);
        }
    }
}

} // namespace

TEST_CASE("followers_random_histories_of_a_store_that_returns_from_copies_end_with_its_view") {
    check_histories(false, {101'225, 107'044});
}

// DRAIN: a page that could not be read stopped the view for good.
TEST_CASE("followers_random_histories_with_pages_that_cannot_be_read_end_with_its_view") {
    check_histories(true, {10'128, 17'790, 17'843, 18'336, 26'306, 34'508, 43'943, 49'787, 101'225});
}

} // namespace tamarack::platform
