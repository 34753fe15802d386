// Pages of the registry that cannot be read, or that lead nowhere: what the store says otherwise still
// counts.
#include "direct/gateway_process.hpp"
#include "direct/virtual_time.hpp"

namespace tamarack::direct {

using platform::keyed_record;
using platform::newest_page;
using platform::read_batch;

namespace {

const error unreadable{error_kind::invalid, "unreadable", ""};

// A follower of a log in memory, in simulated time.
class followed_log : public virtual_time {
public:
    explicit followed_log(bool renewed = true)
        : follower_(make_io(), "registry",
                    {std::chrono::milliseconds(0), std::chrono::milliseconds(600), renewed}, make_events()) {}

    void put(const std::string& key, std::optional<std::string> value) {
        records_.emplace_back(key, std::move(value));
    }

    // Drops the log, so that the follower has to read the newest record of each key.
    void expire_history() { first_retained_offset_ = std::int64_t(records_.size()); }

    void run_for(time_ms duration) { run_until(now_ + duration); }

    std::vector<std::pair<std::string, std::optional<std::string>>> records_;
    std::int64_t first_retained_offset_ = 0;
    std::size_t page_size_ = 2;

    // The pages that start after these keys cannot be read.
    std::set<std::string> unreadable_after_;
    std::function<void(newest_page&, const std::string& after)> change_page_ = [](auto&, const auto&) {};
    std::function<result<read_batch>(result<read_batch>)> change_batch_ = [](auto batch) { return batch; };
    std::vector<std::string> page_starts_; // key after which each page that was asked for starts
    int calls_ = 0;
    std::map<std::string, std::string> view_;
    platform::topic_follower follower_;

private:
    result<newest_page> page(const std::string& after) {
        page_starts_.push_back(after);
        if (unreadable_after_.contains(after)) {
            return unreadable;
        }
        std::map<std::string, std::pair<std::string, std::size_t>> newest;
        for (std::size_t offset = 0; offset < records_.size(); ++offset) {
            const auto& [key, content] = records_[offset];
            newest.erase(key);
            if (content) {
                newest[key] = {*content, offset};
            }
        }
        newest_page read{{}, false, std::int64_t(records_.size()), 1};
        for (auto next = newest.upper_bound(after); next != newest.end(); ++next) {
            if (read.records_.size() == page_size_) {
                read.has_more_ = true;
                break;
            }
            read.records_.push_back(
                {next->first, next->second.first, std::int64_t(next->second.second), false});
        }
        change_page_(read, after);
        return read;
    }

    result<read_batch> batch(std::int64_t from) {
        const auto end = std::int64_t(records_.size());
        if (from < first_retained_offset_) {
            return error{error_kind::not_found, "expired", ""};
        }
        read_batch read{std::max(from, end), end, 1, {}, 0};
        for (std::int64_t offset = from; offset < end; ++offset) {
            const auto& [key, content] = records_[std::size_t(offset)];
            read.records_.push_back({key, content, offset, false});
        }
        return change_batch_(read);
    }

    platform::follower_io make_io() {
        constexpr time_ms way = 2;
        platform::follower_io io;
        io.now_ = [this] { return now_; };
        io.run_later_ = [this](std::chrono::milliseconds pause, std::function<void()> step) {
            at(now_ + pause.count(), [this, number = ++timer_, step = std::move(step)] {
                if (timer_ == number) {
                    step();
                }
            });
        };
        io.cancel_ = [this] { ++timer_; };
        io.read_newest_ = [this](const std::string& after, auto answered) {
            ++calls_;
            at(now_ + way, [this, after, answered] { answered(page(after)); });
        };
        io.read_ = [this](std::int64_t from, std::chrono::milliseconds, auto answered) {
            ++calls_;
            at(now_ + way, [this, from, answered] { answered(batch(from)); });
        };
        return io;
    }

    platform::topic_follower::events make_events() {
        platform::topic_follower::events events = ignoring_events();
        events.records_ = [this](const std::vector<keyed_record>& records) {
            for (const keyed_record& record : records) {
                view_.erase(record.key_);
                if (record.value_) {
                    view_[record.key_] = *record.value_;
                }
            }
        };
        events.keys_ = [this](const std::set<std::string>& keys) {
            std::erase_if(view_, [&](const auto& entry) { return !keys.contains(entry.first); });
        };
        return events;
    }

