#ifndef LABURNUMREACH_SIDECAR_READ_FRAME_HPP
#define LABURNUMREACH_SIDECAR_READ_FRAME_HPP

#include "laburnumreach/sidecar/event_log.hpp"
#include "laburnumreach/sidecar/peer_messages.hpp"

#include <optional>
#include <span>
#include <string>

namespace laburnumreach::sidecar
{

/// Decodes the body of a frame from another daemon, and logs one that is malformed.
/// @param sender the other daemon, for the log; empty before it is known
/// @returns no value if the frame is malformed
template <typename Message>
std::optional<Message> read_frame(std::span<const std::uint8_t> body, const std::string& sender,
                                  event_log& log)
{
    std::optional<Message> message = decode_frame<Message>(body);
    if (!message)
    {
        log.request_event("peer_malformed_frame", {{"peer", sender}});
    }
    return message;
}

} // namespace laburnumreach::sidecar

#endif
