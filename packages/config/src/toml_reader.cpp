#include "toml_reader.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <sstream>
#include <tuple>

namespace laburnumreach::config
{

namespace
{

const toml::table empty_table{};

std::string quoted(std::string_view name)
{
    return "'" + std::string{name} + "'";
}

std::string to_text(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

} // namespace

void parse_error_list::add(const toml::source_region& where, std::string reason)
{
    this->errors.push_back(
        {.line = where.begin.line, .column = where.begin.column, .reason = std::move(reason)});
}

std::vector<parse_error> parse_error_list::sorted() &&
{
    std::stable_sort(this->errors.begin(), this->errors.end(),
                     [](const parse_error& left, const parse_error& right)
                     { return std::tie(left.line, left.column) < std::tie(right.line, right.column); });
    return std::move(this->errors);
}

void toml_reader::add_error(std::string_view name, std::string reason)
{
    const toml::node* node = this->source.get(name);
    this->errors.add(node == nullptr ? this->source.source() : node->source(), std::move(reason));
}

void toml_reader::add_error_at(std::string_view name, std::size_t index, std::string reason)
{
    const toml::array* array = this->source.get_as<toml::array>(name);
    assert(array != nullptr && index < array->size());
    this->errors.add(array->get(index)->source(), std::move(reason));
}

bool toml_reader::has_string_at(std::string_view name, std::size_t index) const
{
    const toml::array* array = this->source.get_as<toml::array>(name);
    assert(array != nullptr && index < array->size());
    return array->get(index)->is_string();
}

const toml::node* toml_reader::find(std::string_view name)
{
    this->known_names.emplace_back(name);
    return this->source.get(name);
}

std::string toml_reader::string(std::string_view name, std::optional<std::string_view> fallback)
{
    const toml::node* node = this->find(name);
    if (node == nullptr)
    {
        if (!fallback)
        {
            this->add_error(name, quoted(name) + " is missing");
        }
        return std::string{fallback.value_or("")};
    }
    if (const auto* value = node->as_string())
    {
        return value->get();
    }
    this->add_error(name, quoted(name) + " must be a string");
    return {};
}

std::string toml_reader::name(std::string_view key, std::size_t limit)
{
    const toml::node* node = this->source.get(key);
    std::string value = this->string(key);
    if (node != nullptr && node->is_string() && !is_valid_name(value, limit))
    {
        this->add_error(key, quoted(key) + " must have 1 to " + std::to_string(limit) +
                                 " characters, only letters, digits, '.', '_' and '-'");
        return {};
    }
    return value;
}

bool toml_reader::boolean(std::string_view name, bool fallback)
{
    const toml::node* node = this->find(name);
    if (node == nullptr)
    {
        return fallback;
    }
    if (const auto* value = node->as_boolean())
    {
        return value->get();
    }
    this->add_error(name, quoted(name) + " must be true or false");
    return fallback;
}

std::int64_t toml_reader::integer(std::string_view name, std::optional<std::int64_t> fallback,
                                  std::int64_t min, std::int64_t max)
{
    if (fallback && this->find(name) == nullptr)
    {
        return *fallback;
    }
    return this->required_integer(name, min, max).value_or(fallback.value_or(min));
}

std::optional<std::int64_t> toml_reader::required_integer(std::string_view name, std::int64_t min,
                                                          std::int64_t max)
{
    const toml::node* node = this->find(name);
    if (node == nullptr)
    {
        this->add_error(name, quoted(name) + " is missing");
        return std::nullopt;
    }
    const auto* value = node->as_integer();
    if (value == nullptr || value->get() < min || value->get() > max)
    {
        this->add_error(name, quoted(name) + " must be an integer from " + std::to_string(min) + " to " +
                                  std::to_string(max));
        return std::nullopt;
    }
    return value->get();
}

double toml_reader::number(std::string_view name, std::optional<double> fallback, const number_bounds& bounds)
{
    const toml::node* node = this->find(name);
    if (node == nullptr)
    {
        if (!fallback)
        {
            this->add_error(name, quoted(name) + " is missing");
        }
        return fallback.value_or(bounds.max);
    }
    const std::optional<double> value = node->is_number() ? node->value<double>() : std::nullopt;
    const bool within = value && std::isfinite(*value) && *value <= bounds.max &&
                        (bounds.exclusive_min ? *value > bounds.min : *value >= bounds.min);
    if (!within)
    {
        this->add_error(name, quoted(name) + " must be a finite number " +
                                  (bounds.exclusive_min ? "greater than " : "not less than ") +
                                  to_text(bounds.min) + " and not greater than " + to_text(bounds.max));
        return fallback.value_or(bounds.max);
    }
    return *value;
}

const toml::array* toml_reader::find_array(std::string_view name, std::size_t limit,
                                           std::string_view element_kind)
{
    const toml::node* node = this->find(name);
    if (node == nullptr)
    {
        return nullptr;
    }
    const toml::array* array = node->as_array();
    if (array == nullptr)
    {
        this->add_error(name, quoted(name) + " must be an array of " + std::string{element_kind});
        return nullptr;
    }
    if (array->size() > limit)
    {
        this->add_error(name, quoted(name) + " has " + std::to_string(array->size()) +
                                  " entries, more than " + std::to_string(limit));
        return nullptr;
    }
    return array;
}

std::vector<std::string> toml_reader::strings(std::string_view name, std::size_t limit)
{
    std::vector<std::string> values;
    if (const toml::array* array = this->find_array(name, limit, "strings"))
    {
        for (const toml::node& element : *array)
        {
            const auto* value = element.as_string();
            if (value == nullptr)
            {
                this->errors.add(element.source(), quoted(name) + " must contain only strings");
            }
            // An empty string in place of an invalid element keeps the indices of the following ones.
            values.push_back(value == nullptr ? std::string{} : value->get());
        }
    }
    return values;
}

std::vector<toml_reader> toml_reader::tables(std::string_view name, std::size_t limit)
{
    std::vector<toml_reader> readers;
    if (const toml::array* array = this->find_array(name, limit, "tables"))
    {
        for (const toml::node& element : *array)
        {
            if (const toml::table* value = element.as_table())
            {
                readers.emplace_back(*value, this->errors);
            }
            else
            {
                this->errors.add(element.source(), quoted(name) + " must contain only tables");
            }
        }
    }
    return readers;
}

toml_reader toml_reader::table(std::string_view name)
{
    const toml::node* node = this->find(name);
    const toml::table* value = node == nullptr ? nullptr : node->as_table();
    if (node != nullptr && value == nullptr)
    {
        this->add_error(name, quoted(name) + " must be a table");
    }
    return toml_reader{value == nullptr ? empty_table : *value, this->errors};
}

void toml_reader::report_unknown_names()
{
    for (const auto& [key, node] : this->source)
    {
        if (std::find(this->known_names.begin(), this->known_names.end(), key.str()) ==
            this->known_names.end())
        {
            this->errors.add(key.source(), "unknown name " + quoted(key.str()));
        }
    }
}

std::optional<toml::table> parse_toml(std::string_view text, parse_error_list& errors)
{
    try
    {
        return toml::parse(text);
    }
    catch (const toml::parse_error& error)
    {
        errors.add(error.source(), "syntax: " + std::string{error.description()});
        return std::nullopt;
    }
}

bool is_valid_name(std::string_view text, std::size_t limit)
{
    const auto allowed = [](char value)
    {
        return (value >= 'a' && value <= 'z') || (value >= 'A' && value <= 'Z') ||
               (value >= '0' && value <= '9') || value == '.' || value == '_' || value == '-';
    };
    return !text.empty() && text.size() <= limit && std::all_of(text.begin(), text.end(), allowed);
}

} // namespace laburnumreach::config
