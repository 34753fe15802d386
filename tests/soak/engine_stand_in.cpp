#include "soak/engine_stand_in.hpp"

#include "http/message_parser.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace tamarack::soak {

namespace asio = boost::asio;
using asio::awaitable;
using nlohmann::json;

namespace {

constexpr int slots = 16;
constexpr time_ms plain_work_ms = 20;
constexpr time_ms event_interval_ms = 15;
constexpr time_ms unload_look_ms = 20;
constexpr time_ms least_lateness_ms = 500; // of orders that are carried out late
constexpr time_ms most_lateness_ms = 3'000;

// Longer bodies are rejected before they have been received.
http::server_limits request_limits() {
    http::server_limits limits;
    limits.body_bytes_ = 1'000'000;
    return limits;
}

std::string header_of(const http::request& call, std::string_view name) {
    return std::string(call.find(name).value_or(""));
}

// What the endpoint got of a request, as the referee judges it.
received_request received(const http::request& call) {
    received_request seen;
    for (const http::header& header : call.headers_) {
        if (http::same_name(header.name_, "Tamarackbeam-Tenant")) {
            seen.organisations_.push_back(header.value_);
        }
        seen.text_ += header.name_ + ": " + header.value_ + "\n";
    }
    seen.text_ += call.target_ + "\n" + call.body_;
    return seen;
}

} // namespace

std::string plain_answer(const std::string& request_id) {
    return "answer to " + request_id;
}

std::string stamp_of(const std::string& endpoint) {
    return "stamp-" + endpoint;
}

int event_count(const std::string& request_id) {
    constexpr std::uint64_t longest = 40;
    return int(3 + hash64(request_id) % longest);
}

std::string event_text(const std::string& request_id, int number) {
    return "id: " + std::to_string(number) + "\ndata: " + request_id + "-" + std::to_string(number) + "\n\n";
}

engine_stand_in::engine_stand_in(asio::io_context& context, referee& judge, std::string id,
                                 std::uint64_t seed, std::vector<std::string> models)
    : context_(context), judge_(judge), id_(std::move(id)), has_models_(!models.empty()), random_(seed),
      server_(context, request_limits(), [this](http::exchange& call) { return handle(call); }),
      incarnation_(1'000 + std::int64_t(seed % 1'000)) {
    server_.listen({asio::ip::address_v4::loopback(), 0});
    for (const std::string& model : models) {
        models_[model];
        disk_.insert(model);
    }
}

std::string engine_stand_in::entry(const std::string& address, const char* state, std::int64_t count) const {
    json body = {{"service", has_models_ ? "engines" : "plain"},
                 {"address", address},
                 {"zone", "z1"},
                 {"slots", slots},
                 {"state", state},
                 {"born", incarnation_},
                 {"sequence", count},
                 {"models", json::array()}};
    for (const auto& [name, model] : models_) {
        body["models"].push_back({{"name", name}, {"version", 1}, {"adapters", model.adapters_}});
    }
    return body.dump();
}

void engine_stand_in::restart() {
    ++incarnation_;
    models_.clear();
    unloading_.clear();
    loading_.clear();
    busy_ = false;
    accepted_ = 0;
    running_ = 0;
    leaving_ = false;
    back_off_ms_ = std::nullopt;
}

awaitable<void> engine_stand_in::pause(time_ms duration) {
    asio::steady_timer timer(context_, std::chrono::milliseconds(duration));
    co_await timer.async_wait(asio::use_awaitable);
}

void engine_stand_in::set_limit(std::optional<double> per_s) {
    limit_per_s_ = per_s;
    judge_.limits(id_, per_s, steady_now_ms());
}

bool engine_stand_in::has_crashing_part(const http::request& call) const {
    const std::string parts = "," + header_of(call, "Tamarackbeam-Prompt-Prefix");
    return !crashing_part_.empty() && parts.find("," + crashing_part_ + ":") != std::string::npos;
}

// Whether the request ends this engine, which then is on its way down.
bool engine_stand_in::crashes_on(const http::request& call) {
    const bool by_part = has_crashing_part(call);
    const bool by_request = !crashing_path_.empty() && call.path() == crashing_path_;
    if (by_part) {
        judge_.crashed_by_part(steady_now_ms());
    }
    if (by_request) {
        judge_.crashed_by_request(crashing_path_, steady_now_ms());
    }
    if (by_part || by_request) {
        crash_();
    }
    return by_part || by_request;
}

