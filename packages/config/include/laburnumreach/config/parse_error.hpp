#ifndef LABURNUMREACH_CONFIG_PARSE_ERROR_HPP
#define LABURNUMREACH_CONFIG_PARSE_ERROR_HPP

#include <cstddef>
#include <span>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace laburnumreach::config
{

/// An error in a TOML text: bad syntax or an invalid value. Line and column count from 1; both are 0 when the
/// error has no position.
struct parse_error
{
    std::size_t line = 0;
    std::size_t column = 0;
    std::string reason;

    friend bool operator==(const parse_error&, const parse_error&) = default;
};

/// A validated value, or every error found, ordered by position.
template <typename Value>
using parse_result = tl::expected<Value, std::vector<parse_error>>;

/// Returns "line L, column C: reason".
std::string to_string(const parse_error& error);

/// Returns one line for each error.
std::string to_string(std::span<const parse_error> errors);

} // namespace laburnumreach::config

#endif
