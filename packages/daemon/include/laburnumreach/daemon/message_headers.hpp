#ifndef LABURNUMREACH_DAEMON_MESSAGE_HEADERS_HPP
#define LABURNUMREACH_DAEMON_MESSAGE_HEADERS_HPP

#include "laburnumreach/core/verdict.hpp"
#include "laburnumreach/daemon/call_context.hpp"
#include "laburnumreach/http/headers.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace laburnumreach::daemon
{

inline const std::string call_header_name = "Laburnum-Call";
inline const std::string envelope_header_name = "Laburnum-Envelope";
inline const std::string request_id_header_name = "Laburnum-Request-Id";
inline const std::string verdict_header_name = "Laburnum-Verdict";
inline const std::string reason_header_name = "Laburnum-Reason";
inline const std::string idempotency_key_header_name = "Idempotency-Key";

/// Returns the headers of a request to the upstream: the given ones and those that describe the call.
http::headers upstream_headers(const call_context& call, const http::headers& fields, std::string_view handle,
                               core::time_point now);

/// Removes all `Laburnum-*` headers.
void remove_own_headers(http::headers& fields);

/// Removes all `Laburnum-*` headers from an upstream's answer.
/// @returns the reason that the upstream passed on from one of its own calls, or none
core::reason take_reported_reason(http::headers& fields);

/// Reads outcome and reason that a daemon set in an answer.
/// @returns no value when either header is missing or unknown
std::optional<core::verdict> read_verdict(const http::headers& fields);

} // namespace laburnumreach::daemon

#endif
