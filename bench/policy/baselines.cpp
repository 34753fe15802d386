// The three baselines: round robin with load on miss, least loaded with LRU unloading, and static placement.
#include "policy/world.hpp"

#include "tamarack/placement.hpp"

#include <algorithm>

namespace tamarack::policy_bench {

namespace {

constexpr std::size_t look_ahead = 64;

// Engines with a queue each; what is missing is loaded, and unused items make room for it.
class queueing_policy : public policy {
public:
    explicit queueing_policy(world& where) : where_(where), nodes_(where.engines_.size()) {
        place_homes(where.deployment_.pool_);
    }

    void arrive(request one) override {
        const std::optional<std::size_t> chosen = choose(one);
        if (!chosen) {
            where_.refused(one);
            return;
        }
        nodes_[*chosen].queue_.push_back(std::move(one));
        pump(*chosen);
    }

    // What waits or runs at the dead engine is sent again elsewhere, as a client would.
    void engine_died(std::size_t index) override {
        std::deque<request> waiting = std::exchange(nodes_[index].queue_, {});
        for (request& one : waiting) {
            arrive(std::move(one));
        }
    }

protected:
    virtual std::optional<std::size_t> choose(const request& one) = 0;
    virtual bool may_load() const { return true; }

    void place_homes(const pool_row& pool) {
        std::vector<std::string> ids;
        for (const engine& one : where_.engines_) {
            ids.push_back(one.id_);
        }
        homes_ = assign_homes(pool, ids);
        for (const model_row& model : pool.models_) {
            for (const std::string& id : homes_[model.name_]) {
                engine& home = *std::find_if(where_.engines_.begin(), where_.engines_.end(),
                                             [&](const engine& one) { return one.id_ == id; });
                home.resident_[item_name(model)] = model.memory_mb_;
                for (const adapter_row& adapter : model.adapters_) {
                    home.resident_[item_name(model, adapter)] = adapter.memory_mb_;
                }
            }
        }
    }

    std::int64_t load_of(std::size_t index) const {
        return where_.engines_[index].running_ + std::int64_t(nodes_[index].queue_.size());
    }

    world& where_;
    home_map homes_;

private:
    struct node {
        std::deque<request> queue_;
        std::map<std::string, std::int64_t> uses_;
        std::map<std::string, time_ms> last_used_;
    };

    static std::vector<std::string> needed_items(const request& one) {
        const std::string model_item = one.model_ + "@1";
        return model_item == one.item_ ? std::vector{model_item} : std::vector{model_item, one.item_};
    }

    // Whether all that the request needs is resident; starts loading what is missing.
    bool ready(std::size_t index, const request& one) {
        engine& on = where_.engines_[index];
        for (const std::string& item : needed_items(one)) {
            if (on.resident_.contains(item)) {
                continue;
            }
            if (may_load() && !on.loading_.contains(item) && make_room(index, where_.item_mb(item))) {
                where_.load(on, item, [this, index] { pump(index); });
            }
            return false;
        }
        return true;
    }

    bool make_room(std::size_t index, std::int64_t memory_mb) {
        engine& on = where_.engines_[index];
        node& here = nodes_[index];
        const std::int64_t budget_mb = weights_budget_mb(where_.deployment_.pool_);
        while (on.weights_mb() + memory_mb > budget_mb) {
            std::optional<std::string> oldest;
            for (const auto& [item, size_mb] : on.resident_) {
                const bool model = item.find(':') == std::string::npos;
                const bool idle = here.uses_[item] == 0;
                if (model && idle && (!oldest || here.last_used_[item] < here.last_used_[*oldest])) {
                    oldest = item;
                }
            }
            if (!oldest) {
                return false;
            }
            unload_with_adapters(on, *oldest);
        }
        return true;
    }

    // The adapters of a model are of no use without it.
    void unload_with_adapters(engine& on, const std::string& model_item) {
        const std::string prefix = model_item.substr(0, model_item.find('@')) + ":";
        std::erase_if(on.resident_, [&](const auto& entry) { return entry.first.starts_with(prefix); });
        where_.unload(on, model_item);
    }

