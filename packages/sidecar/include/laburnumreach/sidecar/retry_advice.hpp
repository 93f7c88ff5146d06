#ifndef LABURNUMREACH_SIDECAR_RETRY_ADVICE_HPP
#define LABURNUMREACH_SIDECAR_RETRY_ADVICE_HPP

#include "laburnumreach/core/time.hpp"

#include <algorithm>
#include <cassert>

namespace laburnumreach::sidecar
{

/// Returns the time after which a rejected caller should retry. Deterministic.
///
/// Load pattern: requests of a burst are rejected for seconds. The delay is short enough that a retry can
/// still be answered within the latency objective, and jittered so that callers that are rejected together do
/// not retry together.
/// @param draw a random number in [0, 1), drawn for each caller
inline core::duration advised_retry_delay(core::duration latency_objective, double draw)
{
    assert(draw >= 0 && draw < 1);
    constexpr double min_fraction = 0.15; // Of the latency objective.
    constexpr double jitter_fraction = 0.3;
    constexpr core::duration min_delay = std::chrono::milliseconds{20};
    const auto delay = std::chrono::duration_cast<core::duration>(latency_objective *
                                                                  (min_fraction + jitter_fraction * draw));
    return std::max(delay, min_delay);
}

} // namespace laburnumreach::sidecar

#endif
