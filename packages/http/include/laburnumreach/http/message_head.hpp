#ifndef LABURNUMREACH_HTTP_MESSAGE_HEAD_HPP
#define LABURNUMREACH_HTTP_MESSAGE_HEAD_HPP

#include "laburnumreach/http/body_framing.hpp"
#include "laburnumreach/http/headers.hpp"
#include "laburnumreach/http/message_error.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace laburnumreach::http
{

/// Request line and header fields. Values are not decoded.
struct request_head
{
    std::string method{};
    std::string target{}; ///< Origin form: path and query.
    http::headers headers{};
    body_framing framing{};
    bool keep_alive = true;
    bool expects_continue = false;
};

/// Status line and header fields of a response.
struct response_head
{
    int status = 0;
    http::headers headers{};
    body_framing framing{};
    bool keep_alive = true;
};

/// Looks for the empty line that ends a head.
/// @param bytes all bytes received so far
/// @param scanned number of bytes already searched, updated by each call; initially zero
/// @param limit largest head in bytes
/// @returns the size of the head with its empty line, or zero when more bytes are needed
tl::expected<std::size_t, message_error> find_head_end(std::string_view bytes, std::size_t& scanned,
                                                       std::size_t limit);

/// Parses a head found by find_head_end. Rejects everything that two parsers could interpret differently, to
/// prevent request smuggling.
///
/// cpp-httplib's parser is not used: it decodes %XX in header values, so that %0d%0a would become a line
/// break in the forwarded request, and it accepts repeated Content-Length fields.
tl::expected<request_head, message_error> parse_request_head(std::string_view head);

/// Parses the head of a response.
/// @param to_head_request whether the response answers a HEAD request and therefore has no body
tl::expected<response_head, message_error> parse_response_head(std::string_view head, bool to_head_request);

/// Returns whether the head of a response, read by a library that accepts others too, is well-formed and
/// tells where the body ends, so that a body that was cut off is not taken for a whole one.
bool has_definite_end(int status, const headers& fields);

} // namespace laburnumreach::http

#endif
