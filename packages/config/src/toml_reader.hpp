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

/// Collects the faults of one text.
class fault_list
{
public:
    /// Adds a fault at the position of a node.
    void add(const toml::source_region& where, std::string reason);

    /// Returns the faults ordered by position.
    std::vector<parse_error> sorted() &&;

    bool empty() const noexcept { return this->faults.empty(); }

private:
    std::vector<parse_error> faults;
};

/// Bounds of a number.
struct number_bounds
{
    double least = 0.0;
    double most = 0.0;
    bool exclusive = false; ///< Whether least itself is refused.
};

/// Reads typed values from one TOML table. Every fault is added to the list and yields a default, so that
/// reading goes on and finds the others.
class toml_reader
{
public:
    toml_reader(const toml::table& read_table, fault_list& found) : source(read_table), faults(found) {}

    /// Adds a fault at the position of a value, or of the table when the value is missing.
    void fault(std::string_view name, std::string reason);

    /// Adds a fault at the position of an element of an array.
    void fault_at(std::string_view name, std::size_t element, std::string reason);

    /// Returns whether an element of an array is a string; otherwise its fault was added by strings.
    bool has_string_at(std::string_view name, std::size_t element) const;

    bool has(std::string_view name) const { return this->source.contains(name); }

    /// Reads a string; a missing one is a fault unless there is a fallback.
    std::string string(std::string_view name, std::optional<std::string_view> fallback = std::nullopt);

    /// Reads a string of 1 to limit characters out of letters, digits, '.', '_' and '-'.
    std::string name(std::string_view key, std::size_t limit);

    bool boolean(std::string_view name, bool fallback);

    /// Reads an integer within bounds.
    std::int64_t integer(std::string_view name, std::optional<std::int64_t> fallback, std::int64_t least,
                         std::int64_t most);

    /// Reads a finite number (an integer counts as one) within bounds.
    double number(std::string_view name, std::optional<double> fallback, const number_bounds& bounds);

    /// Reads an array of strings; a missing one is empty.
    std::vector<std::string> strings(std::string_view name, std::size_t limit);

    /// Reads an array of tables; a missing one is empty.
    std::vector<toml_reader> tables(std::string_view name, std::size_t limit);

    /// Reads a table; a missing one reads as empty.
    toml_reader table(std::string_view name);

    /// Adds a fault for each name that no call asked for.
    void refuse_unknown_names();

private:
    const toml::node* find(std::string_view name);
    const toml::array* find_array(std::string_view name, std::size_t limit, std::string_view element_kind);

    const toml::table& source;
    fault_list& faults;
    std::vector<std::string> known;
};

/// Parses TOML syntax. A syntax error ends the reading, so it is the only fault reported then.
std::optional<toml::table> parse_toml(std::string_view text, fault_list& faults);

/// Returns whether a text has 1 to limit characters out of letters, digits, '.', '_' and '-'.
bool is_name(std::string_view text, std::size_t limit);

} // namespace laburnumreach::config

#endif
