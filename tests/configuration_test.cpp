#include "fixtures.hpp"

#include <algorithm>

namespace tamarack {

namespace {

// An in-memory log whose oldest records can be trimmed.
struct configuration_fixture {
    std::vector<log_record> log_;
    std::int64_t first_ = 0;

    std::int64_t append(const std::string& data) {
        const auto offset = std::int64_t(log_.size());
        log_.push_back({offset, offset * 1'000, data});
        return offset;
    }

    std::int64_t append(const config_change& change) { return append(encode_change(change)); }

    void trim(std::int64_t first) { first_ = first; }

    std::vector<log_record> read(std::int64_t from) const {
        std::vector<log_record> records;
        for (const log_record& record : log_) {
            if (record.offset_ >= std::max(from, first_)) {
                records.push_back(record);
            }
        }
        return records;
    }

    std::vector<change_result> catch_up(config_reader& reader) const {
        const std::vector<log_record> records = read(reader.next_offset());
        return reader.apply_records(first_, records);
    }

    config_change first_change(const std::string& id = "first") const {
        return diff_tables(config_state(), fixtures::make_tables(), id, "ana");
    }

    // Returns a change of one row relative to the state of a reader.
    config_change deadline_change(const config_reader& reader, std::int64_t deadline_ms,
                                  const std::string& id) const {
        tables wanted = reader.state().tables_;
        wanted.routes_["quotes"].deadline_ms_ = deadline_ms;
        return diff_tables(reader.state(), wanted, id, "ben");
    }
};

} // namespace

TEST_CASE_FIXTURE(configuration_fixture, "apply_concurrent_changes_accepts_the_first_for_all_readers") {
    append(first_change());
    config_reader one;
    catch_up(one);
    const config_change ana = deadline_change(one, 100, "ana-1");
    const config_change ben = deadline_change(one, 200, "ben-1");
    append(ana);
    append(ben);
    const auto results = catch_up(one);
    REQUIRE(results.size() == 2);
    CHECK(results[0].kind_ == change_outcome::accepted);
    CHECK(results[1].kind_ == change_outcome::rejected);
    CHECK(results[1].reason_.find("version 1 is in force") != std::string::npos);
    config_reader two;
    catch_up(two);
    CHECK(two.state() == one.state());
    CHECK(one.state().tables_.routes_.at("quotes").deadline_ms_ == 100);
}

TEST_CASE_FIXTURE(configuration_fixture, "apply_change_published_twice_is_accepted_once") {
    append(first_change());
    append(first_change());
    config_reader reader;
    const auto results = catch_up(reader);
    CHECK(results[0].kind_ == change_outcome::accepted);
    CHECK(results[1].kind_ == change_outcome::rejected);
    CHECK(reader.state().version_ == 0);
}

TEST_CASE_FIXTURE(configuration_fixture, "apply_random_bytes_change_nothing") {
    append(first_change());
    config_reader reader;
    catch_up(reader);
    const tables before = reader.state().tables_;
    std::mt19937_64 random(3);
    for (int round = 0; round < 500; ++round) {
        std::string bytes(random() % 200, '\0');
        std::generate(bytes.begin(), bytes.end(), [&] { return char(random()); });
        append(bytes);
    }
    const std::string whole = encode_change(deadline_change(reader, 100, "cut"));
    for (std::size_t length = 0; length < whole.size(); ++length) {
        append(whole.substr(0, length));
    }
    for (const char* text : {"{}", "[]", "null", R"({"kind":"change"})", R"({"kind":"snapshot"})",
                             R"({"kind":"change","id":1,"author":"","base":0,"put_routes":[],"put_pools":[],
                                 "removed_routes":[],"removed_pools":[]})"}) {
        append(std::string(text));
    }
    for (const change_result& decided : catch_up(reader)) {
        CHECK(decided.kind_ != change_outcome::accepted);
    }
    CHECK(reader.state().tables_ == before);
}

TEST_CASE_FIXTURE(configuration_fixture, "apply_change_exceeding_memory_is_rejected_with_the_reason") {
    append(first_change());
    config_reader reader;
    catch_up(reader);
    tables wanted = reader.state().tables_;
    wanted.pools_["advisor"].models_.push_back(fixtures::make_model("huge", 5'000));
    append(diff_tables(reader.state(), wanted, "unfit", "ben"));
    const auto results = catch_up(reader);
    CHECK(results[0].kind_ == change_outcome::rejected);
    CHECK(results[0].reason_.find("huge") != std::string::npos);
}

TEST_CASE_FIXTURE(configuration_fixture, "reader_after_retention_starts_from_a_snapshot") {
    append(first_change());
    config_reader old_reader;
    catch_up(old_reader);
    append(deadline_change(old_reader, 100, "second"));
    catch_up(old_reader);
    const std::string snapshot = encode_state(old_reader.state());
    append(deadline_change(old_reader, 300, "between"));
    append(snapshot);
    append(std::string("noise"));
    catch_up(old_reader);
    trim(2);
    config_reader fresh;
    catch_up(fresh);
    CHECK(fresh.synchronised());
    CHECK(fresh.state() == old_reader.state());
    CHECK(fresh.state().tables_.routes_.at("quotes").deadline_ms_ == 300);
}

TEST_CASE_FIXTURE(configuration_fixture, "reader_with_gap_before_snapshot_stays_unsynchronised") {
    append(first_change());
    config_reader old_reader;
    catch_up(old_reader);
    const std::string stale_snapshot = encode_state(old_reader.state());
    append(deadline_change(old_reader, 100, "lost"));
    append(std::string("noise"));
    append(stale_snapshot);
    trim(2);
    config_reader fresh;
    catch_up(fresh);
    CHECK_FALSE(fresh.synchronised());
    CHECK(fresh.state().version_ == no_version);
    catch_up(old_reader);
    CHECK(fresh.adopt(old_reader.state()));
    CHECK(fresh.state() == old_reader.state());
}

TEST_CASE_FIXTURE(configuration_fixture, "reader_disconnected_beyond_retention_never_reverts") {
    append(first_change());
    config_reader reader;
    catch_up(reader);
    config_reader other;
    catch_up(other);
    append(deadline_change(other, 100, "a"));
    catch_up(other);
    append(deadline_change(other, 200, "b"));
    catch_up(other);
    trim(3);
    catch_up(reader);
    CHECK_FALSE(reader.synchronised());
    CHECK(reader.state().version_ == 0);
    append(encode_state(other.state()));
    catch_up(reader);
    CHECK(reader.synchronised());
    CHECK(reader.state().version_ == 2);
}

TEST_CASE_FIXTURE(configuration_fixture, "adopt_older_or_malformed_peer_state_is_refused") {
    append(first_change());
    config_reader reader;
    catch_up(reader);
    const config_state older = reader.state();
    append(deadline_change(reader, 100, "a"));
    catch_up(reader);
    CHECK_FALSE(reader.adopt(older));
    CHECK(reader.state().version_ == 1);
    CHECK_FALSE(ok(decode_state("{}")));
    CHECK_FALSE(ok(decode_state("\xff\xfe")));
    CHECK_FALSE(ok(decode_state(R"({"kind":"snapshot","version":5,"through":2,"routes":[],"pools":[]})")));
    CHECK(ok(decode_state(encode_state(older))));
}

// Readers that join, lag, lose records to retention, adopt the states of peers and read snapshots in random
// order agree on one history.
TEST_CASE_FIXTURE(configuration_fixture, "readers_under_random_faults_agree_and_versions_never_decrease") {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        log_.clear();
        first_ = 0;
        std::mt19937_64 random(seed);
        append(first_change());
        std::map<std::int64_t, tables> history;
        config_reader reference;
        std::vector<config_reader> readers(4);
        std::vector<std::int64_t> versions(readers.size(), no_version);
        for (int step = 0; step < 200; ++step) {
            catch_up(reference);
            history[reference.state().version_] = reference.state().tables_;
            const std::size_t index = random() % readers.size();
            config_reader& reader = readers[index];
            switch (random() % 8) {
            case 0:
                append(deadline_change(reference, std::int64_t(random() % 9'000) + 1,
                                       "c" + std::to_string(step)));
                break;
            case 1:
                if (reader.state().version_ != no_version) {
                    append(deadline_change(reader, std::int64_t(random() % 9'000) + 1,
                                           "s" + std::to_string(step)));
                }
                break;
            case 2:
                append(std::string("noise"));
                break;
            case 3:
                if (reader.synchronised()) {
                    append(encode_state(reader.state()));
                }
                break;
            case 4:
                reader.adopt(readers[random() % readers.size()].state());
                break;
            case 5:
                if (log_.size() > 40 && random() % 3 == 0) {
                    trim(std::int64_t(log_.size()) - 20);
                }
                break;
            case 6:
                if (random() % 5 == 0) {
                    reader = config_reader();
                    versions[index] = no_version;
                }
                break;
            default:
                catch_up(reader);
            }
            CHECK(reader.state().version_ >= versions[index]);
            versions[index] = reader.state().version_;
            if (reader.state().version_ != no_version && history.contains(reader.state().version_)) {
                CHECK(reader.state().tables_ == history[reader.state().version_]);
            }
        }
    }
}

TEST_CASE("snapshot_due_is_spread_and_always_before_the_retention_ends") {
    const std::int64_t retention = 1'000'000;
    CHECK_FALSE(snapshot_due(0, 250'000, retention, 0.0));
    CHECK(snapshot_due(0, 320'000, retention, 0.0));
    CHECK_FALSE(snapshot_due(0, 320'000, retention, 0.9));
    CHECK(snapshot_due(0, 610'000, retention, 0.999));
}

} // namespace tamarack
