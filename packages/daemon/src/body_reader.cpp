#include "laburnumreach/daemon/body_reader.hpp"

#include <array>

namespace laburnumreach::daemon
{

core::reason read_whole_body(http::incoming_request& request, std::uint64_t limit_bytes,
                             body_budget::reservation& reservation, const call_cancellation& cancellation,
                             std::string& body)
{
    const std::optional<std::uint64_t> announced = request.body_length();
    if (announced && *announced > limit_bytes)
    {
        return core::reason::body_too_large;
    }
    if (announced && !reservation.extend(*announced))
    {
        return core::reason::body_budget_exhausted;
    }
    body.reserve(announced.value_or(0));
    std::array<char, 16 * 1024> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by read_body
    while (true)
    {
        const http::body_chunk chunk = request.read_body(buffer);
        if (const core::reason why = cancellation.why(); why != core::reason::none)
        {
            return why;
        }
        switch (chunk.status)
        {
        case http::body_status::end:
            return core::reason::none;
        case http::body_status::timed_out:
        case http::body_status::disconnected:
            return core::reason::cancelled;
        case http::body_status::malformed:
            return core::reason::bad_request;
        case http::body_status::data:
            break;
        }
        if (body.size() + chunk.size > limit_bytes)
        {
            return core::reason::body_too_large;
        }
        if (!announced && !reservation.extend(chunk.size))
        {
            return core::reason::body_budget_exhausted;
        }
        body.append(buffer.data(), chunk.size);
    }
}

} // namespace laburnumreach::daemon
