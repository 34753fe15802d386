// Endpoints that respond before they have read the request, and connections that break while it is being
// written.
#include "direct/gateway_process.hpp"
#include "direct/request_flow_fixture.hpp"
#include "http/kept_client.hpp"

#include <boost/asio/write.hpp>

namespace tamarack::gateway {

namespace {

// The system buffers less than this on the way to an endpoint that reads nothing.
constexpr std::size_t upload_bytes = 32 * 1024 * 1024;
constexpr time_ms step_limit_ms = 8'000;

// An endpoint that reads nothing of a request. The thread of the test plays it between two steps of the
// gateway, so that a read and a write of the gateway wait for the connection when it ends.
class unreading_endpoint {
public:
    unreading_endpoint() {
        constexpr int receive_bytes = 4'096;
        listener_.open(boost::asio::ip::tcp::v4());
        listener_.set_option(boost::asio::socket_base::receive_buffer_size(receive_bytes));
        listener_.bind({boost::asio::ip::address_v4::loopback(), 0});
        listener_.listen();
        listener_.non_blocking(true);
    }

    boost::asio::ip::tcp::endpoint address() const { return listener_.local_endpoint(); }

    // Whether a request that it has not responded to has begun to arrive on the newest connection.
    bool is_called() {
        boost::system::error_code none_yet;
        boost::asio::ip::tcp::socket accepted(context_);
        listener_.accept(accepted, none_yet);
        if (!none_yet) {
            sockets_.push_back(std::move(accepted));
            newest_has_response_ = false;
        }
        return !sockets_.empty() && !newest_has_response_ && sockets_.back().available(none_yet) > 0;
    }

    std::size_t connection_count() const { return sockets_.size(); }

    void send(const std::string& bytes) {
        boost::asio::write(sockets_.back(), boost::asio::buffer(bytes));
        newest_has_response_ = true;
    }

    void reset() {
        sockets_.back().set_option(boost::asio::socket_base::linger(true, 0));
        sockets_.back().close();
    }

