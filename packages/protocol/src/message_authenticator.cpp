#include "laburnumreach/protocol/message_authenticator.hpp"

#include <cassert>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace laburnumreach::protocol
{

message_authenticator::message_authenticator(std::string_view fleet_secret) : secret(fleet_secret)
{
    assert(fleet_secret.size() >= 16);
}

message_authenticator::code message_authenticator::sign(std::span<const std::uint8_t> message) const
{
    code result{};
    unsigned int size = 0;
    ::HMAC(::EVP_sha256(), this->secret.data(), static_cast<int>(this->secret.size()), message.data(),
           message.size(), result.data(), &size);
    assert(size == code_bytes);
    return result;
}

bool message_authenticator::verify(std::span<const std::uint8_t> message,
                                   std::span<const std::uint8_t> expected) const
{
    if (expected.size() != code_bytes)
    {
        return false;
    }
    const code actual = this->sign(message);
    return ::CRYPTO_memcmp(actual.data(), expected.data(), code_bytes) == 0;
}

} // namespace laburnumreach::protocol
