#ifndef LABURNUMREACH_CONFIG_TEXT_ERROR_HPP
#define LABURNUMREACH_CONFIG_TEXT_ERROR_HPP

#include <cstddef>
#include <span>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace laburnumreach::config
{

/// A fault in a TOML text. Line and column count from 1; both are 0 when the fault has no position.
struct text_error
{
    std::size_t line = 0;
    std::size_t column = 0;
    std::string reason;

    friend bool operator==(const text_error&, const text_error&) = default;
};

/// A checked value, or every fault that was found, ordered by position.
template <typename Value>
using text_result = tl::expected<Value, std::vector<text_error>>;

/// Returns "line L, column C: reason".
std::string to_string(const text_error& error);

/// Returns one line for each error.
std::string to_string(std::span<const text_error> errors);

} // namespace laburnumreach::config

#endif
