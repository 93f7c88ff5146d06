#include "laburnumreach/config/parse_error.hpp"

namespace laburnumreach::config
{

std::string to_string(const parse_error& error)
{
    if (error.line == 0)
    {
        return error.reason;
    }
    return "line " + std::to_string(error.line) + ", column " + std::to_string(error.column) + ": " +
           error.reason;
}

std::string to_string(std::span<const parse_error> errors)
{
    std::string lines;
    for (const parse_error& error : errors)
    {
        lines += to_string(error) + "\n";
    }
    return lines;
}

} // namespace laburnumreach::config
