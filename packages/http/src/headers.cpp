#include "laburnumreach/http/headers.hpp"

#include <algorithm>
#include <array>
#include <vector>

namespace laburnumreach::http
{

namespace
{

char lower(char character) noexcept
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

/// Calls visit with each trimmed element of a comma-separated list.
template <typename Visitor>
void for_each_element(std::string_view list, Visitor visit)
{
    constexpr std::string_view blanks = " \t";
    while (!list.empty())
    {
        const std::size_t comma = std::min(list.find(','), list.size());
        std::string_view element = list.substr(0, comma);
        list.remove_prefix(std::min(comma + 1, list.size()));
        element.remove_prefix(std::min(element.find_first_not_of(blanks), element.size()));
        element = element.substr(0, element.find_last_not_of(blanks) + 1);
        if (!element.empty())
        {
            visit(element);
        }
    }
}

} // namespace

std::string_view find_header(const headers& fields, const std::string& name)
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string_view{} : std::string_view{found->second};
}

bool equal_ignoring_case(std::string_view left, std::string_view right) noexcept
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char first, char second) { return lower(first) == lower(second); });
}

std::string lower_case(std::string_view text)
{
    std::string lowered{text};
    std::transform(lowered.begin(), lowered.end(), lowered.begin(), lower);
    return lowered;
}

bool has_token(const headers& fields, const std::string& name, std::string_view token)
{
    bool found = false;
    const auto [begin, end] = fields.equal_range(name);
    for (auto field = begin; field != end; ++field)
    {
        for_each_element(field->second,
                         [&](std::string_view element) { found |= equal_ignoring_case(element, token); });
    }
    return found;
}

bool is_valid_field(std::string_view name, std::string_view value) noexcept
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    const auto is_token_character = [punctuation](char character)
    {
        return (character >= '0' && character <= '9') ||
               (lower(character) >= 'a' && lower(character) <= 'z') ||
               punctuation.find(character) != std::string_view::npos;
    };
    const auto is_value_character = [](char character)
    { return static_cast<unsigned char>(character) >= ' ' ? character != '\x7f' : character == '\t'; };
    return !name.empty() && std::all_of(name.begin(), name.end(), is_token_character) &&
           std::all_of(value.begin(), value.end(), is_value_character);
}

void remove_hop_by_hop(headers& fields)
{
    std::vector<std::string> names{
        "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
        "TE",         "Trailer",          "Transfer-Encoding",  "Upgrade",
        "Expect",     "Content-Length"};
    const auto [begin, end] = fields.equal_range("Connection");
    for (auto field = begin; field != end; ++field)
    {
        for_each_element(field->second, [&](std::string_view element) { names.emplace_back(element); });
    }
    names.emplace_back("Connection");
    for (const std::string& name : names)
    {
        fields.erase(name);
    }
}

} // namespace laburnumreach::http
