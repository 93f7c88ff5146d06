#include "laburnumreach/quota/allocation.hpp"

#include <algorithm>

namespace laburnumreach::quota
{

namespace
{

/// Kept for daemons whose demand is not known yet.
constexpr double rate_reserve = 0.05;
/// Part of the capacity that is lent by demand. The rest serves daemons that fall short.
constexpr double capacity_lent = 0.6;
/// A daemon gets this part of its demand as a rate and the rest as tokens at each renewal, so that what it
/// does not use stays where a token can go anywhere. At 1.5 its bucket overflows while others are short.
constexpr double rate_headroom = 0.8;
/// A daemon gets capacity for at most this many seconds of its demand.
constexpr double capacity_seconds = 1.0;
/// A zone keeps this multiple of its daemons' demand.
constexpr double zone_headroom = 1.25;
/// A zone that can spend on its own keeps at least this part of its share, for demand that returns.
constexpr double zone_reserve = 0.1;
/// Changes smaller than this part are not worth a shrink, which takes another message to settle.
constexpr double hysteresis = 0.25;

double ratio(std::int64_t part_of, std::int64_t whole)
{
    return whole <= 0 ? 0.0 : static_cast<double>(part_of) / static_cast<double>(whole);
}

std::int64_t scaled(std::int64_t amount, double factor)
{
    return static_cast<std::int64_t>(static_cast<double>(amount) * factor);
}

std::int64_t whole_tokens(std::int64_t amount)
{
    return amount - amount % micro_tokens_per_token;
}

/// Keeps an earlier amount when the new one is only a little smaller.
std::int64_t damp(std::int64_t target, std::int64_t earlier)
{
    return target < earlier && target > scaled(earlier, 1.0 - hysteresis) ? earlier : target;
}

/// Bounds rate, capacity and tokens by what the lender has and chooses the tokens to send.
void bound(allocation& result, const allocation_input& input)
{
    part& granted = result.granted;
    granted.rate = std::min(granted.rate, input.outstanding.rate + input.unlent.rate);
    granted.capacity = std::min(granted.capacity, input.outstanding.capacity + input.unlent.capacity);
    const std::int64_t room = std::max<std::int64_t>(0, granted.capacity - input.held_tokens);
    const std::int64_t available = std::min(input.unlent.tokens, room);
    // Fill the loan as far as the lender's own bucket is filled.
    const std::int64_t level = scaled(granted.capacity, ratio(input.unlent.tokens, input.unlent.capacity));
    std::int64_t tokens = std::max(level - input.held_tokens, input.wanted - input.held_tokens);
    // What the lender keeps must fit into the capacity that it keeps.
    const std::int64_t lent_now = std::max<std::int64_t>(0, granted.capacity - input.outstanding.capacity);
    tokens = std::max(tokens, input.unlent.tokens - (input.unlent.capacity - lent_now));
    granted.tokens = std::clamp<std::int64_t>(tokens, 0, available);
    const std::int64_t reached = input.held_tokens + granted.tokens;
    result.satisfied = reached >= input.wanted;
    if (result.one_shot && reached < micro_tokens_per_token)
    {
        // A loan of less than one token would only withhold it from others.
        granted = {};
        result.one_shot = false;
    }
}

} // namespace

allocation allocate_to_daemon(const allocation_input& input)
{
    allocation result;
    part& granted = result.granted;
    const std::int64_t demand = std::max(input.daemon_demand, input.demand);
    const double share = ratio(input.demand, demand);
    granted.rate =
        std::min(scaled(input.total.rate, (1.0 - rate_reserve) * share), scaled(input.demand, rate_headroom));
    const std::int64_t useful =
        std::max(2 * micro_tokens_per_token, scaled(input.demand, capacity_seconds) + micro_tokens_per_token);
    granted.capacity = whole_tokens(std::min(scaled(input.total.capacity, capacity_lent * share), useful));
    granted.capacity = damp(granted.capacity, input.latest.capacity);
    granted.rate = damp(granted.rate, input.latest.rate);
    if (granted.capacity < micro_tokens_per_token || input.pooled != pooling::none)
    {
        granted.capacity = 0;
        granted.rate = 0;
        result.one_shot = input.wanted > 0;
    }
    if (input.wanted > 0)
    {
        // A part more than wanted, since more requests may follow the first.
        const std::int64_t spare = whole_tokens(input.unlent.tokens / 4);
        const std::int64_t needed =
            whole_tokens(input.held_tokens) + input.wanted + (result.one_shot ? 0 : spare);
        granted.capacity = std::max({granted.capacity, needed, result.one_shot ? 0 : input.latest.capacity});
        if (result.one_shot)
        {
            const std::int64_t possible = whole_tokens(input.unlent.tokens + input.held_tokens);
            granted.capacity = std::min(granted.capacity, possible);
        }
    }
    bound(result, input);
    return result;
}

allocation allocate_to_zone(const allocation_input& input)
{
    allocation result;
    part& granted = result.granted;
    const std::int64_t most_capacity =
        std::max<std::int64_t>(0, input.base.capacity - input.lent_to_zones.capacity);
    if (input.pooled == pooling::member)
    {
        granted.rate = std::max<std::int64_t>(0, input.base.rate - input.lent_to_zones.rate);
        granted.capacity = most_capacity;
    }
    else if (input.pooled == pooling::home)
    {
        const std::int64_t given = std::min(input.wanted, whole_tokens(input.unlent.tokens));
        granted.capacity = input.wanted > 0 ? input.latest.capacity + given : 0;
    }
    else
    {
        // A zone without a whole token cannot spend its rate itself.
        const bool can_spend = input.base.capacity >= micro_tokens_per_token;
        const std::int64_t keep_rate = can_spend ? std::max(scaled(input.daemon_demand, zone_headroom),
                                                            scaled(input.base.rate, zone_reserve))
                                                 : 0;
        const std::int64_t spare_rate =
            std::max<std::int64_t>(0, input.base.rate - keep_rate - input.lent_to_zones.rate);
        granted.rate = std::min(input.demand, spare_rate);
        const double lent_share = ratio(granted.rate, input.base.rate);
        granted.capacity = whole_tokens(std::min(scaled(input.base.capacity, lent_share), most_capacity));
        granted.capacity = damp(granted.capacity, std::min(input.latest.capacity, most_capacity));
        if (input.wanted > 0)
        {
            // Half of what is left, or all of it where nobody else asks for it.
            const std::int64_t left = whole_tokens(input.unlent.tokens);
            const std::int64_t possible = input.daemon_demand == 0 ? left : whole_tokens(left / 2);
            // More than wanted, since more requests will follow those that moved to the other zone.
            const std::int64_t extra = std::min(std::max(input.wanted, whole_tokens(possible / 4)), possible);
            granted.capacity =
                std::min(std::max(granted.capacity, input.latest.capacity) + extra, most_capacity);
        }
    }
    result.one_shot = granted.rate == 0 && granted.capacity > 0;
    allocation_input lendable = input;
    lendable.held_tokens = 0; // a zone reports none: its pool holds the tokens
    bound(result, lendable);
    return result;
}

} // namespace laburnumreach::quota