// Adds what the endpoint says of itself to a response.
void engine_stand_in::add_notices(std::vector<http::header>& headers, const std::string& request_id) {
    if (limit_per_s_) {
        headers.push_back({"Server-Limit", std::to_string(*limit_per_s_)});
        judge_.told_limit(request_id, id_, steady_now_ms());
    }
    if (leaving_) {
        headers.push_back({"Server-Leaving", "1"});
        judge_.said_leaving(request_id, id_, incarnation_);
    }
}

awaitable<void> engine_stand_in::refuse(http::exchange& call, int status, const std::string& request_id) {
    http::response answer = http::json_response(status, "{}");
    answer.headers_.push_back({"Tamarackbeam-Not-Run", "1"});
    answer.headers_.push_back({"Tamarackbeam-Request-Id", request_id});
    add_notices(answer.headers_, request_id);
    if (status == 503 && back_off_ms_) {
        constexpr double ms_per_s = 1'000;
        answer.headers_.push_back({"Retry-After", std::to_string(double(*back_off_ms_) / ms_per_s)});
        judge_.asked_back_off(request_id, id_, *back_off_ms_, steady_now_ms());
    }
    co_await call.reply(std::move(answer));
}

awaitable<void> engine_stand_in::handle(http::exchange& call) {
    const http::request& incoming = call.incoming();
    if (incoming.path() == "/api/report") {
        http::response answer = http::json_response(200, report());
        co_await call.reply(std::move(answer));
        co_return;
    }
    const std::string request_id = header_of(incoming, "Tamarackbeam-Request-Id");
    const std::string expected = header_of(incoming, "Tamarackbeam-Expect-Instance");
    if (incoming.path() != "/api/order") {
        judge_.arrived(request_id, id_, steady_now_ms());
        judge_.arrived_at(request_id, id_, incarnation_, steady_now_ms());
    }
    if (!expected.empty() && expected != id_) {
        co_await refuse(call, 421, request_id);
        co_return;
    }
    if (incoming.path() == "/api/order") {
        co_await take_order(call);
        co_return;
    }
    co_await run(call, request_id);
}

awaitable<void> engine_stand_in::run(http::exchange& call, const std::string& request_id) {
    const std::string named = header_of(call.incoming(), "Tamarackbeam-Model");
    const std::string model = named.substr(0, named.find('/'));
    const std::string adapter = model.size() == named.size() ? "" : named.substr(model.size() + 1);
    const auto held = models_.find(model);
    if (has_models_ &&
        (held == models_.end() || (!adapter.empty() && !held->second.adapters_.contains(adapter)))) {
        co_await refuse(call, 421, request_id);
        co_return;
    }
    if (running_ >= slots || unloading_.contains(model) || back_off_ms_) {
        co_await refuse(call, 503, request_id);
        co_return;
    }
    judge_.ran(request_id, id_, steady_now_ms());
    judge_.ran_as(request_id, received(call.incoming()), steady_now_ms());
    const std::int64_t incarnation = incarnation_;
    ++running_;
    if (has_models_) {
        ++models_[model].running_;
    }
    const bool fails = chance(faults_.failing_);
    const bool lost = chance(faults_.lost_);
    bool gone = false;
    call.on_disconnect([&gone] { gone = true; });
    bool answered = false;
    if (fails || !has_models_) {
        co_await pause(plain_work_ms);
        const bool crashes = incarnation == incarnation_ && crashes_on(call.incoming());
        if (!crashes && !lost && !gone && incarnation == incarnation_) {
            http::response answer{fails ? 500 : 200, {}, plain_answer(request_id)};
            answer.headers_ = {{"Tamarackbeam-Request-Id", request_id},
                               {"Tamarackbeam-Server-Stamp", stamp_of(id_)}};
            add_notices(answer.headers_, request_id);
            answered = co_await call.reply(std::move(answer));
        }
    } else {
        answered = co_await stream(call, request_id, gone);
    }
    if (!answered) {
        call.abort();
    }
    if (incarnation == incarnation_) {
        --running_;
        const auto still = models_.find(model);
        if (still != models_.end()) {
            --still->second.running_;
        }
    }
}

