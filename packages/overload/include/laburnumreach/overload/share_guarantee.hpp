#ifndef LABURNUMREACH_OVERLOAD_SHARE_GUARANTEE_HPP
#define LABURNUMREACH_OVERLOAD_SHARE_GUARANTEE_HPP

#include "laburnumreach/core/priority_class.hpp"

#include <array>

namespace laburnumreach::overload
{

/// Share of each class; the index is the class.
using class_shares = std::array<double, core::priority_class_count>;

/// Minimum shares of the calls that leave a queue, so that no class starves under strict priority.
inline constexpr class_shares queue_minimum_shares{0.0, 0.10, 0.10, 0.05};

/// Minimum shares of the requests that callers admit. They are half of those of the queue: with equal shares
/// a backlog of a class would last as long as the overload, and its calls would occupy the slots of the
/// calling services.
inline constexpr class_shares gate_minimum_shares{0.0, 0.05, 0.05, 0.025};

/// Tracks by credits whether each class gets its minimum share. Every admitted call adds to each class a
/// credit equal to its share, and costs its own class one credit.
class share_guarantee
{
public:
    /// Credit limit; bounds the burst of a class after an idle period.
    static constexpr double max_credit = 8.0;

    explicit share_guarantee(const class_shares& minimum_shares) : shares(minimum_shares) {}

    /// Records an admitted call.
    void record_admission(core::priority_class cls) noexcept;

    /// Returns the credit of a class in calls.
    double credit(core::priority_class cls) const noexcept
    {
        return this->credits[static_cast<std::size_t>(cls)];
    }

    /// Clears the credit of a class that has no waiting calls.
    void reset(core::priority_class cls) noexcept { this->credits[static_cast<std::size_t>(cls)] = 0.0; }

private:
    class_shares shares;
    class_shares credits{};
};

} // namespace laburnumreach::overload

#endif
