#ifndef LABURNUMREACH_CORE_REASON_COUNTERS_HPP
#define LABURNUMREACH_CORE_REASON_COUNTERS_HPP

#include "laburnumreach/core/reason.hpp"

#include <array>
#include <atomic>
#include <cstdint>

namespace laburnumreach::core
{

/// One counter for each reason; updates are lock-free.
class reason_counters
{
public:
    /// Adds one to the counter of a reason.
    void increment(reason why) noexcept
    {
        this->counts[static_cast<std::size_t>(why)].fetch_add(1, std::memory_order_relaxed);
    }

    /// Returns how often a reason was counted since the process started.
    std::uint64_t count(reason why) const noexcept
    {
        return this->counts[static_cast<std::size_t>(why)].load(std::memory_order_relaxed);
    }

private:
    std::array<std::atomic<std::uint64_t>, reason_count> counts{};
};

} // namespace laburnumreach::core

#endif
