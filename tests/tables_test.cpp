#include "fixtures.hpp"
#include "tamarack/placement.hpp"

#include <algorithm>

namespace tamarack {

namespace {

using nlohmann::json;

struct tables_fixture {
    tables tables_ = fixtures::make_tables();

    std::vector<table_fault> faults_of_route(const json& row) {
        std::vector<table_fault> faults;
        parse_route(row, faults);
        return faults;
    }

    std::vector<table_fault> faults_of_pool(const json& row) {
        std::vector<table_fault> faults;
        parse_pool(row, faults);
        return faults;
    }
};

struct faulty_row {
    const char* name_;
    json row_;
    const char* field_;
};

} // namespace

TEST_CASE_FIXTURE(tables_fixture, "parse_route_bad_field_names_the_field") {
    const std::vector<faulty_row> cases = {
        {"missing name", {{"pool", "p"}}, "name"},
        {"missing pool", {{"name", "r"}}, "pool"},
        {"unknown field", {{"name", "r"}, {"pool", "p"}, {"prio", 1}}, "prio"},
        {"deadline of zero", {{"name", "r"}, {"pool", "p"}, {"deadline_ms", 0}}, "deadline_ms"},
        {"deadline as text", {{"name", "r"}, {"pool", "p"}, {"deadline_ms", "10"}}, "deadline_ms"},
        {"deadline beyond 64 bits",
         {{"name", "r"}, {"pool", "p"}, {"deadline_ms", 18446744073709551615ULL}},
         "deadline_ms"},
        {"unknown class", {{"name", "r"}, {"pool", "p"}, {"class", "urgent"}}, "class"},
        {"flag as number", {{"name", "r"}, {"pool", "p"}, {"idempotent", 1}}, "idempotent"},
        {"relative path", {{"name", "r"}, {"pool", "p"}, {"path_prefix", "v1"}}, "path_prefix"},
        {"empty tenant", {{"name", "r"}, {"pool", "p"}, {"tenant", ""}}, "tenant"},
    };
    for (const faulty_row& one : cases) {
        CAPTURE(one.name_);
        const auto faults = faults_of_route(one.row_);
        REQUIRE(faults.size() == 1);
        CHECK(faults[0].field_ == one.field_);
        CHECK(faults[0].table_ == "routes");
        CHECK_FALSE(faults[0].remedy_.empty());
    }
}

TEST_CASE_FIXTURE(tables_fixture, "parse_pool_bad_field_names_the_field") {
    const json good = {{"name", "p"}, {"kind", "engine"}, {"endpoints", 2}, {"memory_mb", 100}};
    CHECK(faults_of_pool(good).empty());
    const auto with = [&](const char* field, const json& value) {
        json row = good;
        row[field] = value;
        return row;
    };
    const json bad_model = {{"name", "a:b"}, {"memory_mb", 5}};
    const json bad_adapter = {{"name", "m"}, {"memory_mb", 5}, {"adapters", json::array({{{"name", "a"}}})}};
    const std::vector<faulty_row> cases = {
        {"unknown kind", with("kind", "gpu"), "kind"},
        {"no endpoints", with("endpoints", 0), "endpoints"},
        {"negative memory", with("memory_mb", -1), "memory_mb"},
        {"weight above one", with("attainment_weight", 1.5), "attainment_weight"},
        {"models as object", with("models", json::object()), "models"},
        {"separator in model name", with("models", json::array({bad_model})), "models[0].name"},
        {"adapter without memory", with("models", json::array({bad_adapter})),
         "models[0].adapters[0].memory_mb"},
        {"unknown field", with("zone", "x"), "zone"},
    };
    for (const faulty_row& one : cases) {
        CAPTURE(one.name_);
        const auto faults = faults_of_pool(one.row_);
        REQUIRE(faults.size() == 1);
        CHECK(faults[0].field_ == one.field_);
    }
}

TEST_CASE_FIXTURE(tables_fixture, "parse_tables_unexpected_json_gives_faults") {
    const std::vector<json> documents = {
        json(),       json(1),         json::array(),
        json("text"), {{"routes", 1}}, {{"routes", json::array({1, "a", nullptr, json::array()})}}};
    for (const json& document : documents) {
        std::vector<table_fault> faults;
        parse_tables(document, document, faults);
        CHECK_FALSE(faults.empty());
    }
}

TEST_CASE_FIXTURE(tables_fixture, "parse_tables_duplicate_name_is_a_fault") {
    const json row = {{"name", "r"}, {"pool", "p"}};
    std::vector<table_fault> faults;
    parse_tables({{"routes", json::array({row, row})}}, {{"pools", json::array()}}, faults);
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].field_ == "name");
}

