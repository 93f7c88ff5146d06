#include "request_writer.hpp"

#include <algorithm>
#include <array>

namespace laburnumreach::http
{

namespace
{

/// Returns whether a field is not forwarded, because this hop sets it itself or does not support it.
bool is_excluded_field(std::string_view name)
{
    constexpr std::array<std::string_view, 5> names{"Connection", "Keep-Alive", "Content-Length",
                                                    "Transfer-Encoding", "Expect"};
    return std::any_of(names.begin(), names.end(),
                       [name](std::string_view excluded) { return equal_ignoring_case(name, excluded); });
}

bool is_valid_target(std::string_view target)
{
    return target.starts_with('/') &&
           std::all_of(target.begin(), target.end(),
                       [](char character) { return character > ' ' && character < '\x7f'; });
}

void append_field(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

std::optional<std::string> write_request_head(const endpoint& destination, const outgoing_request& request)
{
    constexpr std::size_t typical_head_bytes = 512;
    if (!is_valid_field(request.method, {}) || !is_valid_target(request.target))
    {
        return std::nullopt;
    }
    std::string out;
    out.reserve(typical_head_bytes);
    out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    if (request.headers == nullptr || !request.headers->contains("Host"))
    {
        append_field(out, "Host", to_string(destination));
    }
    if (request.headers != nullptr)
    {
        for (const auto& [name, value] : *request.headers)
        {
            if (!is_valid_field(name, value))
            {
                return std::nullopt;
            }
            if (!is_excluded_field(name))
            {
                append_field(out, name, value);
            }
        }
    }
    const bool expects_body =
        request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (expects_body || !request.body.empty())
    {
        append_field(out, "Content-Length", std::to_string(request.body.size()));
    }
    out.append("\r\n");
    return out;
}

} // namespace laburnumreach::http
