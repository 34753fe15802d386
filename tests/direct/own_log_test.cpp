// The log of the product's own interface, with records that cannot be read.
#include "direct/platform_stand_ins.hpp"
#include "tamarack/configuration.hpp"
#include "tamarack/platform.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

namespace tamarack::direct {

// One record with bytes that are no UTF-8, or of another form, was asked for again and again, and no later
// change of the configuration took effect.
TEST_CASE("own_log_record_cannot_be_read_the_reader_goes_past_it") {
    fake_endpoint server("log");
    server.set_body("{\"first\":0,\"next\":4,\"now_ms\":1,\"retention_ms\":60000,\"records\":["
                    "{\"offset\":0,\"time_ms\":1,\"data\":\"\xff\"},7,{\"offset\":\"2\"},"
                    "{\"offset\":3,\"time_ms\":1,\"data\":\"last\"}]}");
    const log_client log = http_log_client(server.address(), std::chrono::milliseconds(1'000));
    boost::asio::io_context context;
    std::optional<result<log_batch>> read;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
            read = co_await log.read_("config", 0, std::chrono::milliseconds(0));
        },
        boost::asio::detached);
    context.run();
    REQUIRE(read);
    REQUIRE(ok(*read));
    const std::vector<log_record>& records = value(*read).records_;
    REQUIRE(records.size() == 4);
    for (std::size_t index = 0; index < records.size(); ++index) {
        CHECK(records[index].offset_ == std::int64_t(index));
    }
    CHECK(records[0].data_ == "\xff");
    CHECK(records[3].data_ == "last");
    config_reader reader;
    reader.apply_records(0, records);
    CHECK(reader.next_offset() == 4);
}

} // namespace tamarack::direct
