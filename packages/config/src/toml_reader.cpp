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

void fault_list::add(const toml::source_region& where, std::string reason)
{
    this->faults.push_back(
        {.line = where.begin.line, .column = where.begin.column, .reason = std::move(reason)});
}

std::vector<parse_error> fault_list::sorted() &&
{
    std::stable_sort(this->faults.begin(), this->faults.end(),
                     [](const parse_error& left, const parse_error& right)
                     { return std::tie(left.line, left.column) < std::tie(right.line, right.column); });
    return std::move(this->faults);
}

void toml_reader::fault(std::string_view name, std::string reason)
{
    const toml::node* node = this->source.get(name);
    this->faults.add(node == nullptr ? this->source.source() : node->source(), std::move(reason));
}

void toml_reader::fault_at(std::string_view name, std::size_t element, std::string reason)
{
    const toml::array* array = this->source.get_as<toml::array>(name);
    assert(array != nullptr && element < array->size());
    this->faults.add(array->get(element)->source(), std::move(reason));
}

bool toml_reader::has_string_at(std::string_view name, std::size_t element) const
{
    const toml::array* array = this->source.get_as<toml::array>(name);
    assert(array != nullptr && element < array->size());
    return array->get(element)->is_string();
}

const toml::node* toml_reader::find(std::string_view name)
{
    this->known.emplace_back(name);
    return this->source.get(name);
}

std::string toml_reader::string(std::string_view name, std::optional<std::string_view> fallback)
{
    const toml::node* node = this->find(name);
    if (node == nullptr)
    {
        if (!fallback)
        {
            this->fault(name, quoted(name) + " is missing");
        }
        return std::string{fallback.value_or("")};
    }
    if (const auto* value = node->as_string())
    {
        return value->get();
    }
    this->fault(name, quoted(name) + " must be a string");
    return {};
}

std::string toml_reader::name(std::string_view key, std::size_t limit)
{
    const toml::node* node = this->source.get(key);
    std::string value = this->string(key);
    if (node != nullptr && node->is_string() && !is_name(value, limit))
    {
        this->fault(key, quoted(key) + " must have 1 to " + std::to_string(limit) +
                             " characters out of letters, digits, '.', '_' and '-'");
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
    this->fault(name, quoted(name) + " must be true or false");
    return fallback;
}

std::int64_t toml_reader::integer(std::string_view name, std::optional<std::int64_t> fallback,
                                  std::int64_t least, std::int64_t most)
{
    const toml::node* node = this->find(name);
    if (node == nullptr)
    {
        if (!fallback)
        {
            this->fault(name, quoted(name) + " is missing");
        }
        return fallback.value_or(least);
    }
    const auto* value = node->as_integer();
    if (value == nullptr || value->get() < least || value->get() > most)
    {
        this->fault(name, quoted(name) + " must be an integer from " + std::to_string(least) + " to " +
                              std::to_string(most));
        return fallback.value_or(least);
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
            this->fault(name, quoted(name) + " is missing");
        }
        return fallback.value_or(bounds.most);
    }
    const std::optional<double> value = node->is_number() ? node->value<double>() : std::nullopt;
    const bool within = value && std::isfinite(*value) && *value <= bounds.most &&
                        (bounds.exclusive ? *value > bounds.least : *value >= bounds.least);
    if (!within)
    {
        this->fault(name, quoted(name) + " must be a finite number " +
                              (bounds.exclusive ? "greater than " : "not less than ") +
                              to_text(bounds.least) + " and not greater than " + to_text(bounds.most));
        return fallback.value_or(bounds.most);
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
        this->fault(name, quoted(name) + " must be an array of " + std::string{element_kind});
        return nullptr;
    }
    if (array->size() > limit)
    {
        this->fault(name, quoted(name) + " has " + std::to_string(array->size()) + " entries, more than " +
                              std::to_string(limit));
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
                this->faults.add(element.source(), quoted(name) + " must have only strings");
            }
            // An empty place keeps the positions of the elements behind it.
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
                readers.emplace_back(*value, this->faults);
            }
            else
            {
                this->faults.add(element.source(), quoted(name) + " must have only tables");
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
        this->fault(name, quoted(name) + " must be a table");
    }
    return toml_reader{value == nullptr ? empty_table : *value, this->faults};
}

void toml_reader::refuse_unknown_names()
{
    for (const auto& [key, node] : this->source)
    {
        if (std::find(this->known.begin(), this->known.end(), key.str()) == this->known.end())
        {
            this->faults.add(key.source(), "unknown name " + quoted(key.str()));
        }
    }
}

std::optional<toml::table> parse_toml(std::string_view text, fault_list& faults)
{
    try
    {
        return toml::parse(text);
    }
    catch (const toml::parse_error& error)
    {
        faults.add(error.source(), "syntax: " + std::string{error.description()});
        return std::nullopt;
    }
}

bool is_name(std::string_view text, std::size_t limit)
{
    const auto allowed = [](char value)
    {
        return (value >= 'a' && value <= 'z') || (value >= 'A' && value <= 'Z') ||
               (value >= '0' && value <= '9') || value == '.' || value == '_' || value == '-';
    };
    return !text.empty() && text.size() <= limit && std::all_of(text.begin(), text.end(), allowed);
}

} // namespace laburnumreach::config
