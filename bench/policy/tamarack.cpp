// The project's own policy: the decision modules as entry and agent use them, driven in virtual time.
#include "policy/world.hpp"

#include "tamarack/admission.hpp"
#include "tamarack/ledger.hpp"
#include "tamarack/placement.hpp"
#include "tamarack/planning.hpp"
#include "tamarack/routing.hpp"

#include <algorithm>

namespace tamarack::policy_bench {

namespace {

constexpr time_ms heartbeat_ms = 500;
constexpr time_ms report_interval_ms = 100;
constexpr double retries_per_request = 0.2;
constexpr double retry_reserve = 20.0;

ledger_settings make_ledger_settings(const pool_row& pool) {
    ledger_settings settings;
    settings.incarnation_ = 1;
    settings.fencing_ = pool.fencing_;
    settings.stale_reserve_mb_ = stale_order_reserve_mb(pool);
    settings.max_in_flight_ = pool.fencing_ ? 2 : 1;
    settings.settle_ms_ = 60'000;
    return settings;
}

class tamarack_policy : public policy {
public:
    explicit tamarack_policy(world& where)
        : where_(where), pool_(where.deployment_.pool_), random_(7),
          retries_(retries_per_request, retry_reserve) {
        find_homes();
        for (engine& one : where.engines_) {
            load_homes(one);
            agents_.push_back(std::make_unique<agent>(pool_));
            agents_.back()->memory_.apply_report(report_of(one), agent::settled_at);
            agents_.back()->memory_.apply_fence(1, report_of(one), agent::settled_at);
            refresh(agents_.size() - 1);
        }
        known_.resize(agents_.size());
        heartbeat();
        for (std::size_t index = 0; index < agents_.size(); ++index) {
            tend(index);
        }
    }

    void arrive(request one) override {
        retries_.request_started();
        send(std::move(one), {});
    }

    void engine_died(std::size_t index) override {
        find_homes();
        std::map<std::uint64_t, sent_request> lost = std::exchange(agents_[index]->requests_, {});
        for (auto& [id, sent] : lost) {
            // Completions are idempotent: another endpoint is tried.
            sent.tried_.insert(index);
            send(std::move(sent.request_), std::move(sent.tried_));
        }
    }

private:
    struct sent_request {
        request request_;
        std::set<std::size_t> tried_;
    };

    struct agent {
        // The models of the fencing and the settle time start from an engine whose state is known.
        static constexpr time_ms settled_at = 60'000;

        explicit agent(const pool_row& pool)
            : memory_(make_ledger_settings(pool), 0), gate_(admission_limits()) {}

        ledger memory_;
        admission gate_;
        drop_guard drops_;
        demand_meter demand_;
        std::map<std::string, item_use> uses_;
        std::map<std::uint64_t, sent_request> requests_;
        std::set<std::string> serving_;
        std::deque<ended_order> ended_;
    };

    // What the entries last heard of an agent.
    struct known_agent {
        std::set<std::string> serving_;
        std::int64_t load_ = 0;
        std::int64_t sent_since_ = 0;
    };

    time_ms now() const { return where_.time_.now() + agent::settled_at; }

    void find_homes() {
        std::vector<std::string> ids;
        for (const engine& one : where_.engines_) {
            if (one.alive_) {
                ids.push_back(one.id_);
            }
        }
        homes_ = assign_homes(pool_, ids);
    }

    bool is_home(const std::string& model, const engine& one) const {
        const auto& ids = homes_.at(model);
        return std::find(ids.begin(), ids.end(), one.id_) != ids.end();
    }

    void load_homes(engine& one) {
        for (const model_row& model : pool_.models_) {
            if (!is_home(model.name_, one)) {
                continue;
            }
            one.resident_[item_name(model)] = model.memory_mb_;
            for (const adapter_row& adapter : model.adapters_) {
                one.resident_[item_name(model, adapter)] = adapter.memory_mb_;
            }
        }
    }

