#ifndef LABURNUMREACH_CONFIG_ENDPOINT_HPP
#define LABURNUMREACH_CONFIG_ENDPOINT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumreach::config
{

/// An IP address and a port.
struct endpoint
{
    std::string address; ///< IPv4 or IPv6 address, without brackets.
    std::uint16_t port = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// Returns whether a text is a numeric IPv4 or IPv6 address.
bool is_ip_address(std::string_view text);

/// Parses "127.0.0.1:80" or "[::1]:80". Host names are rejected, so no name is resolved.
/// @returns no value for another form or a port outside 1 to 65535
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Returns the form that parse_endpoint accepts.
std::string to_string(const endpoint& value);

} // namespace laburnumreach::config

#endif
