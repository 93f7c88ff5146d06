#include "laburnumreach/overload/admission_control.hpp"

#include <algorithm>

namespace laburnumreach::overload
{

namespace
{

/// Weight of one window in the smoothed demand of a position.
constexpr double demand_weight = 0.2;
/// Factor on the demand remembered for refused positions, for each window; half is forgotten in 0.25 s.
constexpr double hidden_decay = 0.87;
constexpr double rate_weight = 0.5;
/// Share of idle time from which the instance is taken as not overloaded any more.
constexpr double idle_share = 0.05;
/// Idle share from which the level opens without regard to remembered demand.
constexpr double mostly_idle_share = 0.25;
/// Part of the refused positions that one window may open while the instance is mostly idle. It opens the
/// gate fully within half of the 1 s recovery target.
constexpr double fast_open_part = 0.35;
/// Part of the start rate by which one window opens while the instance is busy with a short queue.
constexpr double probe_part = 0.02;
/// Largest part of the start rate that is given up to drain the queue.
constexpr double max_drain_part = 0.5;

double seconds_of(core::duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void admission_control::record_arrival(admission_position position)
{
    this->arrivals[position.index()] += 1.0;
}

core::duration admission_control::queue_delay() const noexcept
{
    if (this->last_queue_length == 0)
    {
        return core::duration::zero();
    }
    // Before the first window there is no rate; one window is the best known bound.
    const double seconds = this->start_rate > 0.0
                               ? static_cast<double>(this->last_queue_length) / this->start_rate
                               : seconds_of(this->options.window);
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(std::min(seconds, 60.0)));
}

void admission_control::update(core::time_point now, std::size_t queue_length, bool has_room)
{
    if (this->window_begin == core::time_point{})
    {
        this->window_begin = now;
        this->last_update = now;
    }
    const double elapsed = seconds_of(now - this->last_update);
    this->queue_seconds += elapsed * static_cast<double>(this->last_queue_length);
    this->idle_seconds += this->last_has_room && this->last_queue_length == 0 ? elapsed : 0.0;
    this->last_update = now;
    this->last_queue_length = queue_length;
    this->last_has_room = has_room;
    if (now - this->window_begin >= this->options.window)
    {
        this->close_window(seconds_of(now - this->window_begin));
        this->window_begin = now;
    }
}

void admission_control::close_window(double seconds)
{
    const double rate = this->starts / seconds;
    this->start_rate =
        this->start_rate == 0.0 ? rate : this->start_rate + rate_weight * (rate - this->start_rate);
    const double idle = this->idle_seconds / seconds;
    const double queue = this->queue_seconds / seconds;
    const double delay = this->start_rate > 0.0 ? queue / this->start_rate : queue > 0.0 ? seconds : 0.0;
    const double target = seconds_of(this->options.target_delay);
    this->learn_demand();
    if (delay > target)
    {
        const double drain =
            std::min((delay - target) / seconds_of(this->options.drain_time), max_drain_part);
        this->lower_threshold(this->start_rate * seconds * (1.0 - drain));
    }
    else if (idle > idle_share)
    {
        const std::size_t refused = position_count - this->threshold;
        const std::size_t most =
            idle > mostly_idle_share
                ? 4 + static_cast<std::size_t>(fast_open_part * static_cast<double>(refused))
                : 1;
        this->raise_threshold(idle * this->start_rate * seconds, most);
    }
    else if (delay < target / 2.0)
    {
        this->raise_threshold(probe_part * this->start_rate * seconds, 1);
    }
    this->arrivals.fill(0.0);
    this->starts = 0.0;
    this->queue_seconds = 0.0;
    this->idle_seconds = 0.0;
}

void admission_control::learn_demand()
{
    double seen = 0.0;
    double expected = 0.0;
    for (std::size_t i = 0; i < position_count; ++i)
    {
        if (i < this->threshold)
        {
            this->demand[i] += demand_weight * (this->arrivals[i] - this->demand[i]);
            seen += this->arrivals[i];
            expected += this->demand[i];
        }
        else
        {
            this->demand[i] = std::max(this->demand[i] * hidden_decay, this->arrivals[i]);
        }
    }
    // The smoothed demand gives the shape, the last window the amount, so that a surge is seen at once.
    this->visible_scale = expected > 0.0 ? seen / expected : 1.0;
}

void admission_control::lower_threshold(double admitted)
{
    double sum = 0.0;
    for (std::size_t i = 0; i < this->threshold; ++i)
    {
        sum += this->demand[i] * this->visible_scale;
        if (sum > admitted)
        {
            this->threshold = i;
            return;
        }
    }
}

void admission_control::raise_threshold(double extra, std::size_t least_positions)
{
    const std::size_t least = std::min(this->threshold + least_positions, position_count);
    double sum = 0.0;
    while (this->threshold < position_count)
    {
        sum += this->demand[this->threshold];
        if (sum > extra && this->threshold >= least)
        {
            return;
        }
        ++this->threshold;
    }
}

} // namespace laburnumreach::overload