    std::uint64_t timer_ = 0;
};

// Time within which requests to an endpoint that leaves must stop.
constexpr time_ms leaving_limit_ms = 2'000;

constexpr time_ms heartbeat_ms = 1'200;

// Time of several heartbeats, after which each entry that is still written has been written again.
constexpr time_ms renewal_ms = 10'000;

struct follower_of_pages : followed_log {
    explicit follower_of_pages(bool renewed = true) : followed_log(renewed) {
        for (const char* key : {"a", "b", "c", "d", "e"}) {
            put(key, "1");
        }
    }

    void run_with_heartbeats(time_ms duration, const std::set<std::string>& keys) {
        for (time_ms passed = 0; passed < duration; passed += heartbeat_ms) {
            for (const std::string& key : keys) {
                put(key, "1");
            }
            run_for(heartbeat_ms);
        }
    }
};

using view = std::map<std::string, std::string>;

} // namespace

// DRAIN: after one page that the store refused, the follower read the first page again and again, and neither
// changes nor removals of any entry.
TEST_CASE_FIXTURE(follower_of_pages, "follower_page_cannot_be_read_changes_elsewhere_are_followed") {
    unreadable_after_ = {"b"};
    follower_.start();
    run_for(3'000);
    put("a", std::nullopt);
    put("b", "2");
    put("e", "1");
    put("f", "1");
    run_for(leaving_limit_ms);
    CHECK(view_ == view{{"b", "2"}, {"e", "1"}, {"f", "1"}});
    const fleet::freshness& current = follower_.current();
    CHECK(now_ - current.as_of_ < leaving_limit_ms);
}

TEST_CASE_FIXTURE(follower_of_pages, "follower_page_cannot_be_read_for_a_time_the_read_goes_on_from_there") {
    unreadable_after_ = {"b"};
    follower_.start();
    run_for(1'500);
    REQUIRE(view_.size() == 2);
    unreadable_after_.clear();
    put("a", std::nullopt);
    put("aa", "1"); // its page has been read already
    run_for(5'000);
    CHECK(view_ == view{{"aa", "1"}, {"b", "1"}, {"c", "1"}, {"d", "1"}, {"e", "1"}});
    CHECK(follower_.snapshot().has_value());
    CHECK(std::count(page_starts_.begin(), page_starts_.end(), "") == 1);
}

// Each endpoint that lives writes its entry again, so that the log alone tells all after some heartbeats.
TEST_CASE_FIXTURE(follower_of_pages, "follower_page_is_never_read_entries_count_that_were_written_again") {
    unreadable_after_ = {"b"};
    follower_.start();
    run_with_heartbeats(renewal_ms + 2'000, {"a", "d", "e"});
    CHECK(follower_.snapshot().has_value());
    CHECK(view_ == view{{"a", "1"}, {"b", "1"}, {"d", "1"}, {"e", "1"}});
    CHECK(calls_ < 40);
}

TEST_CASE("follower_page_is_never_read_keys_without_renewal_are_not_removed") {
    follower_of_pages log(false);
    log.follower_.start();
    log.run_for(1'000);
    REQUIRE(log.view_.size() == 5);
    log.unreadable_after_ = {"b"};
    log.put("x", "1");
    log.expire_history();
    log.run_for(20'000);
    CHECK(log.view_.size() == 5);
    CHECK_FALSE(log.follower_.snapshot().has_value());
}

// A page without a readable key ended the full read, which removed the endpoints of all later pages.
TEST_CASE_FIXTURE(follower_of_pages, "follower_page_has_no_readable_key_later_entries_are_not_removed") {
    follower_.start();
    run_for(1'000);
    REQUIRE(view_.size() == 5);
    change_page_ = [](newest_page& page, const std::string& after) {
        if (after == "b") {
            page.records_.clear();
        }
    };
    put("x", "1");
    expire_history();
    run_for(3'000);
    CHECK(view_.contains("d"));
    CHECK(view_.contains("e"));
}

// A store that did not go on after the last key was asked for the same page without a pause, for good.
TEST_CASE_FIXTURE(follower_of_pages, "follower_store_returns_the_same_page_again_calls_stay_few") {
    change_page_ = [this](newest_page& page, const std::string&) {
        page.records_ = {{"a", "1", 0, false}, {"b", "1", 1, false}};
        page.has_more_ = true;
        page.end_ = std::int64_t(records_.size());
    };
    follower_.start();
    run_for(10'000);
    CHECK(calls_ < 60);
    put("a", std::nullopt);
    run_for(leaving_limit_ms);
    CHECK_FALSE(view_.contains("a"));
}

// A store that always has a further page was read without end, and all of its keys were kept.
TEST_CASE_FIXTURE(follower_of_pages, "follower_pages_never_end_keys_are_bounded_and_changes_are_followed") {
    std::size_t next = 0;
    change_page_ = [&](newest_page& page, const std::string&) {
        page.records_.clear();
        for (int count = 0; count < 500; ++count) {
            page.records_.push_back({"k" + std::to_string(1'000'000'000 + next++), "1", 0, false});
        }
        page.has_more_ = true;
    };
    follower_.start();
    run_for(3'000);
    CHECK(view_.size() < 150'000);
    put("z", "1");
    run_for(leaving_limit_ms);
    CHECK(view_.contains("z"));
}

// A log that could not be read from one offset was asked for the same records for good.
TEST_CASE_FIXTURE(follower_of_pages, "follower_records_cannot_be_read_full_read_goes_past_them") {
    follower_.start();
    run_for(1'000);
    put("a", std::nullopt);
    const auto bad = std::int64_t(records_.size()) - 1;
    change_batch_ = [bad](result<read_batch> batch) {
        const bool has_bad =
            ok(batch) && std::ranges::any_of(value(batch).records_,
                                             [&](const keyed_record& one) { return one.offset_ == bad; });
        return has_bad ? result<read_batch>(unreadable) : batch;
    };
    run_for(leaving_limit_ms);
    CHECK_FALSE(view_.contains("a"));
    put("b", std::nullopt);
    run_for(leaving_limit_ms);
    CHECK_FALSE(view_.contains("b"));
}

// A peer relayed a span that ended beyond the store's log. The follower then waited for records with offsets
// that the store had not given out yet.
TEST_CASE_FIXTURE(follower_of_pages, "follower_offset_is_beyond_the_end_of_the_log_full_read_corrects_it") {
    follower_.start();
    run_for(1'000);
    const auto end = std::int64_t(records_.size());
    follower_.apply_span({end, end + 1'000'000, {}, false, 1}, {now_, now_, true});
    put("a", std::nullopt);
    run_for(leaving_limit_ms);
    CHECK_FALSE(view_.contains("a"));
}

// DRAIN, as callers saw it: a gateway whose full read never ended kept sending to an endpoint that had left.
TEST_CASE_FIXTURE(gateway_process,
                  "gateway_page_of_the_registry_is_refused_requests_to_a_removed_endpoint_end") {
    // Time after its start from which bounds hold for a gateway.
    constexpr useconds_t stable_window_us = 3'000'000;
    constexpr useconds_t leaving_limit_us = 2'000'000;
    store_.set_page_size(3); // the first page ends with "i-1"
    store_.set_refused_after("i-1");
    start();
    REQUIRE(eventually([&] { return status(request("lookup", "warm-up")) == 200; }));
    store_.put("keyed.servers", "i-2", endpoint_text(second_)); // the heartbeat of the second endpoint
    REQUIRE(eventually([&] {
        status(request("lookup", "warm-up-2"));
        return !second_.received_requests().empty();
    }));
    ::usleep(stable_window_us);
    store_.drop("keyed.servers", "i-1");
    ::usleep(leaving_limit_us);
    first_.set_behaviours({behaviour::complete});
    for (int lookup = 0; lookup < 20; ++lookup) {
        CHECK(status(request("lookup", "r-" + std::to_string(lookup))) == 200);
    }
    CHECK(first_.received_requests().empty());
}

} // namespace tamarack::direct
