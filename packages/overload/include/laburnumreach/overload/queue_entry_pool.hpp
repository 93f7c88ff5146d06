#ifndef LABURNUMREACH_OVERLOAD_QUEUE_ENTRY_POOL_HPP
#define LABURNUMREACH_OVERLOAD_QUEUE_ENTRY_POOL_HPP

#include "laburnumreach/overload/queued_call.hpp"

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace laburnumreach::overload
{

/// Fixed-size pool of queue entries with list links, so that queueing a call allocates no entry.
class queue_entry_pool
{
public:
    /// Link value of the end of a list.
    static constexpr std::uint32_t none = std::numeric_limits<std::uint32_t>::max();

    struct entry
    {
        queued_call call;
        std::uint32_t previous = none;
        std::uint32_t next = none;
        std::uint32_t generation = 0;
        bool used = false;
    };

    explicit queue_entry_pool(std::size_t capacity) : entries(capacity)
    {
        assert(capacity < none);
        this->free_list.reserve(capacity);
        for (std::size_t i = capacity; i > 0; --i)
        {
            this->free_list.push_back(static_cast<std::uint32_t>(i - 1));
        }
    }

    /// Adds a call; the pool must not be full.
    std::uint32_t add(const queued_call& call)
    {
        assert(!this->free_list.empty());
        const std::uint32_t index = this->free_list.back();
        this->free_list.pop_back();
        entry& added = this->entries[index];
        added.call = call;
        added.previous = none;
        added.next = none;
        added.used = true;
        return index;
    }

    /// Frees an entry; tickets of its generation become stale.
    void release(std::uint32_t index)
    {
        entry& released = this->entries[index];
        assert(released.used);
        released.used = false;
        ++released.generation;
        this->free_list.push_back(index);
    }

    entry& operator[](std::uint32_t index) { return this->entries[index]; }
    const entry& operator[](std::uint32_t index) const { return this->entries[index]; }
    std::size_t capacity() const noexcept { return this->entries.size(); }

private:
    std::vector<entry> entries;
    std::vector<std::uint32_t> free_list;
};

} // namespace laburnumreach::overload

#endif
