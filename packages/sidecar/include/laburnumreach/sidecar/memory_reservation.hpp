#ifndef LABURNUMREACH_SIDECAR_MEMORY_RESERVATION_HPP
#define LABURNUMREACH_SIDECAR_MEMORY_RESERVATION_HPP

#include "laburnumreach/sidecar/body_memory.hpp"

#include <utility>

namespace laburnumreach::sidecar
{

/// Bytes of a body_memory that are reserved for one message or buffer until this object is destroyed.
class memory_reservation
{
public:
    memory_reservation() = default;

    /// @param memory outlives this object; null for no accounting
    memory_reservation(body_memory* memory, memory_use reserved_use) : owner(memory), use(reserved_use) {}

    memory_reservation(memory_reservation&& other) noexcept
        : owner(other.owner), use(other.use), reserved(std::exchange(other.reserved, 0))
    {
    }

    memory_reservation& operator=(memory_reservation&& other) noexcept
    {
        if (this != &other)
        {
            this->resize(0);
            this->owner = other.owner;
            this->use = other.use;
            this->reserved = std::exchange(other.reserved, 0);
        }
        return *this;
    }

    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;

    ~memory_reservation() { this->resize(0); }

    /// Sets the number of reserved bytes, whether there is room or not.
    void resize(std::size_t bytes) noexcept
    {
        if (this->owner != nullptr)
        {
            this->owner->change(this->use, this->reserved, bytes);
        }
        this->reserved = bytes;
    }

    /// Sets the number of reserved bytes if there is room for them.
    /// @returns false, without a change, if there is not
    bool try_resize(std::size_t bytes) noexcept
    {
        if (bytes > this->reserved && this->owner != nullptr &&
            !this->owner->has_room(bytes - this->reserved, this->use, this->reserved))
        {
            return false;
        }
        this->resize(bytes);
        return true;
    }

    std::size_t size() const noexcept { return this->reserved; }

private:
    body_memory* owner = nullptr;
    memory_use use = memory_use::other;
    std::size_t reserved = 0;
};

} // namespace laburnumreach::sidecar

#endif
