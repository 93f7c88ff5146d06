#ifndef LABURNUMREACH_OVERLOAD_ATTEMPT_COUNTER_HPP
#define LABURNUMREACH_OVERLOAD_ATTEMPT_COUNTER_HPP

#include <cassert>
#include <cstdint>

namespace laburnumreach::overload
{

/// Retries that one request may still cause, as held by one hop.
///
/// The allowance is never duplicated: a hop delegates a part of it to the call that it sends, and reclaims
/// what the response reports as unused. A lost response returns nothing. So the retries over the whole call
/// chain never exceed the number that the entry daemon started with, also with parallel nested calls.
class attempt_counter
{
public:
    /// @param retries attempts of the route minus the first one
    explicit attempt_counter(std::uint32_t retries = 0) : left(retries) {}

    /// Removes and returns the part that is passed on with a call.
    /// @param called_route_has_calls a route without nested calls cannot use any retries
    /// @param depth depth of the sent call; at depth 0 one retry is kept, in case the response to the entry
    /// daemon's own call is lost
    std::uint32_t delegate(bool called_route_has_calls, std::uint32_t depth)
    {
        const std::uint32_t kept = depth == 0 ? 1 : 0;
        if (!called_route_has_calls || this->left <= kept)
        {
            return 0;
        }
        const std::uint32_t delegated = this->left - kept;
        this->left = kept;
        return delegated;
    }

    /// Adds the unused part that a response reports.
    void reclaim(std::uint32_t unused) { this->left += unused; }

    /// Consumes one retry.
    void consume()
    {
        assert(this->left > 0);
        --this->left;
    }

    std::uint32_t remaining() const noexcept { return this->left; }

private:
    std::uint32_t left;
};

} // namespace laburnumreach::overload

#endif
