#ifndef LABURNUMREACH_HTTP_REQUEST_WRITER_HPP
#define LABURNUMREACH_HTTP_REQUEST_WRITER_HPP

#include "laburnumreach/http/endpoint.hpp"
#include "laburnumreach/http/outgoing_request.hpp"

#include <optional>
#include <string>

namespace laburnumreach::http
{

/// Writes the request line and fields of a request.
/// @returns no value when a part cannot be written without changing the framing
std::optional<std::string> write_request_head(const endpoint& destination, const outgoing_request& request);

} // namespace laburnumreach::http

#endif
