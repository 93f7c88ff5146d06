#include "laburnumreach/overload/concurrency_limiter.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace laburnumreach::overload
{

namespace
{

/// A window that reached this share of the limit may raise it.
constexpr double saturated_share = 0.9;
/// Lowest factor on the limit in one window; larger reductions overshoot on a noisy window.
constexpr double min_reduction_factor = 0.75;
/// Growth factor of the limit per window after slow start, in addition to one call.
constexpr double limit_growth = 1.1;
/// Growth factor of the limit per window before the first congestion. The limit grows only at the end of a
/// window, so that the first baseline latency is observed at the initial limit.
constexpr double slow_start_growth = 2.0;
/// The baseline latency is checked for staleness once concurrency fell to this share of the reference.
constexpr double staleness_check_share = 0.8;
/// If latency fell by less than this share of the fall in concurrency, it does not depend on concurrency.
constexpr double min_latency_fall_ratio = 0.5;
/// Share of failures in a window that lowers the limit like congestion.
constexpr double failure_share = 0.1;
/// Ratio of the latency to the baseline below which the instance became faster, for example at the end of a
/// cold start. The latency of that window includes queueing under a limit that suited the slower instance, so
/// the limit restarts from a lower value.
constexpr double recovery_ratio = 0.7;
/// Lowest factor on the limit in such a restart.
constexpr double min_restart_factor = 0.5;
/// Weight of a window in the baseline latency when that rises while the instance is nearly idle.
constexpr double idle_drift = 0.1;

/// Reported load from which the limit is lowered.
constexpr double high_load = 0.9;
/// Lowest factor that a reported load applies to the limit.
constexpr double min_load_factor = 0.7;
/// Factor on the limit for each report of a high load.
constexpr double load_step = 0.9;
/// Time for which the observed latency contradicts a reported load until the load is ignored.
constexpr core::duration load_contradiction_limit = std::chrono::milliseconds{500};
/// Time for which reported load is ignored. It doubles each time, up to max_load_ignore_time.
constexpr core::duration first_load_ignore_time = std::chrono::seconds{30};
constexpr core::duration max_load_ignore_time = std::chrono::minutes{10};

} // namespace

concurrency_limiter::concurrency_limiter(std::uint32_t slots, const limiter_options& limiter)
    : options(limiter),
      announced_slots(slots),
      computed_limit(std::min<double>(limiter.initial_limit, slots)),
      load_ignore_time(first_load_ignore_time)
{
    assert(slots >= 1);
}

void concurrency_limiter::set_slots(std::uint32_t slots)
{
    assert(slots >= 1);
    this->announced_slots = slots;
    this->computed_limit = std::min<double>(this->computed_limit, slots);
}

void concurrency_limiter::report_load(core::time_point now, double load)
{
    if (now < this->ignore_load_until)
    {
        return;
    }
    // NaN compares false, so it counts as no load.
    if (load >= high_load)
    {
        this->load_factor = std::max(this->load_factor * load_step, min_load_factor);
    }
    else
    {
        this->load_factor = 1.0;
        this->load_contradiction_time = core::duration::zero();
    }
}

std::uint32_t concurrency_limiter::limit() const noexcept
{
    const double lowered = this->computed_limit * this->load_factor;
    return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(lowered), 1, this->announced_slots);
}

bool concurrency_limiter::has_room() const noexcept
{
    return this->running < this->announced_slots && this->working() < this->limit();
}

bool concurrency_limiter::try_start()
{
    if (!this->has_room())
    {
        return false;
    }
    ++this->running;
    this->window.peak_working = std::max(this->window.peak_working, this->working());
    return true;
}

void concurrency_limiter::begin_nested_wait()
{
    assert(this->nested < this->running);
    ++this->nested;
}

void concurrency_limiter::end_nested_wait()
{
    assert(this->nested > 0);
    --this->nested;
}

void concurrency_limiter::finish(core::time_point now, core::duration own_latency, upstream_result result)
{
    assert(this->running > this->nested);
    const std::uint32_t working_before = this->working();
    if (this->window.begin == core::time_point{})
    {
        this->window.begin = now - std::max(own_latency, core::duration::zero());
    }
    if (working_before >= static_cast<std::uint32_t>(saturated_share * this->limit()))
    {
        this->window.reached_limit = true;
    }
    --this->running;
    if (result == upstream_result::ignored)
    {
        return;
    }
    if (result == upstream_result::failure)
    {
        ++this->window.failures;
    }
    else
    {
        ++this->window.successes;
        this->window.latency_sum += static_cast<double>(own_latency.count());
        this->window.working_sum += working_before;
    }
    const core::duration age = now - this->window.begin;
    const bool enough = this->window.successes + this->window.failures >= this->options.window_calls;
    if ((enough && age >= this->options.window) || age >= this->options.max_window)
    {
        this->close_window(now);
    }
}

