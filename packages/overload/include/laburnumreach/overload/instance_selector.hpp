#ifndef LABURNUMREACH_OVERLOAD_INSTANCE_SELECTOR_HPP
#define LABURNUMREACH_OVERLOAD_INSTANCE_SELECTOR_HPP

#include "laburnumreach/core/random_source.hpp"
#include "laburnumreach/core/reason.hpp"
#include "laburnumreach/core/time.hpp"
#include "laburnumreach/overload/admission_position.hpp"
#include "laburnumreach/overload/decaying_level.hpp"
#include "laburnumreach/overload/load_feedback.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace laburnumreach::overload
{

/// Number that the application assigns to an instance; never reused for another one.
using instance_id = std::uint32_t;

/// Settings of an instance_selector.
struct selector_options
{
    /// Time in which the share of a new instance grows from warm_up_start to its full share.
    core::duration warm_up = std::chrono::seconds{5};
    double warm_up_start = 0.1;
    /// Duration of the first ejection after a connect failure; doubles with each consecutive failure.
    core::duration first_ejection = std::chrono::milliseconds{500};
    core::duration max_ejection = std::chrono::seconds{30};
    /// Own calls in flight per slot, or reported queueing time, from which an instance counts as saturated. A
    /// call to another zone takes about 3 ms longer, so a shorter queue is no reason to leave the zone.
    double saturated_calls_per_slot = 2.0;
    core::duration saturated_queue_delay = std::chrono::milliseconds{5};
};

/// What a caller knows about an instance from configuration and membership.
struct instance_info
{
    instance_id id = 0;
    /// Whether it is in the zone of this daemon.
    bool same_zone = true;
    std::uint32_t slots = 1;
    bool draining = false;
};

/// How a call to an instance ended.
enum class attempt_result : std::uint8_t
{
    answered,       ///< A complete response.
    refused,        ///< Refused by the exit daemon with outcome not_run.
    draining,       ///< Refused because the instance is draining.
    connect_failed, ///< Nothing was sent.
    broken,         ///< Sent, but no complete response arrived.
    cancelled,      ///< By this daemon's caller; says nothing about the instance.
};

/// A call for which an instance is picked.
struct pick_request
{
    admission_position position;
    /// Whether an instance whose level refuses the position is taken when no other one is left.
    bool ignore_level = false;
    /// Instance that failed the previous attempt; taken only when there is no other one.
    std::optional<instance_id> failed_instance{};
};

/// Picks an instance of one service for each call by power of two choices: the better one of two random
/// candidates, by own calls in flight and observed latency. Not thread safe.
class instance_selector
{
public:
    explicit instance_selector(const selector_options& selector = {}) : options(selector) {}

    /// Adds or updates an instance. A draining instance gets no new calls. An instance that is added after
    /// the first pick is warmed up.
    void set_instance(core::time_point now, const instance_info& info);

    /// Removes an instance; calls in flight may still be finished.
    void remove_instance(instance_id id);

    /// Picks an instance and counts the call as in flight. Instances in the zone whose level admits the call
    /// and that are not saturated come first, then those of other zones, then saturated ones.
    /// @param why set to overloaded or no_instance when no value is returned
    std::optional<instance_id> pick(core::time_point now, const pick_request& request,
                                    core::random_source& random, core::reason& why);

    /// Records the end of a call.
    /// @param latency from sending to the response, minus the time that nested calls took if known
    void finish(core::time_point now, instance_id id, attempt_result end, core::duration latency,
                core::random_source& random);

    /// Records the feedback of a response.
    void record(core::time_point now, instance_id id, const load_feedback& feedback);

    /// Returns the level of the whole service: zero while any usable instance is not overloaded, and
    /// otherwise the mean weighted by slots. The lowest level would admit calls for which only one of several
    /// instances has room.
    admission_level level(core::time_point now) const;

    /// Returns the shortest expected wait that the usable instances reported, minus the time since then.
    core::duration queue_delay(core::time_point now) const;

    /// Returns own calls in flight to an instance; zero for an unknown one.
    std::uint32_t in_flight(instance_id id) const;

    /// Returns the number of instances that are neither draining nor ejected.
    std::size_t usable_count(core::time_point now) const;

private:
    struct instance
    {
        instance_info info;
        core::time_point added{};
        std::uint32_t in_flight = 0;
        double latency = 0.0; ///< Smoothed, nanoseconds; zero while unknown.
        core::time_point ejected_until{};
        std::uint32_t failures = 0; ///< Consecutive connect failures.
        bool skip_warm_up = false;
        decaying_level level;
        /// When the last reported queue is expected to be empty.
        core::time_point queue_empty_at{};
    };

    /// Which instances are candidates; pick relaxes the filter step by step until one is found.
    struct candidate_filter
    {
        bool same_zone_only;
        bool include_saturated;
        bool ignore_level;
        bool include_failed;
    };

    void collect(core::time_point now, const pick_request& request, const candidate_filter& filter);
    instance* find(instance_id id);
    const instance* find(instance_id id) const;
    bool usable(core::time_point now, const instance& candidate) const;
    bool saturated(core::time_point now, const instance& candidate) const;
    double effective_slots(core::time_point now, const instance& candidate) const;
    double cost(core::time_point now, const instance& candidate, double mean_latency) const;
    double mean_latency() const;
    void eject(core::time_point now, instance& failed, core::random_source& random);

    selector_options options;
    std::vector<instance> instances;
    /// Scratch space of pick, kept to avoid allocation.
    std::vector<std::size_t> candidates;
    bool picked_before = false;
};

} // namespace laburnumreach::overload

#endif
