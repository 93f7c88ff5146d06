#ifndef LABURNUMREACH_HTTP_ENDPOINT_HPP
#define LABURNUMREACH_HTTP_ENDPOINT_HPP

#include <cstdint>
#include <string>
#include <tuple>

namespace laburnumreach::http
{

/// IP address and port of a server.
struct endpoint
{
    std::string address{};
    std::uint16_t port = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
    friend bool operator<(const endpoint& left, const endpoint& right)
    {
        return std::tie(left.address, left.port) < std::tie(right.address, right.port);
    }
};

/// Returns "address:port", with brackets around an IPv6 address.
std::string to_string(const endpoint& value);

} // namespace laburnumreach::http

#endif
