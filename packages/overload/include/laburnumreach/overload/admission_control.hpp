#ifndef LABURNUMREACH_OVERLOAD_ADMISSION_CONTROL_HPP
#define LABURNUMREACH_OVERLOAD_ADMISSION_CONTROL_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/overload/admission_position.hpp"
#include "laburnumreach/overload/share_guarantee.hpp"

#include <array>
#include <cstddef>

namespace laburnumreach::overload
{

/// Settings of an admission_control.
struct admission_options
{
    /// Interval between changes of the level.
    core::duration window = std::chrono::milliseconds{50};
    /// Queueing time above which the instance counts as overloaded, and at which the level then holds it. It
    /// keeps the slots busy between two responses to a caller; a longer queue only adds latency.
    core::duration target_delay = std::chrono::milliseconds{20};
    /// Time in which a queue above the target is to be drained. Callers react to a level with a delay of up
    /// to 0.3 s over four hops; a time of less than twice the delay makes the level oscillate.
    core::duration drain_time = std::chrono::milliseconds{600};
    /// The same as at the gates of the callers.
    class_shares minimum_shares = gate_minimum_shares;
};

/// Waiting calls and free slots of an instance after an event.
struct instance_load
{
    /// Waiting calls by class.
    std::array<std::size_t, core::priority_class_count> waiting{};
    /// Whether a further call could start at once.
    bool has_room = true;
};

/// Computes the admission level of one instance from queueing time, at its exit daemon. Not thread safe.
///
/// The level follows from the demand at each position: it admits the most important positions up to the rate
/// at which the instance can start calls. The demand that callers refuse is estimated from the offered_ratio
/// of each call, so that the level neither admits too much during the overload nor refuses calls after its
/// end.
class admission_control
{
public:
    explicit admission_control(const admission_options& admission = {}) : options(admission) {}

    /// Records a call that reached the exit daemon, whether it started, was queued or was refused.
    /// @param offered_ratio calls of the class offered at the entry daemon for each admitted one
    void record_arrival(admission_position position, double offered_ratio);

    /// Records that a call started.
    void record_start() { this->starts += 1.0; }

    /// Records the state after an event and closes the observation window when it is over.
    void update(core::time_point now, const instance_load& load);

    /// Returns the current level.
    admission_level level() const noexcept
    {
        return static_cast<admission_level>(position_count - this->threshold);
    }

    /// Returns the expected wait of a call that is queued now behind all others.
    core::duration queue_delay() const noexcept;

private:
    using class_values = std::array<double, core::priority_class_count>;

    void close_window(double seconds);
    void update_demand(double seconds);
    void update_capacity(double seconds);
    void set_threshold();
    /// Returns the rate per second at which calls up to and including a class may be admitted.
    double max_admitted_rate(std::size_t cls) const;
    /// Returns the estimated rate of calls of a class that callers refuse, per second.
    double hidden_demand(std::size_t cls) const;

    admission_options options;
    std::array<double, position_count> arrivals{};
    std::array<double, position_count> demand{}; ///< Per second, smoothed.
    class_values offered{};                      ///< In this window, including calls refused by callers.
    class_values offered_rate{};                 ///< Per second, smoothed.
    /// First refused position.
    std::size_t threshold = position_count;

    core::time_point window_begin{};
    core::time_point last_update{};
    instance_load last_load;
    class_values waiting_seconds{}; ///< Integrals of the waiting calls over time.
    class_values delay{};           ///< Queueing time in seconds of the calls up to and including a class.
    double idle_seconds = 0.0;
    double starts = 0.0;
    double capacity = 0.0;   ///< Starts per second.
    bool overloaded = false; ///< Whether the level follows the demand.
};

} // namespace laburnumreach::overload

#endif
