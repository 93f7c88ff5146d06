#ifndef LABURNUMREACH_POLICY_BENCH_SCENARIO_HPP
#define LABURNUMREACH_POLICY_BENCH_SCENARIO_HPP

#include "laburnumreach/core/priority_class.hpp"
#include "laburnumreach/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace laburnumreach::policy_bench
{

using std::chrono::milliseconds;
using class_values = std::array<double, core::priority_class_count>;

/// One service of the chain; each service calls the next one.
struct service_model
{
    std::uint32_t instances;
    std::uint32_t slots;
    double parallel; ///< Calls that one instance works on at full speed.
    core::duration work;

    /// Returns the capacity of the service in calls per second.
    double capacity() const
    {
        return this->instances * this->parallel / std::chrono::duration<double>(this->work).count();
    }
};

/// How callers behave after a failed request.
struct client_model
{
    std::uint32_t retries = 1;
    core::duration delay = milliseconds{200};
    bool honours_advice = true;
};

/// A case of the bench.
struct scenario
{
    std::string name;
    std::vector<service_model> services;
    std::vector<double> tenant_weights;
    /// Offered requests per second without the trigger, over all tenants (in proportion to their weights).
    double rate = 1200.0;
    class_values class_mix{0.1, 0.2, 0.5, 0.2};
    std::array<core::duration, core::priority_class_count> timeouts{milliseconds{500}, milliseconds{1000},
                                                                    milliseconds{2000}, milliseconds{5000}};
    /// Share of requests on a route that calls only the first two services.
    double shallow_share = 0.0;
    client_model clients;

    /// Begin and end of the trigger; also the interval that is measured.
    core::duration trigger_begin = milliseconds{5000};
    core::duration trigger_end = milliseconds{15000};
    core::duration end = milliseconds{22000};

    /// Factors on the offered rate during the trigger.
    class_values surge{1.0, 1.0, 1.0, 1.0};
    /// Tenant with a changed rate during the trigger, and its factor.
    std::size_t surging_tenant = 0;
    double tenant_factor = 1.0;
    /// Slowdown of the last service during the trigger.
    double slowdown = 1.0;

    /// Faults of single instances of the service with index 2, from the begin of the trigger on.
    bool wrong_load = false; ///< The first reports full load, the second none, whatever their real load is.
    bool cold_instance = false;
    bool leaving_instance = false;

    std::uint32_t attempts = 3;

    /// Returns the capacity of the bottleneck, during the trigger or without it, in requests per second.
    double bottleneck(bool triggered) const;
    /// Returns the offered first tries per second during the trigger.
    double triggered_rate() const;
    /// Returns whether the load of the two critical classes fits into the bottleneck beside the minimum
    /// shares of the others.
    bool important_load_fits() const;
};

/// Returns the cases of the bench.
std::vector<scenario> all_scenarios();

} // namespace laburnumreach::policy_bench

#endif
