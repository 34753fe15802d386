// Stand-ins for the platform's store and for an endpoint, with faults, for contract tests of the adapter.
#pragma once

#include "tamarack/http.hpp"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace tamarack::direct {

// A keyed log over HTTP, as the platform's pages describe it.
class fake_store {
public:
    enum class fault { none, busy, limited, expired, silent, truncated };

    fake_store();
    ~fake_store();

    void put(const std::string& topic, const std::string& key, const std::string& value);
    void drop(const std::string& topic, const std::string& key);

    // In force until changed.
    void set_fault(fault one) { fault_ = one; }
    boost::asio::ip::tcp::endpoint address() const;
    int calls() const { return calls_; }

private:
    struct record {
        std::string key_;
        std::optional<std::string> value_;
    };

    boost::asio::awaitable<void> handle(http::exchange& current);
    boost::asio::awaitable<void> wait_for_record(const http::request& call);
    std::size_t end_of(const std::string& topic);
    http::response newest(const http::request& call);
    http::response read(const http::request& call);

    boost::asio::io_context context_;
    http::server server_;
    std::mutex mutex_;
    std::map<std::string, std::vector<record>> topics_;
    std::atomic<fault> fault_ = fault::none;
    std::atomic<int> calls_ = 0;
    std::thread thread_;
};

// An endpoint that answers each request with bytes of the test's choice, and counts what arrives.
class fake_endpoint {
public:
    // How one request is answered; applied in order, the last one for good.
    enum class behaviour {
        complete,           // a stamped answer
        other_answer_first, // an answer to another request, then the right one
        truncated,          // the connection ends in the middle of the body
        reset,              // the connection ends without an answer
        not_run,            // refused, and said so
        unstamped,          // a success that the endpoint did not make
        server_error,       // a stamped server error
        garbage,            // bytes that are no answer
        silent,             // nothing
        complete_stream,    // five events
        truncated_stream,   // two events and half of the third
    };

    explicit fake_endpoint(std::string id);
    ~fake_endpoint();

    void set_behaviours(std::vector<behaviour> behaviours);
    boost::asio::ip::tcp::endpoint address() const { return address_; }
    const std::string& id() const { return id_; }

    // The requests that arrived, as bytes.
    std::vector<std::string> received_requests() const;

private:
    void accept_all();
    void serve(int socket);
    behaviour next_behaviour();
    std::string answer(behaviour how, const std::string& request) const;

    std::string id_;
    int listener_ = -1;
    boost::asio::ip::tcp::endpoint address_;
    mutable std::mutex mutex_;
    std::vector<behaviour> behaviours_ = {behaviour::complete};
    std::size_t next_ = 0;
    std::vector<std::string> received_requests_;
    std::vector<int> sockets_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
    bool stopping_ = false;
};

} // namespace tamarack::direct
