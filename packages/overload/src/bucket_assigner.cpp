#include "laburnumreach/overload/bucket_assigner.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace laburnumreach::overload
{

namespace
{

/// Interval at which the highest rate is recomputed and idle customers are removed.
constexpr core::duration rescan_interval = std::chrono::milliseconds{50};
/// Curvature of the logarithmic map to buckets. It spreads the low values over more buckets, so that a
/// customer at many times its share does not press all others into one.
constexpr double curvature = 31.0;
/// A customer with a smaller decayed count has been idle for several time constants.
constexpr double idle_count = 0.01;

double decay(core::duration age)
{
    return std::exp(-std::chrono::duration<double>(age) /
                    std::chrono::duration<double>(bucket_assigner::time_constant));
}

} // namespace

void bucket_assigner::rescan(core::time_point now, class_state& state)
{
    state.scanned = now;
    state.highest = 0.0;
    std::erase_if(state.tenants, [&](const auto& entry)
                  { return entry.second.count * decay(now - entry.second.updated) < idle_count; });
    for (const auto& [tenant, rate] : state.tenants)
    {
        state.highest = std::max(state.highest, rate.count * decay(now - rate.updated) / rate.weight);
    }
}

double bucket_assigner::share_below(std::size_t bucket)
{
    const double part = static_cast<double>(bucket) / bucket_count;
    return std::expm1(part * std::log1p(curvature)) / curvature;
}

admission_position bucket_assigner::assign(core::time_point now, core::priority_class cls, tenant_id tenant,
                                           double weight, core::random_source& random)
{
    assert(weight > 0.0);
    class_state& state = this->classes[static_cast<std::size_t>(cls)];
    if (now - state.scanned >= rescan_interval)
    {
        this->rescan(now, state);
    }
    request_rate& rate = state.tenants[tenant];
    rate.count = rate.count * decay(now - rate.updated) + 1.0;
    rate.weight = weight;
    rate.updated = now;
    const double per_weight = rate.count / weight;
    state.highest = std::max(state.highest, per_weight);
    const double relative_rate = random.uniform() * per_weight / state.highest;
    const double bucket = std::log1p(curvature * relative_rate) / std::log1p(curvature) * bucket_count;
    return {.cls = cls, .bucket = static_cast<std::uint8_t>(std::min(bucket, bucket_count - 1.0))};
}

} // namespace laburnumreach::overload
