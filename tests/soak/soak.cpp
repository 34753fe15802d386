#include "soak/soak.hpp"

#include "soak/clients.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>

namespace tamarack::soak {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr time_ms warm_up_ms = 3'000; // for the fleet to be ready and to know itself
constexpr time_ms recovery_limit_ms = 12'000;
constexpr time_ms recovery_look_ms = 1'000; // span of requests that must be served
constexpr double recovered_share = 0.9;     // of them
constexpr time_ms notice_lead_ms = 1'000;   // an endpoint leaves this long before the registry tells
constexpr time_ms heartbeat_ms = 1'200;
constexpr time_ms watch_ms = 100;
constexpr time_ms last_answers_ms = 4'000; // after the last request
constexpr time_ms stop_limit_ms = 5'500;   // for a process that was told to stop: its grace and a margin

// One soak while it runs. Everything happens on one thread.
class soak_run {
public:
    explicit soak_run(const soak_settings& settings)
        : settings_(settings), random_(settings.seed_), judge_(bounds_of(settings)),
          fleet_(context_, judge_, settings.folder_, settings.seed_,
                 {settings.gateways_, settings.engines_, settings.plain_endpoints_, settings.organisations_,
                  settings.uploads_ > 0}),
          clients_(context_, fleet_, judge_, settings.seed_), limit_random_(settings.seed_ + 1),
          drill_random_(settings.seed_ + 2), part_random_(settings.seed_ + 4),
          request_random_(settings.seed_ + 5), back_off_random_(settings.seed_ + 6),
          operator_random_(settings.seed_ + 8), entry_random_(settings.seed_ + 9) {}

    soak_outcome run() {
        asio::co_spawn(context_, script(), asio::detached);
        asio::co_spawn(context_, keep_registered(), asio::detached);
        asio::co_spawn(context_, watch(), asio::detached);
        context_.run();
        outcome_.broken_promises_ = judge_.broken_promises();
        outcome_.requests_ = judge_.requests();
        outcome_.served_ = judge_.served();
        outcome_.unserved_ = judge_.unserved(started_at_);
        return outcome_;
    }

private:
    using fault = awaitable<void> (soak_run::*)();

    static promises bounds_of(const soak_settings& settings) {
        promises bounds;
        bounds.quota_slack_ = settings.quota_slack_;
        return bounds;
    }

    awaitable<void> pause(time_ms duration) {
        asio::steady_timer timer(context_, std::chrono::milliseconds(duration));
        co_await timer.async_wait(asio::use_awaitable);
    }

    static time_ms draw(std::mt19937_64& random, time_ms least, time_ms most) {
        return std::uniform_int_distribution<time_ms>(least, most)(random);
    }

    time_ms between(time_ms least, time_ms most) { return draw(random_, least, most); }

    template <typename Item>
    Item& any(std::vector<Item>& items) {
        return items[random_() % items.size()];
    }

    endpoint_place& any_engine() { return fleet_.endpoints()[random_() % std::size_t(settings_.engines_)]; }

    void note(const std::string& what) {
        outcome_.faults_.push_back(std::to_string(steady_now_ms() - started_at_) + " ms: " + what);
    }

    // Notes a fault of a part that lasts for a while from now.
    void begin(const std::string& what, const std::string& part, time_ms duration) {
        note(what + " " + part + " for " + std::to_string(duration) + " ms");
        judge_.disturb(part, steady_now_ms(), steady_now_ms() + duration);
    }

