#ifndef LABURNUMREACH_OVERLOAD_FAIR_QUEUE_HPP
#define LABURNUMREACH_OVERLOAD_FAIR_QUEUE_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/overload/queued_call.hpp"
#include "laburnumreach/overload/share_guarantee.hpp"
#include "laburnumreach/overload/tenant_round_robin.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory_resource>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace laburnumreach::overload
{

/// Settings of a fair_queue.
struct queue_options
{
    /// Bound over all classes.
    std::size_t capacity = 1024;
    /// Bound of each class. The two critical classes together leave room for the others.
    std::array<std::size_t, core::priority_class_count> class_capacity{384, 384, 384, 256};
    /// Entries of a class that a more important class does not evict.
    std::array<std::size_t, core::priority_class_count> reserved{0, 0, 32, 16};
    class_shares minimum_shares = queue_minimum_shares;
};

/// Identifies an entry until it leaves the queue; a stale ticket is detected.
struct queue_ticket
{
    std::uint32_t index = 0;
    std::uint32_t generation = 0;

    friend bool operator==(const queue_ticket&, const queue_ticket&) = default;
};

/// Result of fair_queue::push.
struct push_result
{
    /// No value when the call was refused because the queue is full.
    std::optional<queue_ticket> ticket;
    /// Call that was evicted to make room.
    std::optional<queued_call> evicted;
};

/// Queue of the calls that wait for a slot at the exit daemon.
///
/// Order: by class, with a minimum share for each class; within a class, calls that already consumed work
/// (depth > 0) first; then deficit round robin over customers by weight; then the oldest first. The
/// constructor allocates all entries. Not thread safe.
class fair_queue
{
public:
    explicit fair_queue(const queue_options& options = {});

    /// Adds a call. A full queue evicts the newest call of the customer most over its share in the least
    /// important class; a call that would itself be evicted is refused.
    push_result push(const queued_call& call);

    /// Removes the call to run next. Call expire() with the current time first.
    std::optional<queued_call> pop();

    /// Removes a call whose latest start has passed.
    /// @returns no value when there is none
    std::optional<queued_call> expire(core::time_point now);

    /// Removes a cancelled call.
    /// @returns no value for a ticket that already left the queue
    std::optional<queued_call> remove(queue_ticket ticket);

    std::size_t size() const noexcept { return this->count; }
    std::size_t size(core::priority_class cls) const noexcept;
    bool empty() const noexcept { return this->count == 0; }

private:
    /// Waiting calls of one class.
    struct class_queue
    {
        /// Calls with depth > 0, then client requests.
        std::array<tenant_round_robin, 2> bands;
        std::size_t count = 0;
    };

    tenant_round_robin& band_of(const queued_call& call);
    /// Returns the entry to evict from a class.
    std::optional<std::uint32_t> victim(class_queue& queue);
    /// Returns the entry to evict for an incoming call; no value when that call is to be refused.
    std::optional<std::uint32_t> choose_victim(const queued_call& incoming);
    queued_call extract(std::uint32_t index);
    /// Returns the class to serve next; no value when the queue is empty.
    std::optional<std::size_t> next_class() const;

    queue_options options;
    queue_entry_pool pool;
    std::array<class_queue, core::priority_class_count> classes;
    share_guarantee guarantee;
    std::pmr::unsynchronized_pool_resource memory;
    /// Entries by latest start.
    std::pmr::set<std::pair<core::time_point, std::uint32_t>> by_latest_start{&this->memory};
    std::size_t count = 0;
};

} // namespace laburnumreach::overload

#endif
