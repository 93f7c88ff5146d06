#ifndef LABURNUMREACH_OVERLOAD_LOAD_FEEDBACK_HPP
#define LABURNUMREACH_OVERLOAD_LOAD_FEEDBACK_HPP

#include "laburnumreach/overload/admission_position.hpp"

#include <algorithm>
#include <chrono>

namespace laburnumreach::overload
{

/// Load of an instance, sent with every response, also with refusals.
struct load_feedback
{
    /// Level of the responding instance itself.
    admission_level own_level = 0;
    /// Highest level among the dependencies that the called route calls, directly or through other services.
    admission_level dependency_level = 0;
    /// Expected wait in the queue of the responding instance.
    std::chrono::milliseconds queue_delay{0};

    /// Returns the level of the service as seen by its callers on this route.
    admission_level level() const noexcept { return std::max(this->own_level, this->dependency_level); }

    friend bool operator==(const load_feedback&, const load_feedback&) = default;
};

} // namespace laburnumreach::overload

#endif
