#include "gateway/suspects.hpp"

#include "http/message_parser.hpp"
#include "tamarack/quarantine.hpp"

namespace tamarack::gateway {

std::vector<std::string> name_suspects(const http::request& incoming, const request_metadata& metadata,
                                       std::string_view organisation) {
    const http::header* credentials = http::find_header(incoming.headers_, "Authorization");
    quarantine::request_identity identity;
    identity.method_ = incoming.method_;
    identity.host_ = metadata.host_;
    identity.target_ = incoming.target_;
    identity.caller_ = !organisation.empty()    ? organisation
                       : credentials == nullptr ? std::string_view()
                                                : std::string_view(credentials->value_);
    identity.body_ = incoming.body_;
    std::vector<std::string> suspects;
    std::string prompt;
    for (std::size_t index = 0; index + 1 < metadata.prompt_parts_.size(); ++index) {
        suspects.push_back(quarantine::part_name(metadata.prompt_parts_[index].first));
        prompt += suspects.back() + ",";
    }
    identity.prompt_ = prompt;
    suspects.insert(suspects.begin(), quarantine::request_name(identity));
    return suspects;
}

} // namespace tamarack::gateway
