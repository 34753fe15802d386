// Clients of a soak: requests of all kinds at a steady rate, on new and on kept connections.
#pragma once

#include "http/kept_client.hpp"
#include "soak/fleet.hpp"

namespace tamarack::soak {

// A request that a client repeats, to the plain service or for a model, without the headers of one attempt.
http::request make_repeated_request(const std::string& path, bool plain);

class clients {
public:
    clients(boost::asio::io_context& context, fleet& parts, referee& judge, std::uint64_t seed);

    // Sends requests until told to stop, among them `uploads` long bodies at a time.
    void start(double requests_per_s, int uploads);
    void stop() { stopped_ = true; }

    // From now on this share of the requests for a model has the part in its prompt; none if it is 0.
    void set_crashing_part(std::string part, double share) {
        crashing_part_ = std::move(part);
        crashing_share_ = share;
    }

    // Sends one request again and again until the time, at any gateway and with another id each time: at once
    // after a failure, and a while later after a refusal. With random numbers of its own.
    boost::asio::awaitable<void> repeat(http::request request, time_ms until, std::uint64_t seed);

    int open() const { return open_; }

private:
    boost::asio::awaitable<void> send_all(double requests_per_s);
    boost::asio::awaitable<void> misbehave(std::uint64_t seed);
    boost::asio::awaitable<void> upload(std::uint64_t seed);
    // Returns the status of the response, or 0.
    boost::asio::awaitable<int> call_stream(std::size_t gateway, http::request outgoing);
    void call_plain(std::size_t gateway, http::request outgoing);
    http::request make_request();
    void identify(http::request& outgoing, sent_request& sent, std::size_t gateway);
    void add_prompt(http::request& outgoing, sent_request& sent);
    void add_key(http::request& outgoing, sent_request& sent);
    void add_unsound_key(http::request& outgoing, sent_request& sent);

    boost::asio::io_context& context_;
    fleet& fleet_;
    referee& judge_;
    std::mt19937_64 random_;
    std::mt19937_64 part_random_;
    std::mt19937_64 pace_random_; // of clients that read late
    std::mt19937_64 key_random_;
    std::uint64_t seed_;
    std::string crashing_part_;
    double crashing_share_ = 0;
    std::vector<std::vector<std::shared_ptr<http::kept_client>>> idle_; // connections by gateway
    std::uint64_t next_id_ = 1;
    int open_ = 0;
    bool stopped_ = false;
};

} // namespace tamarack::soak
