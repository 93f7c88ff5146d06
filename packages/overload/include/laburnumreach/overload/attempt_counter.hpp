#ifndef LABURNUMREACH_OVERLOAD_ATTEMPT_COUNTER_HPP
#define LABURNUMREACH_OVERLOAD_ATTEMPT_COUNTER_HPP

#include <cassert>
#include <cstdint>

namespace laburnumreach::overload
{

/// Further attempts that one request may still cause, held by one hop.
///
/// The number is never copied: a hop lends a part of it to the call that it sends, and gets back what the
/// answer says is unused. An answer that is lost brings nothing back. So the sum over the whole chain never
/// exceeds the number that the entry daemon started with, also with parallel nested calls.
class attempt_counter
{
public:
    /// @param retries attempts of the route less the first one
    explicit attempt_counter(std::uint32_t retries = 0) : left(retries) {}

    /// Takes the part that travels with a call.
    /// @param called_route_has_calls a route without calls of its own cannot use any
    /// @param depth depth of the sent call; the entry daemon keeps one for a lost answer of its own hop
    std::uint32_t delegate(bool called_route_has_calls, std::uint32_t depth)
    {
        const std::uint32_t kept = depth == 0 ? 1 : 0;
        if (!called_route_has_calls || this->left <= kept)
        {
            return 0;
        }
        const std::uint32_t lent = this->left - kept;
        this->left = kept;
        return lent;
    }

    /// Takes back the unused part that an answer reports.
    void reclaim(std::uint32_t unused) { this->left += unused; }

    /// Uses one attempt.
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
