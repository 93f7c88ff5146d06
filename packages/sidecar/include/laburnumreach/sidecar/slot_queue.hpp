#ifndef LABURNUMREACH_SIDECAR_SLOT_QUEUE_HPP
#define LABURNUMREACH_SIDECAR_SLOT_QUEUE_HPP

#include "laburnumreach/core/time.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

namespace laburnumreach::sidecar
{

/// A call that waits for a slot of the instance.
struct waiting_call
{
    std::uint64_t key = 0; ///< Unique among the waiting calls.
    int priority = 0;      ///< 0 is the most important.
    bool nested = false;   ///< Belongs to a run that has already begun.
    core::time_point arrived{};
    core::time_point latest_start{}; ///< Later, the call could not end before its deadline.
};

/// Order in which waiting calls get a slot. Deterministic.
///
/// Load pattern: a service at the end of call chains is asked for more than its slots for seconds. Calls of
/// runs that have begun go first, since turning one away wastes the work done above it; then the more
/// important ones; then the oldest. Callers who address the service itself keep a part of the starts, since
/// calls of runs arrive without a pause then and would take every slot until these callers' deadlines. A call
/// that could no longer end in time leaves instead of running for nothing.
class slot_queue
{
public:
    /// Adds a call whose key is not waiting.
    void push(const waiting_call& call);

    /// Removes the call that runs next.
    std::optional<waiting_call> pop();

    /// Removes a call whose latest start has passed.
    std::optional<waiting_call> pop_expired(core::time_point now);

    /// Removes the least important call, the newest of those first.
    std::optional<waiting_call> pop_least_important();

    /// Removes a call.
    /// @returns whether it was waiting
    bool remove(std::uint64_t key);

    /// Returns the arrival of the call that has waited longest; no value when empty.
    std::optional<core::time_point> oldest_arrival() const;

    /// Returns how long a call that is not nested would wait if it were added.
    /// @param start_interval mean time between two starts while calls wait
    core::duration expected_wait(const waiting_call& call, core::duration start_interval) const;

    std::size_t size() const noexcept { return this->calls.size(); }
    bool empty() const noexcept { return this->calls.empty(); }

private:
    /// Part of the starts that callers' requests get while nested calls wait too. A fair share of two kinds
    /// would be a half; nested calls get more, since each stands for work that is lost with it.
    static constexpr double direct_share = 0.25;

    using rank = std::tuple<int, core::time_point, std::uint64_t>;
    using moment = std::pair<core::time_point, std::uint64_t>;

    static rank rank_of(const waiting_call& call) { return {call.priority, call.arrived, call.key}; }
    std::set<rank>& ranked(const waiting_call& call) { return call.nested ? this->nested : this->direct; }
    waiting_call take(std::uint64_t key);

    std::unordered_map<std::uint64_t, waiting_call> calls;
    std::set<rank> nested;    ///< Calls of runs.
    std::set<rank> direct;    ///< Requests of callers.
    double direct_credit = 0; ///< Starts that callers' requests are owed.
    std::set<moment> by_latest_start;
    std::set<moment> by_arrival;
};

} // namespace laburnumreach::sidecar

#endif