    engine_report report_of(const engine& one) const {
        engine_report report;
        report.engine_incarnation_ = 1;
        report.sequence_ = one.sequence_;
        report.capacity_mb_ = pool_.memory_mb_;
        for (const auto& [item, memory_mb] : one.resident_) {
            report.resident_.push_back({item, memory_mb});
        }
        for (const auto& [item, memory_mb] : one.loading_) {
            report.loading_.push_back({item, memory_mb});
        }
        return report;
    }

    void heartbeat() {
        for (std::size_t index = 0; index < agents_.size(); ++index) {
            const agent& one = *agents_[index];
            known_[index] = {one.serving_, one.gate_.running() + one.gate_.queued(), 0};
        }
        where_.time_.after(heartbeat_ms, [this] { heartbeat(); });
    }

    void tend(std::size_t index) {
        engine& here = where_.engines_[index];
        if (!here.alive_) {
            return;
        }
        agent& one = *agents_[index];
        engine_report report = report_of(here);
        report.ended_.assign(one.ended_.begin(), one.ended_.end());
        one.memory_.apply_report(report, now());
        refresh(index);
        plan(index);
        where_.time_.after(report_interval_ms, [this, index] { tend(index); });
    }

    plan_facts facts_of(std::size_t index) const {
        const agent& one = *agents_[index];
        plan_facts facts;
        facts.pool_ = &pool_;
        for (const model_row& model : pool_.models_) {
            if (is_home(model.name_, where_.engines_[index])) {
                facts.home_models_.insert(model.name_);
            }
        }
        facts.ledger_ = &one.memory_;
        facts.uses_ = one.uses_;
        facts.demand_ = &one.demand_;
        facts.now_ = now();
        return facts;
    }

    void refresh(std::size_t index) {
        agent& one = *agents_[index];
        admission_limits limits;
        limits.slots_ = pool_.slots_;
        one.serving_ = one.memory_.ready_items();
        perform(index, one.gate_.set_limits(limits, now()));
        perform(index, one.gate_.set_resident(one.serving_, now()));
    }

    void plan(std::size_t index) {
        agent& one = *agents_[index];
        engine& here = where_.engines_[index];
        const std::optional<plan_step> step = next_plan_step(facts_of(index));
        if (!step) {
            return;
        }
        if (const auto* load = std::get_if<load_step>(&*step)) {
            const auto order = one.memory_.begin_load(load->item_, load->memory_mb_, 0, now());
            if (!std::holds_alternative<engine_order>(order)) {
                return;
            }
            if (load->extra_copy_) {
                one.demand_.clear(parse_model_reference(load->item_).model_);
            }
            const std::uint64_t id = std::get<engine_order>(order).id_;
            where_.load(here, load->item_, [&one, id] { one.ended_.push_back({id, 1, true}); });
            return;
        }
        const auto& drop = std::get<drop_step>(*step);
        if (drop.needs_grant_ && !granted(index, drop.kept_item_)) {
            return;
        }
        const auto order = one.memory_.begin_unload(drop.item_, now());
        if (const auto* given = std::get_if<engine_order>(&order)) {
            where_.unload(here, drop.item_);
            one.ended_.push_back({given->id_, 1, true});
        }
    }

    bool granted(std::size_t asking, const std::string& item) const {
        for (std::size_t index = 0; index < agents_.size(); ++index) {
            const bool other = index != asking && where_.engines_[index].alive_;
            if (other && agents_[index]->drops_.grant(item, agents_[index]->serving_.contains(item))) {
                return true;
            }
        }
        return false;
    }

    void send(request one, std::set<std::size_t> tried) {
        std::vector<candidate> candidates;
        std::vector<std::size_t> indices;
        for (std::size_t index = 0; index < agents_.size(); ++index) {
            const engine& here = where_.engines_[index];
            if (!here.alive_ || tried.contains(index)) {
                continue;
            }
            candidate made;
            made.id_ = here.id_;
            made.holds_ = known_[index].serving_.contains(one.item_);
            made.home_ = is_home(one.model_, here);
            made.load_ = known_[index].load_ + known_[index].sent_since_;
            candidates.push_back(made);
            indices.push_back(index);
        }
        const auto chosen = choose_endpoint(candidates, random_(), random_());
        if (!chosen) {
            where_.refused(one);
            return;
        }
        const std::size_t index = indices[*chosen];
        ++known_[index].sent_since_;
        submit(index, std::move(one), std::move(tried));
    }

