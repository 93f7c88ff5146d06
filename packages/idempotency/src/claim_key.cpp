#include "laburnumreach/idempotency/claim_key.hpp"

#include <algorithm>
#include <cassert>
#include <cstring>
#include <openssl/evp.h>
#include <string>

namespace laburnumreach::idempotency
{

bool valid_idempotency_key(std::string_view value) noexcept
{
    return !value.empty() && value.size() <= max_idempotency_key_length &&
           std::all_of(value.begin(), value.end(),
                       [](char character) { return character > ' ' && character <= '~'; });
}

claim_key make_claim_key(std::string_view tenant, std::string_view route, std::string_view idempotency_key)
{
    assert(valid_idempotency_key(idempotency_key));
    // The lengths separate the parts, so that no other split of the same characters gives the same text.
    std::string text;
    for (const std::string_view part : {tenant, route, idempotency_key})
    {
        text.append(std::to_string(part.size())).append(":").append(part);
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
    [[maybe_unused]] const int done =
        ::EVP_Digest(text.data(), text.size(), hash.data(), nullptr, ::EVP_sha256(), nullptr);
    assert(done == 1);
    claim_key key;
    std::copy_n(hash.begin(), key.digest.size(), key.digest.begin());
    return key;
}

std::size_t slot_of(const claim_key& key) noexcept
{
    return key.digest.front() % slot_count;
}

std::size_t claim_key_hash::operator()(const claim_key& key) const noexcept
{
    std::size_t value = 0;
    std::memcpy(&value, key.digest.data() + key.digest.size() - sizeof(value), sizeof(value));
    return value;
}

} // namespace laburnumreach::idempotency
