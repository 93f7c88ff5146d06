#ifndef LABURNUMREACH_OVERLOAD_LOAD_FEEDBACK_HPP
#define LABURNUMREACH_OVERLOAD_LOAD_FEEDBACK_HPP

#include "laburnumreach/overload/admission_position.hpp"

#include <algorithm>
#include <chrono>

namespace laburnumreach::overload
{

/// Load of an instance as it travels on every answer, also on refusals.
struct load_feedback
{
    /// Level of the answering instance itself.
    admission_level own_level = 0;
    /// Highest level among the dependencies that the called route calls, directly or further down.
    admission_level dependency_level = 0;
    /// Expected wait in the queue of the answering instance.
    std::chrono::milliseconds queue_delay{0};

    /// Returns the level of the service as seen by its callers on this route.
    admission_level level() const noexcept { return std::max(this->own_level, this->dependency_level); }

    friend bool operator==(const load_feedback&, const load_feedback&) = default;
};

} // namespace laburnumreach::overload

#endif
