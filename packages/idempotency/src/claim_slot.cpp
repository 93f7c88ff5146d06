#include "laburnumreach/idempotency/claim_slot.hpp"

#include "slot_codec.hpp"

#include <algorithm>
#include <cassert>
#include <limits>

namespace laburnumreach::idempotency
{

namespace
{

constexpr std::uint32_t no_index = std::numeric_limits<std::uint32_t>::max();

std::uint32_t index_of(const std::vector<process_id>& processes, const process_id& process)
{
    const auto found = std::find(processes.begin(), processes.end(), process);
    return found == processes.end() ? no_index : static_cast<std::uint32_t>(found - processes.begin());
}

bool expired(const claim_record& record)
{
    return record.age >= (record.state == claim_state::released ? claim_slot::released_generations
                                                                : claim_slot::retention_generations);
}

/// Collects the records of a new content and the owners that they need.
class content_builder
{
public:
    explicit content_builder(const std::vector<process_id>& known)
        : old(&known), moved(known.size(), no_index)
    {
    }

    void keep(claim_record record)
    {
        record.owner = this->move(record.owner);
        this->records.push_back(record);
    }

    void change(const claim_key& key, const claim_change& change)
    {
        const std::uint32_t known = index_of(*this->old, change.token.owner);
        this->records.push_back(
            {.key = key,
             .sequence = change.token.sequence,
             .owner = known == no_index ? this->add(change.token.owner) : this->move(known),
             .state = change.state});
    }

    std::vector<process_id> processes;
    std::vector<claim_record> records;

private:
    std::uint32_t move(std::uint32_t owner)
    {
        if (this->moved[owner] == no_index)
        {
            this->moved[owner] = static_cast<std::uint32_t>(this->processes.size());
            this->processes.push_back((*this->old)[owner]);
        }
        return this->moved[owner];
    }

    std::uint32_t add(const process_id& process)
    {
        const std::uint32_t known = index_of(this->processes, process);
        if (known != no_index)
        {
            return known;
        }
        this->processes.push_back(process);
        return static_cast<std::uint32_t>(this->processes.size() - 1);
    }

    const std::vector<process_id>* old;
    std::vector<std::uint32_t> moved; ///< New index of each old owner.
};

std::size_t id_bytes(const std::vector<process_id>& processes)
{
    std::size_t bytes = 0;
    for (const process_id& process : processes)
    {
        bytes += process.daemon.size();
    }
    return bytes;
}

} // namespace

const claim_record* claim_slot::find(const claim_key& key) const noexcept
{
    const auto found = std::lower_bound(this->records.begin(), this->records.end(), key,
                                        [](const claim_record& record, const claim_key& wanted)
                                        { return record.key < wanted; });
    return found == this->records.end() || found->key != key ? nullptr : &*found;
}

claim_token claim_slot::token_of(const claim_record& record) const
{
    return {.owner = this->owner_of(record), .sequence = record.sequence};
}

claim_slot claim_slot::updated(const claim_changes& changes, const slot_write& write) const
{
    content_builder builder{this->processes};
    builder.records.reserve(this->records.size() + changes.size());
    auto change = changes.begin();
    for (claim_record record : this->records)
    {
        for (; change != changes.end() && change->first < record.key; ++change)
        {
            builder.change(change->first, change->second);
        }
        if (change != changes.end() && change->first == record.key)
        {
            builder.change(change->first, change->second);
            ++change;
            continue;
        }
        record.age = static_cast<std::uint8_t>(record.age + (write.ends_generation ? 1 : 0));
        if (!expired(record))
        {
            builder.keep(record);
        }
    }
    for (; change != changes.end(); ++change)
    {
        builder.change(change->first, change->second);
    }
    claim_slot next;
    next.current_generation = this->current_generation + (write.ends_generation ? 1 : 0);
    next.writes = this->writes + 1;
    next.operation = write.operation;
    next.process_bytes = id_bytes(builder.processes);
    next.processes = std::move(builder.processes);
    next.records = std::move(builder.records);
    return next;
}

bool claim_slot::has_room(const slot_growth& growth, std::size_t record_limit) const noexcept
{
    const std::size_t records_after = this->records.size() + growth.records;
    const std::size_t bytes = slot_codec::encoded_bound(
        records_after, this->processes.size() + growth.processes, this->process_bytes + growth.process_bytes);
    return records_after <= record_limit && bytes <= max_encoded_bytes;
}

bool claim_slot::knows(const process_id& process) const noexcept
{
    return index_of(this->processes, process) != no_index;
}

std::string claim_slot::encode() const
{
    return slot_codec::encode({.generation = this->current_generation,
                               .writes = this->writes,
                               .operation = this->operation,
                               .processes = this->processes,
                               .records = this->records});
}

core::result<claim_slot> claim_slot::decode(std::string_view value)
{
    auto parsed = slot_codec::decode(value);
    if (!parsed)
    {
        return core::make_error(core::error_code::invalid_argument,
                                "claim slot: " + std::string{parsed.error()});
    }
    claim_slot slot;
    slot.current_generation = parsed->generation;
    slot.writes = parsed->writes;
    slot.operation = parsed->operation;
    slot.process_bytes = id_bytes(parsed->processes);
    slot.processes = std::move(parsed->processes);
    slot.records = std::move(parsed->records);
    return slot;
}

} // namespace laburnumreach::idempotency
