// Requests of organisations, among two fake engines.
#pragma once

#include "direct/request_flow_fixture.hpp"

namespace tamarack::gateway {

// Two engines that hold a model, and two organisations of which one has two keys.
struct identity_fixture : flow_fixture {
    explicit identity_fixture(identity::revocation_rule revocation = {}) : flow_fixture(revocation) {
        configure(2, {{"o-1", {"key-1", "key-2"}, std::nullopt, {}}, {"o-2", {"key-3"}, std::nullopt, {}}});
        fleet_.set_registry_freshness({boot_now_ms(), boot_now_ms(), false});
    }

    void configure(std::int64_t version, std::vector<fleet::organisation> organisations,
                   bool public_route = false) {
        auto configuration = std::make_shared<fleet::configuration>(*fleet_.current()->configuration_);
        configuration->version_ = version;
        configuration->organisations_ = std::move(organisations);
        configuration->routes_.front().public_ = public_route;
        fleet_.apply_configuration(std::make_shared<const indexed_configuration>(configuration));
    }

    std::shared_ptr<request_flow> start_with(std::vector<http::header> further,
                                             const std::string& model = "m",
                                             const std::string& target = "/drafts/x") {
        std::vector<http::header> headers = {{"Host", "shop.example"},
                                             {"Tamarackbeam-Request-Id", "r-1"},
                                             {"Tamarackbeam-Deadline-Ms", "2000"},
                                             {"Tamarackbeam-Model", model}};
        headers.insert(headers.end(), further.begin(), further.end());
        auto flow = std::make_shared<request_flow>(flows_, sink_,
                                                   http::request{"POST", target, std::move(headers), "body"});
        flow->on_finished([] {});
        flow->start();
        return flow;
    }

    // Answers all requests for adapters until there are no more.
    void load_adapters() {
        for (std::size_t next = 0; next < adapters_.size(); ++next) {
            const adapter_callback done = adapters_[next].second; // which may ask for another
            done(true);
            context_.restart();
            context_.run_for(std::chrono::milliseconds(100));
        }
    }

    std::string received() const {
        std::string all;
        for (const fake_endpoint* one : {&first_, &second_}) {
            for (const std::string& request : one->received_requests()) {
                all += request;
            }
        }
        return all;
    }

    std::string header(const std::string& name) const {
        const http::header* found = http::find_header(sink_->headers_, name);
        return found == nullptr ? std::string() : found->value_;
    }
};

} // namespace tamarack::gateway
