#ifndef LABURNUMREACH_OVERLOAD_DECAYING_LEVEL_HPP
#define LABURNUMREACH_OVERLOAD_DECAYING_LEVEL_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/overload/admission_position.hpp"

namespace laburnumreach::overload
{

/// An admission level received from another daemon. It decays while no newer one arrives, so that a gate that
/// refuses every call reopens without traffic, for the most important positions first.
class decaying_level
{
public:
    /// Age up to which a level applies in full; longer than the usual interval between responses.
    static constexpr core::duration hold_time = std::chrono::milliseconds{150};
    /// Half-life of a level older than hold_time.
    static constexpr core::duration half_life = std::chrono::milliseconds{100};

    /// Records a level.
    void set(core::time_point now, admission_level value) noexcept
    {
        this->received = now;
        this->level = value;
    }

    /// Returns the level after decay.
    admission_level value(core::time_point now) const noexcept;

private:
    core::time_point received{};
    admission_level level = 0;
};

} // namespace laburnumreach::overload

#endif
