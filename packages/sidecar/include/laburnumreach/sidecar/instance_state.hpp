#ifndef LABURNUMREACH_SIDECAR_INSTANCE_STATE_HPP
#define LABURNUMREACH_SIDECAR_INSTANCE_STATE_HPP

#include "laburnumreach/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace laburnumreach::sidecar
{

/// What an instance announces of itself.
struct instance_heartbeat
{
    std::string id;
    std::string address; ///< "ip:port".
    std::string service;
    std::uint32_t slots = 0; ///< Requests that run at the same time.
    bool draining = false;
    std::uint64_t sequence = 0;   ///< Increases with each heartbeat of one incarnation.
    std::uint64_t started_ms = 0; ///< Wall-clock start of the incarnation; orders incarnations.
    core::duration warm_up_left{};
};

/// State of the instance beside this daemon, from its own announcements. Deterministic.
///
/// Only this daemon reaches the instance, so its view decides alone whether the instance gets new work.
class instance_state
{
public:
    /// @param local_address address of the instance beside this daemon
    explicit instance_state(std::string local_address) : address(std::move(local_address)) {}

    /// Applies a heartbeat.
    /// @returns whether it changed identity, service, slots or draining
    bool apply(const instance_heartbeat& beat);

    /// Applies a deregistration: the instance gets no new work any more.
    /// @returns whether the id names the current instance
    bool deregister(std::string_view id);

    /// Returns whether an instance is known and takes new work.
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
