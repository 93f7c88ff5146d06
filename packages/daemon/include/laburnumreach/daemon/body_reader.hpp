#ifndef LABURNUMREACH_DAEMON_BODY_READER_HPP
#define LABURNUMREACH_DAEMON_BODY_READER_HPP

#include "laburnumreach/core/reason.hpp"
#include "laburnumreach/daemon/body_budget.hpp"
#include "laburnumreach/daemon/call_cancellation.hpp"
#include "laburnumreach/http/incoming_request.hpp"

#include <cstdint>
#include <string>

namespace laburnumreach::daemon
{

/// Reads a whole request body.
/// @param limit_bytes longest body accepted
/// @param reservation takes the bytes from the daemon's budget
/// @param cancellation ends the reading between two parts, for example when the key is withdrawn
/// @param body receives the bytes
/// @returns none, or why the body was refused
core::reason read_whole_body(http::incoming_request& request, std::uint64_t limit_bytes,
                             body_budget::reservation& reservation, const call_cancellation& cancellation,
                             std::string& body);

} // namespace laburnumreach::daemon

#endif
