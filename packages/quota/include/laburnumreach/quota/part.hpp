#ifndef LABURNUMREACH_QUOTA_PART_HPP
#define LABURNUMREACH_QUOTA_PART_HPP

#include <algorithm>
#include <cstdint>

namespace laburnumreach::quota
{

/// Micro-tokens in one token. One token admits one request.
inline constexpr std::int64_t micro_tokens_per_token = 1'000'000;

/// A share of a tenant's quota. All amounts are integers, so sums are exact under splits.
struct part
{
    std::int64_t rate = 0;     ///< Micro-tokens per second.
    std::int64_t capacity = 0; ///< Micro-tokens.
    std::int64_t tokens = 0;   ///< Micro-tokens, at most capacity.

    /// Adds each amount.
    part& operator+=(const part& other)
    {
        this->rate += other.rate;
        this->capacity += other.capacity;
        this->tokens += other.tokens;
        return *this;
    }

    /// Subtracts each amount.
    part& operator-=(const part& other)
    {
        this->rate -= other.rate;
        this->capacity -= other.capacity;
        this->tokens -= other.tokens;
        return *this;
    }

    friend part operator+(part left, const part& right) { return left += right; }
    friend part operator-(part left, const part& right) { return left -= right; }
    friend bool operator==(const part&, const part&) = default;
};

/// Returns the smaller of each amount.
inline part component_min(const part& left, const part& right)
{
    return {.rate = std::min(left.rate, right.rate),
            .capacity = std::min(left.capacity, right.capacity),
            .tokens = std::min(left.tokens, right.tokens)};
}

/// Returns the greater of each amount.
inline part component_max(const part& left, const part& right)
{
    return {.rate = std::max(left.rate, right.rate),
            .capacity = std::max(left.capacity, right.capacity),
            .tokens = std::max(left.tokens, right.tokens)};
}

} // namespace laburnumreach::quota

#endif
