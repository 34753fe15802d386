// Stand-in for an endpoint that runs requests, and for a model engine that takes orders, with faults. What it
// sees goes to the referee.
#pragma once

#include "soak/referee.hpp"
#include "tamarack/http.hpp"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <random>
#include <set>

namespace tamarack::soak {

// Sizes of the model engines and times of their loads.
inline constexpr double engine_mb = 220'000;
inline constexpr double model_mb = 70'000;
inline constexpr double adapter_mb = 50;
inline constexpr int adapter_slots = 4;
inline constexpr int model_count = 6;
inline constexpr int adapters_per_model = 3;
inline constexpr time_ms store_load_ms = 600;
inline constexpr time_ms disk_load_ms = 150;

// Answer and stamp that an endpoint gives to a plain request.
std::string plain_answer(const std::string& request_id);
std::string stamp_of(const std::string& endpoint);

// Events of a stream, which depend on its request alone.
int event_count(const std::string& request_id);
std::string event_text(const std::string& request_id, int number);

// Faults in force, as shares of the calls.
struct engine_faults {
    double failing_ = 0;     // requests answered with 500
    double lost_ = 0;        // requests that run and whose connection then ends
    double late_orders_ = 0; // orders that are not answered and are carried out late
};

class engine_stand_in {
public:
    // An engine of models if `models` is given; else an endpoint without.
    engine_stand_in(boost::asio::io_context& context, referee& judge, std::string id, std::uint64_t seed,
                    std::vector<std::string> models);

    std::uint16_t port() const { return server_.port(); }
    const std::string& id() const { return id_; }
    bool has_models() const { return has_models_; }

    // Entry for the registry.
    std::string entry(const std::string& address, const char* state, std::int64_t count) const;

    void set_faults(const engine_faults& faults) { faults_ = faults; }

    // Names a limit on its requests per second in its responses from now on, or none.
    void set_limit(std::optional<double> per_s);

    // Says in its responses from now on that it leaves.
    void set_leaving() { leaving_ = true; }

    // Turns all requests away from now on and asks for this time without any, or none.
    void set_back_off(std::optional<time_ms> back_off) { back_off_ms_ = back_off; }

    // Ends when it begins to answer a request with this part in its prompt, or one with this path: calls
    // `crash`, which is to restart it. Empty texts match nothing.
    void set_crashing_part(std::string part) { crashing_part_ = std::move(part); }
    void set_crashing_path(std::string path) { crashing_path_ = std::move(path); }
    void on_crash(std::function<void()> crash) { crash_ = std::move(crash); }

    // Forgets all but its disk, as after a crash; runs end without an answer.
    void restart();

private:
    struct resident_model {
        std::set<std::string> adapters_;
        int running_ = 0;
    };

    boost::asio::awaitable<void> handle(http::exchange& call);
    bool has_crashing_part(const http::request& call) const;
    bool crashes_on(const http::request& call);
    void add_notices(std::vector<http::header>& headers, const std::string& request_id);
    boost::asio::awaitable<void> refuse(http::exchange& call, int status, const std::string& request_id);
    boost::asio::awaitable<void> run(http::exchange& call, const std::string& request_id);
    boost::asio::awaitable<bool> stream(http::exchange& call, const std::string& request_id, bool& gone);
    boost::asio::awaitable<void> take_order(http::exchange& call);
    int carry_out(const std::string& body);
    int carry_out_model(bool load, const std::string& model);
    int carry_out_adapter(bool load, const std::string& model, const std::string& adapter);
    boost::asio::awaitable<void> change_model(bool load, std::string model, std::int64_t incarnation);
    std::string report() const;
    void tell_memory();
    bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }
    boost::asio::awaitable<void> pause(time_ms duration);

    boost::asio::io_context& context_;
    referee& judge_;
    std::string id_;
    bool has_models_;
    std::mt19937_64 random_;
    http::server server_;
    engine_faults faults_;
    std::optional<double> limit_per_s_;
    bool leaving_ = false;
    std::optional<time_ms> back_off_ms_;
    std::string crashing_part_;
    std::string crashing_path_;
    std::function<void()> crash_;
    std::map<std::string, resident_model> models_;
    std::set<std::string> disk_;
    std::string loading_;
    std::set<std::string> unloading_;
    bool busy_ = false;
    std::int64_t accepted_ = 0;
    std::int64_t incarnation_;
    int running_ = 0;
};

} // namespace tamarack::soak