    awaitable<void> script() {
        started_at_ = steady_now_ms();
        fleet_.start_all();
        co_await pause(warm_up_ms);
        judge_.disturb("all", started_at_, started_at_ + warm_up_ms);
        clients_.start(settings_.requests_per_s_, settings_.uploads_);
        const time_ms until = steady_now_ms() + settings_.duration_ms_;
        for (int number = 0; number < settings_.limits_; ++number) {
            ++active_;
            asio::co_spawn(context_, name_limits(until), asio::detached);
        }
        for (int number = 0; number < settings_.back_offs_; ++number) {
            ++active_;
            asio::co_spawn(context_, ask_for_back_offs(until), asio::detached);
        }
        if (settings_.organisations_) {
            ++active_;
            asio::co_spawn(context_, change_organisations(until), asio::detached);
        }
        if (settings_.crashing_parts_ > 0) {
            ++active_;
            asio::co_spawn(context_, crash_on_parts(), asio::detached);
        }
        for (endpoint_place& one : fleet_.endpoints()) {
            one.engine_->on_crash([this, &one] {
                note("crash of " + one.engine_->id() + " under a request");
                asio::co_spawn(context_, take_down(one, draw(crash_random_, 1'000, 3'000)), asio::detached);
            });
        }
        if (settings_.crashing_requests_ > 0) {
            ++active_;
            asio::co_spawn(context_, crash_on_requests(), asio::detached);
        }
        if (settings_.drills_) {
            ++active_;
            asio::co_spawn(context_, drill_store(until), asio::detached);
        }
        if (settings_.odd_entries_) {
            ++active_;
            asio::co_spawn(context_, write_odd_entries(until), asio::detached);
        }
        while (settings_.leaving_only_ && steady_now_ms() < until) {
            ++active_;
            asio::co_spawn(context_, run_fault(&soak_run::leave), asio::detached);
            co_await pause(between(500, 1'500));
        }
        while (settings_.faults_ && steady_now_ms() < until) {
            static constexpr fault faults[] = {
                &soak_run::kill_gateway, &soak_run::kill_agent,      &soak_run::pause_gateway,
                &soak_run::pause_agent,  &soak_run::stop_gateway,    &soak_run::hang_up,
                &soak_run::harm_clients, &soak_run::harm_store_link, &soak_run::harm_requests,
                &soak_run::harm_links,   &soak_run::harm_reports,    &soak_run::fault_store,
                &soak_run::fault_engine, &soak_run::crash_engine,    &soak_run::leave,
                &soak_run::configure,    &soak_run::kill_all};
            ++active_;
            asio::co_spawn(context_, run_fault(faults[random_() % std::size(faults)]), asio::detached);
            co_await pause(between(100, 900));
        }
        while (active_ > 0) {
            co_await pause(watch_ms);
        }
        co_await recover();
        clients_.stop();
        co_await pause(last_answers_ms);
        judge_.check_unanswered(steady_now_ms());
        judge_.check_sound_requests(steady_now_ms());
        ended_ = true;
        co_await pause(heartbeat_ms); // the other loops see it
        context_.stop();
    }

    awaitable<void> run_fault(fault one) {
        co_await (this->*one)();
        --active_;
    }

    // Endpoints in need: each names a limit on its requests, changes it and lifts it. With random numbers of
    // its own, so that a seed draws the same faults with and without limits.
    awaitable<void> name_limits(time_ms until) {
        const auto set = [this](endpoint_place& one, double per_s) {
            note("limit of " + std::to_string(per_s) + " at " + one.engine_->id());
            one.engine_->set_limit(per_s);
        };
        do {
            co_await pause(draw(limit_random_, 0, 1'000));
            endpoint_place& one = fleet_.endpoints()[limit_random_() % fleet_.endpoints().size()];
            if (one.limited_) {
                continue;
            }
            one.limited_ = true;
            constexpr double tenths = 10;
            const int changes = int(draw(limit_random_, 0, 2));
            for (int change = 0; change <= changes; ++change) {
                set(one, double(draw(limit_random_, 3, 60)) / tenths);
                co_await pause(draw(limit_random_, 4'000, 9'000));
            }
            note("no limit at " + one.engine_->id());
            one.engine_->set_limit(std::nullopt);
            one.limited_ = false;
        } while (steady_now_ms() < until);
        --active_;
    }

    // Other writers put entries into the registry that name no endpoint, with keys of odd bytes among those
    // of the endpoints, and at times the page after one of them cannot be read. With random numbers of its
    // own.
    awaitable<void> write_odd_entries(time_ms until) {
        static const std::string marks[] = {" ",    "&after=", "%",        "+",  "#",
                                            "\r\n", "\xff",    "\xc3\xa9", "\"", ""};
        direct::fake_store& store = fleet_.store();
        store.set_page_size(std::size_t(draw(entry_random_, 1, 6)));
        while (steady_now_ms() < until) {
            co_await pause(draw(entry_random_, 200, 1'500));
            const std::string& id =
                fleet_.endpoints()[entry_random_() % fleet_.endpoints().size()].engine_->id();
            const std::string key = id + marks[entry_random_() % std::size(marks)] + "copy";
            const std::size_t size = entry_random_() % 8 == 0 ? 250'000 : entry_random_() % 1'000;
            switch (entry_random_() % 4) {
            case 0:
                store.drop("keyed.servers", key);
                break;
            case 1:
                note("no page after " + id);
                store.set_refused_after(entry_random_() % 2 == 0 ? id : key);
                break;
            default:
                store.put("keyed.servers", key, std::string(size, char(entry_random_())));
                break;
            }
        }
        store.set_refused_after({});
        --active_;
    }

    // Endpoints that turn requests away for a while and ask for time without any. With random numbers of its
    // own.
    awaitable<void> ask_for_back_offs(time_ms until) {
        do {
            co_await pause(draw(back_off_random_, 500, 2'500));
            endpoint_place& one = fleet_.endpoints()[back_off_random_() % fleet_.endpoints().size()];
            const time_ms asked = draw(back_off_random_, 700, 4'000);
            note("back-off of " + std::to_string(asked) + " ms at " + one.engine_->id());
            one.engine_->set_back_off(asked);
            co_await pause(draw(back_off_random_, 200, 3'000));
            one.engine_->set_back_off(std::nullopt);
        } while (steady_now_ms() < until);
        --active_;
    }

    // The operator adds keys and revokes them, at times all of an organisation, and changes a limit. With
    // random numbers of its own.
    awaitable<void> change_organisations(time_ms until) {
        constexpr std::size_t emptied = 1; // organisation that loses all its keys
        organisations& customers = *fleet_.customers();
        while (steady_now_ms() < until) {
            co_await pause(draw(operator_random_, 800, 2'500));
            const std::size_t number = operator_random_() % customers.all().size();
            std::vector<std::string> revoked;
            std::optional<std::pair<std::string, std::string>> added;
            bool limit_changes = false;
            constexpr std::uint64_t kinds = 4;
            switch (operator_random_() % kinds) {
            case 0:
                added = customers.add_key(number);
                break;
            case 1:
                if (customers.all()[number].keys_.size() > 1) {
                    revoked = customers.revoke(number, false);
                }
                break;
            case 2:
                if (customers.all()[emptied].keys_.empty()) {
                    added = customers.add_key(emptied);
                } else {
                    revoked = customers.revoke(emptied, true);
                }
                break;
            default:
                limit_changes = true;
                customers.limited().limit_ = usage_limit{double(draw(operator_random_, 50, 300)),
                                                         double(draw(operator_random_, 100, 600))};
            }
            fleet_.put_configuration();
            const time_ms now = steady_now_ms();
            for (const std::string& key : revoked) {
                note("key revoked: " + key);
                judge_.key_revoked(key, now);
            }
            if (added) {
                note("key of " + added->first + " added: " + added->second);
                judge_.key_added(added->second, added->first, now);
            }
            if (limit_changes) {
                const organisation& limited = customers.limited();
                note("limit of " + limited.name_ + ": " + std::to_string(limited.limit_->per_s_) +
                     " a second, burst " + std::to_string(limited.limit_->burst_));
                judge_.limits_organisation(limited.name_, *limited.limit_, now);
            }
        }
        --active_;
    }

    // The store is away for a moment and returns from a copy some seconds old, at times twice in short
    // succession. What it lost is written again after a while. With random numbers of its own.
    awaitable<void> drill_store(time_ms until) {
        do {
            co_await pause(draw(drill_random_, 500, 3'000));
            const time_ms away = draw(drill_random_, 50, 1'000);
            const time_ms age = draw(drill_random_, 100, 5'000);
            const time_ms written_after = draw(drill_random_, 0, 1'000);
            begin("return from a copy " + std::to_string(age) + " ms old of the", "store",
                  away + written_after);
            judge_.disturb("links", steady_now_ms(), steady_now_ms() + away + written_after);
            fleet_.store().set_fault(direct::fake_store::fault::busy);
            co_await pause(away);
            fleet_.store().return_from_copy(std::chrono::milliseconds(age));
            fleet_.store().set_fault(direct::fake_store::fault::none);
            co_await pause(written_after);
            fleet_.write_again();
        } while (steady_now_ms() < until);
        --active_;
    }

    // A part of prompts ends every engine that begins to answer it, while some requests have it. The part is
    // the same each time. With random numbers of its own.
    awaitable<void> crash_on_parts() {
        const std::string part = "bad" + std::to_string(settings_.seed_);
        for (endpoint_place& one : fleet_.endpoints()) {
            one.engine_->set_crashing_part(part);
        }
        for (int span = 0; span < settings_.crashing_parts_; ++span) {
            co_await pause(draw(part_random_, 5'500, 6'500));
            constexpr double percent = 100;
            const double share = double(draw(part_random_, 5, 40)) / percent;
            note("requests with a part that ends engines, share " + std::to_string(share));
            clients_.set_crashing_part(part, share);
            co_await pause(draw(part_random_, 12'000, 16'000));
            note("no more requests with that part");
            clients_.set_crashing_part("", 0);
        }
        --active_;
    }

    // A client repeats one request, under which every endpoint ends that begins to run it.
    awaitable<void> crash_on_requests() {
        for (int span = 0; span < settings_.crashing_requests_; ++span) {
            co_await pause(draw(request_random_, 2'000, 4'000));
            const bool plain = span % 2 == 0;
            const std::string path = (plain ? "/lookup/bad" : "/chat/bad") + std::to_string(span);
            for (endpoint_place& one : fleet_.endpoints()) {
                one.engine_->set_crashing_path(path);
            }
            note("a request that ends endpoints: " + path);
            const time_ms until = steady_now_ms() + draw(request_random_, 11'000, 14'000);
            co_await clients_.repeat(make_repeated_request(path, plain), until,
                                     settings_.seed_ + std::uint64_t(span));
        }
        note("no more requests that end endpoints");
        --active_;
    }

    awaitable<void> recover() {
        const time_ms from = steady_now_ms();
        while (steady_now_ms() < from + recovery_limit_ms) {
            co_await pause(2 * recovery_look_ms);
            const time_ms now = steady_now_ms();
            if (judge_.served_share(now - 2 * recovery_look_ms, now - recovery_look_ms) >= recovered_share) {
                outcome_.recovered_after_ms_ = now - from;
                co_return;
            }
        }
    }

    awaitable<void> keep_registered() {
        while (!ended_) {
            fleet_.heartbeat();
            co_await pause(heartbeat_ms);
        }
    }

    awaitable<void> watch() {
        while (!ended_) {
            fleet_.watch(judge_);
            judge_.check_unanswered(steady_now_ms());
            co_await pause(watch_ms);
        }
    }

    // Ends a process from outside and starts it again.
    awaitable<void> kill(fleet_process& one, const std::string& part) {
        if (!one.expected_ || one.paused_) {
            co_return;
        }
        const time_ms down = between(100, 1'500);
        begin("kill", part, down + warm_up_ms);
        one.expected_ = false;
        one.process_.kill();
        judge_.forgets(part);
        co_await pause(down);
        one.start();
        co_await pause(warm_up_ms);
    }

    awaitable<void> kill_gateway() {
        fleet_process& one = any(fleet_.gateways()).process_;
        co_await kill(one, one.name_);
    }

    awaitable<void> kill_agent() {
        endpoint_place& one = any_engine();
        co_await kill(one.agent_, one.engine_->id());
    }

    awaitable<void> kill_all() {
        const time_ms down = between(100, 800);
        begin("kill all", "all", down + warm_up_ms);
        std::vector<fleet_process*> killed;
        for (fleet_process* one : fleet_.processes()) {
            if (one->expected_ && !one->paused_) {
                one->expected_ = false;
                one->process_.kill();
                judge_.forgets(one->name_);
                killed.push_back(one);
            }
        }
        co_await pause(down);
        for (fleet_process* one : killed) {
            one->start();
        }
        co_await pause(warm_up_ms);
    }

    awaitable<void> stand_still(fleet_process& one, const std::string& part) {
        if (!one.expected_ || one.paused_) {
            co_return;
        }
        const time_ms duration = between(100, 2'500);
        begin("pause", part, duration);
        one.paused_ = true;
        one.process_.signal(SIGSTOP);
        co_await pause(duration);
        one.process_.signal(SIGCONT);
        judge_.forgets(part);
        one.paused_ = false;
    }

    awaitable<void> pause_gateway() {
        fleet_process& one = any(fleet_.gateways()).process_;
        co_await stand_still(one, one.name_);
    }

    awaitable<void> pause_agent() {
        endpoint_place& one = any_engine();
        co_await stand_still(one.agent_, one.engine_->id());
    }

    awaitable<void> stop_gateway() {
        fleet_process& one = any(fleet_.gateways()).process_;
        if (!one.expected_ || one.paused_) {
            co_return;
        }
        begin("stop", one.name_, stop_limit_ms + warm_up_ms);
        one.expected_ = false;
        one.process_.signal(SIGTERM);
        const time_ms until = steady_now_ms() + stop_limit_ms;
        while (one.process_.running() && steady_now_ms() < until) {
            co_await pause(watch_ms);
        }
        if (one.process_.running()) {
            judge_.overstayed(one.name_);
            one.process_.kill();
        }
        judge_.forgets(one.name_);
        one.start();
        co_await pause(warm_up_ms);
    }

    awaitable<void> hang_up() {
        const auto all = fleet_.processes();
        fleet_process& one = *all[random_() % all.size()];
        if (one.expected_) {
            note("hang up " + one.name_);
            one.process_.signal(SIGHUP);
        }
        co_return;
    }

    awaitable<void> harm_proxy(faulty_proxy& proxy, const std::string& part) {
        static constexpr harm harms[] = {harm::none, harm::delay, harm::silence, harm::silent_back,
                                         harm::refuse};
        static constexpr const char* names[] = {"reset connections of", "delay", "silence",
                                                "silence answers of", "refuse connections of"};
        const std::size_t which = random_() % std::size(harms);
        const time_ms duration = between(200, 2'500);
        begin(names[which], part, duration);
        judge_.disturb("links", steady_now_ms(), steady_now_ms() + duration);
        proxy.set(harms[which], std::chrono::milliseconds(between(20, 400)));
        if (harms[which] == harm::none || harms[which] == harm::refuse) {
            proxy.reset_all();
        }
        co_await pause(duration);
        proxy.set(harm::none);
    }

    awaitable<void> harm_clients() {
        gateway_place& one = any(fleet_.gateways());
        co_await harm_proxy(*one.clients_, one.process_.name_);
    }

    awaitable<void> harm_store_link() {
        gateway_place& one = any(fleet_.gateways());
        co_await harm_proxy(*one.store_, one.process_.name_);
    }

    awaitable<void> harm_requests() {
        endpoint_place& one = any(fleet_.endpoints());
        co_await harm_proxy(*one.requests_, one.engine_->id());
    }

    awaitable<void> harm_links() {
        endpoint_place& one = any_engine();
        co_await harm_proxy(*one.agent_links_, one.engine_->id());
    }

    awaitable<void> harm_reports() {
        endpoint_place& one = any_engine();
        co_await harm_proxy(*one.agent_engine_, one.engine_->id());
    }

    awaitable<void> fault_store() {
        using kind = direct::fake_store::fault;
        static constexpr kind kinds[] = {kind::busy, kind::limited, kind::expired, kind::silent,
                                         kind::truncated};
        const time_ms duration = between(300, 4'000);
        begin("fault of the", "store", duration);
        judge_.disturb("links", steady_now_ms(), steady_now_ms() + duration);
        fleet_.store().set_fault(kinds[random_() % std::size(kinds)]);
        co_await pause(duration);
        fleet_.store().set_fault(kind::none);
    }

    awaitable<void> fault_engine() {
        endpoint_place& one = any(fleet_.endpoints());
        const time_ms duration = between(500, 3'000);
        begin("failures of", one.engine_->id(), duration);
        engine_faults faults;
        double* shares[] = {&faults.failing_, &faults.lost_, &faults.late_orders_};
        *shares[random_() % std::size(shares)] = 0.4;
        one.engine_->set_faults(faults);
        co_await pause(duration);
        one.engine_->set_faults({});
    }

    awaitable<void> crash_engine() {
        endpoint_place& one = any(fleet_.endpoints());
        const time_ms down = between(100, 1'500);
        begin("crash of", one.engine_->id(), down);
        co_await take_down(one, down);
    }

    // Ends an endpoint, which starts again after a while.
    awaitable<void> take_down(endpoint_place& one, time_ms down) {
        const auto proxies = {one.requests_.get(), one.agent_engine_.get()};
        for (faulty_proxy* proxy : proxies) {
            if (proxy != nullptr) {
                proxy->set(harm::refuse);
                proxy->reset_all();
            }
        }
        one.engine_->restart();
        co_await pause(down);
        for (faulty_proxy* proxy : proxies) {
            if (proxy != nullptr) {
                proxy->set(harm::none);
            }
        }
    }

    // An endpoint leaves and comes back as another start. It says so in its responses from then on, and in
    // the registry at once, a second later, not at all, or by vanishing from there without a word.
    awaitable<void> leave() {
        endpoint_place& one = any(fleet_.endpoints());
        if (std::exchange(one.departing_, true)) {
            co_return;
        }
        const time_ms away = between(2'500, 4'000);
        const bool gives_notice = away % 2 == 0; // the registry lists it as leaving
        note((gives_notice ? "leaving of " : "leaving without notice of ") + one.engine_->id());
        one.engine_->set_leaving();
        const time_ms lead = draw(back_off_random_, 0, 1) * notice_lead_ms;
        const bool tells_registry = !settings_.leaving_only_ && draw(back_off_random_, 0, 2) > 0;
        if (tells_registry) {
            co_await pause(lead);
            tell_registry(one, gives_notice);
        }
        co_await pause(away);
        one.engine_->restart();
        judge_.returned(one.engine_->id());
        one.leaving_ = false;
        one.departing_ = false;
        one.registered_ = true;
    }

    void tell_registry(endpoint_place& one, bool gives_notice) {
        one.leaving_ = true;
        one.registered_ = gives_notice;
        if (gives_notice) {
            fleet_.heartbeat();
        } else {
            fleet_.store().drop("keyed.servers", one.engine_->id());
        }
        judge_.leaves(one.engine_->id(), steady_now_ms());
    }

    awaitable<void> configure() {
        note("configuration");
        fleet_.put_configuration();
        co_return;
    }

    soak_settings settings_;
    asio::io_context context_{1};
    std::mt19937_64 random_;
    referee judge_;
    fleet fleet_;
    clients clients_;
    std::mt19937_64 limit_random_;
    std::mt19937_64 drill_random_;
    std::mt19937_64 part_random_;
    std::mt19937_64 request_random_;
    std::mt19937_64 back_off_random_;
    std::mt19937_64 operator_random_;
    std::mt19937_64 entry_random_;
    std::mt19937_64 crash_random_{1};
    soak_outcome outcome_;
    time_ms started_at_ = 0;
    int active_ = 0;
    bool ended_ = false;
};

} // namespace

soak_outcome run_soak(const soak_settings& settings) {
    return soak_run(settings).run();
}

} // namespace tamarack::soak
