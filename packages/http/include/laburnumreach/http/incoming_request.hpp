#ifndef LABURNUMREACH_HTTP_INCOMING_REQUEST_HPP
#define LABURNUMREACH_HTTP_INCOMING_REQUEST_HPP

#include "laburnumreach/http/message_head.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace laburnumreach::http
{

/// Result of reading a part of a request body.
enum class body_status : std::uint8_t
{
    data,         ///< Some bytes were read.
    end,          ///< The whole body has been read.
    timed_out,    ///< The caller sent nothing within the read timeout.
    disconnected, ///< The caller or stop() closed the connection.
    malformed,    ///< The chunk framing is broken.
};

/// A part of a request body.
struct body_chunk
{
    body_status status = body_status::end;
    std::size_t size = 0; ///< Bytes written to the buffer, for body_status::data.
};

/// A request whose handler runs. Used by the handler's thread only, except caller_gone.
class incoming_request
{
public:
    incoming_request() = default;
    incoming_request(const incoming_request&) = delete;
    incoming_request& operator=(const incoming_request&) = delete;
    virtual ~incoming_request() = default;

    /// Returns method, target and header fields. Strictly checked.
    virtual const request_head& head() const noexcept = 0;

    /// Returns the IP number of the caller.
    virtual const std::string& peer_address() const noexcept = 0;

    /// Returns the announced length of the body in bytes: zero without a body, no value for a chunked body.
    std::optional<std::uint64_t> body_length() const noexcept
    {
        const body_framing& framing = this->head().framing;
        if (framing.type == body_framing::kind::chunked)
        {
            return std::nullopt;
        }
        return framing.length;
    }

    /// Reads the next part of the body. Waits at most the read timeout for it. The first call answers an
    /// Expect: 100-continue. A handler that returns before the end is taken to refuse the body, and the
    /// connection is closed after the response.
    /// @param buffer where the bytes go; not empty
    virtual body_chunk read_body(std::span<char> buffer) = 0;

    /// Returns whether the caller closed its connection, without consuming bytes. One system call.
    virtual bool caller_gone() const noexcept = 0;

    /// Returns the caller's socket, only to be watched for a hang-up (outgoing_request::cancel_on_hangup).
    virtual int descriptor() const noexcept = 0;
};

} // namespace laburnumreach::http

#endif
