// A gateway that is told to end while clients read their responses slowly.
#include "direct/gateway_process.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <thread>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace tamarack::direct {

namespace asio = boost::asio;

namespace {

// When the process is told to end.
enum class told_at { before_the_request, while_it_is_served, while_the_response_is_read };

struct leaving_case {
    const char* name_;
    told_at told_;
    int clients_;
    std::size_t answer_bytes_;
};

struct leaving_gateway : gateway_process {
    asio::io_context context_;

    leaving_gateway() {
        for (const fake_endpoint* one : {&first_, &second_}) {
            store_.put("keyed.servers", one->id(), endpoint_text(*one, "ready", 64));
        }
        start_ready();
    }

    // A connection with a small window and small segments, so that the response stays at the gateway.
    asio::ip::tcp::socket open() {
        asio::ip::tcp::socket socket(context_);
        socket.open(asio::ip::tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(16 * 1024));
        constexpr int segment_bytes = 1'400;
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof(segment_bytes));
        socket.connect({asio::ip::address_v4::loopback(), port_});
        return socket;
    }

    static void send(asio::ip::tcp::socket& socket, int number) {
        const std::string text =
            "GET /lookup/x HTTP/1.1\r\nHost: shop.example\r\nTamarackbeam-Request-Id: l-" +
            std::to_string(number) + "\r\nTamarackbeam-Deadline-Ms: 1200\r\n\r\n";
        asio::write(socket, asio::buffer(text));
    }

    // Reads until the connection ends, `piece` bytes each `pause`. Returns the size of the body if the
    // response is a success.
    static std::size_t read_slowly(asio::ip::tcp::socket& socket, std::size_t piece,
                                   std::chrono::milliseconds pause) {
        std::string all;
        std::string part(piece, '\0');
        boost::system::error_code ended;
        while (!ended) {
            all.append(part.data(), asio::read(socket, asio::buffer(part), ended));
            std::this_thread::sleep_for(pause);
        }
        const std::size_t head = all.find("\r\n\r\n");
        const bool success = all.starts_with("HTTP/1.1 200 ") && head != std::string::npos;
        return success ? all.size() - head - 4 : 0;
    }
};

} // namespace

// LOST: a gateway ended once its endpoints had answered, and cut off the responses that clients were reading.
// The slowest of these reads for 4 s, longer than the 2.6 s for which a gateway serves in any case.
TEST_CASE("leaving_gateway_clients_read_slowly_all_get_whole_responses_and_the_process_ends") {
    constexpr std::size_t piece = 16 * 1024;
    constexpr std::chrono::milliseconds pause{25};
    const leaving_case cases[] = {
        {"one, told before", told_at::before_the_request, 1, 2'500'000},
        {"many, told before", told_at::before_the_request, 6, 2'500'000},
        {"one, told while it is served", told_at::while_it_is_served, 1, 2'500'000},
        {"many, told while they read", told_at::while_the_response_is_read, 6, 2'500'000},
        {"many short responses", told_at::before_the_request, 6, 100},
    };
    for (const leaving_case& one : cases) {
        CAPTURE(std::string(one.name_));
        leaving_gateway gateway;
        gateway.first_.set_body(std::string(one.answer_bytes_, 'y'));
        gateway.second_.set_body(std::string(one.answer_bytes_, 'y'));
        std::vector<asio::ip::tcp::socket> sockets;
        for (int number = 0; number < one.clients_; ++number) {
            sockets.push_back(gateway.open());
        }
        if (one.told_ == told_at::before_the_request) {
            gateway.process_.signal(SIGTERM);
            ::usleep(500'000);
        }
        for (int number = 0; number < one.clients_; ++number) {
            gateway.send(sockets[std::size_t(number)], number);
        }
        if (one.told_ == told_at::while_it_is_served) {
            gateway.process_.signal(SIGTERM);
        }
        std::vector<std::size_t> received(sockets.size());
        std::vector<std::thread> readers;
        for (std::size_t number = 0; number < sockets.size(); ++number) {
            readers.emplace_back(
                [&, number] { received[number] = gateway.read_slowly(sockets[number], piece, pause); });
        }
        if (one.told_ == told_at::while_the_response_is_read) {
            ::usleep(300'000);
            gateway.process_.signal(SIGTERM);
        }
        for (std::thread& reader : readers) {
            reader.join();
        }
        for (const std::size_t bytes : received) {
            CHECK(bytes == one.answer_bytes_);
        }
        CHECK(gateway_process::eventually([&] { return !gateway.process_.running(); }));
    }
}

// A client that does not read must not keep the process beyond its grace time.
TEST_CASE_FIXTURE(leaving_gateway,
                  "leaving_gateway_client_does_not_read_the_process_ends_in_its_grace_time") {
    first_.set_body(std::string(2'500'000, 'y'));
    second_.set_body(std::string(2'500'000, 'y'));
    auto stopped = open();
    send(stopped, 1);
    ::usleep(300'000);
    process_.signal(SIGTERM);
    CHECK(eventually([&] { return !process_.running(); }));
}

} // namespace tamarack::direct
