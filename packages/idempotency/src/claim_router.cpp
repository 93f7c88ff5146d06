#include "laburnumreach/idempotency/claim_router.hpp"

#include <cstdint>
#include <utility>
#include <xxhash.h>

namespace laburnumreach::idempotency
{

void claim_router::set_members(std::span<const std::string> members)
{
    for (std::size_t slot = 0; slot < slot_count; ++slot)
    {
        std::string best;
        std::uint64_t best_weight = 0;
        for (const std::string& member : members)
        {
            const std::uint64_t weight = ::XXH3_64bits_withSeed(member.data(), member.size(), slot);
            // Equal weights are settled by the id, so that the order of the members does not matter.
            if (best.empty() || std::pair{weight, member} > std::pair{best_weight, best})
            {
                best = member;
                best_weight = weight;
            }
        }
        this->committers.at(slot) = std::move(best);
    }
}

slot_set claim_router::slots_of(std::string_view daemon) const
{
    slot_set slots;
    for (std::size_t slot = 0; slot < slot_count; ++slot)
    {
        slots[slot] = this->committers.at(slot) == daemon;
    }
    return slots;
}

} // namespace laburnumreach::idempotency
