#ifndef LABURNUMREACH_HTTP_HEADERS_HPP
#define LABURNUMREACH_HTTP_HEADERS_HPP

#include <httplib.h>
#include <string>
#include <string_view>

namespace laburnumreach::http
{

/// Header fields. Names are case-insensitive; fields of the same name keep their order.
using headers = httplib::Headers;

/// Returns the value of the first field with this name, or an empty view.
std::string_view find_header(const headers& fields, const std::string& name);

/// Returns whether a comma-separated list field contains a token, ignoring case.
bool has_token(const headers& fields, const std::string& name, std::string_view token);

/// Returns whether two names or tokens are equal, ignoring ASCII case.
bool equal_ignoring_case(std::string_view left, std::string_view right) noexcept;

/// Returns the text with ASCII letters in lower case.
std::string lower_case(std::string_view text);

/// Returns whether the name is a valid token and the value has no control character but tab, so that the
/// field cannot change the framing of the message.
bool is_valid_field(std::string_view name, std::string_view value) noexcept;

/// Removes the fields that apply to one connection only: Connection and the fields it names, Keep-Alive, the
/// Proxy-* fields, TE, Trailer, Transfer-Encoding, Upgrade, Expect and Content-Length.
void remove_hop_by_hop(headers& fields);

} // namespace laburnumreach::http

#endif
