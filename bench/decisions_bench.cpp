// Micro-benchmarks of the decisions on the path of each request, and of what each instance keeps.
#include "tamarack/admission.hpp"
#include "tamarack/claims.hpp"
#include "tamarack/configuration.hpp"
#include "tamarack/membership.hpp"
#include "tamarack/placement.hpp"
#include "tamarack/quarantine.hpp"
#include "tamarack/routing.hpp"
#include "tamarack/wire.hpp"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>
#include <random>

namespace {

std::atomic<std::int64_t> allocations = 0;
std::atomic<std::int64_t> allocated_bytes = 0;
std::atomic<std::int64_t> live_bytes = 0; // as the allocator rounds them

} // namespace

// Counts allocations, which do not depend on the machine's speed.
void* operator new(std::size_t size) {
    ++allocations;
    allocated_bytes += std::int64_t(size);
    if (void* memory = std::malloc(size)) {
        live_bytes += std::int64_t(::malloc_usable_size(memory));
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept {
    live_bytes -= std::int64_t(::malloc_usable_size(memory));
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept {
    operator delete(memory);
}

namespace tamarack {

namespace {

// Reports allocations and bytes for each iteration.
class allocation_count {
public:
    explicit allocation_count(benchmark::State& state)
        : state_(state), allocations_(allocations), bytes_(allocated_bytes) {}

    ~allocation_count() {
        const auto iterations = double(std::max<std::int64_t>(1, state_.iterations()));
        state_.counters["allocations"] = double(allocations - allocations_) / iterations;
        state_.counters["bytes"] = double(allocated_bytes - bytes_) / iterations;
    }

private:
    benchmark::State& state_;
    std::int64_t allocations_;
    std::int64_t bytes_;
};

tables make_tables(std::int64_t routes, std::int64_t models) {
    tables made;
    pool_row pool;
    pool.name_ = "pool";
    pool.endpoints_ = 1'000'000;
    pool.memory_mb_ = 80'000;
    pool.fencing_ = true;
    for (std::int64_t index = 0; index < models; ++index) {
        model_row model;
        model.name_ = "model-" + std::to_string(index);
        model.version_ = "1";
        model.memory_mb_ = 14'000;
        model.copies_ = 2;
        for (int adapter = 0; adapter < 4; ++adapter) {
            model.adapters_.push_back({"adapter-" + std::to_string(adapter), "1", 60});
        }
        pool.models_.push_back(model);
    }
    made.pools_["pool"] = pool;
    for (std::int64_t index = 0; index < routes; ++index) {
        route_row route;
        route.name_ = "route-" + std::to_string(index);
        route.path_prefix_ = "/v1/chat/completions";
        route.model_ = "model-" + std::to_string(index % std::max<std::int64_t>(1, models));
        route.pool_ = "pool";
        made.routes_[route.name_] = route;
    }
    return made;
}

std::vector<std::string> make_endpoints(std::int64_t count) {
    std::vector<std::string> endpoints;
    for (std::int64_t index = 0; index < count; ++index) {
        endpoints.push_back("engine-" + std::to_string(index));
    }
    return endpoints;
}

void match_route_by_routes(benchmark::State& state) {
    const tables in_force = make_tables(state.range(0), 20);
    const allocation_count counted(state);
    for (auto _ : state) {
        benchmark::DoNotOptimize(match_route(in_force, {"POST", "/v1/chat/completions", "desk", "model-7"}));
    }
}
BENCHMARK(match_route_by_routes)->Arg(5)->Arg(50)->Arg(210)->Arg(1'000);

void choose_endpoint_by_candidates(benchmark::State& state) {
    const std::vector<std::string> names = make_endpoints(state.range(0));
    std::vector<candidate> candidates;
    for (const std::string& name : names) {
        candidate one;
        one.id_ = name;
        candidates.push_back(one);
    }
    std::mt19937_64 random(1);
    const allocation_count counted(state);
    for (auto _ : state) {
        benchmark::DoNotOptimize(choose_endpoint(candidates, random(), random()));
    }
}
BENCHMARK(choose_endpoint_by_candidates)->Arg(12)->Arg(100)->Arg(1'000)->Arg(12'000);

void assign_homes_by_endpoints(benchmark::State& state) {
    const tables in_force = make_tables(1, state.range(1));
    const std::vector<std::string> endpoints = make_endpoints(state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(assign_homes(in_force.pools_.at("pool"), endpoints));
    }
}
BENCHMARK(assign_homes_by_endpoints)
    ->Args({12, 20})
    ->Args({100, 210})
    ->Args({1'000, 210})
    ->Args({12'000, 210});

void apply_change_by_models(benchmark::State& state) {
    config_state base;
    base.tables_ = make_tables(state.range(0), state.range(0));
    base.version_ = 0;
    base.last_offset_ = 0;
    tables wanted = base.tables_;
    wanted.routes_["route-0"].deadline_ms_ += 1;
    const std::string record = encode_change(diff_tables(base, wanted, "id", "author"));
    state.counters["record_bytes"] = double(record.size());
    state.counters["state_bytes"] = double(encode_state(base).size());
    for (auto _ : state) {
        config_state current = base;
        benchmark::DoNotOptimize(apply_record(current, {1, 0, record}));
    }
}
BENCHMARK(apply_change_by_models)->Arg(20)->Arg(210);

wire::submit make_submit() {
    wire::submit request;
    request.attempt_ = 1;
    request.method_ = "POST";
    request.path_ = "/v1/chat/completions";
    request.content_type_ = "application/json";
    request.organisation_ = "desk";
    request.model_ = "luthier-1:adapter-2";
    request.budget_ms_ = 10'000;
    request.body_ = std::string(1'000, 'x');
    return request;
}

void encode_submit_frame(benchmark::State& state) {
    const wire::frame frame{1, make_submit()};
    state.counters["frame_bytes"] = double(wire::encode_frame(frame).size());
    const allocation_count counted(state);
    for (auto _ : state) {
        benchmark::DoNotOptimize(wire::encode_frame(frame));
    }
}
BENCHMARK(encode_submit_frame);

void decode_submit_frame(benchmark::State& state) {
    const std::vector<std::uint8_t> bytes = wire::encode_frame({1, make_submit()});
    const allocation_count counted(state);
    for (auto _ : state) {
        benchmark::DoNotOptimize(wire::decode_frame(std::span(bytes).subspan(4)));
    }
}
BENCHMARK(decode_submit_frame);

void encode_token_chunk(benchmark::State& state) {
    const wire::frame frame{1, wire::chunk{1, 2, std::string(150, 'x')}};
    state.counters["frame_bytes"] = double(wire::encode_frame(frame).size());
    const allocation_count counted(state);
    for (auto _ : state) {
        benchmark::DoNotOptimize(wire::encode_frame(frame));
    }
}
BENCHMARK(encode_token_chunk);

void encode_heartbeat_by_items(benchmark::State& state) {
    wire::status said;
    said.same_items_ = state.range(0) == 0;
    for (std::int64_t index = 0; index < state.range(0); ++index) {
        said.resident_.push_back("model-" + std::to_string(index / 5) + ":adapter-" +
                                 std::to_string(index % 5) + "@1");
    }
    const wire::frame frame{1, said};
    state.counters["frame_bytes"] = double(wire::encode_frame(frame).size());
    for (auto _ : state) {
        benchmark::DoNotOptimize(wire::encode_frame(frame));
    }
}
BENCHMARK(encode_heartbeat_by_items)->Arg(0)->Arg(10)->Arg(30);

void absorb_heartbeat_by_endpoints(benchmark::State& state) {
    membership members(2'000);
    std::vector<listed_instance> listed;
    for (const std::string& id : make_endpoints(state.range(0))) {
        listed.push_back({id, "agent", "pool", "dc1", "10.0.0.1", 7'000, false});
    }
    const std::int64_t before = live_bytes;
    members.apply_list(listed);
    agent_status status;
    for (int index = 0; index < 10; ++index) {
        status.resident_.push_back("model-1:adapter-" + std::to_string(index) + "@1");
    }
    for (const listed_instance& instance : listed) {
        members.apply_status(instance.id_, status, 0);
    }
    state.counters["bytes_for_each_endpoint"] = double(live_bytes - before) / double(state.range(0));
    std::size_t next = 0;
    for (auto _ : state) {
        members.apply_status(listed[next++ % listed.size()].id_, status, 1);
    }
}
BENCHMARK(absorb_heartbeat_by_endpoints)->Arg(16)->Arg(1'000)->Arg(12'000);

void find_claim_by_claims(benchmark::State& state) {
    claim_index index(3'600'000);
    const std::int64_t before = live_bytes;
    for (std::int64_t number = 0; number < state.range(0); ++number) {
        const claim one{digest_key("desk", std::to_string(number)), 1, 1, "endpoint-1"};
        const log_record record{number, 0, encode_claims(std::vector<claim>{one})};
        index.apply_records(0, 0, std::vector<log_record>{record});
    }
    state.counters["bytes_for_each_claim"] = double(live_bytes - before) / double(state.range(0));
    std::int64_t number = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(index.find(digest_key("desk", std::to_string(number++ % state.range(0)))));
    }
}
BENCHMARK(find_claim_by_claims)->Arg(1'000)->Arg(100'000);

void encode_claims_by_batch(benchmark::State& state) {
    std::vector<claim> claims;
    for (std::int64_t number = 0; number < state.range(0); ++number) {
        claims.push_back({digest_key("desk", std::to_string(number)), 1, 1, "endpoint-1"});
    }
    state.counters["record_bytes"] = double(encode_claims(claims).size());
    for (auto _ : state) {
        benchmark::DoNotOptimize(encode_claims(claims));
    }
}
BENCHMARK(encode_claims_by_batch)->Arg(1)->Arg(100);

void admit_and_finish(benchmark::State& state) {
    admission gate({64, 0, 256, 0});
    std::uint64_t id = 0;
    const allocation_count counted(state);
    for (auto _ : state) {
        admission_request request;
        request.id_ = ++id;
        request.organisation_ = "desk";
        request.deadline_ = 1'000'000'000;
        benchmark::DoNotOptimize(gate.submit(request, 0));
        benchmark::DoNotOptimize(gate.finish(id, 5, 0));
    }
}
BENCHMARK(admit_and_finish);

// The name of a request by the size of its body, which each request gets.
void request_name(benchmark::State& state) {
    const std::string body(std::size_t(state.range(0)), 'b');
    const quarantine::request_identity identity{"POST", "shop.example", "/drafts/5c1e07a2", "", "", body};
    for (auto _ : state) {
        benchmark::DoNotOptimize(quarantine::request_name(identity));
    }
}
BENCHMARK(request_name)->Arg(0)->Arg(5'000)->Arg(1'048'576);

} // namespace

} // namespace tamarack

BENCHMARK_MAIN();
