#include "tamarack/wire.hpp"
#include "wire/frame_generated.h"

#include <algorithm>

namespace tamarack::wire {

namespace {

constexpr std::size_t max_depth = 8;
constexpr std::size_t max_tables = 100'000;

std::string text(const flatbuffers::String* value) {
    return value == nullptr ? std::string() : value->str();
}

std::string bytes(const flatbuffers::Vector<std::uint8_t>* value) {
    return value == nullptr ? std::string() : std::string(value->begin(), value->end());
}

hello convert(const fbs::Hello& source) {
    return {source.protocol(), text(source.id()), text(source.role()), source.incarnation()};
}

status convert(const fbs::Status& source) {
    status converted{source.incarnation(),
                     source.leaving(),
                     source.queued(),
                     source.running(),
                     source.wait_ms(),
                     source.clock_ms(),
                     {},
                     source.same_items()};
    if (source.resident() != nullptr) {
        for (const flatbuffers::String* item : *source.resident()) {
            converted.resident_.push_back(item->str());
        }
    }
    return converted;
}

submit convert(const fbs::Submit& source) {
    submit converted;
    converted.attempt_ = source.attempt();
    converted.method_ = text(source.method());
    converted.path_ = text(source.path());
    converted.content_type_ = text(source.content_type());
    converted.organisation_ = text(source.tenant());
    converted.model_ = text(source.model());
    converted.class_ = source.traffic_class();
    converted.budget_ms_ = source.budget_ms();
    converted.idempotent_ = source.idempotent();
    converted.key_ = text(source.key());
    converted.key_issued_ms_ = source.key_issued_ms();
    converted.kv_tokens_ = source.kv_tokens();
    converted.body_ = bytes(source.body());
    return converted;
}

result<frame> unknown_message() {
    return error{error_kind::invalid, "the frame holds an unknown message", "upgrade this process"};
}

result<message> convert_body(const fbs::Frame& source) {
    switch (source.body_type()) {
    case fbs::Body::Hello:
        return message(convert(*source.body_as_Hello()));
    case fbs::Body::Status:
        return message(convert(*source.body_as_Status()));
    case fbs::Body::Submit:
        return message(convert(*source.body_as_Submit()));
    case fbs::Body::Head: {
        const fbs::Head& body = *source.body_as_Head();
        return message(head{body.attempt(), body.status(), text(body.content_type()), text(body.item())});
    }
    case fbs::Body::Chunk: {
        const fbs::Chunk& body = *source.body_as_Chunk();
        return message(chunk{body.attempt(), body.sequence(), bytes(body.data())});
    }
    case fbs::Body::End:
        return message(end{source.body_as_End()->attempt(), source.body_as_End()->chunks()});
    case fbs::Body::Refused: {
        const fbs::Refused& body = *source.body_as_Refused();
        return message(refused{body.attempt(), body.reason(), body.retry_after_ms(), text(body.redirect())});
    }
    case fbs::Body::Failed:
        return message(failed{source.body_as_Failed()->attempt(), text(source.body_as_Failed()->detail())});
    case fbs::Body::Cancel:
        return message(cancel{source.body_as_Cancel()->attempt()});
    case fbs::Body::Cancelled:
        return message(
            cancelled{source.body_as_Cancelled()->attempt(), source.body_as_Cancelled()->not_run()});
    case fbs::Body::Credit:
        return message(credit{source.body_as_Credit()->attempt(), source.body_as_Credit()->bytes()});
    case fbs::Body::KeyRequest:
        return message(key_request{source.body_as_KeyRequest()->attempt()});
    case fbs::Body::KeyIssued:
        return message(
            key_issued{source.body_as_KeyIssued()->attempt(), text(source.body_as_KeyIssued()->key())});
    case fbs::Body::ConfigFetch:
        return message(config_fetch{});
    case fbs::Body::ConfigState:
        return message(config_state{text(source.body_as_ConfigState()->state())});
    case fbs::Body::DropRequest:
        return message(drop_request{source.body_as_DropRequest()->request(),
                                    text(source.body_as_DropRequest()->item())});
    case fbs::Body::DropReply:
        return message(
            drop_reply{source.body_as_DropReply()->request(), source.body_as_DropReply()->granted()});
    default:
        return failure(unknown_message());
    }
}

} // namespace

result<frame> decode_frame(std::span<const std::uint8_t> bytes) {
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), max_depth, max_tables);
    if (bytes.size() < sizeof(std::uint32_t) || !fbs::VerifyFrameBuffer(verifier)) {
        return error{error_kind::invalid, "the frame is malformed", "close the connection and reconnect"};
    }
    const fbs::Frame& root = *fbs::GetFrame(bytes.data());
    if (root.body() == nullptr) {
        return unknown_message();
    }
    result<message> body = convert_body(root);
    if (!ok(body)) {
        return failure(body);
    }
    return frame{root.config_version(), std::move(value(body))};
}

} // namespace tamarack::wire
