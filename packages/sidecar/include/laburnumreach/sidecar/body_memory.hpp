#ifndef LABURNUMREACH_SIDECAR_BODY_MEMORY_HPP
#define LABURNUMREACH_SIDECAR_BODY_MEMORY_HPP

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <cstdint>

namespace laburnumreach::sidecar
{

/// Size up to which a message is received without asking for memory, so that small ones are never held up.
inline constexpr std::size_t small_body_bytes = 64 * 1024;

/// What memory is reserved for. The uses may take different shares of the limit, so that clients with large
/// or many messages leave room for others.
enum class memory_use : std::uint8_t
{
    large_body, ///< A message of more than small_body_bytes.
    pipelined,  ///< A request on a connection on which earlier ones are not answered yet.
    other,
};

/// Accounts for the messages that a process holds, and decides what it stops accepting when they take too
/// much memory. Deterministic.
///
/// What comes from others is reserved before it is kept, with a memory_reservation. Copies of it that are
/// made on its way are measured and reported with update().
///
/// Load pattern: dozens of slow callers download large files, and a VM has as little as 160 MB. A limit on
/// each request alone does not bound their sum.
class body_memory
{
public:
    /// @param max_bytes limit on the bytes of all messages that the process holds
    explicit body_memory(std::size_t max_bytes) : limit(max_bytes) {}

    body_memory(const body_memory&) = delete;
    body_memory& operator=(const body_memory&) = delete;

    void set_limit(std::size_t max_bytes) { this->limit = max_bytes; }

    /// Records the number of bytes that are held now without a reservation.
    void update(std::size_t bytes)
    {
        this->measured = bytes;
        this->peak = std::max(this->peak, this->held_bytes());
    }

    std::size_t held_bytes() const noexcept { return this->measured + this->reserved; }

    /// Returns the largest number of bytes that were held at once.
    std::size_t peak_bytes() const noexcept { return this->peak; }

    /// Returns the number of bytes below the limit; zero if it is reached.
    std::size_t free_bytes() const noexcept
    {
        return this->limit - std::min(this->held_bytes(), this->limit);
    }

    /// Returns whether a message may grow.
    /// @param bytes by which it grows
    /// @param already bytes that are reserved for it, with the same use
    bool has_room(std::size_t bytes, memory_use use, std::size_t already = 0) const noexcept
    {
        constexpr double large_body_share = 0.75;
        constexpr double pipelined_share = 0.5;
        const auto fits = [&](double share) {
            return static_cast<double>(this->held_bytes() + bytes) <=
                   share * static_cast<double>(this->limit);
        };
        switch (use)
        {
        case memory_use::large_body:
            // A single body may exceed the limit, since the operators allow its size.
            return this->reserved_large == already || fits(large_body_share);
        case memory_use::pipelined:
            return fits(pipelined_share);
        case memory_use::other:
            return fits(1.0);
        }
        return false;
    }

    /// Returns whether a response may still be received. It ends a request that has run, so it is dropped
    /// only where the process would otherwise outgrow its VM.
    bool has_room_for_response(std::size_t bytes) const noexcept
    {
        constexpr std::size_t copies = 2; // The VM has room for two copies of each message.
        return this->held_bytes() + bytes <= copies * this->limit;
    }

    /// Returns whether slow clients should be ended to make room for others.
    bool is_short() const noexcept { return this->shortage() > 0; }

    /// Returns whether to refuse a new request. The least urgent ones are refused first.
    /// @param urgency 0 for the least urgent requests, 1 for the most urgent ones
    bool should_refuse(double urgency) const noexcept
    {
        return this->free_bytes() == 0 || urgency < this->shortage();
    }

private:
    friend class memory_reservation;

    void change(memory_use use, std::size_t from, std::size_t to) noexcept
    {
        assert(this->reserved >= from);
        this->reserved = this->reserved - from + to;
        if (use == memory_use::large_body)
        {
            this->reserved_large = this->reserved_large - from + to;
        }
        this->peak = std::max(this->peak, this->held_bytes());
    }

    /// Returns 0 while less than accepted_share of the limit is held, and 1 at the limit.
    double shortage() const noexcept
    {
        constexpr double accepted_share = 0.75; // Below, every request is accepted.
        const double share = static_cast<double>(this->held_bytes()) / static_cast<double>(this->limit);
        return std::clamp((share - accepted_share) / (1.0 - accepted_share), 0.0, 1.0);
    }

    std::size_t limit;
    std::size_t measured = 0;
    std::size_t reserved = 0;
    std::size_t reserved_large = 0; ///< Part of `reserved` for large bodies.
    std::size_t peak = 0;
};

} // namespace laburnumreach::sidecar

#endif
