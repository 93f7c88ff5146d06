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
    data,         ///< At least one byte was read.
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

/// The request passed to a handler. To be used by the handler's thread only, except caller_gone.
class incoming_request
{
public:
    incoming_request() = default;
    incoming_request(const incoming_request&) = delete;
    incoming_request& operator=(const incoming_request&) = delete;
    virtual ~incoming_request() = default;

    /// Returns the validated method, target and header fields.
    virtual const request_head& head() const noexcept = 0;

    /// Returns the IP address of the caller.
    virtual const std::string& peer_address() const noexcept = 0;

    /// Returns the declared length of the body in bytes: zero without a body, no value for a chunked body.
    std::optional<std::uint64_t> body_length() const noexcept
    {
        const body_framing& framing = this->head().framing;
        if (framing.type == body_framing::kind::chunked)
        {
            return std::nullopt;
        }
        return framing.length;
    }

    /// Reads the next part of the body, waiting at most the read timeout. The first call answers
    /// Expect: 100-continue. If the handler returns before the end of the body, the connection is closed
    /// after the response.
    /// @param buffer receives the bytes; must not be empty
    virtual body_chunk read_body(std::span<char> buffer) = 0;

    /// Returns whether the caller closed or reset its connection. Consumes no bytes; costs one system call.
    virtual bool caller_gone() const noexcept = 0;

    /// Returns the descriptor of the caller's socket, for hang-up detection only
    /// (outgoing_request::cancel_on_hangup).
    virtual int descriptor() const noexcept = 0;
};

} // namespace laburnumreach::http

#endif