    void end_in_order() { sockets_.back().shutdown(boost::asio::ip::tcp::socket::shutdown_send); }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor listener_{context_};
    std::vector<boost::asio::ip::tcp::socket> sockets_;
    bool newest_has_response_ = false;
};

// Runs what is ready until the condition holds. Operations that have not ended then wait for a connection.
bool step_until(boost::asio::io_context& context, const std::function<bool()>& condition) {
    const time_ms until = steady_now_ms() + step_limit_ms;
    bool holds = false;
    while (!holds && steady_now_ms() < until) {
        context.restart();
        while (context.poll() > 0) {
        }
        holds = condition();
    }
    return holds;
}

const std::string head = "HTTP/1.1 200 OK\r\n"
                         "Tamarackbeam-Request-Id: r-1\r\n"
                         "Tamarackbeam-Server-Stamp: s\r\n";
const std::string part(2'000, 'p');

struct early_case {
    const char* name_;
    std::string response_;
    std::size_t body_bytes_;
};

// How the endpoint ends the connection after its response.
enum class connection_end { none, reset, in_order };

// A long upload to an endpoint that responds without reading it. A second endpoint answers in order.
struct upload_fixture : flow_fixture {
    unreading_endpoint early_;
    std::shared_ptr<request_flow> flow_;

    // Returns once the gateway can write no more and has read all of the response, which holds so many bytes
    // of body.
    void start_upload(fleet::repeat_rule rule, bool resumable, const std::string& response,
                      std::size_t body_bytes) {
        set_route(rule, resumable);
        const fleet::endpoint_record second = records_.at("e-2");
        records_.erase("e-2");
        records_.at("e-1").address_ = early_.address();
        fleet_.apply_endpoints(records_);
        flow_ = start("m", std::string(upload_bytes, 'x'), step_limit_ms);
        sink_->on_abort_ = [this] { flow_->on_client_disconnected(); };
        REQUIRE(step_until(context_, [&] { return early_.is_called(); }));
        records_["e-2"] = second;
        fleet_.apply_endpoints(records_);
        early_.send(response);
        REQUIRE(step_until(context_, [&] {
            return is_answered() || sink_->data_.size() + memory_.held(memory::pool::arriving) >= body_bytes;
        }));
    }

    // Uploads to a new client's sink, and runs until its response has ended.
    void upload(const early_case& one, connection_end end, fleet::repeat_rule rule, bool resumable = false) {
        sink_ = std::make_shared<status_sink>();
        start_upload(rule, resumable, one.response_, one.body_bytes_);
        if (end == connection_end::reset) {
            early_.reset();
        } else if (end == connection_end::in_order) {
            early_.end_in_order();
        }
        REQUIRE(step_until(context_, [&] { return is_answered(); }));
    }

    void set_route(fleet::repeat_rule rule, bool resumable) {
        auto configuration = std::make_shared<fleet::configuration>(*fleet_.current()->configuration_);
        ++configuration->version_;
        fleet::route_rule& route = configuration->routes_[0];
        route.repeat_ = rule;
        route.resumable_ = resumable;
        route.max_attempts_ = 2;
        route.timeout_ms_ = route.objective_ms_ = step_limit_ms;
        fleet_.apply_configuration(std::make_shared<const indexed_configuration>(configuration));
    }

    // Whether the client's response has ended in some way.
    bool is_answered() const { return sink_->responded_ || sink_->ended_ || sink_->status_ == -1; }
};

const early_case unfinished[] = {
    {"end of the connection", head + "\r\n" + part, part.size()},
    {"length", head + "Content-Length: 4000\r\n\r\n" + part, part.size()},
    {"chunks", head + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + part, part.size()},
};

const std::string stream_head = head + "Content-Type: text/event-stream\r\n";
const std::string event = "id: 1\ndata: word\n\n";

const early_case unfinished_streams[] = {
    {"end of the connection", stream_head + "\r\n" + event, event.size()},
    {"chunks", stream_head + "Transfer-Encoding: chunked\r\n\r\n12\r\n" + event + "\r\n", event.size()},
};

} // namespace

// A reset is reported once, here to the write, and the read that follows sees an end of the connection.
// Clients got a part of a body as a whole one.
TEST_CASE_FIXTURE(upload_fixture, "upload_endpoint_sends_part_of_body_and_resets_client_gets_502") {
    for (const early_case& one : unfinished) {
        CAPTURE(std::string(one.name_));
        upload(one, connection_end::reset, fleet::repeat_rule::at_most_once);
        CHECK(sink_->status_ == 502);
        CHECK(sink_->data_.empty());
        CHECK(received_by("e-2") == 0);
    }
}

TEST_CASE_FIXTURE(upload_fixture, "upload_repeatable_endpoint_sends_part_of_body_and_resets_is_sent_again") {
    for (const early_case& one : unfinished) {
        CAPTURE(std::string(one.name_));
        second_.set_behaviours({fake_endpoint::behaviour::complete});
        upload(one, connection_end::reset, fleet::repeat_rule::idempotent);
        CHECK(sink_->status_ == 200);
        CHECK(sink_->data_ == "done");
        CHECK(received_by("e-2") == 1);
    }
}

// Clients got the proper end of a stream after its first event.
TEST_CASE_FIXTURE(upload_fixture, "upload_endpoint_begins_stream_and_resets_client_sees_a_broken_stream") {
    for (const early_case& one : unfinished_streams) {
        CAPTURE(std::string(one.name_));
        upload(one, connection_end::reset, fleet::repeat_rule::stream);
        CHECK(sink_->status_ == -1);
        CHECK_FALSE(sink_->ended_);
    }
}

TEST_CASE_FIXTURE(upload_fixture, "upload_endpoint_begins_resumable_stream_and_resets_stream_is_resumed") {
    for (const early_case& one : unfinished_streams) {
        CAPTURE(std::string(one.name_));
        second_.set_behaviours({fake_endpoint::behaviour::complete_stream});
        upload(one, connection_end::reset, fleet::repeat_rule::stream, true);
        CHECK(sink_->ended_);
        CHECK(sink_->data_.ends_with("id: 5\ndata: word\n\n"));
        REQUIRE(received_by("e-2") == 1);
        CHECK(second_.received_requests()[0].find("Last-Event-Id: 1\r\n") != std::string::npos);
    }
}

// An end in order completes no response either while the endpoint cannot have read the request.
TEST_CASE_FIXTURE(upload_fixture, "upload_endpoint_sends_part_of_body_and_ends_connection_client_gets_502") {
    for (const early_case& one : unfinished) {
        CAPTURE(std::string(one.name_));
        upload(one, connection_end::in_order, fleet::repeat_rule::at_most_once);
        CHECK(sink_->status_ == 502);
        CHECK(sink_->data_.empty());
    }
}

TEST_CASE_FIXTURE(upload_fixture, "upload_endpoint_sends_whole_response_early_client_gets_it") {
    const std::string refused = "HTTP/1.1 413 Payload Too Large\r\n" + head.substr(head.find("\r\n") + 2);
    const early_case whole[] = {
        {"length", refused + "Content-Length: 4\r\n\r\nlong", 4},
        {"chunks", refused + "Transfer-Encoding: chunked\r\n\r\n4\r\nlong\r\n0\r\n\r\n", 4},
    };
    for (const early_case& one : whole) {
        CAPTURE(std::string(one.name_));
        upload(one, connection_end::none, fleet::repeat_rule::at_most_once);
        CHECK(sink_->status_ == 413);
        CHECK(sink_->data_ == "long");
    }
}

// The engine that a resumed stream goes to can fail in the same way.
TEST_CASE_FIXTURE(upload_fixture, "upload_resumed_stream_is_cut_again_client_sees_a_broken_stream") {
    second_.set_last_reply({stream_head + "\r\nid: 2\ndata: word\n\nid: 3\nda"});
    upload(unfinished_streams[0], connection_end::reset, fleet::repeat_rule::stream, true);
    CHECK(sink_->status_ == -1);
    CHECK_FALSE(sink_->ended_);
    CHECK(sink_->data_ == event + "id: 2\ndata: word\n\n");
}

namespace {

constexpr std::chrono::milliseconds call_limit(step_limit_ms);
const std::string reply_head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";

const early_case unfinished_replies[] = {
    {"end of the connection", reply_head + "\r\n" + part, part.size()},
    {"length", reply_head + "Content-Length: 4000\r\n\r\n" + part, part.size()},
    {"chunks", reply_head + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + part, part.size()},
};

} // namespace

// The clients of the store, of engines, of the product's own interface and of the load tool.
TEST_CASE("http_clients_server_sends_part_of_body_and_resets_during_the_request_call_fails") {
    for (const early_case& one : unfinished_replies) {
        CAPTURE(std::string(one.name_));
        const http::request outgoing{"POST", "/x", {}, std::string(upload_bytes, 'x')};
        boost::asio::io_context context;
        unreading_endpoint server;
        std::optional<bool> succeeded;
        const auto client =
            std::make_shared<http::kept_client>(context.get_executor(), server.address(), call_limit);
        client->call(outgoing, call_limit, [&](result<http::response> outcome) { succeeded = ok(outcome); });
        REQUIRE(step_until(context, [&] { return server.is_called(); }));
        server.send(one.response_);
        server.reset();
        REQUIRE(step_until(context, [&] { return succeeded.has_value(); }));
        CHECK_FALSE(*succeeded);
        client->close();

        const auto check_fails = [&](auto call) {
            unreading_endpoint other;
            std::optional<bool> whole;
            boost::asio::co_spawn(
                context, [&]() -> boost::asio::awaitable<void> { whole = co_await call(other.address()); },
                boost::asio::detached);
            REQUIRE(step_until(context, [&] { return other.is_called(); }));
            other.send(one.response_);
            other.reset();
            REQUIRE(step_until(context, [&] { return whole.has_value(); }));
            CHECK_FALSE(*whole);
        };
        check_fails([&](boost::asio::ip::tcp::endpoint at) -> boost::asio::awaitable<bool> {
            co_return ok(co_await http::fetch(at, outgoing, {call_limit, call_limit}));
        });
        check_fails([&](boost::asio::ip::tcp::endpoint at) -> boost::asio::awaitable<bool> {
            const harness::caller_request request{"POST", "/x", {}, outgoing.body_};
            harness::caller_answer answer;
            co_await harness::exchange(at.port(), request, call_limit.count(), answer);
            co_return answer.whole_;
        });
    }
}

// The next call followed on the same connection, amid the rest of the request before it, and was never
// answered.
TEST_CASE("kept_client_server_responds_during_the_request_next_call_has_its_own_connection") {
    boost::asio::io_context context;
    unreading_endpoint server;
    const auto client =
        std::make_shared<http::kept_client>(context.get_executor(), server.address(), call_limit);
    std::vector<int> statuses;
    const auto note = [&](result<http::response> outcome) {
        statuses.push_back(ok(outcome) ? value(outcome).status_ : 0);
    };
    client->call({"POST", "/x", {}, std::string(upload_bytes, 'x')}, call_limit, note);
    REQUIRE(step_until(context, [&] { return server.is_called(); }));
    server.send("HTTP/1.1 413 Payload Too Large\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(step_until(context, [&] { return !statuses.empty(); }));
    client->call({"GET", "/y", {}, ""}, call_limit, note);
    REQUIRE(step_until(context, [&] { return server.is_called() && server.connection_count() == 2; }));
    server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(step_until(context, [&] { return statuses.size() == 2; }));
    CHECK(statuses == std::vector<int>{413, 200});
    client->close();
}

} // namespace tamarack::gateway

namespace tamarack::direct {

namespace {

// Long uploads to one real gateway and one endpoint.
struct upload_process : gateway_process {
    static constexpr int uploads = 20;
    static constexpr std::size_t upload_bytes = 4'000'000;
    const std::string head_ =
        "HTTP/1.1 200 OK\r\nTamarackbeam-Request-Id: ID\r\nTamarackbeam-Server-Stamp: s\r\n";
    const std::string part_ = std::string(2'000, 'p');
    const std::string event_ = "id: 1\ndata: word\n\n";

    upload_process() {
        store_.put("keyed.op", "config", configuration_text(4, 4'096, upload_bytes));
        store_.drop("keyed.servers", "i-2");
        start_ready();
    }

    // Uploads so many bytes to an endpoint that replies in this way.
    result<http::response> upload(const char* route, std::size_t bytes, fake_endpoint::last_reply reply) {
        // Also restores the estimate of the endpoint's health.
        REQUIRE(eventually([&] { return status(request("lookup", "warm-up")) == 200; }));
        first_.set_behaviours({behaviour::complete});
        first_.set_last_reply(std::move(reply));
        http::request outgoing = request(route, "u-1");
        outgoing.body_ = std::string(bytes, 'x');
        auto response = call(port_, outgoing);
        CHECK(first_.received_requests().size() == 1);
        return response;
    }
};

} // namespace

// The same with real processes, where the moment of the reset varies.
TEST_CASE_FIXTURE(upload_process, "direct_path_endpoint_resets_long_uploads_clients_get_no_part_as_whole") {
    for (int number = 0; number < uploads; ++number) {
        const auto plain = upload("booking", upload_bytes, {.text_ = head_ + "\r\n" + part_, .early_ = true});
        CHECK((ok(plain) ? value(plain).status_ : 502) == 502);
        const std::string stream = head_ + "Content-Type: text/event-stream\r\n\r\n" + event_;
        const auto events = upload("quote", upload_bytes, {.text_ = stream, .early_ = true});
        CHECK((ok(events) ? value(events).status_ : 502) == 502);
    }
}

TEST_CASE_FIXTURE(upload_process, "direct_path_endpoint_ends_response_with_its_connection_client_gets_it") {
    for (int number = 0; number < uploads; ++number) {
        for (const std::size_t bytes : {std::size_t(4), upload_bytes}) {
            CAPTURE(bytes);
            const auto plain = upload("booking", bytes, {head_ + "\r\n" + part_});
            REQUIRE(ok(plain));
            CHECK(value(plain).status_ == 200);
            CHECK(value(plain).body_ == part_);
            const std::string stream = head_ + "Content-Type: text/event-stream\r\n\r\n" + event_;
            const auto events = upload("quote", bytes, {stream});
            REQUIRE(ok(events));
            CHECK(value(events).body_ == event_);
        }
    }
}

} // namespace tamarack::direct
