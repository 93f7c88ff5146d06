#ifndef LABURNUMREACH_HTTP_MESSAGE_ERROR_HPP
#define LABURNUMREACH_HTTP_MESSAGE_ERROR_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace laburnumreach::http
{

/// Why a message was rejected while it was parsed.
enum class message_error : std::uint8_t
{
    malformed_start_line,
    unknown_version,
    target_not_origin_form, ///< Absolute form, asterisk form, CONNECT, or characters outside visible ASCII.
    bare_line_break,        ///< LF without CR.
    control_character,      ///< A control character, including CR without LF, in a header.
    malformed_field,        ///< No colon, white space before the colon, a folded line or an invalid name.
    head_too_large,
    host_missing,
    host_repeated,
    host_malformed,
    length_repeated,
    length_malformed, ///< Content-Length that is not a plain decimal number.
    length_and_transfer_encoding,
    transfer_encoding_unsupported, ///< Anything but a single "chunked", or any in HTTP/1.0.
    body_malformed,                ///< Invalid chunk framing.
};

/// Number of values of message_error.
inline constexpr std::size_t message_error_count =
    static_cast<std::size_t>(message_error::body_malformed) + 1;

/// Returns the name used in metric labels.
std::string_view to_string(message_error value) noexcept;

} // namespace laburnumreach::http

#endif
