#ifndef LABURNUMREACH_IDEMPOTENCY_CLAIM_SLOT_HPP
#define LABURNUMREACH_IDEMPOTENCY_CLAIM_SLOT_HPP

#include "laburnumreach/core/error.hpp"
#include "laburnumreach/idempotency/claim_key.hpp"
#include "laburnumreach/idempotency/claim_token.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumreach::idempotency
{

/// State of a claim record.
enum class claim_state : std::uint8_t
{
    claimed,
    finished,
    released, ///< Free for other tokens. Kept for a while so that late repeats of the token are refused.
};

/// One record of a slot.
struct claim_record
{
    claim_key key;
    std::uint64_t sequence = 0; ///< Sequence of the token.
    std::uint32_t owner = 0;    ///< Index of the owner process in the slot.
    std::uint8_t age = 0;       ///< Generations since the last change of the record.
    claim_state state = claim_state::claimed;
};

/// New content of one record.
struct claim_change
{
    claim_token token;
    claim_state state = claim_state::claimed;
};

/// New contents of records by key.
using claim_changes = std::map<claim_key, claim_change>;

/// Identifies one write of a slot.
struct operation_id
{
    std::uint64_t incarnation = 0; ///< Of the writing process.
    std::uint64_t sequence = 0;

    friend bool operator==(const operation_id&, const operation_id&) = default;
};

/// Settings of one write of a slot.
struct slot_write
{
    operation_id operation;
    /// Whether the generation ends with this write. All records age by one and old ones are dropped.
    bool ends_generation = false;
};

/// What a set of changes adds to a slot.
struct slot_growth
{
    std::size_t records = 0;       ///< Keys without a record so far.
    std::size_t processes = 0;     ///< Owners that the slot does not know yet.
    std::size_t process_bytes = 0; ///< Sum of the daemon id lengths of these owners.
};

/// Content of one slot object.
///
/// Time is counted in generations, because wall clocks of VMs step and differ. A writer may end a generation
/// only when its own monotonic clock says that it has known the generation for at least generation_length
/// (see claim_committer_options). Records change only by conditional updates, so a generation ends once. A
/// record that was last changed in generation g is dropped by the write that begins generation g + n. Each
/// generation between them lasted its full length, so the record was held at least (n - 1) x
/// generation_length, whatever the wall clocks said. retention_generations leaves one generation more than
/// the 10 min need, so that a single forward step of one monotonic clock does not drop records early either.
class claim_slot
{
public:
    /// Records of a slot at most.
    static constexpr std::size_t max_records = 20'000;
    /// A claimed or finished record is dropped at this age: held for at least 11 generations.
    static constexpr std::uint8_t retention_generations = 12;
    /// A released record is dropped at this age. Safety does not depend on it.
    static constexpr std::uint8_t released_generations = 2;
    /// Encoded size of a slot at most, in bytes; the platform accepts values up to 1 MB.
    static constexpr std::size_t max_encoded_bytes = 1'000'000;

    /// Parses an object value.
    /// @returns invalid_argument for a damaged value or another format; such a slot must not be written
    static core::result<claim_slot> decode(std::string_view value);

    /// Returns the value for the slot object: MessagePack in Base64.
    std::string encode() const;

    /// Returns the record of a key, or null.
    const claim_record* find(const claim_key& key) const noexcept;

    /// Returns the token that a record belongs to.
    claim_token token_of(const claim_record& record) const;

    /// Returns the process that owns a record.
    const process_id& owner_of(const claim_record& record) const { return this->processes[record.owner]; }

    /// Returns the content after a write.
    /// @param changes records to add or replace, within the bounds that has_room checks
    claim_slot updated(const claim_changes& changes, const slot_write& write) const;

    /// Returns whether changes with new keys fit, whatever the sequences are.
    bool has_room(const slot_growth& growth, std::size_t record_limit) const noexcept;

    /// Returns whether the slot knows an owner process.
    bool knows(const process_id& process) const noexcept;

    std::size_t size() const noexcept { return this->records.size(); }
    std::uint64_t generation() const noexcept { return this->current_generation; }
    /// Returns the number of writes so far.
    std::uint64_t revision() const noexcept { return this->writes; }
    const operation_id& last_operation() const noexcept { return this->operation; }

private:
    std::uint64_t current_generation = 0;
    std::uint64_t writes = 0;
    operation_id operation;
    std::size_t process_bytes = 0;     ///< Sum of the daemon id lengths of processes.
    std::vector<process_id> processes; ///< Owners, so that a record holds an index instead of an id.
    std::vector<claim_record> records; ///< Sorted by key.
};

} // namespace laburnumreach::idempotency

#endif
