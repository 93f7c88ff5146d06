#ifndef LABURNUMREACH_OVERLOAD_ADMISSION_GATE_HPP
#define LABURNUMREACH_OVERLOAD_ADMISSION_GATE_HPP

#include "laburnumreach/core/random_source.hpp"
#include "laburnumreach/core/time.hpp"
#include "laburnumreach/overload/admission_position.hpp"
#include "laburnumreach/overload/decaying_level.hpp"
#include "laburnumreach/overload/share_guarantee.hpp"

#include <array>
#include <cstdint>

namespace laburnumreach::overload
{

/// Applies admission levels at the caller, before a call is sent. Use one for each pair of called service and
/// dependency set of the called route, since routes that do not call the overloaded dependency stay open. Not
/// thread safe.
class admission_gate
{
public:
    /// Probability that a call above the level is sent as a probe once a probe is due.
    static constexpr double probe_share = 0.01;
    /// Time after the last call admitted despite the level, for a minimum share or as a probe, until a probe
    /// is due.
    static constexpr core::duration probe_interval = std::chrono::milliseconds{100};

    enum class decision : std::uint8_t
    {
        admitted,
        /// Admitted despite the level, for the minimum share of its class or as a probe.
        admitted_despite_level,
        refused,
    };

    explicit admission_gate(const class_shares& minimum_shares = gate_minimum_shares)
        : guarantee(minimum_shares)
    {
    }

    /// Records the dependency level of a response.
    void record(core::time_point now, admission_level dependency_level)
    {
        this->dependencies.set(now, dependency_level);
    }

    /// Returns the level of the dependencies after decay.
    admission_level dependency_level(core::time_point now) const noexcept
    {
        return this->dependencies.value(now);
    }

    /// Decides on a client request.
    /// @param service_level own level of the called service
    decision admit(core::time_point now, admission_position position, admission_level service_level,
                   core::random_source& random);

    /// Returns the recent ratio of offered to admitted calls of a class, at least 1.
    double offered_ratio(core::priority_class cls) const noexcept;

private:
    /// Decayed counts of one class.
    struct class_counts
    {
        double offered = 0.0;
        double admitted = 0.0;
        core::time_point updated{};
    };

    bool minimum_share_due(admission_position position) const noexcept;
    bool probe_due(core::time_point now, core::random_source& random);

    decaying_level dependencies;
    share_guarantee guarantee;
    std::array<class_counts, core::priority_class_count> counts{};
    core::time_point last_admission_despite_level{};
};

} // namespace laburnumreach::overload

#endif
