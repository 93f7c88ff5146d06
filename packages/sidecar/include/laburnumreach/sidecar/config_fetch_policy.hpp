#ifndef LABURNUMREACH_SIDECAR_CONFIG_FETCH_POLICY_HPP
#define LABURNUMREACH_SIDECAR_CONFIG_FETCH_POLICY_HPP

#include "laburnumreach/core/time.hpp"

#include <cstdint>
#include <optional>

namespace laburnumreach::sidecar
{

/// Decides from which peer a daemon fetches a configuration that is newer than its own. Deterministic.
///
/// Load pattern: after a change every daemon hears of the new version from all others within half a second.
/// If each of them sent the document, a fleet of n daemons would move it n squared times, most of them
/// between zones. So one request is open at a time, and a peer of the own zone is asked first.
class config_fetch_policy
{
public:
    /// Records that a peer has a version.
    /// @param same_zone whether the peer is in the own zone
    /// @returns whether to ask this peer for it
    bool should_request(std::uint64_t known_version, std::uint64_t peer_version, bool same_zone,
                        core::time_point now);

    /// Records that a configuration was taken over; the next request need not wait for this one.
    void on_config_received() { this->asked.reset(); }

private:
    /// Time after which another peer is asked; several round trips within a region.
    static constexpr core::duration request_limit = std::chrono::milliseconds{300};
    /// Time that peers of the own zone have to tell of a version before one of another zone is asked; their
    /// probes come within half a second, and sooner after a change.
    static constexpr core::duration other_zone_delay = std::chrono::milliseconds{400};

    std::uint64_t newest_told = 0;
    core::time_point told_since{}; ///< When a version newer than the known one was first told.
    std::optional<core::time_point> asked;
};

} // namespace laburnumreach::sidecar

#endif
