#ifndef LABURNUMREACH_HTTP_REQUEST_WRITER_HPP
#define LABURNUMREACH_HTTP_REQUEST_WRITER_HPP

#include "laburnumreach/http/endpoint.hpp"
#include "laburnumreach/http/outgoing_request.hpp"

#include <optional>
#include <string>

namespace laburnumreach::http
{

/// Serializes the request line and header fields of a request.
/// @returns no value when the method, the target or a field is not valid and could change the framing
std::optional<std::string> write_request_head(const endpoint& destination, const outgoing_request& request);

} // namespace laburnumreach::http

#endif
