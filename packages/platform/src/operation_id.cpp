#include "laburnumreach/platform/operation_id.hpp"

#include <string_view>

namespace laburnumreach::platform
{

std::string make_operation_id(core::random_source& random)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string id(32, '0');
    for (char& digit : id)
    {
        digit = digits[random.below(digits.size())];
    }
    return id;
}

} // namespace laburnumreach::platform
