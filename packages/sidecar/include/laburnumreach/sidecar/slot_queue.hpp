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

/// A call that is queued for a slot of the instance.
struct waiting_call
{
    std::uint64_t key = 0; ///< Unique among the waiting calls.
    int priority = 0;      ///< 0 is the most important.
    bool nested = false;   ///< Made by a request that is already running.
    core::time_point arrived{};
    core::time_point latest_start{}; ///< Latest time at which the call can start and still meet its deadline.
};

/// Priority queue of the calls that wait for a slot. Deterministic.
///
/// Load pattern: for seconds, a service at the end of call chains gets more calls than its slots can serve.
/// Nested calls go first, since rejecting one wastes the work already done by its caller; then the more
/// important calls; then the oldest. Requests that callers send directly to the service keep a share of the
/// starts: nested calls then arrive continuously and would otherwise take every slot until the deadlines of
/// the direct requests have passed. A call that can no longer finish before its deadline is removed without
/// running.
class slot_queue
{
public:
    /// Adds a call; its key must not be in the queue.
    void push(const waiting_call& call);

    /// Removes the call to run next.
    std::optional<waiting_call> pop();

    /// Removes a call whose latest start has passed.
    std::optional<waiting_call> pop_expired(core::time_point now);

    /// Removes the least important direct call, or nested call if there is no direct one; among equals, the
    /// newest.
    std::optional<waiting_call> pop_least_important();

    /// Removes a call.
    /// @returns whether it was in the queue
    bool remove(std::uint64_t key);

    /// Returns the arrival time of the oldest call; no value if the queue is empty.
    std::optional<core::time_point> oldest_arrival() const;

    /// Returns the expected queueing delay of a direct call if it were added now.
    /// @param start_interval mean time between two starts while calls are queued
    core::duration expected_wait(const waiting_call& call, core::duration start_interval) const;

    std::size_t size() const noexcept { return this->calls.size(); }
    bool empty() const noexcept { return this->calls.empty(); }

private:
    /// Share of the starts reserved for direct calls while nested calls are queued too. Less than a half,
    /// since rejecting a nested call also wastes the work already done by its caller.
    static constexpr double direct_share = 0.25;

    using order_key = std::tuple<int, core::time_point, std::uint64_t>;
    using timed_key = std::pair<core::time_point, std::uint64_t>;

    static order_key order_key_of(const waiting_call& call)
    {
        return {call.priority, call.arrived, call.key};
    }
    std::set<order_key>& ordered_calls(const waiting_call& call)
    {
        return call.nested ? this->nested : this->direct;
    }
    waiting_call take(std::uint64_t key);

    std::unordered_map<std::uint64_t, waiting_call> calls;
    std::set<order_key> nested; ///< Calls made by running requests.
    std::set<order_key> direct; ///< Requests that callers sent to this service.
    double direct_credit = 0;   ///< Starts that are due to direct calls.
    std::set<timed_key> by_latest_start;
    std::set<timed_key> by_arrival;
};

} // namespace laburnumreach::sidecar

#endif
