#include "laburnumreach/quota/quota_revision.hpp"

#include <algorithm>
#include <utility>

namespace laburnumreach::quota
{

namespace
{

constexpr std::int64_t parts_per_million = 1'000'000;

/// With fewer tokens per zone, a few requests that come together empty one zone while the others have tokens.
constexpr std::int64_t least_tokens_per_zone = 8;

/// 64-bit FNV-1a. All daemons must rank the zones alike, so the hash must not depend on library or process.
std::uint64_t rank_hash(std::string_view tenant, std::string_view zone)
{
    std::uint64_t hash = 0xcbf29ce484222325U;
    const auto mix = [&hash](std::string_view text)
    {
        for (const char symbol : text)
        {
            hash = (hash ^ static_cast<unsigned char>(symbol)) * 0x100000001b3U;
        }
        hash = (hash ^ 0xffU) * 0x100000001b3U;
    };
    mix(tenant);
    mix(zone);
    return hash ^ (hash >> 32U);
}

} // namespace

part quota_revision::base_part(std::string_view tenant, std::string_view zone,
                               std::int64_t rate_margin_ppm) const
{
    const auto quota = this->tenants.find(tenant);
    if (quota == this->tenants.end() ||
        std::find(this->zones.begin(), this->zones.end(), zone) == this->zones.end())
    {
        return {};
    }
    const auto zone_count = static_cast<std::int64_t>(this->zones.size());
    const std::pair own{rank_hash(tenant, zone), zone};
    const auto rank =
        std::count_if(this->zones.begin(), this->zones.end(),
                      [&](const std::string& other) {
                          return std::pair{rank_hash(tenant, other), std::string_view{other}} < own;
                      });
    const std::int64_t whole = quota->second.burst / micro_tokens_per_token;
    const std::int64_t extra = whole % zone_count;
    std::int64_t capacity = whole / zone_count * micro_tokens_per_token;
    if (rank < extra)
    {
        capacity += micro_tokens_per_token;
    }
    else if (rank == extra)
    {
        // The fraction goes to the zone that gets the next whole token, so that no part falls when the burst
        // grows.
        capacity += quota->second.burst % micro_tokens_per_token;
    }
    const std::int64_t rate = quota->second.rate / zone_count;
    return {.rate = rate - (rate * rate_margin_ppm + parts_per_million - 1) / parts_per_million,
            .capacity = capacity,
            .tokens = 0};
}

std::string_view quota_revision::pooling_zone(std::string_view tenant) const
{
    const auto quota = this->tenants.find(tenant);
    const auto zone_count = static_cast<std::int64_t>(this->zones.size());
    if (quota == this->tenants.end() || zone_count < 2 ||
        quota->second.burst >= zone_count * least_tokens_per_zone * micro_tokens_per_token)
    {
        return {};
    }
    return *std::min_element(this->zones.begin(), this->zones.end(),
                             [tenant](const std::string& left, const std::string& right)
                             {
                                 return std::pair{rank_hash(tenant, left), std::string_view{left}} <
                                        std::pair{rank_hash(tenant, right), std::string_view{right}};
                             });
}

} // namespace laburnumreach::quota
