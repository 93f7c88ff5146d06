#ifndef LABURNUMREACH_PLATFORM_OPERATION_ID_HPP
#define LABURNUMREACH_PLATFORM_OPERATION_ID_HPP

#include "laburnumreach/core/random_source.hpp"

#include <string>

namespace laburnumreach::platform
{

/// Returns a new operation id of 128 random bits in hex digits. Seed the source differently in each process:
/// equal ids would let a writer mistake another's write for its own.
std::string make_operation_id(core::random_source& random);

} // namespace laburnumreach::platform

#endif
