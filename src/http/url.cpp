#include "tamarack/http.hpp"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <boost/url/src.hpp> // compiles Boost.URL here

namespace tamarack::http {

namespace urls = boost::urls;

std::string make_target(std::string_view path, const std::vector<query_parameter>& parameters) {
    std::string target(path);
    char separator = '?';
    for (const auto& [name, value] : parameters) {
        target += separator + urls::encode(name, urls::unreserved_chars) + "=" +
                  urls::encode(value, urls::unreserved_chars);
        separator = '&';
    }
    return target;
}

std::optional<std::string> request::decoded_query(std::string_view name) const {
    const auto encoded = query(name);
    if (!encoded) {
        return std::nullopt;
    }
    const auto decodable = urls::make_pct_string_view(*encoded);
    return decodable ? std::optional(decodable->decode()) : std::nullopt;
}

} // namespace tamarack::http
