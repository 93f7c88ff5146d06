#ifndef LABURNUMREACH_DAEMON_FORWARDED_CALL_HPP
#define LABURNUMREACH_DAEMON_FORWARDED_CALL_HPP

#include "laburnumreach/core/verdict.hpp"
#include "laburnumreach/daemon/load_header.hpp"
#include "laburnumreach/http/headers.hpp"
#include "laburnumreach/http/response.hpp"
#include "laburnumreach/overload/destination.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace laburnumreach::daemon
{

/// A request ready to be forwarded: without the caller's key and without this project's own headers.
struct forwarded_request
{
    std::string_view method;
    std::string_view target; ///< Path and query after the service name.
    const http::headers* headers = nullptr;
    std::string_view body;
    std::uint32_t tenant_number = 0; ///< From the name_registry.
    double tenant_weight = 1.0;
    overload::dependency_set_id dependencies = 0;
    std::uint64_t configuration_revision = 0;
    bool idempotent = false;
    bool route_has_calls = false;
    int caller_descriptor = -1; ///< Socket whose hang-up cancels the call; -1 for none.
    /// Tells whether the caller closed its connection.
    std::function<bool()> caller_gone;
};

/// How a call ended at this hop.
struct call_outcome
{
    core::verdict verdict;
    hop_report report;
    /// Answer of the upstream when the verdict is `ran`.
    http::response answer;
};

} // namespace laburnumreach::daemon

#endif
