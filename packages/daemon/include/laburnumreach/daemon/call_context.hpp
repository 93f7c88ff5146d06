#ifndef LABURNUMREACH_DAEMON_CALL_CONTEXT_HPP
#define LABURNUMREACH_DAEMON_CALL_CONTEXT_HPP

#include "laburnumreach/config/key_digest.hpp"
#include "laburnumreach/core/time.hpp"
#include "laburnumreach/daemon/call_cancellation.hpp"
#include "laburnumreach/overload/admission_position.hpp"
#include "laburnumreach/overload/attempt_counter.hpp"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace laburnumreach::daemon
{

/// What travels with a call through this daemon. Shared between the thread that serves the call and the
/// threads that serve its nested calls.
struct call_context
{
    std::string request_id; ///< Of the request from outside; the same over the whole chain.
    std::string tenant;
    std::string service;
    std::string route;
    overload::admission_position position;
    /// Requests of the class that were offered at the entry for each admitted one.
    double offered_ratio = 1.0;
    std::uint32_t depth = 0;
    core::time_point deadline{};
    /// Key that the caller showed; empty on hops behind the entry.
    std::optional<config::key_digest> key;
    call_cancellation cancellation;

    /// Guards the members below.
    std::mutex mutex;
    overload::attempt_counter attempts;
    std::uint32_t nested_running = 0;
    core::time_point nested_since{};
    core::duration nested_total{0};
    bool finished = false;
};

} // namespace laburnumreach::daemon

#endif
