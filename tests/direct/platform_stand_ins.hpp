// Fakes of the platform's store and of an endpoint that can inject faults, for contract tests of the adapter.
#pragma once

#include "tamarack/http.hpp"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace tamarack::direct {

// A keyed log over HTTP, as the platform documents it.
class fake_store {
public:
    enum class fault {
        none,
        busy,     // 503
        limited,  // 429
        expired,  // 410 for reads
        silent,   // no answer
        truncated // a body without its last bytes
    };

    fake_store();
    ~fake_store();

    void put(const std::string& topic, const std::string& key, const std::string& value);
    void drop(const std::string& topic, const std::string& key);

    // Returns from a copy that lacks the last `count` records of the topic.
    void roll_back(const std::string& topic, std::size_t count);

    // Returns from a copy that is this old: all topics lack the records written since.
    void return_from_copy(std::chrono::milliseconds age);

    // Sets the fault of all following calls.
    void set_fault(fault new_fault) { fault_ = new_fault; }
    boost::asio::ip::tcp::endpoint address() const;
    int calls() const { return calls_; }
    int calls(const std::string& topic);

    // Sets the number of records in one page of the newest records.
    void set_page_size(std::size_t size) { page_size_ = size; }

    // Answers 400 to calls for the page of newest records after this key; to none if it is empty.
    void set_refused_after(std::string key);

    // Answers 400 to appends of this key.
    void set_refused_key(std::string key);

    std::size_t record_count(const std::string& topic) { return end_of(topic); }

private:
    struct record {
        std::string key_;
        std::optional<std::string> value_;
        std::chrono::steady_clock::time_point written_at_ = std::chrono::steady_clock::now();
    };

    boost::asio::awaitable<void> handle(http::exchange& current);
    boost::asio::awaitable<void> wait_for_record(const http::request& call);
    std::size_t end_of(const std::string& topic);
    http::response newest(const http::request& call);
    http::response read(const http::request& call);
    http::response append(const http::request& call);

    boost::asio::io_context context_;
    http::server server_;
    std::mutex mutex_;
    std::map<std::string, std::vector<record>> topics_;
    std::atomic<fault> fault_ = fault::none;
    std::atomic<int> calls_ = 0;
    std::atomic<std::size_t> page_size_ = 500;
    std::atomic<int> era_ = 1;
    std::map<std::string, int> calls_by_topic_; // answered ones
    std::string refused_after_;
    std::optional<std::string> refused_key_;
    std::thread thread_;
};

// An endpoint that answers requests with the behaviours that a test sets, and records the requests.
class fake_endpoint {
public:
    // How a request is answered.
    enum class behaviour {
        complete,           // answers with a stamp
        other_answer_first, // answers another request first, then this one
        truncated,          // closes the connection in the middle of the body
        reset,              // closes the connection without an answer
        not_run,            // refuses with the header for requests that were not run
        refused_twice,      // the same, and writes the refusal once more after the next request has arrived
        misdirected,        // refuses with 421, as an engine that does not hold the model
        unstamped,          // answers 200 without the endpoint's stamp
        server_error,       // answers 500 with a stamp
        garbage,            // sends bytes that are not HTTP
        silent,             // sends nothing and keeps the connection open
        complete_stream,    // streams the events up to the fifth
        truncated_stream,   // streams two events and a part of another
    };

    explicit fake_endpoint(std::string id);
    ~fake_endpoint();

    // Sets the behaviours of the following requests, one each; the last one applies to all further requests.
    // Also forgets the received requests.
    void set_behaviours(std::vector<behaviour> behaviours);

    // Bytes that an endpoint sends without end, until the other side closes the connection.
    struct endless_reply {
        std::string begin_; // the text ID in it becomes the request's id
        std::string repeated_;
        std::chrono::milliseconds pause_{0}; // between two repetitions; without one they are sent in bulk
    };

    // Answers the following requests with it, instead of a behaviour.
    void set_endless(std::optional<endless_reply> reply);

    // The last reply on its connection.
    struct last_reply {
        std::string text_;   // the text ID in it becomes the request's id
        bool reset_ = false; // the connection is reset after it, instead of closed in order
        std::vector<std::string> further_ = {}; // sent after the text, each with a pause before
        // Leaves the connection open until the other side closes it.
        bool open_ = false;
        // Replies as soon as the head of the request has arrived, and does not read the rest.
        bool early_ = false;
    };

    // Answers the next request with it, instead of a behaviour.
    void set_last_reply(last_reply reply);

    // Replies without end that are still being sent.
    int endless_running() const { return endless_running_; }

    // Names this limit on its requests in its following responses; none if empty.
    void set_limit(std::string per_s);

    // Header lines, each with its line end, of all following responses.
    void set_headers(std::string lines);

    // Body of the following complete responses.
    void set_body(std::string body);
    boost::asio::ip::tcp::endpoint address() const { return address_; }
    const std::string& id() const { return id_; }

    // Connections that it has accepted.
    int connection_count() const { return connections_; }

    // Returns the bytes of each received request.
    std::vector<std::string> received_requests() const;

private:
    void accept_all();
    void serve(int socket);
    behaviour next_behaviour();
    std::string answer(behaviour selected, const std::string& request) const;
    std::optional<last_reply> take_early_reply(const std::string& received);
    static void send_and_close(int socket, last_reply reply, const std::string& request);
    void send_endlessly(int socket, endless_reply reply, const std::string& request);

    std::string id_;
    int listener_ = -1;
    boost::asio::ip::tcp::endpoint address_;
    mutable std::mutex mutex_;
    std::vector<behaviour> behaviours_ = {behaviour::complete};
    std::size_t next_ = 0;
    std::string limit_;
    std::string headers_;
    std::string body_ = "done";
    std::optional<endless_reply> endless_;
    std::optional<last_reply> last_;
    std::atomic<int> endless_running_ = 0;
    std::atomic<int> connections_ = 0;
    std::vector<std::string> received_requests_;
    std::vector<int> sockets_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
    bool stopping_ = false;
};

} // namespace tamarack::direct
