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

    encoded_body operator()(const hello& source) const {
        const auto id = text(builder_, source.id_);
        const auto role = text(builder_, source.role_);
        return {fbs::Body::Hello,
                fbs::CreateHello(builder_, source.protocol_, id, role, source.incarnation_).Union()};
    }
    encoded_body operator()(const status& source) const {
        const auto resident = builder_.CreateVectorOfStrings(source.resident_);
        return {fbs::Body::Status, fbs::CreateStatus(builder_, source.incarnation_, source.leaving_,
                                                     source.queued_, source.running_, source.wait_ms_,
                                                     source.clock_ms_, resident, source.same_items_)
                                       .Union()};
    }
    encoded_body operator()(const submit& source) const {
        const auto method = text(builder_, source.method_);
        const auto path = text(builder_, source.path_);
        const auto content_type = text(builder_, source.content_type_);
        const auto organisation = text(builder_, source.organisation_);
        const auto model = text(builder_, source.model_);
        const auto key = text(builder_, source.key_);
        const auto body = bytes(builder_, source.body_);
        return {fbs::Body::Submit,
                fbs::CreateSubmit(builder_, source.attempt_, method, path, content_type, organisation, model,
                                  source.class_, source.budget_ms_, source.idempotent_, key,
                                  source.key_issued_ms_, source.kv_tokens_, body)
                    .Union()};
    }
    encoded_body operator()(const head& source) const {
        const auto content_type = text(builder_, source.content_type_);
        const auto item = text(builder_, source.item_);
        return {fbs::Body::Head,
                fbs::CreateHead(builder_, source.attempt_, source.status_, content_type, item).Union()};
    }
    encoded_body operator()(const chunk& source) const {
        const auto data = bytes(builder_, source.data_);
        return {fbs::Body::Chunk,
                fbs::CreateChunk(builder_, source.attempt_, source.sequence_, data).Union()};
    }
    encoded_body operator()(const end& source) const {
        return {fbs::Body::End, fbs::CreateEnd(builder_, source.attempt_, source.chunks_).Union()};
    }
    encoded_body operator()(const refused& source) const {
        const auto redirect = text(builder_, source.redirect_);
        return {fbs::Body::Refused, fbs::CreateRefused(builder_, source.attempt_, source.reason_,
                                                       source.retry_after_ms_, redirect)
                                        .Union()};
    }
    encoded_body operator()(const failed& source) const {
        const auto detail = text(builder_, source.detail_);
        return {fbs::Body::Failed, fbs::CreateFailed(builder_, source.attempt_, detail).Union()};
    }
    encoded_body operator()(const cancel& source) const {
        return {fbs::Body::Cancel, fbs::CreateCancel(builder_, source.attempt_).Union()};
    }
    encoded_body operator()(const cancelled& source) const {
        return {fbs::Body::Cancelled,
                fbs::CreateCancelled(builder_, source.attempt_, source.not_run_).Union()};
    }
    encoded_body operator()(const credit& source) const {
        return {fbs::Body::Credit, fbs::CreateCredit(builder_, source.attempt_, source.bytes_).Union()};
    }
    encoded_body operator()(const key_request& source) const {
        return {fbs::Body::KeyRequest, fbs::CreateKeyRequest(builder_, source.attempt_).Union()};
    }
    encoded_body operator()(const key_issued& source) const {
        const auto key = text(builder_, source.key_);
        return {fbs::Body::KeyIssued, fbs::CreateKeyIssued(builder_, source.attempt_, key).Union()};
    }
    encoded_body operator()(const config_fetch&) const {
        return {fbs::Body::ConfigFetch, fbs::CreateConfigFetch(builder_).Union()};
    }
    encoded_body operator()(const config_state& source) const {
        const auto state = text(builder_, source.state_);
        return {fbs::Body::ConfigState, fbs::CreateConfigState(builder_, state).Union()};
    }
    encoded_body operator()(const drop_request& source) const {
        const auto item = text(builder_, source.item_);
        return {fbs::Body::DropRequest, fbs::CreateDropRequest(builder_, source.request_, item).Union()};
    }
    encoded_body operator()(const drop_reply& source) const {
        return {fbs::Body::DropReply,
                fbs::CreateDropReply(builder_, source.request_, source.granted_).Union()};
    }
};

} // namespace

std::vector<std::uint8_t> encode_frame(const frame& source) {
    FlatBufferBuilder builder(512);
    const encoded_body body = std::visit(body_encoder{builder}, source.message_);
    builder.Finish(fbs::CreateFrame(builder, source.config_version_, body.type_, body.offset_));
    const std::uint32_t size = builder.GetSize();
    std::vector<std::uint8_t> wire_bytes(length_bytes + size);
    for (std::size_t index = 0; index < length_bytes; ++index) {
        wire_bytes[index] = std::uint8_t(size >> (8 * index));
    }
    std::copy_n(builder.GetBufferPointer(), size, wire_bytes.begin() + length_bytes);
    return wire_bytes;
}

} // namespace tamarack::wire
