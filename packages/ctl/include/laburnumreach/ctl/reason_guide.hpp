#ifndef LABURNUMREACH_CTL_REASON_GUIDE_HPP
#define LABURNUMREACH_CTL_REASON_GUIDE_HPP

#include "laburnumreach/core/reason.hpp"
#include "laburnumreach/ctl/report.hpp"

#include <string_view>

namespace laburnumreach::ctl
{

/// What a reason means and what an operator can do.
struct reason_guide
{
    core::reason why = core::reason::none;
    std::string_view meaning;
    std::string_view advice;
};

/// Returns the entry of a reason.
const reason_guide& guide_for(core::reason why) noexcept;

/// Reports the meaning, HTTP status and advice of a reason.
report explain_reason(core::reason why);

} // namespace laburnumreach::ctl

#endif
