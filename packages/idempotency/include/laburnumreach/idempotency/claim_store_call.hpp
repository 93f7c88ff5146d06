#ifndef LABURNUMREACH_IDEMPOTENCY_CLAIM_STORE_CALL_HPP
#define LABURNUMREACH_IDEMPOTENCY_CLAIM_STORE_CALL_HPP

#include <cstdint>
#include <string>

namespace laburnumreach::idempotency
{

/// Kind of a call to the object store.
enum class store_call_kind : std::uint8_t
{
    read,
    write, ///< Conditional on the expected version.
};

/// A call to the object store that the driver of a claim_committer is to make.
struct store_call
{
    std::uint64_t id = 0; ///< Unique within a committer; repeated in the result.
    store_call_kind kind = store_call_kind::read;
    std::string object;                 ///< Name of the object, "once/<slot>".
    std::uint64_t expected_version = 0; ///< For writes: zero when the object must not exist.
    std::string value;                  ///< For writes.
};

/// How a call to the object store ended.
enum class store_status : std::uint8_t
{
    ok,
    not_found, ///< Reads only.
    conflict,  ///< Writes only: the object has another version.
    /// Proven to have had no effect, now or later. A write that was sent counts as unavailable only when the
    /// store answered that it refused it.
    unavailable,
    outcome_unknown, ///< The write may have taken effect, or may still do so.
};

/// Result of a store_call.
struct store_result
{
    std::uint64_t id = 0;
    store_status status = store_status::unavailable;
    std::uint64_t version = 0; ///< With ok: the version read or written.
    std::string value;         ///< With ok: the value read.
};

} // namespace laburnumreach::idempotency

#endif
