#ifndef LABURNUMREACH_SIDECAR_RESPONSE_END_HPP
#define LABURNUMREACH_SIDECAR_RESPONSE_END_HPP

#include "laburnumreach/http/body_decoder.hpp"
#include "laburnumreach/sidecar/receive_buffer.hpp"

namespace laburnumreach::sidecar
{

/// How far a request was written to its connection.
enum class request_write : std::uint8_t
{
    in_progress,
    done,
    failed, ///< The connection was reset or failed. The system reports that once, here or to a read.
};

/// Whether a response is complete.
enum class response_state : std::uint8_t
{
    reading,    ///< Bytes may follow.
    undecided,  ///< No bytes follow, and the end of the write tells whether the response is complete.
    complete,   ///< Its framing says so.
    incomplete, ///< It ended early, or its framing is malformed.
};

/// Decides whether a response whose head was read is complete.
///
/// The framing alone says where a body with a length or in chunks ends. A body without both ends with the
/// connection, which is a regular end only if the connection was not reset: after a reset that a write has
/// taken, a read reports the same as after a regular close.
/// @param framing the framing of the response
/// @param body state of its decoder; not used for kind::until_close
/// @param connection state of the connection after the last read
/// @param request state of the request's write
response_state judge_response(http::body_framing::kind framing, http::body_decoder::state body,
                              receive_result connection, request_write request);

} // namespace laburnumreach::sidecar

#endif
