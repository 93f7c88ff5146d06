#include "laburnumreach/config/endpoint.hpp"

#include <arpa/inet.h>
#include <charconv>
#include <netinet/in.h>

namespace laburnumreach::config
{

namespace
{

bool is_number_of_family(int family, const std::string& text)
{
    in6_addr storage{};
    return ::inet_pton(family, text.c_str(), &storage) == 1;
}

} // namespace

bool is_ip_address(std::string_view text)
{
    if (text.find('\0') != std::string_view::npos)
    {
        return false;
    }
    const std::string terminated{text};
    return is_number_of_family(AF_INET, terminated) || is_number_of_family(AF_INET6, terminated);
}

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    std::string_view address = text.substr(0, colon);
    const bool bracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (bracketed)
    {
        address = address.substr(1, address.size() - 2);
    }
    const bool has_colon = address.find(':') != std::string_view::npos;
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool port_valid = status == std::errc{} && end == digits.data() + digits.size() && port > 0;
    if (!port_valid || has_colon != bracketed || !is_ip_address(address))
    {
        return std::nullopt;
    }
    return endpoint{.address = std::string{address}, .port = port};
}

std::string to_string(const endpoint& value)
{
    const bool bracketed = value.address.find(':') != std::string::npos;
    return (bracketed ? "[" + value.address + "]" : value.address) + ":" + std::to_string(value.port);
}

} // namespace laburnumreach::config
