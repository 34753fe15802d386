#include "tamarack/wire.hpp"
#include "wire/frame_generated.h"

#include <algorithm>

namespace tamarack::wire {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr std::size_t length_bytes = 4;

Offset<flatbuffers::String> text(FlatBufferBuilder& builder, const std::string& value) {
    return value.empty() ? Offset<flatbuffers::String>() : builder.CreateString(value);
}

Offset<flatbuffers::Vector<std::uint8_t>> bytes(FlatBufferBuilder& builder, const std::string& value) {
    return builder.CreateVector(reinterpret_cast<const std::uint8_t*>(value.data()), value.size());
}

struct encoded_body {
    fbs::Body type_;
    Offset<void> offset_;
};

// One overload for each message.
struct body_encoder {
    FlatBufferBuilder& builder_;

    encoded_body operator()(const hello& one) const {
        const auto id = text(builder_, one.id_);
        const auto role = text(builder_, one.role_);
        return {fbs::Body::Hello,
                fbs::CreateHello(builder_, one.protocol_, id, role, one.incarnation_).Union()};
    }
    encoded_body operator()(const status& one) const {
        const auto resident = builder_.CreateVectorOfStrings(one.resident_);
        return {fbs::Body::Status,
                fbs::CreateStatus(builder_, one.incarnation_, one.leaving_, one.queued_, one.running_,
                                  one.wait_ms_, one.clock_ms_, resident, one.same_items_)
                    .Union()};
    }
    encoded_body operator()(const submit& one) const {
        const auto method = text(builder_, one.method_);
        const auto path = text(builder_, one.path_);
        const auto content_type = text(builder_, one.content_type_);
        const auto organisation = text(builder_, one.organisation_);
        const auto model = text(builder_, one.model_);
        const auto key = text(builder_, one.key_);
        const auto body = bytes(builder_, one.body_);
        return {fbs::Body::Submit,
                fbs::CreateSubmit(builder_, one.attempt_, method, path, content_type, organisation, model,
                                  one.class_, one.budget_ms_, one.idempotent_, key, one.key_issued_ms_,
                                  one.kv_tokens_, body)
                    .Union()};
    }
    encoded_body operator()(const head& one) const {
        const auto content_type = text(builder_, one.content_type_);
        const auto item = text(builder_, one.item_);
        return {fbs::Body::Head,
                fbs::CreateHead(builder_, one.attempt_, one.status_, content_type, item).Union()};
    }
    encoded_body operator()(const chunk& one) const {
        const auto data = bytes(builder_, one.data_);
        return {fbs::Body::Chunk, fbs::CreateChunk(builder_, one.attempt_, one.sequence_, data).Union()};
    }
    encoded_body operator()(const end& one) const {
        return {fbs::Body::End, fbs::CreateEnd(builder_, one.attempt_, one.chunks_).Union()};
    }
    encoded_body operator()(const refused& one) const {
        const auto redirect = text(builder_, one.redirect_);
        return {
            fbs::Body::Refused,
            fbs::CreateRefused(builder_, one.attempt_, one.reason_, one.retry_after_ms_, redirect).Union()};
    }
    encoded_body operator()(const failed& one) const {
        const auto detail = text(builder_, one.detail_);
        return {fbs::Body::Failed, fbs::CreateFailed(builder_, one.attempt_, detail).Union()};
    }
    encoded_body operator()(const cancel& one) const {
        return {fbs::Body::Cancel, fbs::CreateCancel(builder_, one.attempt_).Union()};
    }
    encoded_body operator()(const cancelled& one) const {
        return {fbs::Body::Cancelled, fbs::CreateCancelled(builder_, one.attempt_, one.not_run_).Union()};
    }
    encoded_body operator()(const credit& one) const {
        return {fbs::Body::Credit, fbs::CreateCredit(builder_, one.attempt_, one.bytes_).Union()};
    }
    encoded_body operator()(const key_request& one) const {
        return {fbs::Body::KeyRequest, fbs::CreateKeyRequest(builder_, one.attempt_).Union()};
    }
    encoded_body operator()(const key_issued& one) const {
        const auto key = text(builder_, one.key_);
        return {fbs::Body::KeyIssued, fbs::CreateKeyIssued(builder_, one.attempt_, key).Union()};
    }
    encoded_body operator()(const config_fetch&) const {
        return {fbs::Body::ConfigFetch, fbs::CreateConfigFetch(builder_).Union()};
    }
    encoded_body operator()(const config_state& one) const {
        const auto state = text(builder_, one.state_);
        return {fbs::Body::ConfigState, fbs::CreateConfigState(builder_, state).Union()};
    }
    encoded_body operator()(const drop_request& one) const {
        const auto item = text(builder_, one.item_);
        return {fbs::Body::DropRequest, fbs::CreateDropRequest(builder_, one.request_, item).Union()};
    }
    encoded_body operator()(const drop_reply& one) const {
        return {fbs::Body::DropReply, fbs::CreateDropReply(builder_, one.request_, one.granted_).Union()};
    }
};

} // namespace

std::vector<std::uint8_t> encode_frame(const frame& one) {
    FlatBufferBuilder builder(512);
    const encoded_body body = std::visit(body_encoder{builder}, one.message_);
    builder.Finish(fbs::CreateFrame(builder, one.config_version_, body.type_, body.offset_));
    const std::uint32_t size = builder.GetSize();
    std::vector<std::uint8_t> wire_bytes(length_bytes + size);
    for (std::size_t index = 0; index < length_bytes; ++index) {
        wire_bytes[index] = std::uint8_t(size >> (8 * index));
    }
    std::copy_n(builder.GetBufferPointer(), size, wire_bytes.begin() + length_bytes);
    return wire_bytes;
}

} // namespace tamarack::wire
