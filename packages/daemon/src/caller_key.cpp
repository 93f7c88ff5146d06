#include "laburnumreach/daemon/caller_key.hpp"

#include <algorithm>
#include <vector>

namespace laburnumreach::daemon
{

namespace
{

constexpr std::string_view bearer_prefix = "bearer ";
constexpr std::string_view own_header_prefix = "laburnum-";
const std::string authorization_header = "Authorization";
const std::string api_key_header = "X-Api-Key";
constexpr std::string_view key_parameter = "api_key";

int hex_value(char digit)
{
    if (digit >= '0' && digit <= '9')
    {
        return digit - '0';
    }
    const char lower = static_cast<char>(digit | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/// Decodes %XX and, in queries, the plus sign. Malformed escapes stay as they are.
std::string percent_decode(std::string_view text, bool plus_is_space)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t index = 0; index < text.size(); ++index)
    {
        if (text[index] == '%' && index + 2 < text.size() && hex_value(text[index + 1]) >= 0 &&
            hex_value(text[index + 2]) >= 0)
        {
            decoded += static_cast<char>(hex_value(text[index + 1]) * 16 + hex_value(text[index + 2]));
            index += 2;
        }
        else
        {
            decoded += plus_is_space && text[index] == '+' ? ' ' : text[index];
        }
    }
    return decoded;
}

bool starts_with_ignoring_case(std::string_view text, std::string_view prefix)
{
    return text.size() >= prefix.size() && http::equal_ignoring_case(text.substr(0, prefix.size()), prefix);
}

std::string_view trim(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos)
    {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (true)
    {
        const std::size_t end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
        {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

std::string_view query_of(std::string_view target)
{
    const std::size_t mark = target.find('?');
    return mark == std::string_view::npos ? std::string_view{} : target.substr(mark + 1);
}

bool is_key_parameter(std::string_view parameter)
{
    return percent_decode(parameter.substr(0, parameter.find('=')), true) == key_parameter;
}

std::string parameter_value(std::string_view parameter)
{
    const std::size_t equals = parameter.find('=');
    return equals == std::string_view::npos ? std::string{}
                                            : percent_decode(parameter.substr(equals + 1), true);
}

void collect(std::vector<std::string>& found, std::string value)
{
    if (!value.empty() && std::find(found.begin(), found.end(), value) == found.end())
    {
        found.push_back(std::move(value));
    }
}

void remove_key_parameters(const caller_key& key, std::string& target)
{
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos)
    {
        return;
    }
    std::string kept;
    for (const std::string_view parameter : split(query_of(target), '&'))
    {
        if (!is_key_parameter(parameter) && !contains_key(key, parameter))
        {
            kept += kept.empty() ? "" : "&";
            kept += parameter;
        }
    }
    target = target.substr(0, mark) + (kept.empty() ? "" : "?") + kept;
}

} // namespace

tl::expected<caller_key, core::reason> find_caller_key(const http::headers& fields, std::string_view target)
{
    std::vector<std::string> found;
    const auto authorizations = fields.equal_range(authorization_header);
    for (auto field = authorizations.first; field != authorizations.second; ++field)
    {
        const std::string_view value = trim(field->second);
        if (starts_with_ignoring_case(value, bearer_prefix))
        {
            collect(found, std::string{trim(value.substr(bearer_prefix.size()))});
        }
    }
    const auto api_keys = fields.equal_range(api_key_header);
    for (auto field = api_keys.first; field != api_keys.second; ++field)
    {
        collect(found, std::string{trim(field->second)});
    }
    for (const std::string_view parameter : split(query_of(target), '&'))
    {
        if (is_key_parameter(parameter))
        {
            collect(found, parameter_value(parameter));
        }
    }
    if (found.empty())
    {
        return tl::unexpected{core::reason::key_missing};
    }
    if (found.size() > 1)
    {
        return tl::unexpected{core::reason::ambiguous_key};
    }
    return caller_key{.text = std::move(found.front())};
}

bool contains_key(const caller_key& key, std::string_view text)
{
    if (text.find(key.text) != std::string_view::npos)
    {
        return true;
    }
    if (text.find('%') == std::string_view::npos)
    {
        return false;
    }
    return percent_decode(text, false).find(key.text) != std::string::npos ||
           percent_decode(text, true).find(key.text) != std::string::npos;
}

void remove_caller_key(const caller_key& key, http::headers& fields, std::string& target)
{
    std::erase_if(fields,
                  [&key](const auto& field)
                  {
                      return http::equal_ignoring_case(field.first, authorization_header) ||
                             http::equal_ignoring_case(field.first, api_key_header) ||
                             starts_with_ignoring_case(field.first, own_header_prefix) ||
                             contains_key(key, field.first) || contains_key(key, field.second);
                  });
    remove_key_parameters(key, target);
}

} // namespace laburnumreach::daemon
