#include "laburnumreach/overload/instance_selector.hpp"

#include <algorithm>
#include <cassert>

namespace laburnumreach::overload
{

namespace
{

/// Weight of one observation in the smoothed latency.
constexpr double latency_weight = 0.1;
/// Range of the latency used for the choice, relative to the mean of all instances. It bounds how much
/// traffic an instance attracts by responding fast but wrongly, and keeps some traffic on a slow one to
/// observe it.
constexpr double min_relative_latency = 0.5;
constexpr double max_relative_latency = 5.0;
/// Latency that a broken call counts as, relative to the mean, so that failing fast does not attract traffic.
constexpr double broken_latency = 3.0;

} // namespace

instance_selector::instance* instance_selector::find(instance_id id)
{
    const auto found = std::find_if(this->instances.begin(), this->instances.end(),
                                    [&](const instance& candidate) { return candidate.info.id == id; });
    return found == this->instances.end() ? nullptr : &*found;
}

const instance_selector::instance* instance_selector::find(instance_id id) const
{
    const auto found = std::find_if(this->instances.begin(), this->instances.end(),
                                    [&](const instance& candidate) { return candidate.info.id == id; });
    return found == this->instances.end() ? nullptr : &*found;
}

void instance_selector::set_instance(core::time_point now, const instance_info& info)
{
    assert(info.slots >= 1);
    if (instance* known = this->find(info.id))
    {
        known->info = info;
        return;
    }
    instance added;
    added.info = info;
    added.added = now;
    added.skip_warm_up = !this->picked_before;
    this->instances.push_back(added);
}

void instance_selector::remove_instance(instance_id id)
{
    std::erase_if(this->instances, [&](const instance& candidate) { return candidate.info.id == id; });
}

bool instance_selector::usable(core::time_point now, const instance& candidate) const
{
    if (candidate.info.draining || now < candidate.ejected_until)
    {
        return false;
    }
    // On probation after an ejection: one call at a time until one is answered.
    return candidate.failures == 0 || candidate.in_flight == 0;
}

double instance_selector::effective_slots(core::time_point now, const instance& candidate) const
{
    const auto slots = static_cast<double>(candidate.info.slots);
    const core::duration age = now - candidate.added;
    if (candidate.skip_warm_up || age >= this->options.warm_up)
    {
        return slots;
    }
    const double grown =
        static_cast<double>(age.count()) / static_cast<double>(this->options.warm_up.count());
    const double share = this->options.warm_up_start + (1.0 - this->options.warm_up_start) * grown;
    return std::max(slots * share, 1.0);
}

bool instance_selector::saturated(core::time_point now, const instance& candidate) const
{
    return candidate.in_flight >=
               this->options.saturated_calls_per_slot * this->effective_slots(now, candidate) ||
           candidate.queue_empty_at > now + this->options.saturated_queue_delay;
}

double instance_selector::mean_latency() const
{
    double sum = 0.0;
    std::size_t known = 0;
    for (const instance& candidate : this->instances)
    {
        if (candidate.latency > 0.0)
        {
            sum += candidate.latency;
            ++known;
        }
    }
    return known == 0 ? 1.0 : sum / static_cast<double>(known);
}

double instance_selector::cost(core::time_point now, const instance& candidate, double mean) const
{
    const double own = candidate.latency > 0.0 ? candidate.latency : mean;
    const double relative = std::clamp(own / mean, min_relative_latency, max_relative_latency);
    return (candidate.in_flight + 1.0) / this->effective_slots(now, candidate) * relative;
}

void instance_selector::collect(core::time_point now, const pick_request& request,
                                const candidate_filter& filter)
{
    for (std::size_t i = 0; i < this->instances.size(); ++i)
    {
        const instance& candidate = this->instances[i];
        const bool level_allows =
            filter.ignore_level || request.position.admitted_by(candidate.level.value(now));
        const bool failed_before = request.failed_instance == candidate.info.id;
        if ((candidate.info.same_zone || !filter.same_zone_only) && level_allows &&
            (filter.include_failed || !failed_before) &&
            (filter.include_saturated || !this->saturated(now, candidate)) && this->usable(now, candidate))
        {
            this->candidates.push_back(i);
        }
    }
}

std::optional<instance_id> instance_selector::pick(core::time_point now, const pick_request& request,
                                                   core::random_source& random, core::reason& why)
{
    this->picked_before = true;
    this->candidates.clear();
    constexpr unsigned steps = 16;
    for (unsigned step = 0; step < steps && this->candidates.empty(); ++step)
    {
        const bool ignore_level = (step & 4U) != 0;
        if (!ignore_level || request.ignore_level)
        {
            this->collect(now, request,
                          {.same_zone_only = (step & 3U) == 0,
                           .include_saturated = (step & 2U) != 0,
                           .ignore_level = ignore_level,
                           .include_failed = (step & 8U) != 0});
        }
    }
    if (this->candidates.empty())
    {
        why = this->usable_count(now) > 0 ? core::reason::overloaded : core::reason::no_instance;
        return std::nullopt;
    }
    std::size_t chosen = this->candidates[random.below(this->candidates.size())];
    if (this->candidates.size() > 1)
    {
        std::size_t other = chosen;
        while (other == chosen)
        {
            other = this->candidates[random.below(this->candidates.size())];
        }
        const double mean = this->mean_latency();
        if (this->cost(now, this->instances[other], mean) < this->cost(now, this->instances[chosen], mean))
        {
            chosen = other;
        }
    }
    ++this->instances[chosen].in_flight;
    return this->instances[chosen].info.id;
}

void instance_selector::eject(core::time_point now, instance& failed, core::random_source& random)
{
    const std::uint32_t doublings = std::min(failed.failures, 16U);
    const core::duration length =
        std::min(this->options.first_ejection * (1U << doublings), this->options.max_ejection);
    // Jitter keeps several daemons from probing a restarted instance at the same moment.
    failed.ejected_until =
        now + std::chrono::duration_cast<core::duration>(length * (0.75 + 0.5 * random.uniform()));
    ++failed.failures;
}

void instance_selector::finish(core::time_point now, instance_id id, attempt_result end,
                               core::duration latency, core::random_source& random)
{
    instance* called = this->find(id);
    if (called == nullptr)
    {
        return;
    }
    assert(called->in_flight > 0);
    --called->in_flight;
    double observed = static_cast<double>(latency.count());
    switch (end)
    {
    case attempt_result::answered:
        called->failures = 0;
        break;
    case attempt_result::broken:
        observed = std::max(observed, broken_latency * this->mean_latency());
        break;
    case attempt_result::connect_failed:
        // Further failures during the ejection do not extend it.
        if (now >= called->ejected_until)
        {
            this->eject(now, *called, random);
        }
        return;
    case attempt_result::refused:
        called->failures = 0;
        return;
    case attempt_result::draining:
        // Membership reports this with a delay; until then the instance would refuse every further call.
        called->info.draining = true;
        return;
    case attempt_result::cancelled:
        return;
    }
    called->latency =
        called->latency == 0.0 ? observed : called->latency + latency_weight * (observed - called->latency);
}

void instance_selector::record(core::time_point now, instance_id id, const load_feedback& feedback)
{
    if (instance* answered = this->find(id))
    {
        answered->level.set(now, feedback.own_level);
        answered->queue_empty_at = now + feedback.queue_delay;
    }
}

admission_level instance_selector::level(core::time_point now) const
{
    double sum = 0.0;
    double slots = 0.0;
    for (const instance& candidate : this->instances)
    {
        if (this->usable(now, candidate))
        {
            const double share = this->effective_slots(now, candidate);
            const admission_level own = candidate.level.value(now);
            if (own == 0)
            {
                return 0;
            }
            sum += share * own;
            slots += share;
        }
    }
    return slots > 0.0 ? static_cast<admission_level>(sum / slots) : admission_level{0};
}

core::duration instance_selector::queue_delay(core::time_point now) const
{
    core::time_point earliest = core::time_point::max();
    for (const instance& candidate : this->instances)
    {
        if (this->usable(now, candidate))
        {
            earliest = std::min(earliest, candidate.queue_empty_at);
        }
    }
    return earliest == core::time_point::max() || earliest <= now ? core::duration::zero() : earliest - now;
}

std::uint32_t instance_selector::in_flight(instance_id id) const
{
    const instance* found = this->find(id);
    return found == nullptr ? 0 : found->in_flight;
}

std::size_t instance_selector::usable_count(core::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(this->instances.begin(), this->instances.end(),
                                                  [&](const instance& candidate)
                                                  { return this->usable(now, candidate); }));
}

} // namespace laburnumreach::overload
