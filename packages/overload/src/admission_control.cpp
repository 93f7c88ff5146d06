#include "laburnumreach/overload/admission_control.hpp"

#include "laburnumreach/overload/bucket_assigner.hpp"

#include <algorithm>
#include <numeric>

namespace laburnumreach::overload
{

namespace
{

/// Weight of one window in the smoothed demand. Demand at the boundary between admitted and refused positions
/// lags by the time until callers receive a level, so faster smoothing makes the level oscillate.
constexpr double demand_weight = 0.2;
/// Weight of a window in the offered demand if the instance was idle for more than idle_share of it: the
/// overload has probably ended.
constexpr double idle_demand_weight = 0.4;
constexpr double idle_share = 0.25;
/// Weight of a window in the smoothed capacity while the instance is busy.
constexpr double capacity_weight = 0.2;
/// A rate of starts above this multiple of the capacity is more than noise: a slowed instance recovered.
constexpr double capacity_step = 2.0;
constexpr double step_weight = 0.5;
/// Idle share of a window up to which the rate of starts shows the capacity.
constexpr double busy_share = 0.05;
/// Growth factor of the assumed capacity in a window in which the instance was idle. It reaches four times
/// the capacity in 0.5 s, within the recovery target of 1 s.
constexpr double idle_growth = 1.15;
/// Largest share of the capacity that is withheld from new calls to drain the queue of a class.
constexpr double max_drain_share = 0.8;
/// Share by which the admitted demand exceeds the capacity while the queue is short, to keep the slots busy.
constexpr double short_queue_margin = 0.03;
/// The same share for the critical classes. The estimates of demand and capacity are noisy by about 10% at a
/// few calls per window, and noise must not shed important calls; if they really exceed the capacity, their
/// queueing time outweighs the margin.
constexpr double critical_margin = 0.25;

} // namespace

void admission_control::record_arrival(admission_position position, double offered_ratio)
{
    this->arrivals[position.index()] += 1.0;
    this->offered[static_cast<std::size_t>(position.cls)] += std::max(offered_ratio, 1.0);
}

core::duration admission_control::queue_delay() const noexcept
{
    const auto& waiting = this->last_load.waiting;
    const auto length = static_cast<double>(std::accumulate(waiting.begin(), waiting.end(), std::size_t{0}));
    if (length == 0.0)
    {
        return core::duration::zero();
    }
    // Before the first window ends the capacity is unknown; one window is the best known bound.
    const double seconds = this->capacity > 0.0 ? std::min(length / this->capacity, 60.0)
                                                : core::to_seconds(this->options.window);
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(seconds));
}

void admission_control::update(core::time_point now, const instance_load& load)
{
    if (this->window_begin == core::time_point{})
    {
        this->window_begin = now;
        this->last_update = now;
    }
    const double elapsed = core::to_seconds(now - this->last_update);
    for (std::size_t i = 0; i < this->waiting_seconds.size(); ++i)
    {
        this->waiting_seconds[i] += elapsed * static_cast<double>(this->last_load.waiting[i]);
    }
    this->idle_seconds += this->last_load.has_room ? elapsed : 0.0;
    this->last_update = now;
    this->last_load = load;
    if (now - this->window_begin >= this->options.window)
    {
        this->close_window(core::to_seconds(now - this->window_begin));
        this->window_begin = now;
    }
}

void admission_control::close_window(double seconds)
{
    this->update_capacity(seconds);
    this->update_demand(seconds);
    double queue = 0.0;
    for (std::size_t i = 0; i < this->delay.size(); ++i)
    {
        queue += this->waiting_seconds[i] / seconds;
        this->delay[i] = this->capacity > 0.0 ? queue / this->capacity : queue > 0.0 ? seconds : 0.0;
    }
    if (this->delay.back() > core::to_seconds(this->options.target_delay))
    {
        this->overloaded = true;
    }
    if (this->overloaded)
    {
        this->set_threshold();
    }
    this->arrivals.fill(0.0);
    this->offered.fill(0.0);
    this->waiting_seconds.fill(0.0);
    this->starts = 0.0;
    this->idle_seconds = 0.0;
}

