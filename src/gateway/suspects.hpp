// Names what of a request may end the engine that runs it.
#pragma once

#include "gateway/head_rewrite.hpp"

namespace tamarack::gateway {

// The request itself, which keeps its name when its caller sends it again with another id, and the parts of
// its prompt that other requests may have too. The caller is the one that the credentials name. Without any,
// it has no name, since its address may be that of a proxy or change from one connection to the next.
std::vector<std::string> name_suspects(const http::request& incoming, const request_metadata& metadata,
                                       std::string_view organisation);

} // namespace tamarack::gateway
