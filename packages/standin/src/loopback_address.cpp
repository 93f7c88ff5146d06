#include "laburnumreach/standin/loopback_address.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace laburnumreach::standin
{

core::result<std::string> parse_loopback_ip(std::string_view text)
{
    constexpr std::uint32_t loopback_network = 127;
    std::string ip{text};
    in_addr address{};
    if (::inet_pton(AF_INET, ip.c_str(), &address) != 1 || ntohl(address.s_addr) >> 24U != loopback_network)
    {
        return core::make_error(core::error_code::invalid_argument, "not an IPv4 loopback address: " + ip);
    }
    return ip;
}

core::result<loopback_address> parse_loopback_address(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    const std::string_view port_text =
        colon == std::string_view::npos ? std::string_view{} : text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, status] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
    if (port_text.empty() || status != std::errc{} || end != port_text.data() + port_text.size())
    {
        return core::make_error(core::error_code::invalid_argument,
                                "expected <ip>:<port> instead of " + std::string{text});
    }
    return parse_loopback_ip(text.substr(0, colon))
        .map([port](std::string ip) { return loopback_address{.ip = std::move(ip), .port = port}; });
}

} // namespace laburnumreach::standin
