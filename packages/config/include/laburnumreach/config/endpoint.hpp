#ifndef LABURNUMREACH_CONFIG_ENDPOINT_HPP
#define LABURNUMREACH_CONFIG_ENDPOINT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumreach::config
{

/// An IP number and a port.
struct endpoint
{
    std::string address; ///< IPv4 or IPv6 number, without brackets.
    std::uint16_t port = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// Returns whether the text is an IPv4 or IPv6 number.
bool is_ip_address(std::string_view text);

/// Parses "127.0.0.1:80" or "[::1]:80". Host names are refused: addresses come from settings as IP numbers.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Returns the form that parse_endpoint reads.
std::string to_string(const endpoint& value);

} // namespace laburnumreach::config

#endif
