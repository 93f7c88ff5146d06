#ifndef LABURNUMREACH_OVERLOAD_QUEUED_CALL_HPP
#define LABURNUMREACH_OVERLOAD_QUEUED_CALL_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/overload/admission_position.hpp"
#include "laburnumreach/overload/bucket_assigner.hpp"

#include <cstdint>

namespace laburnumreach::overload
{

/// A call in the queue of the exit daemon, the daemon beside the called upstream.
struct queued_call
{
    /// Assigned by the application to identify the waiting request.
    std::uint64_t id = 0;
    tenant_id tenant = 0;
    /// Greater than zero.
    double weight = 1.0;
    admission_position position;
    /// From destination::choose at the entry daemon; passed on with the request.
    double offered_ratio = 1.0;
    /// Zero for a client request; higher for a nested call, whose callers already did work.
    std::uint32_t depth = 0;
    /// Deadline minus the expected service time.
    core::time_point latest_start = core::time_point::max();
    core::time_point enqueued{};
};

} // namespace laburnumreach::overload

#endif
