#ifndef LABURNUMREACH_CTL_RANDOM_TEXT_HPP
#define LABURNUMREACH_CTL_RANDOM_TEXT_HPP

#include <cstddef>
#include <string>

namespace laburnumreach::ctl
{

/// Random bytes of a tenant's key. 256 bits cannot be guessed, so a plain digest protects them.
inline constexpr std::size_t key_bytes = 32;

/// Returns hex digits of random bytes that are fit for secrets.
/// @param bytes number of random bytes, at most 64
/// @throws std::runtime_error when the system has no randomness
std::string random_hex(std::size_t bytes);

} // namespace laburnumreach::ctl

#endif
