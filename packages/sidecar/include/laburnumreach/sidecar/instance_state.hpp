#ifndef LABURNUMREACH_SIDECAR_INSTANCE_STATE_HPP
#define LABURNUMREACH_SIDECAR_INSTANCE_STATE_HPP

#include "laburnumreach/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace laburnumreach::sidecar
{

/// Heartbeat that an instance sends to its daemon.
struct instance_heartbeat
{
    std::string id;
    std::string address; ///< "ip:port".
    std::string service;
    std::uint32_t slots = 0; ///< Maximum number of concurrent requests.
    bool draining = false;
    std::uint64_t sequence = 0;   ///< Increases with each heartbeat of one incarnation.
    std::uint64_t started_ms = 0; ///< Wall-clock start time of the incarnation; orders incarnations.
    core::duration warm_up_left{};
};

/// State of the local instance, derived from its heartbeats and its deregistration. Deterministic.
///
/// Only this daemon sends requests to the instance, so it alone decides whether the instance gets new work.
class instance_state
{
public:
    /// @param local_address "ip:port" of the instance on this VM; heartbeats from other addresses are ignored
    explicit instance_state(std::string local_address) : address(std::move(local_address)) {}

    /// Applies a heartbeat.
    /// @returns whether the incarnation, service, number of slots or draining state changed
    bool apply(const instance_heartbeat& heartbeat);

    /// Applies a deregistration: the instance gets no more new work.
    /// @returns whether the id names the current instance
    bool deregister(std::string_view id);

    /// Returns whether an instance is known and accepts new work.
    bool accepts_work() const noexcept { return this->current.has_value() && !this->leaving; }

    /// Returns the last heartbeat of the current incarnation.
    const std::optional<instance_heartbeat>& instance() const noexcept { return this->current; }

    bool is_leaving() const noexcept { return this->leaving; }

private:
    std::string address;
    std::optional<instance_heartbeat> current;
    bool leaving = false;
};

} // namespace laburnumreach::sidecar

#endif
