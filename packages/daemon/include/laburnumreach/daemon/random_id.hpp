#ifndef LABURNUMREACH_DAEMON_RANDOM_ID_HPP
#define LABURNUMREACH_DAEMON_RANDOM_ID_HPP

#include <cstdint>
#include <string>

namespace laburnumreach::daemon
{

/// Returns 128 bits from the cryptographic generator in hex digits, so that ids and handles cannot be
/// guessed.
std::string make_random_id();

/// Returns 64 bits from the cryptographic generator.
std::uint64_t make_random_number();

} // namespace laburnumreach::daemon

#endif
