#ifndef LABURNUMREACH_IDEMPOTENCY_SRC_SLOT_CODEC_HPP
#define LABURNUMREACH_IDEMPOTENCY_SRC_SLOT_CODEC_HPP

#include "laburnumreach/idempotency/claim_slot.hpp"

#include <tl/expected.hpp>

namespace laburnumreach::idempotency::slot_codec
{

/// Fields of a slot object. The record fields are stored in columns, which saves the array header and the
/// separate key of each record.
struct slot_fields
{
    std::uint64_t generation = 0;
    std::uint64_t writes = 0;
    operation_id operation;
    std::vector<process_id> processes;
    std::vector<claim_record> records;
};

/// Returns an upper bound of the encoded size in bytes.
std::size_t encoded_bound(std::size_t records, std::size_t processes, std::size_t process_bytes) noexcept;

/// Returns the object value.
std::string encode(const slot_fields& fields);

/// Parses an object value.
/// @returns a message for operators when the value is no slot
tl::expected<slot_fields, std::string_view> decode(std::string_view value);

} // namespace laburnumreach::idempotency::slot_codec

#endif
