#ifndef LABURNUMREACH_SIDECAR_CONFIG_FETCH_POLICY_HPP
#define LABURNUMREACH_SIDECAR_CONFIG_FETCH_POLICY_HPP

#include "laburnumreach/core/time.hpp"

#include <cstdint>
#include <optional>

namespace laburnumreach::sidecar
{

/// Decides from which peer to fetch a newer configuration. Deterministic.
///
/// Load pattern: after a change, every daemon learns of the new version from all others within half a second.
/// If each of them sent the document, a fleet of n daemons would transfer it n squared times, mostly between
/// zones. So a daemon has only one request open at a time, and prefers peers of its own zone.
class config_fetch_policy
{
public:
    /// Records the version of a peer and decides whether to request it.
    /// @param known_version local version; zero if there is no configuration yet
    /// @param same_zone whether the peer is in the same zone as this daemon
    /// @returns whether to request the configuration from this peer
    bool should_request(std::uint64_t known_version, std::uint64_t peer_version, bool same_zone,
                        core::time_point now);

    /// Records that a configuration was applied, so that the next request need not wait for the last one.
    void on_config_received() { this->last_request.reset(); }

    /// Returns when a version newer than the local one was first reported.
    core::time_point first_reported() const noexcept { return this->newer_since; }

private:
    /// Time after which another peer may be asked; several round trips within a region.
    static constexpr core::duration request_timeout = std::chrono::milliseconds{300};
    /// Time to wait for a peer of the same zone to report a version before a peer of another zone is asked.
    /// Probes arrive every half second, and sooner after a change.
    static constexpr core::duration other_zone_delay = std::chrono::milliseconds{400};

    std::uint64_t newest_version = 0;
    core::time_point newer_since{}; ///< When a version newer than the local one was first reported.
    std::optional<core::time_point> last_request;
};

} // namespace laburnumreach::sidecar

#endif