    void submit(std::size_t index, request one, std::set<std::size_t> tried) {
        agent& here = *agents_[index];
        const std::uint64_t id = one.id_;
        admission_request asked;
        asked.id_ = id;
        asked.class_ = one.class_;
        asked.organisation_ = "tenant";
        asked.item_ = one.item_;
        asked.work_ = one.tokens_;
        asked.deadline_ = one.deadline_ + agent::settled_at;
        asked.load_wait_ms_ =
            here.serving_.contains(one.item_) ? 0 : where_.deployment_.store_.model_load_ms_;
        const bool arriving =
            is_home(one.model_, where_.engines_[index]) || here.memory_.in_flight(one.item_);
        if (!here.serving_.contains(one.item_) && !arriving) {
            here.demand_.note_miss(one.model_, now());
            try_again(index, {std::move(one), std::move(tried)});
            return;
        }
        here.requests_[id] = {std::move(one), std::move(tried)};
        perform(index, here.gate_.submit(asked, now()));
    }

    void try_again(std::size_t refused_by, sent_request sent) {
        sent.tried_.insert(refused_by);
        attempt_facts facts;
        facts.end_ = attempt_end::refused;
        facts.idempotent_ = true;
        facts.budget_ms_ = sent.request_.deadline_ - where_.time_.now();
        facts.attempts_made_ = std::int64_t(sent.tried_.size());
        facts.retry_token_ = retries_.available();
        if (after_attempt(facts).next_ == next_step::finish) {
            where_.refused(sent.request_);
            return;
        }
        retries_.retry_made();
        send(std::move(sent.request_), std::move(sent.tried_));
    }

    void perform(std::size_t index, const admission_actions& actions) {
        agent& here = *agents_[index];
        for (const admission_action& action : actions) {
            if (const auto* start = std::get_if<start_action>(&action)) {
                run_request(index, start->id_);
                continue;
            }
            const auto& refusal = std::get<refuse_action>(action);
            auto found = here.requests_.find(refusal.id_);
            if (found == here.requests_.end()) {
                continue;
            }
            sent_request sent = std::move(found->second);
            here.requests_.erase(found);
            if (refusal.reason_ == refusal_reason::overloaded) {
                here.demand_.note_miss(sent.request_.model_, now());
            }
            if (retriable_elsewhere(refusal.reason_)) {
                try_again(index, std::move(sent));
            } else {
                where_.refused(sent.request_);
            }
        }
    }

    void note_use(agent& here, const request& one, std::int64_t change) {
        for (const std::string& item : {one.item_, one.model_ + "@1"}) {
            here.uses_[item].running_ += change;
            here.uses_[item].last_used_ = now();
        }
    }

    void run_request(std::size_t index, std::uint64_t id) {
        agent& here = *agents_[index];
        engine& on = where_.engines_[index];
        const request one = here.requests_.at(id).request_;
        const std::int64_t service = where_.service_ms(on, one);
        ++on.running_;
        note_use(here, one, 1);
        where_.time_.after(service, [this, index, one, service] {
            agent& there = *agents_[index];
            engine& ended_on = where_.engines_[index];
            --ended_on.running_;
            note_use(there, one, -1);
            if (!ended_on.alive_ || there.requests_.erase(one.id_) == 0) {
                return;
            }
            where_.answered(one);
            perform(index, there.gate_.finish(one.id_, service, now()));
        });
    }

    world& where_;
    pool_row pool_;
    std::mt19937_64 random_;
    retry_budget retries_;
    home_map homes_;
    std::vector<std::unique_ptr<agent>> agents_;
    std::vector<known_agent> known_;
};

} // namespace

std::unique_ptr<policy> make_tamarack(world& where) {
    return std::make_unique<tamarack_policy>(where);
}

} // namespace tamarack::policy_bench
