#ifndef LABURNUMREACH_PLATFORM_PERCENT_ENCODING_HPP
#define LABURNUMREACH_PLATFORM_PERCENT_ENCODING_HPP

#include <string>
#include <string_view>

namespace laburnumreach::platform
{

/// Encodes a text for the path or query of a URL. Unreserved characters and '/' stay as they are.
std::string percent_encode(std::string_view text);

} // namespace laburnumreach::platform

#endif
