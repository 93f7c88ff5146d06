#ifndef LABURNUMREACH_CORE_VERDICT_HPP
#define LABURNUMREACH_CORE_VERDICT_HPP

#include "laburnumreach/core/outcome.hpp"
#include "laburnumreach/core/reason.hpp"

#include <chrono>

namespace laburnumreach::core
{

/// The result of a request as far as it is known: whether it may have run, the reason of a failure, and the
/// advised delay before a retry.
///
/// A verdict keeps its meaning when daemons forward it along the call chain.
struct verdict
{
    outcome result = outcome::ran;
    reason why = reason::none;
    /// Zero when a retry is not advised.
    std::chrono::milliseconds retry_after{0};

    /// Returns whether the request ran and its response is complete.
    bool completed() const noexcept { return this->result == outcome::ran && this->why == reason::none; }

    friend bool operator==(const verdict&, const verdict&) = default;
};

} // namespace laburnumreach::core

#endif
