#include "soak/clients.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace tamarack::soak {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr time_ms deadline_ms = 2'500;
constexpr std::chrono::milliseconds patience{4'000}; // beyond the deadline, so that a late answer is seen
constexpr std::chrono::milliseconds connect_limit{1'000};

received_answer judge_plain(const std::string& id, const result<http::response>& outcome) {
    received_answer seen;
    if (!ok(outcome)) {
        return seen;
    }
    const http::response& answer = value(outcome);
    seen.status_ = answer.status_;
    seen.genuine_ = answer.body_ == plain_answer(id) && answer.find("Tamarackbeam-Server-Stamp").has_value();
    return seen;
}

http::request make_public_request(const std::string& id) {
    return {"GET",
            "/open/x",
            {{"Host", "soak.example"},
             {"Tamarackbeam-Request-Id", id},
             {"Tamarackbeam-Deadline-Ms", std::to_string(deadline_ms)}},
            ""};
}

// Whether the text is the whole stream of the request.
bool whole_stream(const std::string& id, const std::string& text) {
    std::string expected;
    for (int number = 1; number <= event_count(id); ++number) {
        expected += event_text(id, number);
    }
    return text == expected;
}

} // namespace

http::request make_repeated_request(const std::string& path, bool plain) {
    if (plain) {
        return {"GET", path, {{"Host", "soak.example"}}, ""};
    }
    return {"POST",
            path,
            {{"Host", "soak.example"},
             {"Tamarackbeam-Model", "m0"},
             {"Tamarackbeam-Token-Usage", "200,100"},
             {"Tamarackbeam-Prompt-Prefix", "f0:80,51:60,own:60"}},
            "bad"};
}

clients::clients(asio::io_context& context, fleet& parts, referee& judge, std::uint64_t seed)
    : context_(context), fleet_(parts), judge_(judge), random_(seed), part_random_(seed + 3),
      pace_random_(seed + 5), key_random_(seed + 7), seed_(seed), idle_(parts.gateways().size()) {}

void clients::start(double requests_per_s, int uploads) {
    constexpr std::uint64_t misbehaving = 6;
    asio::co_spawn(context_, send_all(requests_per_s), asio::detached);
    for (std::uint64_t number = 0; number < misbehaving; ++number) {
        asio::co_spawn(context_, misbehave(seed_ + 100 + number), asio::detached);
    }
    for (int number = 0; number < uploads; ++number) {
        asio::co_spawn(context_, upload(seed_ + 200 + std::uint64_t(number)), asio::detached);
    }
}

namespace {

// What a client sends that misbehaves. None of it is a whole request for an endpoint.
std::string misbehaving_bytes(std::mt19937_64& random) {
    constexpr std::uint64_t kinds = 4;
    const std::string head =
        "POST /booking/x HTTP/1.1\r\nHost: soak.example\r\nTamarackbeam-Request-Id: none\r\n";
    switch (random() % kinds) {
    case 0: // stops within its head
        return head.substr(0, 1 + random() % (head.size() - 1));
    case 1: // stops short of the end of its body
        return head + "Content-Length: 500000\r\n\r\n" + std::string(random() % 499'999, 'x');
    case 2: // stops within a chunk
        return head + "Transfer-Encoding: chunked\r\n\r\n400\r\n" + std::string(random() % 1'024, 'x');
    default: { // sends ahead, to a path without a route
        std::string all;
        for (std::uint64_t count = 1 + random() % 300; count > 0; --count) {
            all += "GET /nowhere HTTP/1.1\r\nHost: soak.example\r\nTamarackbeam-Request-Id: none\r\n\r\n";
        }
        return all;
    }
    }
}

} // namespace

// Opens one connection after the other, sends without reading, and stays for a while.
awaitable<void> clients::misbehave(std::uint64_t seed) {
    constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
    std::mt19937_64 random(seed);
    asio::steady_timer timer(context_);
    while (!stopped_) {
        const std::size_t gateway = random() % fleet_.gateways().size();
        const std::string bytes = misbehaving_bytes(random);
        const std::chrono::milliseconds stay(100 + random() % 2'900);
        asio::ip::tcp::socket socket(context_);
        boost::system::error_code failed;
        socket.open(asio::ip::tcp::v4(), failed);
        timer.expires_after(stay);
        timer.async_wait([&socket](boost::system::error_code cancelled) {
            if (!cancelled) {
                boost::system::error_code ignored;
                socket.close(ignored);
            }
        });
        const auto [unreachable] =
            co_await socket.async_connect(fleet_.gateways()[gateway].clients_->address(), no_throw);
        if (!unreachable) {
            co_await asio::async_write(socket, asio::buffer(bytes), no_throw);
        }
        timer.cancel();
        timer.expires_after(stay);
        co_await timer.async_wait(no_throw);
    }
}

// Sends one long body after the other, and leaves some requests before their response.
awaitable<void> clients::upload(std::uint64_t seed) {
    constexpr std::size_t min_bytes = 100'000;
    constexpr std::size_t max_bytes = 2'000'000;
    constexpr time_ms max_stay_ms = 200;
    std::mt19937_64 random(seed);
    while (!stopped_) {
        const std::size_t gateway = random() % fleet_.gateways().size();
        const bool leaves = random() % 2 == 0;
        const std::chrono::milliseconds stay(random() % max_stay_ms);
        sent_request sent;
        sent.repeatable_ = random() % 2 == 0;
        sent.owed_ = false;
        http::request outgoing{"POST",
                               sent.repeatable_ ? "/lookup/x" : "/booking/x",
                               {{"Host", "soak.example"}},
                               std::string(min_bytes + random() % (max_bytes - min_bytes), 'x')};
        identify(outgoing, sent, gateway);
        judge_.sent(sent);
        ++open_;
        const auto leave = std::make_shared<std::function<void()>>();
        asio::steady_timer timer(context_, stay);
        if (leaves) {
            timer.async_wait([leave](boost::system::error_code cancelled) {
                if (!cancelled && *leave) {
                    (*leave)();
                }
            });
        }
        const asio::ip::tcp::endpoint remote = fleet_.gateways()[gateway].clients_->address();
        const http::call_limits limits{connect_limit, patience};
        std::function<void(std::function<void()>)> started = [leave](std::function<void()> cancel) {
            *leave = std::move(cancel);
        };
        auto opened = co_await http::open(remote, std::move(outgoing), limits, std::move(started));
        received_answer seen;
        std::string text;
        for (bool ended = !ok(opened); !ended;) {
            seen.status_ = value(opened)->status();
            const auto part = co_await value(opened)->read();
            ended = !ok(part) || value(part).empty();
            seen.complete_ = ok(part);
            text += ok(part) ? value(part) : "";
        }
        seen.genuine_ = text == plain_answer(sent.id_);
        --open_;
        judge_.answered(sent.id_, seen, steady_now_ms());
        timer.expires_after(stay);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

awaitable<void> clients::send_all(double requests_per_s) {
    constexpr double us_per_s = 1'000'000;
    asio::steady_timer timer(context_);
    while (!stopped_) {
        const std::size_t gateway = random_() % fleet_.gateways().size();
        http::request outgoing = make_request();
        sent_request sent;
        add_key(outgoing, sent);
        const bool plain = !outgoing.target_.starts_with("/chat") && !outgoing.target_.starts_with("/quote");
        sent.id_ = std::string(*outgoing.find("Tamarackbeam-Request-Id"));
        sent.gateway_ = fleet_.gateways()[gateway].process_.name_;
        sent.repeatable_ =
            !outgoing.target_.starts_with("/booking") && !outgoing.target_.starts_with("/quote");
        sent.sent_at_ = steady_now_ms();
        sent.limit_ms_ = deadline_ms;
        if (!plain) {
            add_prompt(outgoing, sent);
        }
        judge_.sent(sent);
        ++open_;
        if (plain) {
            call_plain(gateway, std::move(outgoing));
        } else {
            asio::co_spawn(context_, call_stream(gateway, std::move(outgoing)), asio::detached);
        }
        timer.expires_after(std::chrono::microseconds(std::int64_t(us_per_s / requests_per_s)));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

http::request clients::make_request() {
    constexpr std::uint64_t kinds = 4;
    const char* names[kinds] = {"lookup", "booking", "chat", "quote"};
    const char* name = names[random_() % kinds];
    const std::string id = std::to_string(seed_) + "-" + std::to_string(next_id_++);
    const bool plain = std::string_view(name) == "lookup" || std::string_view(name) == "booking";
    http::request outgoing{std::string_view(name) == "lookup" ? "GET" : "POST",
                           std::string("/") + name + "/x",
                           {{"Host", "soak.example"},
                            {"Tamarackbeam-Request-Id", id},
                            {"Tamarackbeam-Deadline-Ms", std::to_string(deadline_ms)}},
                           std::string_view(name) == "lookup" ? "" : "body"};
    if (!plain) {
        // Some models get most of the requests, and one request in four wants an adapter.
        const auto model = std::min(random_() % model_count, random_() % model_count);
        std::string named = "m" + std::to_string(model);
        if (random_() % 4 == 0) {
            named += "/a" + std::to_string(1 + random_() % adapters_per_model);
        }
        outgoing.headers_.push_back({"Tamarackbeam-Model", named});
        outgoing.headers_.push_back({"Tamarackbeam-Token-Usage", "200,100"});
    }
    return outgoing;
}

// Adds the parts of a prompt: one of a few that all share, one that some share, and its own. With random
// numbers of its own, so that a seed draws the same requests with and without a crashing part.
void clients::add_prompt(http::request& outgoing, sent_request& sent) {
    constexpr std::uint64_t first_parts = 2;
    constexpr std::uint64_t subjects = 60;
    sent.first_part_ = "f" + std::to_string(part_random_() % first_parts);
    const std::string subject = "5" + std::to_string(part_random_() % subjects);
    sent.crashing_ = std::uniform_real_distribution<>(0, 1)(part_random_) < crashing_share_;
    const std::string middle = sent.crashing_ ? crashing_part_ : subject;
    outgoing.headers_.push_back(
        {"Tamarackbeam-Prompt-Prefix", sent.first_part_ + ":80," + middle + ":60," + sent.id_ + ":60"});
}

// Adds a key, at times an unsound one, or turns the request into one for the public route. With random
// numbers of its own.
void clients::add_key(http::request& outgoing, sent_request& sent) {
    organisations* customers = fleet_.customers();
    if (customers == nullptr) {
        return;
    }
    constexpr std::uint64_t percent = 100;
    constexpr std::uint64_t public_share = 8;
    constexpr std::uint64_t unsound_share = 15;
    constexpr std::uint64_t own_name_share = 10;
    constexpr std::uint64_t odd_case_share = 10;
    const bool names_organisation = key_random_() % percent < own_name_share;
    const bool odd_case = key_random_() % percent < odd_case_share;
    const bool is_public = key_random_() % percent < public_share;
    if (is_public) {
        outgoing = make_public_request(std::string(*outgoing.find("Tamarackbeam-Request-Id")));
    }
    if (names_organisation) {
        outgoing.headers_.push_back(
            {odd_case ? "tamarackBEAM-tenant" : "Tamarackbeam-Tenant", customers->largest().name_});
    }
    sent.tokens_ = plain_tokens; // as many as prompts with parts have
    sent.key_rule_ = is_public ? key_rule::open : key_rule::needed;
    if (is_public) {
        if (odd_case) {
            sent.keys_ = {customers->unknown_key(key_random_)};
            outgoing.headers_.push_back({"X-Api-Key", sent.keys_.front()});
        }
        return;
    }
    const organisation* drawn = customers->draw(key_random_);
    if (drawn == nullptr || key_random_() % percent < unsound_share) {
        sent.owed_ = false;
        add_unsound_key(outgoing, sent);
        return;
    }
    sent.owed_ = !drawn->limit_;
    sent.keys_ = {drawn->keys_[key_random_() % drawn->keys_.size()]};
    outgoing.headers_.push_back({odd_case ? "x-aPI-kEY" : "X-Api-Key", sent.keys_.front()});
}

void clients::add_unsound_key(http::request& outgoing, sent_request& sent) {
    const organisations& customers = *fleet_.customers();
    const std::vector<std::string>& revoked = customers.revoked();
    constexpr std::uint64_t kinds = 6;
    switch (key_random_() % kinds) {
    case 0:
        sent.keys_ = {customers.unknown_key(key_random_)};
        break;
    case 1:
        sent.keys_ = {""};
        break;
    case 2: // no key
        break;
    case 3:
        sent.keys_ = {customers.largest().keys_.front(), customers.unknown_key(key_random_)};
        break;
    default:
        sent.keys_ = {revoked.empty() ? customers.unknown_key(key_random_)
                                      : revoked[key_random_() % revoked.size()]};
    }
    for (const std::string& key : sent.keys_) {
        outgoing.headers_.push_back({"X-Api-Key", key});
    }
}

void clients::call_plain(std::size_t gateway, http::request outgoing) {
    const std::string id(*outgoing.find("Tamarackbeam-Request-Id"));
    auto& idle = idle_[gateway];
    if (idle.empty()) {
        idle.push_back(std::make_shared<http::kept_client>(
            context_.get_executor(), fleet_.gateways()[gateway].clients_->address(), connect_limit));
    }
    const auto client = idle.back();
    idle.pop_back();
    client->call(std::move(outgoing), patience, [this, id, gateway, client](result<http::response> outcome) {
        --open_;
        idle_[gateway].push_back(client);
        judge_.answered(id, judge_plain(id, outcome), steady_now_ms());
    });
}

awaitable<int> clients::call_stream(std::size_t gateway, http::request outgoing) {
    const std::string id(*outgoing.find("Tamarackbeam-Request-Id"));
    const asio::ip::tcp::endpoint remote = fleet_.gateways()[gateway].clients_->address();
    const http::call_limits limits{connect_limit, patience};
    auto opened = co_await http::open(remote, std::move(outgoing), limits);
    received_answer seen;
    std::string text;
    bool ended = false;
    constexpr int late_readers = 8; // one in so many
    constexpr std::chrono::milliseconds late{400};
    if (ok(opened) && pace_random_() % late_readers == 0) {
        asio::steady_timer timer(context_, late);
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (ok(opened)) {
        seen.status_ = value(opened)->status();
        while (!ended) {
            auto part = co_await value(opened)->read();
            ended = !ok(part) || value(part).empty();
            seen.complete_ = ok(part);
            if (ok(part)) {
                text += value(part);
            }
        }
    }
    seen.gapless_ = whole_stream(id, text);
    --open_;
    judge_.answered(id, seen, steady_now_ms());
    co_return seen.status_;
}

// Gives a request that is about to be sent a new id, the usual deadline and, where it needs one, a sound key.
void clients::identify(http::request& outgoing, sent_request& sent, std::size_t gateway) {
    sent.id_ = std::to_string(seed_) + "-" + std::to_string(next_id_++);
    sent.gateway_ = fleet_.gateways()[gateway].process_.name_;
    sent.sent_at_ = steady_now_ms();
    sent.limit_ms_ = deadline_ms;
    if (const organisations* customers = fleet_.customers()) {
        sent.key_rule_ = key_rule::needed;
        sent.keys_ = {customers->largest().keys_.front()};
        outgoing.headers_.push_back({"X-Api-Key", sent.keys_.front()});
    }
    outgoing.headers_.push_back({"Tamarackbeam-Request-Id", sent.id_});
    outgoing.headers_.push_back({"Tamarackbeam-Deadline-Ms", std::to_string(deadline_ms)});
}

awaitable<void> clients::repeat(http::request request, time_ms until, std::uint64_t seed) {
    constexpr int most_at_once = 3;
    constexpr time_ms least_pause_ms = 300;
    constexpr time_ms most_pause_ms = 1'200;
    std::mt19937_64 random(seed);
    asio::steady_timer timer(context_);
    while (steady_now_ms() < until) {
        int status = 0;
        for (int number = 0; number < most_at_once && (status == 0 || status == 502); ++number) {
            const std::size_t gateway = random() % fleet_.gateways().size();
            sent_request sent;
            sent.repeatable_ = true;
            sent.crashing_request_ = std::string(request.path());
            http::request outgoing = request;
            identify(outgoing, sent, gateway);
            judge_.sent(sent);
            ++open_;
            status = co_await call_stream(gateway, std::move(outgoing));
        }
        const time_ms pause = std::uniform_int_distribution<time_ms>(least_pause_ms, most_pause_ms)(random);
        timer.expires_after(std::chrono::milliseconds(pause));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace tamarack::soak
