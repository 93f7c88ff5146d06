#ifndef LABURNUMREACH_OVERLOAD_ADMISSION_CONTROL_HPP
#define LABURNUMREACH_OVERLOAD_ADMISSION_CONTROL_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/overload/admission_position.hpp"

#include <array>
#include <cstddef>

namespace laburnumreach::overload
{

/// Settings of an admission_control.
struct admission_options
{
    /// Interval between changes of the level.
    core::duration window = std::chrono::milliseconds{50};
    /// Queueing time that the level holds under overload. It keeps the slots busy between two answers of a
    /// caller; a longer queue only adds latency.
    core::duration target_delay = std::chrono::milliseconds{20};
    /// Time in which a queue above the target is to be drained.
    core::duration drain_time = std::chrono::milliseconds{200};
};

/// Admission level of one instance, computed at its exit daemon from queueing time. Not thread safe.
///
/// The level follows from the observed demand by position: it admits as many positions as the instance can
/// start calls. Demand of refused positions is remembered and fades, so that the level opens again quickly
/// after the trigger ended.
class admission_control
{
public:
    explicit admission_control(const admission_options& admission = {}) : options(admission) {}

    /// Records a call that reached the exit daemon, whether it started, was queued or was refused.
    void record_arrival(admission_position position);

    /// Records that a call started.
    void record_start() { ++this->starts; }

    /// Records the state after an event and closes the observation window when it is over.
    /// @param queue_length waiting calls
    /// @param has_room whether a further call could start at once
    void update(core::time_point now, std::size_t queue_length, bool has_room);

    /// Returns the current level.
    admission_level level() const noexcept
    {
        return static_cast<admission_level>(position_count - this->threshold);
    }

    /// Returns the expected wait of a call that is queued now.
    core::duration queue_delay() const noexcept;

private:
    void close_window(double seconds);
    void learn_demand();
    void lower_threshold(double admitted);
    void raise_threshold(double extra, std::size_t least_positions);

    admission_options options;
    /// Arrivals of the current window and their smoothed value, by position.
    std::array<double, position_count> arrivals{};
    std::array<double, position_count> demand{};
    /// First refused position.
    std::size_t threshold = position_count;

    core::time_point window_begin{};
    core::time_point last_update{};
    std::size_t last_queue_length = 0;
    bool last_has_room = true;
    double queue_seconds = 0.0; ///< Integral of the queue length over time.
    double idle_seconds = 0.0;
    double starts = 0.0;
    double start_rate = 0.0; ///< Per second, smoothed.
    double visible_scale = 1.0;
};

} // namespace laburnumreach::overload

#endif
