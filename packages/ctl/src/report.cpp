#include "laburnumreach/ctl/report.hpp"

namespace laburnumreach::ctl
{

exit_code exit_code_of(core::error_code code) noexcept
{
    switch (code)
    {
    case core::error_code::conflict:
        return exit_code::conflict;
    case core::error_code::unavailable:
    case core::error_code::outcome_unknown:
    case core::error_code::io:
        return exit_code::unreachable;
    case core::error_code::invalid_argument:
    case core::error_code::not_found:
    case core::error_code::unauthenticated:
    case core::error_code::too_large:
        break;
    }
    return exit_code::refused;
}

report error_report(const core::error& error)
{
    std::string text = error.message + "\n";
    if (error.code == core::error_code::outcome_unknown)
    {
        text += "The change may or may not be in force; check with 'laburnumctl show' before repeating it.\n";
    }
    return {.code = exit_code_of(error.code), .text = std::move(text), .json = {{"error", error.message}}};
}

} // namespace laburnumreach::ctl
