#ifndef LABURNUMREACH_HTTP_BODY_FRAMING_HPP
#define LABURNUMREACH_HTTP_BODY_FRAMING_HPP

#include <cstdint>

namespace laburnumreach::http
{

/// How the end of a message body is determined.
struct body_framing
{
    enum class kind : std::uint8_t
    {
        none,        ///< The message has no body.
        length,      ///< Content-Length.
        chunked,     ///< Transfer-Encoding: chunked.
        until_close, ///< Responses only: no framing field, so a truncated body cannot be detected.
    };

    kind type = kind::none;
    std::uint64_t length = 0; ///< Bytes, for kind::length.
};

} // namespace laburnumreach::http

#endif
