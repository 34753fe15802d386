// Requests of one gateway in this process, among two fake engines. The test plays the engines' agents and the
// registry.
#pragma once

#include "direct/platform_stand_ins.hpp"
#include "gateway/request_flow.hpp"

#include <doctest/doctest.h>

namespace tamarack::gateway {

using direct::fake_endpoint;

// Keeps what a client receives.
struct status_sink : response_sink {
    int status_ = 0;
    std::vector<http::header> headers_;
    std::string data_; // a stream's events, or a body
    // Whether a response that is no stream has been sent.
    bool responded_ = false;
    bool ended_ = false;     // the stream is complete
    std::size_t unsent_ = 0; // what the client has not read

    void send_response(int status, const std::vector<http::header>& headers, std::string body) override {
        status_ = status;
        headers_ = headers;
        data_ += body;
        responded_ = true;
    }
    void begin_stream(int status, const std::vector<http::header>&) override { status_ = status; }
    void send_data(std::string_view data) override { data_ += data; }
    void end_stream() override { ended_ = true; }
    std::function<void()> on_abort_ = [] {};
    void abort() override {
        status_ = -1;
        on_abort_();
    }
    std::size_t unsent_bytes() const override { return unsent_; }
    bool is_memory_scarce() const override { return false; }
};

// Two engines that hold a model, and requests for one of its adapters. The test plays the engines' agents.
struct flow_fixture {
    using adapter_callback = std::function<void(bool ready)>;

    boost::asio::io_context context_;
    metrics metrics_;
    std::string log_;
    event_log events_{"test", event_rate(), [this](const std::string& line) { log_ += line + "\n"; }};
    fleet_state fleet_;
    std::vector<std::pair<std::string, adapter_callback>> adapters_; // engine and callback of each request
    memory::account memory_{memory::limits_for(memory::machine_memory_bytes(), memory::descriptor_limit()),
                            [](memory::pool) {}};
    flow_context flows_{fleet_,
                        metrics_,
                        events_,
                        [this](endpoint& at, const std::string&, const std::string&, adapter_callback done) {
                            adapters_.emplace_back(at.record().id_, std::move(done));
                            return std::uint64_t(adapters_.size());
                        },
                        [](std::string_view, std::uint64_t) {},
                        [] {},
                        [] { return false; },
                        [](const std::shared_ptr<endpoint>&) {},
                        memory_};
    fake_endpoint first_{"e-1"};
    fake_endpoint second_{"e-2"};
    std::map<std::string, fleet::endpoint_record, std::less<>> records_;
    std::shared_ptr<status_sink> sink_ = std::make_shared<status_sink>();

    explicit flow_fixture(identity::revocation_rule revocation = {})
        : fleet_("gateway-1", context_.get_executor(), *registry<header_names>::instance().find("log-store"),
                 dispatch::retry_limits(), {}, revocation) {
        auto configuration = std::make_shared<fleet::configuration>();
        configuration->version_ = 1;
        fleet::service_spec service;
        service.name_ = "engines";
        service.engine_ = fleet::engine_spec();
        configuration->services_.push_back(service);
        fleet::route_rule route;
        route.name_ = "drafts";
        route.host_ = "shop.example";
        route.prefix_ = "/drafts/";
        route.timeout_ms_ = route.objective_ms_ = 2'000;
        route.targets_ = {{"engines", 1}};
        configuration->routes_.push_back(route);
        fleet_.apply_configuration(std::make_shared<const indexed_configuration>(configuration));
        for (const fake_endpoint* one : {&first_, &second_}) {
            fleet::endpoint_record& record = records_[one->id()];
            record.id_ = one->id();
            record.service_ = "engines";
            record.address_ = one->address();
            record.slots_ = 16;
            record.models_ = {{"m", {}}};
        }
        fleet_.apply_endpoints(records_);
        fleet_.quarantine_.restore({}, boot_now_ms());
    }

    std::shared_ptr<request_flow> start(const std::string& model, std::string body = "body",
                                        time_ms deadline_ms = 2'000) {
        http::request request{"POST",
                              "/drafts/x",
                              {{"Host", "shop.example"},
                               {"Tamarackbeam-Request-Id", "r-1"},
                               {"Tamarackbeam-Deadline-Ms", std::to_string(deadline_ms)},
                               {"Tamarackbeam-Model", model}},
                              std::move(body)};
        auto flow = std::make_shared<request_flow>(flows_, sink_, std::move(request));
        flow->on_finished([] {});
        flow->start();
        return flow;
    }

    void mark_leaving(const std::string& id) {
        records_[id].leaving_ = true;
        ++records_[id].sequence_;
        fleet_.apply_endpoints(records_);
    }

    // As if the process had been told to end long ago, and had this long to serve.
    void end_process_in(time_ms left_ms) {
        const time_ms now = steady_now_ms();
        flows_.shutdown_ = dispatch::shutdown_schedule{now - 20'000, now - 10'000, now + left_ms};
    }

    void let_reports_be_overdue() {
        for (const auto& [id, one] : fleet_.endpoints()) {
            one->engine_.known_ = one->engine_.reachable_ = true;
            one->engine_.models_ = {{"m", {}}};
            one->engine_.reported_at_ = steady_now_ms() - 10'000;
        }
    }

    void run() {
        constexpr std::chrono::milliseconds limit(3'000);
        context_.run_for(limit);
    }

    std::size_t received_by(const std::string& id) const {
        return (id == first_.id() ? first_ : second_).received_requests().size();
    }
};

} // namespace tamarack::gateway
