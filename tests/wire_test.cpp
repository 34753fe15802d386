#include "fixtures.hpp"
#include "tamarack/wire.hpp"

namespace tamarack::wire {

namespace {

struct wire_fixture {
    // One message of each type, with every field set.
    std::vector<message> messages_ = {
        hello{protocol_version, "entry-1", "entry", 7},
        status{7, true, 1, 2, 3, 4, {"a@1", "b@1"}, true},
        submit{1, "POST", "/p", "application/json", "desk", "m", 1, 900, true, "key", 5, 6, "body"},
        head{1, 200, "text/plain", "m@1"},
        chunk{1, 2, std::string("\0\xff", 2)},
        end{1, 3},
        refused{1, 4, 1'000, "agent-2"},
        failed{1, "cut"},
        cancel{1},
        cancelled{1, true},
        credit{1, 65'536},
        key_request{1},
        key_issued{1, "tk1"},
        config_fetch{},
        config_state{"{}"},
        drop_request{1, "m@1"},
        drop_reply{1, true},
    };

    static result<frame> decode(const std::vector<std::uint8_t>& bytes) {
        return decode_frame(std::span(bytes).subspan(4));
    }
};

} // namespace

TEST_CASE_FIXTURE(wire_fixture, "frame_encoded_and_decoded_is_unchanged") {
    for (const message& one : messages_) {
        const auto bytes = encode_frame({42, one});
        const auto decoded = decode(bytes);
        REQUIRE(ok(decoded));
        CHECK(value(decoded).config_version_ == 42);
        CHECK(value(decoded).message_.index() == one.index());
        CHECK(encode_frame(value(decoded)) == bytes);
    }
}

TEST_CASE_FIXTURE(wire_fixture, "frame_truncated_does_not_crash_and_empty_is_rejected") {
    for (const message& one : messages_) {
        const auto bytes = encode_frame({42, one});
        for (std::size_t length = 4; length < bytes.size(); ++length) {
            const std::vector<std::uint8_t> cut(bytes.begin(), bytes.begin() + std::ptrdiff_t(length));
            decode(cut);
        }
        const auto empty = decode_frame({});
        CHECK_FALSE(ok(empty));
    }
}

TEST_CASE_FIXTURE(wire_fixture, "frame_random_bytes_and_flipped_bits_never_crash") {
    std::mt19937_64 random(11);
    int refused_frames = 0;
    for (int round = 0; round < 20'000; ++round) {
        std::vector<std::uint8_t> bytes = encode_frame({42, messages_[random() % messages_.size()]});
        const int flips = int(random() % 6) + 1;
        for (int flip = 0; flip < flips; ++flip) {
            bytes[4 + random() % (bytes.size() - 4)] ^= std::uint8_t(1U << (random() % 8));
        }
        refused_frames += ok(decode(bytes)) ? 0 : 1;
    }
    CHECK(refused_frames > 1'000);
    for (int round = 0; round < 20'000; ++round) {
        std::vector<std::uint8_t> bytes(random() % 300 + 4);
        for (std::uint8_t& byte : bytes) {
            byte = std::uint8_t(random());
        }
        CHECK_FALSE(ok(decode(bytes)));
    }
}

TEST_CASE("response_assembly_parts_out_of_sequence_are_rejected") {
    using part_check = response_assembly::part_check;
    response_assembly before_head(5);
    CHECK(before_head.add_chunk({5, 0, "x"}) == part_check::broken);
    CHECK(before_head.add_end({5, 0}) == part_check::broken);
    response_assembly one(5);
    CHECK(one.add_head({4, 200, "", ""}) == part_check::drop);
    CHECK(one.add_head({5, 200, "", ""}) == part_check::accept);
    CHECK(one.add_head({5, 200, "", ""}) == part_check::broken);
    CHECK(one.add_chunk({5, 0, "a"}) == part_check::accept);
    CHECK(one.add_chunk({6, 1, "b"}) == part_check::drop);
    CHECK(one.add_chunk({5, 0, "a"}) == part_check::broken);
    CHECK(one.add_chunk({5, 2, "c"}) == part_check::broken);
    CHECK(one.add_end({5, 2}) == part_check::broken);
    CHECK_FALSE(one.complete());
    CHECK(one.add_end({6, 1}) == part_check::drop);
    CHECK(one.add_end({5, 1}) == part_check::accept);
    CHECK(one.complete());
    CHECK(one.add_chunk({5, 1, "d"}) == part_check::broken);
}

// Parts of two attempts are lost, duplicated and reordered at random. A response that completes must hold the
// whole text of one attempt.
TEST_CASE("response_assembly_random_faults_complete_only_whole_responses") {
    int completed = 0;
    for (std::uint64_t seed = 1; seed <= 5'000; ++seed) {
        std::mt19937_64 random(seed);
        std::vector<message> parts;
        for (std::uint64_t attempt = 1; attempt <= 2; ++attempt) {
            parts.push_back(head{attempt, 200, "", ""});
            for (std::uint32_t sequence = 0; sequence < 4; ++sequence) {
                parts.push_back(chunk{attempt, sequence, std::to_string(attempt) + std::to_string(sequence)});
            }
            parts.push_back(end{attempt, 4});
        }
        for (std::uint64_t faults = random() % 3; faults > 0; --faults) {
            switch (random() % 3) {
            case 0:
                std::swap(parts[random() % parts.size()], parts[random() % parts.size()]);
                break;
            case 1:
                parts.push_back(parts[random() % parts.size()]);
                break;
            default:
                parts.erase(parts.begin() + std::ptrdiff_t(random() % parts.size()));
            }
        }
        response_assembly assembly(1);
        std::string text;
        bool broken = false;
        for (const message& part : parts) {
            auto taken = response_assembly::part_check::drop;
            if (const auto* begin = std::get_if<head>(&part)) {
                taken = assembly.add_head(*begin);
            } else if (const auto* piece = std::get_if<chunk>(&part)) {
                taken = assembly.add_chunk(*piece);
                text += taken == response_assembly::part_check::accept ? piece->data_ : "";
            } else {
                taken = assembly.add_end(std::get<end>(part));
            }
            broken = broken || taken == response_assembly::part_check::broken;
            if (broken || assembly.complete()) {
                break;
            }
        }
        if (assembly.complete()) {
            ++completed;
            CHECK(text == "10111213");
        }
    }
    CHECK(completed > 1'000);
}

} // namespace tamarack::wire
