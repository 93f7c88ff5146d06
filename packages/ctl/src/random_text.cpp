#include "laburnumreach/ctl/random_text.hpp"

#include "laburnumreach/core/hex.hpp"

#include <array>
#include <cassert>
#include <openssl/rand.h>
#include <span>
#include <stdexcept>

namespace laburnumreach::ctl
{

std::string random_hex(std::size_t bytes)
{
    std::array<std::uint8_t, 64> buffer{};
    assert(bytes <= buffer.size());
    if (::RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1)
    {
        throw std::runtime_error{"no random bytes from the system"};
    }
    return core::to_hex(std::span{buffer}.first(bytes));
}

} // namespace laburnumreach::ctl
