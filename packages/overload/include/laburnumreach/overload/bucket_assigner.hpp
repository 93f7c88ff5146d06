#ifndef LABURNUMREACH_OVERLOAD_BUCKET_ASSIGNER_HPP
#define LABURNUMREACH_OVERLOAD_BUCKET_ASSIGNER_HPP

#include "laburnumreach/core/random_source.hpp"
#include "laburnumreach/core/time.hpp"
#include "laburnumreach/overload/admission_position.hpp"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace laburnumreach::overload
{

/// Number that the application assigns to a customer.
using tenant_id = std::uint32_t;

/// Assigns buckets at the entry daemon, so that refusals are fair among customers. Use one object per entry
/// service.
///
/// A request gets a random value in [0, rate / weight) of its customer, divided by the highest rate / weight
/// of any customer in the class. A level that cuts at one bucket therefore limits every customer to the same
/// rate per weight (max-min fairness). Not thread safe.
class bucket_assigner
{
public:
    /// Time constant of the rate estimate; short enough to see a surge within the 1 s recovery target.
    static constexpr core::duration time_constant = std::chrono::milliseconds{500};

    /// Records an offered request and returns its admission position.
    /// @param weight greater than zero
    admission_position assign(core::time_point now, core::priority_class cls, tenant_id tenant, double weight,
                              core::random_source& random);

    /// Returns the share of the requests that get a bucket below the given one, if all customers offer the
    /// same rate per weight.
    /// @param bucket at most bucket_count
    static double share_below(std::size_t bucket);

private:
    /// Exponentially decayed count of offered requests.
    struct request_rate
    {
        double count = 0.0;
        double weight = 1.0;
        core::time_point updated{};
    };

    struct class_state
    {
        std::unordered_map<tenant_id, request_rate> tenants;
        double highest = 0.0; ///< Highest count per weight.
        core::time_point scanned{};
    };

    void rescan(core::time_point now, class_state& state);

    std::array<class_state, core::priority_class_count> classes;
};

} // namespace laburnumreach::overload

#endif
