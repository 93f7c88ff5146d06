#ifndef LABURNUMREACH_CORE_ERROR_HPP
#define LABURNUMREACH_CORE_ERROR_HPP

#include <cstdint>
#include <string>
#include <tl/expected.hpp>

namespace laburnumreach::core
{

/// Kind of an error outside the request path.
enum class error_code : std::uint8_t
{
    invalid_argument,
    not_found,
    conflict,        ///< A conditional update found a version other than the expected one.
    unavailable,     ///< The remote side could not be reached or refused to serve.
    outcome_unknown, ///< The operation may or may not have taken effect.
    unauthenticated,
    too_large,
    io,
};

/// An error with a message for operators.
struct error
{
    error_code code = error_code::io;
    std::string message;
};

/// A value or an error.
template <typename Value>
using result = tl::expected<Value, error>;

/// Builds the error side of a result.
inline tl::unexpected<error> make_error(error_code code, std::string message)
{
    return tl::unexpected<error>{error{.code = code, .message = std::move(message)}};
}

} // namespace laburnumreach::core

#endif