    // Looks at the first requests of the queue only, as a server with bounded look-ahead does.
    void pump(std::size_t index) {
        engine& on = where_.engines_[index];
        node& here = nodes_[index];
        for (std::size_t place = 0; place < std::min(here.queue_.size(), look_ahead) && has_slot(on);) {
            if (where_.time_.now() > here.queue_[place].deadline_) {
                where_.refused(here.queue_[place]);
                here.queue_.erase(here.queue_.begin() + std::ptrdiff_t(place));
                continue;
            }
            if (!ready(index, here.queue_[place])) {
                ++place;
                continue;
            }
            const request started = here.queue_[place];
            here.queue_.erase(here.queue_.begin() + std::ptrdiff_t(place));
            start(index, started);
        }
    }

    bool has_slot(const engine& on) const { return on.running_ < where_.deployment_.pool_.slots_; }

    void start(std::size_t index, const request& one) {
        engine& on = where_.engines_[index];
        const std::int64_t service = where_.service_ms(on, one);
        ++on.running_;
        note_use(index, one, 1);
        where_.time_.after(service, [this, index, one] {
            engine& ended_on = where_.engines_[index];
            --ended_on.running_;
            note_use(index, one, -1);
            if (ended_on.alive_) {
                where_.answered(one);
                pump(index);
            } else {
                where_.refused(one);
            }
        });
    }

    void note_use(std::size_t index, const request& one, std::int64_t change) {
        for (const std::string& item : needed_items(one)) {
            nodes_[index].uses_[item] += change;
            nodes_[index].last_used_[item] = where_.time_.now();
        }
    }

    std::vector<node> nodes_;
};

class round_robin : public queueing_policy {
public:
    using queueing_policy::queueing_policy;

protected:
    std::optional<std::size_t> choose(const request&) override {
        for (std::size_t tries = 0; tries < where_.engines_.size(); ++tries) {
            next_ = (next_ + 1) % where_.engines_.size();
            if (where_.engines_[next_].alive_) {
                return next_;
            }
        }
        return std::nullopt;
    }

private:
    std::size_t next_ = 0;
};

class least_loaded : public queueing_policy {
public:
    using queueing_policy::queueing_policy;

protected:
    std::optional<std::size_t> choose(const request&) override {
        std::optional<std::size_t> best;
        for (std::size_t index = 0; index < where_.engines_.size(); ++index) {
            if (where_.engines_[index].alive_ && (!best || load_of(index) < load_of(*best))) {
                best = index;
            }
        }
        return best;
    }
};

// As many copies of each model as fit evenly, the less loaded of them; nothing is ever moved.
class static_placement : public queueing_policy {
public:
    explicit static_placement(world& where) : queueing_policy(where) {
        pool_row pool = where.deployment_.pool_;
        while (every_model_placed_with(pool, pool.models_.front().copies_ + 1)) {
        }
        for (engine& one : where.engines_) {
            one.resident_.clear();
        }
        place_homes(pool);
    }

protected:
    bool may_load() const override { return false; }

    std::optional<std::size_t> choose(const request& one) override {
        std::optional<std::size_t> best;
        for (std::size_t index = 0; index < where_.engines_.size(); ++index) {
            const engine& candidate = where_.engines_[index];
            const bool holds = candidate.resident_.contains(one.item_);
            if (candidate.alive_ && holds && (!best || load_of(index) < load_of(*best))) {
                best = index;
            }
        }
        return best;
    }

private:
    bool every_model_placed_with(pool_row& pool, std::int64_t copies) const {
        pool_row more = pool;
        std::vector<std::string> ids;
        for (const engine& one : where_.engines_) {
            ids.push_back(one.id_);
        }
        for (model_row& model : more.models_) {
            model.copies_ = copies;
        }
        for (const auto& [model, homes] : assign_homes(more, ids)) {
            if (std::int64_t(homes.size()) < copies) {
                return false;
            }
        }
        pool = more;
        return true;
    }
};

} // namespace

std::unique_ptr<policy> make_round_robin(world& where) {
    return std::make_unique<round_robin>(where);
}

std::unique_ptr<policy> make_least_loaded(world& where) {
    return std::make_unique<least_loaded>(where);
}

std::unique_ptr<policy> make_static(world& where) {
    return std::make_unique<static_placement>(where);
}

} // namespace tamarack::policy_bench