void admission_control::update_capacity(double seconds)
{
    const double rate = this->starts / seconds;
    const double idle = this->idle_seconds / seconds;
    if (this->capacity == 0.0)
    {
        this->capacity = rate;
    }
    else if (idle <= busy_share)
    {
        this->capacity +=
            (rate > capacity_step * this->capacity ? step_weight : capacity_weight) * (rate - this->capacity);
    }
    else
    {
        const double grown = this->capacity * (1.0 + (idle_growth - 1.0) * idle);
        // Without overload the capacity is only known to be at least the highest rate so far.
        this->capacity = this->overloaded ? std::max(grown, rate) : std::max(this->capacity, rate);
    }
}

void admission_control::update_demand(double seconds)
{
    for (std::size_t i = 0; i < position_count; ++i)
    {
        this->demand[i] += demand_weight * (this->arrivals[i] / seconds - this->demand[i]);
    }
    const bool idle = this->idle_seconds > idle_share * seconds;
    for (std::size_t i = 0; i < this->offered.size(); ++i)
    {
        this->offered_rate[i] += (idle ? idle_demand_weight : demand_weight) *
                                 (this->offered[i] / seconds - this->offered_rate[i]);
    }
}

double admission_control::max_admitted_rate(std::size_t cls) const
{
    double reserved = 0.0;
    for (std::size_t i = cls + 1; i < this->offered_rate.size(); ++i)
    {
        reserved += std::min(this->options.minimum_shares[i] * this->capacity, this->offered_rate[i]);
    }
    const double target = core::to_seconds(this->options.target_delay);
    const double wait = this->delay[cls];
    double factor = 1.0;
    if (cls <= static_cast<std::size_t>(core::priority_class::critical))
    {
        factor += critical_margin;
    }
    else if (this->delay.back() < target / 2.0)
    {
        factor += short_queue_margin;
    }
    if (wait > target)
    {
        factor -= std::min((wait - target) / core::to_seconds(this->options.drain_time), max_drain_share);
    }
    return (this->capacity - reserved) * factor;
}

double admission_control::hidden_demand(std::size_t cls) const
{
    double seen = 0.0;
    for (std::size_t i = cls * bucket_count; i < std::min((cls + 1) * bucket_count, this->threshold); ++i)
    {
        seen += this->demand[i];
    }
    return std::max(this->offered_rate[cls] - seen, 0.0);
}

void admission_control::set_threshold()
{
    double sum = 0.0;
    for (std::size_t cls = 0; cls < core::priority_class_count; ++cls)
    {
        const double max_rate = this->max_admitted_rate(cls);
        const std::size_t begin = cls * bucket_count;
        const std::size_t end = begin + bucket_count;
        const std::size_t first_hidden = std::clamp(this->threshold, begin, end);
        const double hidden = this->hidden_demand(cls);
        const double hidden_share = 1.0 - bucket_assigner::share_below(first_hidden - begin);
        for (std::size_t i = begin; i < end; ++i)
        {
            if (i >= first_hidden)
            {
                // Callers send calls of a newly admitted position only after they received the level. Until
                // then the expected demand replaces the observed one, so that the next windows do not admit
                // further positions.
                const std::size_t bucket = i - begin;
                const double share =
                    bucket_assigner::share_below(bucket + 1) - bucket_assigner::share_below(bucket);
                this->demand[i] = std::max(this->demand[i], hidden * share / hidden_share);
            }
            sum += this->demand[i];
            if (sum > max_rate)
            {
                this->threshold = i;
                return;
            }
        }
    }
    this->threshold = position_count;
    this->overloaded = false;
}

} // namespace laburnumreach::overload
