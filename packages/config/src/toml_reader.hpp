#ifndef LABURNUMREACH_CONFIG_SRC_TOML_READER_HPP
#define LABURNUMREACH_CONFIG_SRC_TOML_READER_HPP

#include "laburnumreach/config/parse_error.hpp"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace laburnumreach::config
{

/// Collects the errors in one TOML text.
class parse_error_list
{
public:
    /// Adds an error at the position of a node.
    void add(const toml::source_region& where, std::string reason);

    /// Returns the errors ordered by position.
    std::vector<parse_error> sorted() &&;

    bool empty() const noexcept { return this->errors.empty(); }

private:
    std::vector<parse_error> errors;
};

/// Allowed range of a number.
struct number_bounds
{
    double min = 0.0;
    double max = 0.0;
    bool exclusive_min = false; ///< Whether min itself is rejected.
};

/// Reads typed values from one TOML table. Every error is added to the list and yields a default value, so
/// that reading continues and finds further errors.
class toml_reader
{
public:
    toml_reader(const toml::table& source_table, parse_error_list& error_list)
        : source(source_table), errors(error_list)
    {
    }

    /// Adds an error at the position of a value, or of the table when the value is missing.
    void add_error(std::string_view name, std::string reason);

    /// Adds an error at the position of an array element.
    void add_error_at(std::string_view name, std::size_t index, std::string reason);

    /// Returns whether an array element is a string. If not, strings() has added an error for it.
    bool has_string_at(std::string_view name, std::size_t index) const;

    bool has(std::string_view name) const { return this->source.contains(name); }

    /// Reads a string; a missing one is an error unless there is a fallback.
    std::string string(std::string_view name, std::optional<std::string_view> fallback = std::nullopt);

    /// Reads a string for which is_valid_name(value, limit) holds.
    std::string name(std::string_view key, std::size_t limit);

    bool boolean(std::string_view name, bool fallback);

    /// Reads an integer from min to max; a missing one is an error unless there is a fallback.
    std::int64_t integer(std::string_view name, std::optional<std::int64_t> fallback, std::int64_t min,
                         std::int64_t max);

    /// Reads an integer from min to max.
    /// @returns no value, and adds an error, if it is missing or another value
    std::optional<std::int64_t> required_integer(std::string_view name, std::int64_t min, std::int64_t max);

    /// Reads a finite number within bounds, written as a TOML float or integer; a missing one is an error
    /// unless there is a fallback.
    double number(std::string_view name, std::optional<double> fallback, const number_bounds& bounds);

    /// Reads an array of strings with at most `limit` elements; a missing one is empty.
    std::vector<std::string> strings(std::string_view name, std::size_t limit);

    /// Reads an array of tables with at most `limit` elements; a missing one is empty.
    std::vector<toml_reader> tables(std::string_view name, std::size_t limit);

    /// Returns a reader of a nested table; a missing one is empty.
    toml_reader table(std::string_view name);

    /// Adds an error for each key of the table that was not read.
    void report_unknown_names();

private:
    const toml::node* find(std::string_view name);
    const toml::array* find_array(std::string_view name, std::size_t limit, std::string_view element_kind);

    const toml::table& source;
    parse_error_list& errors;
    std::vector<std::string> known_names;
};

/// Parses TOML syntax. Parsing stops at the first syntax error, which is then the only error reported.
std::optional<toml::table> parse_toml(std::string_view text, parse_error_list& errors);

/// Returns whether a text has 1 to `limit` characters, all of them letters, digits, '.', '_' or '-'.
bool is_valid_name(std::string_view text, std::size_t limit);

} // namespace laburnumreach::config

#endif
