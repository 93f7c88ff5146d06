#ifndef LABURNUMREACH_OVERLOAD_TENANT_ROUND_ROBIN_HPP
#define LABURNUMREACH_OVERLOAD_TENANT_ROUND_ROBIN_HPP

#include "laburnumreach/overload/bucket_assigner.hpp"
#include "laburnumreach/overload/queue_entry_pool.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace laburnumreach::overload
{

/// Deficit round robin over the customers of one class; oldest first within a customer.
///
/// Customers are searched linearly: only those with waiting calls are kept, and these are few. Not thread
/// safe.
class tenant_round_robin
{
public:
    /// Appends an entry of the pool to the calls of its customer.
    void push(queue_entry_pool& pool, std::uint32_t index);

    /// Returns the entry to serve next and charges its customer. The caller must then remove it.
    /// @returns no value when empty
    std::optional<std::uint32_t> next();

    /// Removes an entry from any place in the queue.
    void remove(queue_entry_pool& pool, std::uint32_t index);

    /// Returns the newest entry of the customer with the most calls per weight.
    std::optional<std::uint32_t> newest_of_most_loaded_tenant() const;

    /// Returns the number of waiting calls of a customer divided by its weight.
    double calls_per_weight(tenant_id tenant) const;

    std::size_t size() const noexcept { return this->count; }

private:
    struct tenant_queue
    {
        tenant_id tenant = 0;
        double weight = 1.0;
        double deficit = 0.0;
        std::uint32_t oldest = queue_entry_pool::none;
        std::uint32_t newest = queue_entry_pool::none;
        std::size_t count = 0;
    };

    std::vector<tenant_queue>::iterator find(tenant_id tenant);

    std::vector<tenant_queue> queues; ///< Only customers with waiting calls.
    std::size_t current = 0;
    double max_weight = 0.0;
    std::size_t count = 0;
};

} // namespace laburnumreach::overload

#endif
