#ifndef LABURNUMREACH_CORE_VERDICT_HPP
#define LABURNUMREACH_CORE_VERDICT_HPP

#include "laburnumreach/core/outcome.hpp"
#include "laburnumreach/core/reason.hpp"

#include <chrono>

namespace laburnumreach::core
{

/// The result of a request as far as it is known, with the reason and the advised wait before a retry.
///
/// The meaning of a verdict does not change when it crosses a hop.
struct verdict
{
    outcome result = outcome::ran;
    reason why = reason::none;
    /// Zero when a retry is not advised.
    std::chrono::milliseconds retry_after{0};

    /// Returns whether the request completed with a whole answer.
    bool completed() const noexcept { return this->result == outcome::ran && this->why == reason::none; }

    friend bool operator==(const verdict&, const verdict&) = default;
};

} // namespace laburnumreach::core

#endif
