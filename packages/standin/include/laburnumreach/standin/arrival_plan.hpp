#ifndef LABURNUMREACH_STANDIN_ARRIVAL_PLAN_HPP
#define LABURNUMREACH_STANDIN_ARRIVAL_PLAN_HPP

#include "laburnumreach/core/random_source.hpp"
#include "laburnumreach/core/time.hpp"
#include "laburnumreach/standin/load_scenario.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace laburnumreach::standin
{

/// Decides what is sent and when. The same scenario and seed give the same plan.
class arrival_plan
{
public:
    /// A request to send.
    struct arrival
    {
        core::duration at{0}; ///< Since the start of the run.
        std::size_t phase = 0;
        std::size_t tenant = 0;
        std::size_t kind = 0;
        /// Time after which the same request is sent once more.
        std::optional<core::duration> duplicate_after;
    };

    /// @param planned outlives the plan
    explicit arrival_plan(const load_scenario& planned);

    /// Returns the next request of the open loop: a Poisson process whose rate follows phases and surges.
    /// @returns no value after the last phase
    std::optional<arrival> next();

    /// Returns a request that a closed-loop caller sends at the given time.
    arrival at(core::duration time);

    /// Returns the phase at the given time; the last one after the end.
    std::size_t phase_at(core::duration time) const;

private:
    double tenant_rate(std::size_t tenant, core::duration time) const;
    std::optional<core::duration> draw_duplicate(std::size_t kind);
    std::size_t draw_kind();

    const load_scenario& scenario;
    core::random_source random;
    std::vector<double> tenant_rates; ///< At the time of the last arrival, in requests per second.
    double greatest_rate = 0.0;
    core::duration now{0};
};

} // namespace laburnumreach::standin

#endif
