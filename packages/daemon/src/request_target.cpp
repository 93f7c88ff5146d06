#include "laburnumreach/daemon/request_target.hpp"

#include "laburnumreach/http/headers.hpp"

namespace laburnumreach::daemon
{

namespace
{

bool is_dot_segment(std::string_view segment)
{
    // Covers "." and ".." with any of the dots percent-encoded.
    std::size_t dots = 0;
    while (!segment.empty())
    {
        if (segment.front() == '.')
        {
            segment.remove_prefix(1);
        }
        else if (segment.size() >= 3 && http::equal_ignoring_case(segment.substr(0, 3), "%2e"))
        {
            segment.remove_prefix(3);
        }
        else
        {
            return false;
        }
        ++dots;
    }
    return dots == 1 || dots == 2;
}

bool has_encoded_separator(std::string_view path)
{
    for (std::size_t mark = path.find('%'); mark != std::string_view::npos; mark = path.find('%', mark + 1))
    {
        const std::string_view escape = path.substr(mark, 3);
        if (http::equal_ignoring_case(escape, "%2f") || http::equal_ignoring_case(escape, "%5c") ||
            escape == "%00")
        {
            return true;
        }
    }
    return path.find('\\') != std::string_view::npos;
}

bool is_safe_path(std::string_view path)
{
    if (has_encoded_separator(path))
    {
        return false;
    }
    while (!path.empty())
    {
        path.remove_prefix(1);
        const std::size_t end = path.find('/');
        if (is_dot_segment(path.substr(0, end)))
        {
            return false;
        }
        path = end == std::string_view::npos ? std::string_view{} : path.substr(end);
    }
    return true;
}

} // namespace

std::optional<request_target> split_target(std::string_view target)
{
    if (target.size() < 2 || target.front() != '/')
    {
        return std::nullopt;
    }
    const std::string_view without_query = target.substr(0, target.find('?'));
    const std::size_t service_end = without_query.find('/', 1);
    request_target parts;
    parts.service =
        without_query.substr(1, service_end == std::string_view::npos ? service_end : service_end - 1);
    parts.path =
        service_end == std::string_view::npos ? std::string_view{"/"} : without_query.substr(service_end);
    parts.path_and_query =
        service_end == std::string_view::npos ? std::string_view{"/"} : target.substr(service_end);
    if (parts.service.empty() || !is_safe_path(parts.path))
    {
        return std::nullopt;
    }
    return parts;
}

} // namespace laburnumreach::daemon
