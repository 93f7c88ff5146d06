#include "laburnumreach/daemon/random_id.hpp"

#include "laburnumreach/core/hex.hpp"

#include <array>
#include <cstdlib>
#include <cstring>
#include <openssl/rand.h>

namespace laburnumreach::daemon
{

namespace
{

template <std::size_t Size>
std::array<unsigned char, Size> random_bytes()
{
    std::array<unsigned char, Size> bytes{};
    if (::RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
    {
        // Without randomness handles could be guessed, so the process must not go on.
        std::abort();
    }
    return bytes;
}

} // namespace

std::string make_random_id()
{
    return core::to_hex(random_bytes<16>());
}

std::uint64_t make_random_number()
{
    const auto bytes = random_bytes<sizeof(std::uint64_t)>();
    std::uint64_t number = 0;
    std::memcpy(&number, bytes.data(), sizeof number);
    return number;
}

} // namespace laburnumreach::daemon
