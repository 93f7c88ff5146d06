#include "laburnumreach/quota/lent_loan.hpp"

#include <algorithm>

namespace laburnumreach::quota
{

void lent_loan::acknowledge(std::uint64_t seq, std::int64_t held_rate, std::int64_t held_capacity)
{
    const auto found = std::find_if(this->levels.begin(), this->levels.end(),
                                    [seq](const level& entry) { return entry.seq == seq; });
    if (found == this->levels.end())
    {
        return;
    }
    found->rate = std::min(found->rate, held_rate);
    found->capacity = std::min(found->capacity, held_capacity);
    found->tokens_in_transit = 0;
    this->levels.erase(this->levels.begin(), found);
}

std::uint64_t lent_loan::grant(std::int64_t rate, std::int64_t capacity, std::int64_t tokens,
                               core::time_point until)
{
    this->levels.push_back({.seq = ++this->last_seq,
                            .rate = rate,
                            .capacity = capacity,
                            .tokens_in_transit = tokens,
                            .until = until});
    return this->last_seq;
}

void lent_loan::drop_lapsed(core::time_point now)
{
    std::erase_if(this->levels, [now](const level& entry) { return entry.until <= now; });
}

part lent_loan::outstanding_after(core::time_point time) const
{
    part most;
    std::int64_t coming = 0; // tokens of later grants
    for (auto entry = this->levels.rbegin(); entry != this->levels.rend(); ++entry)
    {
        if (entry == this->levels.rbegin() || entry->until > time)
        {
            most.rate = std::max(most.rate, entry->rate);
            most.capacity = std::max(most.capacity, entry->capacity + coming);
        }
        coming += entry->tokens_in_transit;
    }
    return most;
}

std::int64_t lent_loan::tokens_in_transit() const
{
    std::int64_t sum = 0;
    for (const level& entry : this->levels)
    {
        sum += entry.tokens_in_transit;
    }
    return sum;
}

part lent_loan::latest() const
{
    if (this->levels.empty())
    {
        return {};
    }
    return {.rate = this->levels.back().rate, .capacity = this->levels.back().capacity, .tokens = 0};
}

core::time_point lent_loan::lapses_at() const
{
    core::time_point last{};
    for (const level& entry : this->levels)
    {
        last = std::max(last, entry.until);
    }
    return last;
}

} // namespace laburnumreach::quota