// Sends the events that are due. Returns whether the answer is complete.
awaitable<bool> engine_stand_in::stream(http::exchange& call, const std::string& request_id, bool& gone) {
    const std::string last = header_of(call.incoming(), "Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    const int end = event_count(request_id);
    const int cut = chance(faults_.lost_) ? first + int(random_() % 5) : end + 1;
    const std::int64_t incarnation = incarnation_;
    co_await pause(plain_work_ms);
    std::vector<http::header> headers = {{"Tamarackbeam-Request-Id", request_id},
                                         {"Tamarackbeam-Server-Stamp", stamp_of(id_)},
                                         {"Content-Type", "text/event-stream"}};
    add_notices(headers, request_id);
    bool alive = co_await call.begin(200, std::move(headers));
    if (incarnation == incarnation_ && crashes_on(call.incoming())) {
        co_return false;
    }
    for (int number = first; alive && number <= end; ++number) {
        if (number == cut || gone || incarnation != incarnation_) {
            const std::string part = event_text(request_id, number);
            co_await call.write(std::string_view(part).substr(0, part.size() / 2));
            co_return false;
        }
        const std::string event = event_text(request_id, number);
        alive = co_await call.write(event);
        co_await pause(event_interval_ms);
    }
    if (!alive) {
        co_return false;
    }
    co_return co_await call.finish();
}

awaitable<void> engine_stand_in::take_order(http::exchange& call) {
    const std::string body = call.incoming().body_;
    if (chance(faults_.late_orders_)) {
        const time_ms lateness =
            std::uniform_int_distribution<time_ms>(least_lateness_ms, most_lateness_ms)(random_);
        const std::int64_t incarnation = incarnation_;
        co_await pause(lateness);
        if (incarnation == incarnation_) {
            carry_out(body);
        }
        call.abort();
        co_return;
    }
    http::response answer = http::json_response(carry_out(body), "{}");
    co_await call.reply(std::move(answer));
}

// Returns the status for the order.
int engine_stand_in::carry_out(const std::string& body) {
    const json order = json::parse(body, nullptr, false);
    if (!order.is_object() || !order.contains("holder") || !order.contains("fence")) {
        return 400;
    }
    if (busy_ || order.value("expected", accepted_) != accepted_) {
        return 409;
    }
    const bool load = order.value("op", "") == "load";
    const std::string model = order.value("model", "");
    const std::string adapter = order.value("adapter", "");
    const int status =
        adapter.empty() ? carry_out_model(load, model) : carry_out_adapter(load, model, adapter);
    if (status == 202) {
        ++accepted_;
        judge_.ordered(id_, incarnation_, order["holder"], order["fence"]);
    }
    return status;
}

int engine_stand_in::carry_out_model(bool load, const std::string& model) {
    if (models_.contains(model) == load) {
        return 200;
    }
    busy_ = true;
    if (load) {
        loading_ = model;
        tell_memory();
        if (!disk_.contains(model)) {
            judge_.loads_from_store(steady_now_ms());
        }
    } else {
        unloading_.insert(model);
    }
    asio::co_spawn(context_, change_model(load, model, incarnation_), asio::detached);
    return 202;
}

int engine_stand_in::carry_out_adapter(bool load, const std::string& model, const std::string& adapter) {
    const auto held = models_.find(model);
    if (held == models_.end()) {
        return 400;
    }
    if (held->second.adapters_.contains(adapter) == load) {
        return 200;
    }
    if (load) {
        held->second.adapters_.insert(adapter);
    } else {
        held->second.adapters_.erase(adapter);
    }
    tell_memory();
    return 202;
}

awaitable<void> engine_stand_in::change_model(bool load, std::string model, std::int64_t incarnation) {
    if (load) {
        co_await pause(disk_.contains(model) ? disk_load_ms : store_load_ms);
    }
    while (!load && incarnation == incarnation_ && models_[model].running_ > 0) {
        co_await pause(unload_look_ms);
    }
    if (incarnation != incarnation_) {
        co_return;
    }
    if (load) {
        models_[model];
        disk_.insert(model);
    } else {
        models_.erase(model);
        unloading_.erase(model);
    }
    loading_.clear();
    busy_ = false;
    tell_memory();
}

void engine_stand_in::tell_memory() {
    int adapters = 0;
    for (const auto& [name, model] : models_) {
        adapters += int(model.adapters_.size());
    }
    const double models = double(models_.size()) + (loading_.empty() ? 0 : 1);
    judge_.holds(id_, models * model_mb + adapters * adapter_mb, engine_mb, adapters, adapter_slots);
}

std::string engine_stand_in::report() const {
    json body = {{"stage", "hybrid"}, {"models", json::array()}, {"busy", busy_},   {"sequence", accepted_},
                 {"queued", 0},       {"running", running_},     {"kv_used", 0},    {"kv_total", 100'000},
                 {"handles", 0},      {"born", incarnation_},    {"state", "ready"}};
    for (const auto& [name, model] : models_) {
        body["models"].push_back({{"name", name}, {"version", 1}, {"adapters", model.adapters_}});
    }
    body["at_hand"] = {{"in_memory", json::array()}, {"on_disk", disk_}};
    return body.dump();
}

} // namespace tamarack::soak
