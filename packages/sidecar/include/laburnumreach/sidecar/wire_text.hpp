#ifndef LABURNUMREACH_SIDECAR_WIRE_TEXT_HPP
#define LABURNUMREACH_SIDECAR_WIRE_TEXT_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/http/headers.hpp"

#include <algorithm>
#include <cstdint>
#include <string>

namespace laburnumreach::sidecar
{

/// Returns whole milliseconds; zero for a time that is over.
inline std::uint32_t to_ms(core::duration value)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 0));
}

/// Returns header fields in wire form, without those that concern one connection only.
inline std::string end_to_end_fields(http::headers fields)
{
    http::remove_hop_by_hop(fields);
    std::string text;
    for (const auto& [name, value] : fields)
    {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    return text;
}

} // namespace laburnumreach::sidecar

#endif
