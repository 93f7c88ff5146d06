#ifndef LABURNUMREACH_QUOTA_REQUEST_LOG_HPP
#define LABURNUMREACH_QUOTA_REQUEST_LOG_HPP

#include "laburnumreach/core/time.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace laburnumreach::quota
{

/// Remembers when the latest requests were sent, since a loan's term counts from there.
class request_log
{
public:
    /// Numbers a request that is sent now.
    std::uint64_t add(core::time_point now)
    {
        this->record(this->last + 1, now);
        return this->last;
    }

    /// Records the time of a numbered message. One that is not newer than the last is ignored.
    void record(std::uint64_t number, core::time_point now)
    {
        if (number > this->last)
        {
            this->last = number;
            this->times[number % size] = now;
        }
    }

    /// Returns when a request was sent; nothing for one that is unknown or too old, whose answer is ignored.
    std::optional<core::time_point> sent_at(std::uint64_t number) const
    {
        if (number == 0 || number > this->last || this->last - number >= size)
        {
            return std::nullopt;
        }
        return this->times[number % size];
    }

private:
    // Covers a round trip of 200 ms at one request per millisecond, the fastest that shortages cause.
    static constexpr std::size_t size = 256;

    std::array<core::time_point, size> times{};
    std::uint64_t last = 0;
};

} // namespace laburnumreach::quota

#endif
