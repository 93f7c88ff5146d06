#include "laburnumreach/platform/operation_id.hpp"

#include "laburnumreach/core/hex.hpp"

#include <array>

namespace laburnumreach::platform
{

std::string make_operation_id(core::random_source& random)
{
    std::array<std::uint8_t, 16> bytes{};
    for (std::uint8_t& byte : bytes)
    {
        byte = static_cast<std::uint8_t>(random.below(256));
    }
    return core::to_hex(bytes);
}

} // namespace laburnumreach::platform