TEST_CASE_FIXTURE(tables_fixture, "rows_written_and_parsed_are_equal") {
    std::vector<table_fault> faults;
    for (const auto& [name, row] : tables_.routes_) {
        CHECK(parse_route(to_json(row), faults) == row);
    }
    for (const auto& [name, row] : tables_.pools_) {
        CHECK(parse_pool(to_json(row), faults) == row);
    }
    CHECK(faults.empty());
}

TEST_CASE_FIXTURE(tables_fixture, "check_tables_route_to_missing_pool_is_a_fault") {
    tables_.routes_["lost"] = fixtures::make_route("lost", "/x", "nowhere");
    REQUIRE(check_tables(tables_).size() == 1);
    CHECK(check_tables(tables_)[0].field_ == "pool");
}

TEST_CASE_FIXTURE(tables_fixture, "check_tables_route_to_unknown_model_adapter_or_version_is_a_fault") {
    for (const char* model : {"violin", "luthier:varnish", "luthier@2"}) {
        tables_.routes_["quotes"].model_ = model;
        CAPTURE(model);
        REQUIRE(check_tables(tables_).size() == 1);
        CHECK(check_tables(tables_)[0].field_ == "model");
    }
    tables_.routes_["quotes"].model_ = "luthier@1";
    CHECK(check_tables(tables_).empty());
}

TEST_CASE_FIXTURE(tables_fixture, "check_tables_accepted_pool_places_every_model_with_any_endpoint_down") {
    std::mt19937_64 random(7);
    int accepted = 0;
    for (int round = 0; round < 2'000; ++round) {
        const int endpoints = int(random() % 6) + 1;
        std::vector<model_row> models;
        const int count = int(random() % 12) + 1;
        for (int index = 0; index < count; ++index) {
            const auto memory_mb = std::int64_t(random() % 600) + 1;
            models.push_back(fixtures::make_model("m" + std::to_string(index), memory_mb, random() % 2 + 1));
        }
        pool_row pool = fixtures::make_engine_pool(endpoints, 1'000, std::move(models));
        pool.fencing_ = random() % 2 == 0;
        tables candidate;
        candidate.pools_["advisor"] = pool;
        if (!check_tables(candidate).empty()) {
            continue;
        }
        ++accepted;
        std::vector<std::string> endpoint_names;
        for (int index = 0; index < endpoints; ++index) {
            endpoint_names.push_back("e" + std::to_string(random()));
        }
        for (int down = -1; down < (endpoints > 1 ? endpoints : 0); ++down) {
            std::vector<std::string> survivors = endpoint_names;
            if (down >= 0) {
                survivors.erase(survivors.begin() + down);
            }
            for (const auto& [model, homes] : assign_homes(pool, survivors)) {
                REQUIRE_FALSE(homes.empty());
            }
        }
    }
    CHECK(accepted > 200);
}

TEST_CASE_FIXTURE(tables_fixture, "check_transition_old_and_new_too_large_together_is_a_fault") {
    tables after = tables_;
    after.pools_["advisor"].models_[0].version_ = "2";
    CHECK(check_transition(tables_, after).empty());
    tables_.pools_["advisor"].endpoints_ = 2;
    after = tables_;
    after.pools_["advisor"].models_ = {fixtures::make_model("big", 900)};
    CHECK(check_tables(after).empty());
    CHECK(check_transition(tables_, after).size() == 1);
}

TEST_CASE_FIXTURE(tables_fixture, "stale_order_reserve_without_fencing_is_the_largest_item") {
    pool_row pool = tables_.pools_["advisor"];
    CHECK(stale_order_reserve_mb(pool) == 0);
    pool.fencing_ = false;
    CHECK(stale_order_reserve_mb(pool) == 400);
    CHECK(weights_budget_mb(pool) == 600);
}

TEST_CASE_FIXTURE(tables_fixture, "match_route_several_match_takes_the_most_specific") {
    tables_.routes_["any"] = fixtures::make_route("any", "/", "advisor");
    tables_.routes_["tenant"] = fixtures::make_route("tenant", "/v1/chat/completions", "advisor");
    tables_.routes_["tenant"].organisation_ = "desk";
    const auto matched = [&](std::string_view path, std::string_view organisation) {
        const route_row* route = match_route(tables_, {"POST", path, organisation, "luthier"});
        return route == nullptr ? std::string() : route->name_;
    };
    CHECK(matched("/v1/chat/completions", "desk") == "tenant");
    CHECK(matched("/v1/chat/completions", "other") == "quotes");
    CHECK(matched("/v1/chat/completionsx", "other") == "any");
    CHECK(matched("/else", "desk") == "any");
}

TEST_CASE("parse_model_reference_all_forms_are_split") {
    const model_reference whole = parse_model_reference("m@2:a@3");
    CHECK(whole.model_ == "m");
    CHECK(whole.model_version_ == "2");
    CHECK(whole.adapter_ == "a");
    CHECK(whole.adapter_version_ == "3");
    CHECK(parse_model_reference("m").adapter_.empty());
}

} // namespace tamarack
