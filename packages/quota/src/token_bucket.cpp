#include "laburnumreach/quota/token_bucket.hpp"

namespace laburnumreach::quota
{

namespace
{

__extension__ using wide = __int128; // rate x elapsed nanoseconds exceeds 64 bits after seconds

constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;

} // namespace

token_bucket::token_bucket(const part& initial, core::time_point now) : state(initial), updated(now)
{
    this->state.tokens = std::min(this->state.tokens, this->state.capacity);
}

void token_bucket::accrue(core::time_point now)
{
    if (now <= this->updated)
    {
        return;
    }
    const std::int64_t elapsed = (now - this->updated).count();
    const std::int64_t room = this->state.capacity - this->state.tokens;
    this->updated = now;
    std::int64_t produced = 0;
    // 64 bits are enough but after long pauses; 128-bit division is ten times slower.
    if (!__builtin_mul_overflow(this->state.rate, elapsed, &produced) &&
        !__builtin_add_overflow(produced, this->remainder, &produced))
    {
        this->add_accrued(produced / nanoseconds_per_second, produced % nanoseconds_per_second, room);
        return;
    }
    const wide total = static_cast<wide>(this->state.rate) * elapsed + this->remainder;
    const wide whole = std::min<wide>(total / nanoseconds_per_second, room);
    this->add_accrued(static_cast<std::int64_t>(whole),
                      static_cast<std::int64_t>(total % nanoseconds_per_second), room);
}

void token_bucket::add_accrued(std::int64_t whole, std::int64_t fraction, std::int64_t room)
{
    this->state.tokens += std::min(whole, room);
    this->remainder = whole >= room ? 0 : fraction;
}

bool token_bucket::try_spend(core::time_point now)
{
    this->accrue(now);
    if (this->state.tokens < micro_tokens_per_token)
    {
        return false;
    }
    this->state.tokens -= micro_tokens_per_token;
    return true;
}

part token_bucket::split(const part& wanted, core::time_point now)
{
    this->accrue(now);
    part taken = component_max(component_min(wanted, this->state), part{});
    taken.tokens = std::min(taken.tokens, taken.capacity);
    this->state -= taken;
    // The rest must not hold more tokens than its capacity; the part taken has room for them up to its own.
    const std::int64_t surplus = std::max<std::int64_t>(0, this->state.tokens - this->state.capacity);
    this->state.tokens -= surplus;
    taken.tokens = std::min(taken.tokens + surplus, taken.capacity);
    return taken;
}

void token_bucket::absorb(const part& added, core::time_point now)
{
    this->accrue(now);
    this->state += added;
    this->state.tokens = std::min(this->state.tokens, this->state.capacity);
}

std::int64_t token_bucket::resize(std::int64_t rate, std::int64_t capacity, core::time_point now)
{
    this->accrue(now);
    this->state.rate = rate;
    this->state.capacity = capacity;
    return this->take_tokens(std::max<std::int64_t>(0, this->state.tokens - capacity));
}

std::int64_t token_bucket::add_tokens(std::int64_t tokens)
{
    const std::int64_t added = std::min(tokens, this->state.capacity - this->state.tokens);
    this->state.tokens += added;
    return tokens - added;
}

std::int64_t token_bucket::take_tokens(std::int64_t tokens)
{
    const std::int64_t taken = std::min(tokens, this->state.tokens);
    this->state.tokens -= taken;
    return taken;
}

core::duration token_bucket::time_until(std::int64_t tokens) const
{
    if (tokens <= this->state.tokens)
    {
        return core::duration::zero();
    }
    if (tokens > this->state.capacity || this->state.rate <= 0)
    {
        return core::duration::max();
    }
    const wide missing =
        static_cast<wide>(tokens - this->state.tokens) * nanoseconds_per_second - this->remainder;
    const wide wait = (missing + this->state.rate - 1) / this->state.rate;
    const wide longest = core::duration::max().count();
    return core::duration{static_cast<std::int64_t>(std::min(wait, longest))};
}

} // namespace laburnumreach::quota
