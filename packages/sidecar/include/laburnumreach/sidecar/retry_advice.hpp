#ifndef LABURNUMREACH_SIDECAR_RETRY_ADVICE_HPP
#define LABURNUMREACH_SIDECAR_RETRY_ADVICE_HPP

#include "laburnumreach/core/time.hpp"

#include <algorithm>
#include <cassert>

namespace laburnumreach::sidecar
{

/// Returns the advised wait of a caller that was turned away. Deterministic.
///
/// Load pattern: a burst is turned away for seconds. Callers come back early enough for an answer within the
/// latency objective, and spread, so that those turned away together do not come back together.
/// @param draw a number in [0, 1), random for each caller
inline core::duration advised_retry_delay(core::duration latency_objective, double draw)
{
    assert(draw >= 0 && draw < 1);
    constexpr double earliest = 0.15; // Of the objective.
    constexpr double spread = 0.3;
    constexpr core::duration least = std::chrono::milliseconds{20};
    const auto wait =
        std::chrono::duration_cast<core::duration>(latency_objective * (earliest + spread * draw));
    return std::max(wait, least);
}

} // namespace laburnumreach::sidecar

#endif