void concurrency_limiter::close_window(core::time_point now)
{
    const observation_window closed = this->window;
    this->window = {};
    this->window.begin = now;
    this->window.peak_working = this->working();
    const double calls = closed.successes + closed.failures;
    if (closed.failures > failure_share * calls)
    {
        this->slow_start = false;
        this->computed_limit =
            std::max<double>(this->computed_limit * min_reduction_factor, this->options.min_limit);
        return;
    }
    if (closed.successes == 0)
    {
        return;
    }
    if (this->settling)
    {
        this->settling = false;
        return;
    }
    const double latency = closed.latency_sum / closed.successes;
    const double working = closed.working_sum / closed.successes;
    const auto mean = core::duration{static_cast<core::duration::rep>(latency)};
    const bool idle = closed.peak_working * 2 <= this->limit();
    if (this->baseline == core::duration::zero())
    {
        this->baseline = mean;
    }
    else if (mean < this->baseline)
    {
        const double ratio = latency / static_cast<double>(this->baseline.count());
        this->baseline = mean;
        if (ratio < recovery_ratio)
        {
            this->computed_limit = std::max<double>(
                this->computed_limit * std::max(ratio, min_restart_factor), this->options.min_limit);
            this->slow_start = true;
            this->settling = true;
            return;
        }
    }
    else if (idle)
    {
        // Without concurrency, latency includes no queueing, so the instance itself became slower.
        this->baseline += core::duration{static_cast<core::duration::rep>(
            idle_drift * static_cast<double>((mean - this->baseline).count()))};
    }
    const double threshold = this->options.tolerance * static_cast<double>(this->baseline.count());
    const bool congested = latency > threshold && !idle;
    this->check_load_hint(now, congested);
    if (congested)
    {
        this->adapt_to_congestion(latency, working);
        return;
    }
    this->reference_latency = 0.0;
    if (closed.reached_limit)
    {
        const double grown = this->slow_start ? this->computed_limit * slow_start_growth
                                              : this->computed_limit * limit_growth + 1.0;
        this->computed_limit = std::min<double>(grown, this->announced_slots);
    }
}

void concurrency_limiter::adapt_to_congestion(double latency, double working)
{
    this->slow_start = false;
    if (this->baseline_is_stale(latency, working))
    {
        this->baseline = core::duration{static_cast<core::duration::rep>(latency)};
        this->computed_limit = std::max(this->computed_limit, this->reference_limit);
        this->reference_latency = 0.0;
        return;
    }
    if (this->reference_latency == 0.0)
    {
        this->reference_latency = latency;
        this->reference_working = working;
        this->reference_limit = this->computed_limit;
    }
    this->settling = true;
    const double gradient = this->options.tolerance * static_cast<double>(this->baseline.count()) / latency;
    this->computed_limit = std::max<double>(this->computed_limit * std::max(gradient, min_reduction_factor),
                                            this->options.min_limit);
}

bool concurrency_limiter::baseline_is_stale(double latency, double working)
{
    if (this->reference_latency == 0.0)
    {
        return false;
    }
    if (this->computed_limit <= this->options.min_limit)
    {
        // Nothing is left to reduce, so the latency cannot come from concurrency.
        return true;
    }
    if (working > staleness_check_share * this->reference_working)
    {
        return false;
    }
    const double concurrency_fall = 1.0 - working / this->reference_working;
    const double latency_fall = 1.0 - latency / this->reference_latency;
    if (latency_fall < min_latency_fall_ratio * concurrency_fall)
    {
        return true;
    }
    // Latency fell with concurrency: take this window as the new reference, so that the next step is tested
    // as well.
    this->reference_latency = latency;
    this->reference_working = working;
    this->reference_limit = this->computed_limit;
    return false;
}

void concurrency_limiter::check_load_hint(core::time_point now, bool congested)
{
    if (this->load_factor == 1.0)
    {
        return;
    }
    if (congested)
    {
        this->load_contradiction_time = core::duration::zero();
        return;
    }
    this->load_contradiction_time += std::max(this->options.window, core::duration{1});
    if (this->load_contradiction_time >= load_contradiction_limit)
    {
        this->load_factor = 1.0;
        this->load_contradiction_time = core::duration::zero();
        this->ignore_load_until = now + this->load_ignore_time;
        this->load_ignore_time = std::min(this->load_ignore_time * 2, max_load_ignore_time);
    }
}

} // namespace laburnumreach::overload
